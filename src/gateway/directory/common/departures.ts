import type { IClock } from '../../../base/common/clock.js';

/** Time for which peers are told that an endpoint left, in milliseconds. */
const reportedForMs = 60_000;

/** Maximum number of endpoints that left in one message to peers; more of them take turns. */
const departuresPerMessage = 8;

/**
 * Time for which an endpoint counts as gone after a peer reported it, in milliseconds. Several dozen that
 * left at once are reported in turn within it.
 */
export const departureReportMs = 3_000;

/**
 * Time after the store has come back from an older copy for which an incarnation that left before stays gone,
 * although the copy lists it, in milliseconds. Its removal is written again within some seconds.
 */
export const restoredCopyMs = 10_000;

/** Incarnations that left the store: those that this process saw leave, and those that peers report. */
export class Departures {
  /** Monotonic time at which this process saw each incarnation leave, in that order. */
  private readonly seenAtMs = new Map<string, number>();

  /** Position in `seenAtMs` at which the next message to the peers begins. */
  private nextPosition = 0;

  /** Monotonic time until which each incarnation counts as gone because a peer reported it. */
  private readonly reportedUntilMs = new Map<string, number>();

  /** Monotonic time until which each incarnation stays gone, whatever the store lists. */
  private readonly heldUntilMs = new Map<string, number>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /** Records that this process saw an incarnation leave. */
  recordSeen(incarnation: string): void {
    this.reportedUntilMs.delete(incarnation);
    this.seenAtMs.set(incarnation, this.clock.monotonicMs());
  }

  /** Records that a peer saw an incarnation leave. */
  recordReport(incarnation: string): void {
    this.reportedUntilMs.set(incarnation, this.clock.monotonicMs() + departureReportMs);
  }

  /** Keeps the incarnations that this process saw leave gone, since the store may list them from an older copy. */
  holdSeen(): void {
    const untilMs = this.clock.monotonicMs() + restoredCopyMs;
    [...this.seenAtMs.keys()].forEach((incarnation) => this.heldUntilMs.set(incarnation, untilMs));
  }

  /** Returns whether an incarnation stays gone although the store lists it. */
  isHeld(incarnation: string): boolean {
    return (this.heldUntilMs.get(incarnation) ?? 0) > this.clock.monotonicMs();
  }

  /** Forgets an incarnation because the store lists it, unless it stays gone nevertheless. */
  forget(incarnation: string): void {
    if (this.isHeld(incarnation)) {
      return;
    }
    this.seenAtMs.delete(incarnation);
    this.reportedUntilMs.delete(incarnation);
  }

  /** Returns whether an incarnation that the store lists left, as this process or a peer saw. */
  hasLeft(incarnation: string): boolean {
    const reportedUntilMs = this.reportedUntilMs.get(incarnation) ?? 0;
    return reportedUntilMs > this.clock.monotonicMs() || this.isHeld(incarnation);
  }

  /** Returns incarnations that this process saw leave, for the next message to the peers. */
  nextReport(): readonly string[] {
    const seen = [...this.seenAtMs.keys()];
    if (seen.length <= departuresPerMessage) {
      return seen;
    }
    const start = this.nextPosition % seen.length;
    this.nextPosition = start + departuresPerMessage;
    return [...seen.slice(start), ...seen.slice(0, start)].slice(0, departuresPerMessage);
  }

  /** Forgets what is too old to count; call this a few times a second. */
  removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [incarnation, atMs] of this.seenAtMs) {
      if (nowMs - atMs > reportedForMs) {
        this.seenAtMs.delete(incarnation);
      }
    }
    for (const [incarnation, untilMs] of this.reportedUntilMs) {
      if (untilMs <= nowMs) {
        this.reportedUntilMs.delete(incarnation);
      }
    }
    for (const [incarnation, untilMs] of this.heldUntilMs) {
      if (untilMs <= nowMs) {
        this.heldUntilMs.delete(incarnation);
      }
    }
  }
}
