import type { ObservedArrival, ObservedRun } from '../../platform/test/wireViews.js';

/** Kinds of requests that the callers send; each value is the first segment of the path. */
export enum RequestKind {
  Stream = 'stream',
  Lookup = 'look',
  Submission = 'book',
  /** A stream that takes seconds; its route moves between two services. */
  LongStream = 'long',
}

/** Services to which the route of each kind of request goes, one at a time. */
export const servicesByKind: Readonly<Record<RequestKind, readonly string[]>> = {
  [RequestKind.Stream]: ['model'],
  [RequestKind.Lookup]: ['app'],
  [RequestKind.Submission]: ['app'],
  [RequestKind.LongStream]: ['long', 'spare'],
};

/** Kinds of requests whose answers are streams. */
export const streamKinds: ReadonlySet<RequestKind> = new Set([
  RequestKind.Stream,
  RequestKind.LongStream,
]);

/** Outcome of a call from its caller's point of view. */
export enum CallOutcome {
  /** The caller received the complete answer to its own request. */
  Complete = 'whole',
  /** The answer looks complete but is not, or it belongs to another request. */
  Mismatch = 'wrong',
  /** The caller received a status other than success. */
  ErrorStatus = 'failure',
  /** The connection ended before the end of the answer. */
  Truncated = 'partial',
  /** The connection ended or the caller timed out before a status arrived. */
  NoStatus = 'none',
}

/** One call. Times are wall-clock times in milliseconds since 1970. */
export interface CallRecord {
  readonly id: string;
  readonly kind: RequestKind;
  readonly gateway: string;
  /** Process id of the gateway when the call started. */
  readonly process: number;
  readonly key: string;
  readonly target: string;
  readonly body: string;
  /** Ids of the parts of its prompt, in order; empty if it has none. */
  readonly parts: readonly string[];
  /** Whether it got no answer on a connection that had carried other requests. */
  readonly isOnKeptConnection: boolean;
  readonly startMs: number;
  readonly endMs: number;
  readonly status: number;
  readonly outcome: CallOutcome;
  /** Whether the answer had a `Retry-After` header. */
  readonly hasRetryAfter: boolean;
  readonly detail: string;
}

/** An order to an endpoint to hold layers. */
export interface OrderRecord {
  readonly endpoint: string;
  readonly layers: number;
  /** Maximum number of layers that fit into the endpoint's memory. */
  readonly maxLayers: number;
}

/**
 * A caller's key and the time during which the configuration contained it, in milliseconds since
 * 1970.
 */
export interface KeyRecord {
  readonly key: string;
  readonly organisation: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** The end of an endpoint's process. */
export interface CrashRecord {
  readonly endpoint: string;
  readonly atMs: number;
  /** Part of a prompt that crashed it; undefined if another cause did. */
  readonly part: string | undefined;
}

/** Kinds of faults. All are injected from outside the gateways. */
export enum FaultKind {
  KillGateway = 'kill-gateway',
  StopGateway = 'stop-gateway',
  FreezeGateway = 'freeze-gateway',
  ReloadGateway = 'reload-gateway',
  ResetCallerLinks = 'reset-callers',
  SilenceCallerLinks = 'silence-callers',
  DelayCallerLinks = 'delay-callers',
  ResetStoreLink = 'cut-store',
  SilenceStoreLink = 'silence-store',
  OneWayStoreLink = 'one-way-store',
  StoreUnavailable = 'store-busy',
  StoreSilent = 'store-silent',
  StoreDropsWriteAnswers = 'store-loses-answers',
  StoreWritesLate = 'store-acts-late',
  StoreSlow = 'store-slow',
  StoreCompactsHistory = 'store-forgets',
  /** The store goes away for a moment and comes back from an older copy. */
  StoreComesBackOlder = 'store-comes-back-older',
  /** Callers that misbehave hold memory, connections and time of a gateway. */
  CallerCrowd = 'caller-crowd',
  /** A caller sends a request again and again that crashes each endpoint that runs it. */
  CrashingRequest = 'crashing-request',
  /** Callers send requests, no two alike, with a part of the prompt that crashes each endpoint. */
  CrashingPart = 'crashing-part',
  CrashEndpoint = 'crash-endpoint',
  FreezeEndpoint = 'freeze-endpoint',
  SilenceEndpointLink = 'silence-endpoint',
  OneWayEndpointLink = 'one-way-endpoint',
  ResetEndpointLink = 'reset-endpoint',
  DelayEndpointLink = 'delay-endpoint',
  DrainEndpoint = 'drain-endpoint',
  /** The entry of an endpoint is removed without notice; it goes on serving for a time. */
  RemoveEndpointEntry = 'remove-entry',
  /** An endpoint names a rate limit in its answers. */
  EndpointNamesLimit = 'naming-limit',
  /** An endpoint says in its answers that it leaves, while the store lists it as ready. */
  EndpointSaysLeaving = 'saying-leaving',
  /** An endpoint rejects requests and names a time for which it wants none. */
  EndpointPauses = 'pausing',
  EndpointShedsLoad = 'shedding',
  EndpointFails = 'failing',
  EndpointClosesWithoutAnswer = 'losing-answers',
  EndpointCutsStreams = 'cutting-answers',
  EndpointResetsDuringAnswer = 'resetting-answers',
  EndpointNeverAnswers = 'hanging',
  /** A sound endpoint sends and answers nothing for about a second, and then goes on. */
  EndpointFallsSilent = 'silent-second',
  /** Up to half of the endpoints, all sound, fall silent one after the other, and overlap. */
  EndpointsFallSilentInSeries = 'silent-series',
  /** An endpoint answers with neither a length nor chunks, and ends the connection. */
  EndpointOmitsFraming = 'unframed',
  /** An endpoint answers so, and closes the connection of a stream within an event. */
  EndpointCutsUnframed = 'cutting-unframed-answers',
  /** An endpoint answers so, and resets the connection after a whole body or event. */
  EndpointResetsUnframed = 'resetting-unframed-answers',
  EndpointAnswersWithoutEnd = 'answering-without-end',
  /** Some or all endpoints of a service write bytes that are no answer to a part of their requests. */
  FaultyAnswers = 'faulty-answers',
  EndpointAnswersWrongRequest = 'misanswering',
  /** An endpoint refuses some requests, and writes its refusals once more before later answers. */
  EndpointRepeatsRefusals = 'repeating-refusals',
  /** Another writer leaves entries that no endpoint writes. */
  OddEntries = 'odd-entries',
  /** Pages of lists that may lag show an older state, and followers of the watchers have to read some. */
  OldPages = 'old-pages',
  AddKey = 'add-key',
  RevokeKey = 'revoke-key',
  GrowConfig = 'grow-config',
  /** The route of long streams goes to another service. */
  MoveRoute = 'move-route',
}

/** A planned fault. Times are in milliseconds from the start of the run. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Number from 0 to 1 (exclusive) that selects one of the possible targets. */
  readonly targetSelector: number;
  readonly startOffsetMs: number;
  readonly durationMs: number;
}

/** A fault that was injected. Times are wall-clock times in milliseconds since 1970. */
export interface FaultRecord {
  readonly kind: FaultKind;
  readonly target: string;
  /** Service of the target if endpoints of one service are chosen together. */
  readonly service?: string;
  readonly startMs: number;
  endMs: number;
}

/** A crowd of misbehaving callers. Times are wall-clock times in milliseconds since 1970. */
export interface CrowdRecord {
  readonly gateway: string;
  readonly startMs: number;
  readonly endMs: number;
  /** Ids of its requests that were refused with a status that says that they have not run. */
  readonly notRunIds: readonly string[];
}

/** A span in which this process itself stood still, in milliseconds since 1970. */
export interface Standstill {
  readonly startMs: number;
  readonly endMs: number;
}

/** Records of a run that the checks read. */
export interface SoakHistory {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly ObservedRun[];
  readonly arrivals: readonly ObservedArrival[];
  readonly orders: readonly OrderRecord[];
  readonly crashes: readonly CrashRecord[];
  readonly keys: readonly KeyRecord[];
  readonly faults: readonly FaultRecord[];
  readonly crowds: readonly CrowdRecord[];
  /** Descriptions of gateway failures, such as a process that exited unexpectedly. */
  readonly incidents: readonly string[];
  /** Spans in which the harness stood still; they excuse nothing. */
  readonly standstills: readonly Standstill[];
  /** Time when the last fault ended, in milliseconds since 1970; undefined before that. */
  readonly calmFromMs: number | undefined;
}
