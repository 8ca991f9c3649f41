/** Refusals of an endpoint since it last accepted a stream. */
interface Streak {
  count: number;
  /** Time at which the last refused stream was sent, in monotonic milliseconds. */
  lastSentMs: number;
}

/** Number of streams that an endpoint refuses in a row before it counts as rejecting all. */
const rejectingStreak = 2;

/**
 * Streams that endpoints refused one after the other. An endpoint that leaves or gives up its layers refuses
 * all of them, whereas one that is short of capacity accepts some.
 */
export class RefusalStreaks {
  private readonly streaks = new Map<string, Streak>();

  /**
   * Records a refusal.
   *
   * @param incarnation - Key of the endpoint's incarnation.
   * @param sentAtMs - Time at which the refused stream was sent, in monotonic milliseconds.
   * @returns Whether the endpoint seems to reject all streams.
   */
  recordRefusal(incarnation: string, sentAtMs: number): boolean {
    const streak = this.streaks.get(incarnation) ?? { count: 0, lastSentMs: sentAtMs };
    streak.count += 1;
    streak.lastSentMs = Math.max(streak.lastSentMs, sentAtMs);
    this.streaks.set(incarnation, streak);
    return streak.count >= rejectingStreak;
  }

  /**
   * Records that an endpoint accepted a stream.
   *
   * @param incarnation - Key of the endpoint's incarnation.
   * @param sentAtMs - Time at which the stream was sent, in monotonic milliseconds.
   * @returns Whether it has refused streams before, but none that were sent later.
   */
  recordAcceptance(incarnation: string, sentAtMs: number): boolean {
    const streak = this.streaks.get(incarnation);
    return streak !== undefined && streak.lastSentMs < sentAtMs && this.streaks.delete(incarnation);
  }

  /** Forgets an incarnation that is gone. */
  forget(incarnation: string): void {
    this.streaks.delete(incarnation);
  }
}
