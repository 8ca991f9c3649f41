const bytesPerMb = 1_000_000;

/** Memory of the smallest machine, in megabytes; assumed if the platform names none. */
export const defaultMemoryMb = 250;

/** Descriptors that the smallest machine allows; assumed if the platform names none. */
export const defaultMaxDescriptors = 4_100;

/**
 * Memory that the process uses without the requests of callers, in megabytes: 90 at rest, and the working
 * set of relaying.
 */
const baseMemoryMb = 130;

/**
 * Share of the remaining memory that bodies and answers may use. The other half is for what the account
 * can't count exactly: bytes that wait in the kernel, copies in transit and buffers that are garbage already.
 */
const accountShare = 0.5;

/** Bound of the account on machines that are smaller than any that we know, in megabytes. */
const minAccountMb = 16;

/** Share of the V8 heap that connections and requests may use; the rest holds the program's own state. */
const heapAccountShare = 0.25;

/** Share of the account that only small bodies may use. */
const smallBodyShare = 0.25;

/** Descriptors reserved for files, as on the deployments. */
const reservedFileDescriptors = 200;

/** Descriptors reserved for listeners, peers, the store and the process itself. */
const reservedOwnDescriptors = 64;

/**
 * Share of the other descriptors that callers may use. A caller's connection usually has one request in
 * flight, which needs at most one connection to an endpoint, so both sides get the same number.
 */
const callerDescriptorShare = 0.5;

/**
 * Memory for a connection that isn't read, in bytes: a read that is done already, and the receive window of a
 * new connection in the kernel. More accumulates only on connections that were read quickly before.
 */
export const heldConnectionBytes = 131_072;

/** Share of the account that connections which aren't read may use, for each reason. */
const heldShare = 0.15;

/** Share of the account that bodies which wait for room may leave unread in the kernel. */
const waitingShare = 0.1;

/** Bytes that a body which waits may leave unread in the kernel: the receive window of a new connection. */
export const unreadWindowBytes = 65_536;

/** Requests that the parser may find in the slice of a read before it can be held: 4 KiB of the shortest ones. */
const maxRequestsPerSlice = 256;

/** Bounds of an account of bodies that arrive. */
export interface AccountBounds {
  /** Bytes of bodies, and of whatever else is charged to the account. */
  readonly memoryBytes: number;
  /** Part of {@link memoryBytes} that only small bodies may use. */
  readonly smallBodyMemoryBytes: number;
  /** Size up to which a body is small, in bytes. */
  readonly smallBodyBytes: number;
  /** Bodies that wait for room; each leaves up to a receive window unread in the kernel. */
  readonly maxWaiting: number;
  /** Time without any progress after which a body is given up, in milliseconds. */
  readonly stallMs: number;
  /** Time without progress after which a body is given up if others need the memory, in milliseconds. */
  readonly yieldMs: number;
  /** Bytes since the last mark that count as progress when others need the memory. */
  readonly progressMarkBytes: number;
}

/** Bounds on what callers make a process hold. */
export interface IntakeBounds extends AccountBounds {
  /** Bytes that connections and requests without their bodies may use in the V8 heap. */
  readonly heapBytes: number;
  /** Connections to the address for callers. */
  readonly maxConnections: number;
  /** Connections to each of the status servers. */
  readonly maxStatusConnections: number;
  /** Requests of one connection that are served at the same time. */
  readonly maxServed: number;
  /** Requests of one connection, including those that wait for earlier ones, at which no more are read. */
  readonly maxPipelined: number;
  /** Requests of one connection at which it is closed; more than one read of the parser can hold. */
  readonly maxPipelinedHard: number;
  /** Requests that waited for earlier ones on their connections and are started, per second. */
  readonly queuedStartsPerSecond: number;
  /** Time for which a body waits for room in the account, in milliseconds. */
  readonly bodyWaitMs: number;
  /** Connections that aren't read, for each reason. */
  readonly maxHeld: number;
  /** Share of the processor time that bodies in many small pieces may use. */
  readonly pieceShare: number;
}

/** Settings that the bounds derive from; those left out have defaults. */
export interface IntakeSettings {
  readonly memoryMb?: number | null;
  readonly maxDescriptors?: number | null;
  readonly callerMemoryMb?: number | null;
  readonly maxCallerConnections?: number | null;
  readonly maxStatusConnections?: number | null;
  readonly maxPipelinedRequests?: number | null;
  readonly maxServedRequests?: number | null;
  readonly queuedStartsPerSecond?: number | null;
  readonly callerStallMs?: number | null;
  readonly callerYieldMs?: number | null;
  readonly bodyWaitMs?: number | null;
  readonly bodyPieceShare?: number | null;
}

/**
 * Derives the bounds of a process.
 *
 * @param settings - Limits of the machine, and bounds that the operator sets explicitly.
 * @param heapLimitBytes - Limit of the V8 heap, in bytes.
 * @returns The bounds.
 */
export function deriveBounds(settings: IntakeSettings, heapLimitBytes: number): IntakeBounds {
  const memoryMb = settings.memoryMb ?? defaultMemoryMb;
  const derivedMb = Math.max(minAccountMb, (memoryMb - baseMemoryMb) * accountShare);
  const memoryBytes = (settings.callerMemoryMb ?? derivedMb) * bytesPerMb;
  const maxPipelined = settings.maxPipelinedRequests ?? 16;
  const maxServed = Math.min(maxPipelined, settings.maxServedRequests ?? 4);
  return {
    memoryBytes,
    smallBodyMemoryBytes: memoryBytes * smallBodyShare,
    heapBytes: heapLimitBytes * heapAccountShare,
    smallBodyBytes: 65_536,
    maxWaiting: (memoryBytes * waitingShare) / unreadWindowBytes,
    progressMarkBytes: 4_096,
    maxConnections:
      settings.maxCallerConnections ??
      callerConnectionsOf(settings.maxDescriptors ?? defaultMaxDescriptors),
    maxStatusConnections: settings.maxStatusConnections ?? 128,
    maxServed,
    maxPipelined,
    maxPipelinedHard: maxPipelined + maxRequestsPerSlice,
    queuedStartsPerSecond: settings.queuedStartsPerSecond ?? 50,
    maxHeld: Math.max(1, Math.floor((memoryBytes * heldShare) / heldConnectionBytes)),
    stallMs: settings.callerStallMs ?? 10_000,
    yieldMs: settings.callerYieldMs ?? 500,
    bodyWaitMs: settings.bodyWaitMs ?? 1_000,
    pieceShare: settings.bodyPieceShare ?? 0.4,
  };
}

function callerConnectionsOf(maxDescriptors: number): number {
  const free = maxDescriptors - reservedFileDescriptors - reservedOwnDescriptors;
  return Math.max(1, Math.floor(free * callerDescriptorShare));
}
