import type { Socket } from 'node:net';
import {
  ConnectionPhase,
  type CloseConnection,
  type ConnectionEntry,
  type ConnectionTable,
} from '../common/connectionTable.js';
import type { IntakeRequest } from './intakeRequest.js';
import { ParserMode, ReadGate } from './readGate.js';

/** Why a connection isn't read. */
export enum HoldReason {
  /** It has as many requests open as may be served at the same time. */
  Pipelined = 'pipelined',
  /** The body that arrives on it waits for room. */
  Body = 'body',
  /** It sends many small pieces, and others have their turn. */
  Paced = 'paced',
  /** The rest of a refused body is too long to be read. */
  Refused = 'refused',
}

/** Number of connections that aren't read, by reason. */
export class HoldCounts {
  private readonly counts = new Map<HoldReason, number>();

  /** Returns the number of connections that aren't read for a reason. */
  of(reason: HoldReason): number {
    return this.counts.get(reason) ?? 0;
  }

  /** Changes the number of connections that aren't read for a reason. */
  change(reason: HoldReason, by: number): void {
    this.counts.set(reason, this.of(reason) + by);
  }
}

/** Parts of a connection's handle that Node.js uses for its own timeouts. */
interface WriteCounters {
  readonly bytesWritten: number;
  readonly writeQueueSize: number;
}

/** Bytes that the reader of answers must take for its progress to count when others need the memory. */
const readerMarkBytes = 65_536;

/** Connection of a caller. */
export class CallerConnection {
  /** Requests whose answers haven't ended, in the order of their arrival. */
  readonly requests = new Set<IntakeRequest>();

  /** Those of the requests that aren't served yet because too many earlier ones are. */
  readonly queued: IntakeRequest[] = [];

  /** Whether a complete request has arrived. */
  isProven = false;

  /** Whether the connection ends with the answer to its latest request, so that later ones get none. */
  isEnding = false;

  /** Whether its bytes are no requests any more. */
  isHandedOver = false;

  /** Whether the rest of a refused body is read and discarded. */
  isDiscarding = false;

  /** Bytes that had arrived when the latest request ended. */
  bytesAtIdle = 0;

  /** Time at which the first bytes of an incomplete head were noticed, in monotonic milliseconds. */
  headSinceMs: number | undefined;

  /** Heap that the connection and an incomplete head on it are charged for, in bytes. */
  heapBytes = 0;

  /** Memory that unread answers are charged for, in bytes. */
  answerBytes = 0;

  /** Memory that bytes in the kernel are charged for, in bytes. */
  heldBytes = 0;

  /** Time since which the reader of answers hasn't taken a byte, in monotonic milliseconds. */
  private readerActiveMs: number | undefined;

  /** Time since which the reader has taken less than a mark, in monotonic milliseconds. */
  private readerMarkMs = 0;

  private readerSentBytes = 0;

  private readerMarkedBytes = 0;

  /** Whether the reader of answers takes nothing. */
  private isStalled = false;

  private readonly gate: ReadGate;

  private entry: ConnectionEntry | undefined;

  private readonly holds = new Set<HoldReason>();

  /**
   * @param socket - The connection.
   * @param table - Connections to the same server.
   * @param openedMs - Monotonic time of its arrival, in milliseconds.
   * @param holdCounts - Counts the connections that aren't read.
   */
  constructor(
    readonly socket: Socket,
    private readonly table: ConnectionTable,
    readonly openedMs: number,
    private readonly holdCounts: HoldCounts,
  ) {
    this.gate = new ReadGate(socket, ParserMode.Flowing);
  }

  /**
   * Enters the connection into the table.
   *
   * @param close - Closes the connection.
   * @returns False if it was closed because none gives way to it.
   */
  enter(close: CloseConnection): boolean {
    this.entry = this.table.add(this.openedMs, close);
    return this.entry !== undefined;
  }

  /** Removes the connection from the table. */
  leave(): void {
    if (this.entry) {
      this.table.remove(this.entry);
    }
  }

  /** Records progress; the connection gives way after those that have made none for longer. */
  recordProgress(nowMs: number): void {
    if (this.entry) {
      const phase = this.phase();
      this.isProven ||= phase === ConnectionPhase.Serving;
      this.table.recordProgress(this.entry, phase, nowMs);
    }
  }

  /**
   * Records whether the reader of answers takes anything; if not, the connection may give way.
   *
   * @param isStalled - Whether it takes nothing.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordReader(isStalled: boolean, nowMs: number): void {
    if (this.isStalled === isStalled) {
      return;
    }
    this.isStalled = isStalled;
    this.recordProgress(nowMs);
  }

  /** Whether nothing is read from the connection. */
  get isHeld(): boolean {
    return this.holds.size > 0;
  }

  /** Records that a request has begun. */
  recordRequest(): void {
    this.gate.recordRequest();
  }

  /** Counts a small piece of a body, so that less is read at once from a connection with many. */
  countPiece(): void {
    this.gate.countPiece();
  }

  /** Stops reading from the connection. */
  hold(reason: HoldReason): void {
    if (!this.holds.has(reason)) {
      this.holds.add(reason);
      this.holdCounts.change(reason, 1);
      this.gate.close();
    }
  }

  /** Withdraws one reason, and reads on if there is no other. */
  release(reason: HoldReason): void {
    if (this.holds.delete(reason)) {
      this.holdCounts.change(reason, -1);
      if (this.holds.size === 0) {
        this.gate.open();
      }
    }
  }

  /** Withdraws all reasons from a connection that was closed. */
  releaseAll(): void {
    this.holds.forEach((reason) => this.holdCounts.change(reason, -1));
    this.holds.clear();
  }

  /**
   * Looks at what the reader of answers has taken since the last call.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  updateReader(nowMs: number): void {
    if (this.socket.writableLength === 0) {
      this.readerActiveMs = undefined;
      return;
    }
    const sentBytes = this.sentBytes();
    if (this.readerActiveMs === undefined) {
      this.readerActiveMs = nowMs;
      this.readerMarkMs = nowMs;
      this.readerSentBytes = sentBytes;
      this.readerMarkedBytes = sentBytes;
      return;
    }
    if (sentBytes !== this.readerSentBytes) {
      this.readerActiveMs = nowMs;
      this.readerSentBytes = sentBytes;
    }
    if (sentBytes - this.readerMarkedBytes >= readerMarkBytes) {
      this.readerMarkMs = nowMs;
      this.readerMarkedBytes = sentBytes;
    }
  }

  /** Time for which the reader has taken nothing of what waits for it, in milliseconds. */
  readerStallMs(nowMs: number): number {
    return this.readerActiveMs === undefined ? 0 : nowMs - this.readerActiveMs;
  }

  /** Time for which the reader has taken less than a mark of what waits for it, in milliseconds. */
  readerSlowMs(nowMs: number): number {
    return this.readerActiveMs === undefined ? 0 : nowMs - this.readerMarkMs;
  }

  /** Bytes of answers that this process holds because the caller hasn't read them. */
  unreadBytes(): number {
    let bytes = this.socket.writableLength;
    if (this.requests.size > 1) {
      this.requests.forEach(({ res }) => {
        // The answer whose turn it is writes to the connection; the others keep their bytes.
        bytes += res.socket === null ? res.writableLength : 0;
      });
    }
    return bytes;
  }

  private phase(): ConnectionPhase {
    if (this.isHandedOver) {
      return ConnectionPhase.Serving;
    }
    if (this.requests.size === 0) {
      return this.isProven ? ConnectionPhase.Idle : ConnectionPhase.Unproven;
    }
    const [first] = this.requests;
    return this.isStalled || (this.requests.size === 1 && first.isIncomplete)
      ? ConnectionPhase.Incomplete
      : ConnectionPhase.Serving;
  }

  /** Bytes that the kernel has taken. Unlike `bytesWritten`, they include parts of a write. */
  private sentBytes(): number {
    const { _handle: handle } = this.socket as { _handle?: WriteCounters | null };
    return handle ? handle.bytesWritten - handle.writeQueueSize : 0;
  }
}
