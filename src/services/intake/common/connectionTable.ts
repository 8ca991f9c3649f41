import { IntakeCut } from './intakeCut.js';

/** What a connection is doing, as far as it matters for which one gives way. */
export enum ConnectionPhase {
  /** No request on it was ever complete. */
  Unproven = 'unproven',
  /** All requests on it were answered. */
  Idle = 'idle',
  /** Its request isn't complete. */
  Incomplete = 'incomplete',
  /** Complete requests on it are being served, or their answers are being read. */
  Serving = 'serving',
}

/** Entry of one connection in a {@link ConnectionTable}. */
export interface ConnectionEntry {
  readonly phase: ConnectionPhase;
}

/** Closes a connection. */
export type CloseConnection = (reason: IntakeCut) => void;

interface Entry extends ConnectionEntry {
  phase: ConnectionPhase;
  /** Time of the last progress, in monotonic milliseconds. */
  activeMs: number;
  readonly close: CloseConnection;
}

/**
 * Connections beyond the bound that are kept until {@link ConnectionTable.trim}. The event loop accepts as
 * many connections at once as the system queues, before it reads what a new one has sent.
 */
const burstConnections = 512;

/**
 * Bounds the number of connections. At the bound, the connection gives way that has gone longest without
 * progress: first of those that have never sent a complete request or are in the middle of one, then of those
 * that are idle between requests. The newest connection goes last, since it hasn't had time to send its
 * request; otherwise callers that keep as many idle connections as the bound allows would keep every new one
 * out. Connections whose requests are being served stay.
 */
export class ConnectionTable {
  /** Connections by phase, the one without progress for longest first. */
  private readonly queues: Readonly<Record<ConnectionPhase, Set<Entry>>> = {
    [ConnectionPhase.Unproven]: new Set(),
    [ConnectionPhase.Idle]: new Set(),
    [ConnectionPhase.Incomplete]: new Set(),
    [ConnectionPhase.Serving]: new Set(),
  };

  private count = 0;

  /** Connection that was added last. */
  private newest: Entry | undefined;

  /** @param maxConnections - Largest number of connections. */
  constructor(private readonly maxConnections: number) {}

  /** Number of connections. */
  get size(): number {
    return this.count;
  }

  /** Whether there are more connections than the bound, so that {@link trim} must be called. */
  get isOverBound(): boolean {
    return this.count > this.maxConnections;
  }

  /**
   * Adds a connection. It may exceed the bound until {@link trim} is called.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @param close - Closes the connection; may be called during this call and later.
   * @returns The entry, or undefined if the connection was closed because none may give way.
   */
  add(nowMs: number, close: CloseConnection): ConnectionEntry | undefined {
    if (
      this.count >= this.maxConnections + burstConnections &&
      !this.closeLongestIdle(IntakeCut.ConnectionBound)
    ) {
      close(IntakeCut.ConnectionsBusy);
      return undefined;
    }
    const entry: Entry = { phase: ConnectionPhase.Unproven, activeMs: nowMs, close };
    this.newest = entry;
    this.queues[entry.phase].add(entry);
    this.count += 1;
    return entry;
  }

  /** Closes connections until the bound holds; the newest ones if all others are being served. */
  trim(): void {
    while (this.isOverBound && this.closeLongestIdle(IntakeCut.ConnectionBound)) {
      // Each call closes one.
    }
    while (this.isOverBound) {
      const newest = [...this.queues[ConnectionPhase.Serving]].at(-1);
      if (newest === undefined) {
        return;
      }
      this.remove(newest);
      newest.close(IntakeCut.ConnectionsBusy);
    }
  }

  /**
   * Records progress of a connection, and what it does now.
   *
   * @param handle - Entry of the connection.
   * @param phase - Its phase from now on.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordProgress(handle: ConnectionEntry, phase: ConnectionPhase, nowMs: number): void {
    const entry = handle as Entry;
    if (this.queues[entry.phase].delete(entry)) {
      entry.activeMs = nowMs;
      entry.phase = phase;
      this.queues[phase].add(entry);
    }
  }

  /**
   * Removes a connection that was closed.
   *
   * @param handle - Entry of the connection; one that was removed already is ignored.
   */
  remove(handle: ConnectionEntry): void {
    const entry = handle as Entry;
    if (this.queues[entry.phase].delete(entry)) {
      this.count -= 1;
    }
  }

  /**
   * Closes the connection that gives way first.
   *
   * @param reason - Reason for the owner of the connection.
   * @returns False if none may give way.
   */
  closeLongestIdle(reason: IntakeCut): boolean {
    const unproven = this.first(ConnectionPhase.Unproven);
    const incomplete = this.first(ConnectionPhase.Incomplete);
    const isUnprovenOlder =
      unproven !== undefined && (incomplete?.activeMs ?? Infinity) > unproven.activeMs;
    const oldest = (isUnprovenOlder ? unproven : incomplete) ?? unproven;
    const idle = this.first(ConnectionPhase.Idle);
    const victim = oldest === this.newest ? (idle ?? oldest) : (oldest ?? idle);
    if (victim === undefined) {
      return false;
    }
    this.remove(victim);
    victim.close(reason);
    return true;
  }

  private first(phase: ConnectionPhase): Entry | undefined {
    return this.queues[phase].values().next().value;
  }
}
