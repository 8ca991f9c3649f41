const millisecondsPerSecond = 1_000;

/** Time at the full rate for which starts may be made up, in milliseconds. */
const burstMs = 200;

/** Size below which a piece of a body counts as small, in bytes. */
export const smallPieceBytes = 256;

/**
 * Small pieces of one body that are read without a pause. Handling a piece takes about 3 µs, so that these
 * take less than a millisecond.
 */
export const piecesPerBurst = 256;

/**
 * Limits the share of the processor time that bodies in many small pieces use. Connections that send them
 * take turns: after each burst the next one starts as much later as the share demands.
 */
export class PiecePacer {
  private nextMs = 0;

  /** @param share - Share of the time that all such bodies may use together, above 0 and at most 1. */
  constructor(private readonly share: number) {}

  /**
   * Records a burst.
   *
   * @param nowMs - Monotonic time at its end, in milliseconds.
   * @param tookMs - Time that it took, in milliseconds.
   * @returns Monotonic time at which its connection may be read again, in milliseconds.
   */
  recordBurst(nowMs: number, tookMs: number): number {
    const pauseMs = tookMs * (1 / this.share - 1);
    // A connection whose turn comes takes about as long as its last burst.
    const startMs = Math.max(nowMs, this.nextMs);
    this.nextMs = startMs + pauseMs + tookMs;
    return startMs + pauseMs;
  }
}

/**
 * Limits the rate at which requests are started that were sent ahead on their connections. They cost as much
 * as others do, but their caller doesn't wait for an answer before the next one.
 */
export class StartPacer {
  private nextMs = 0;

  /** @param perSecond - Largest number of starts per second. */
  constructor(private readonly perSecond: number) {}

  /**
   * Returns when the next request may be started, and counts it. A short burst after a quiet time isn't
   * delayed.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Monotonic time, in milliseconds.
   */
  next(nowMs: number): number {
    const startMs = Math.max(nowMs - burstMs, this.nextMs);
    this.nextMs = startMs + millisecondsPerSecond / this.perSecond;
    return Math.max(nowMs, startMs);
  }
}
