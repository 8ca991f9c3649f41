import type { IClock } from '../../../base/common/clock.js';

/** Number of refused requests that are remembered at most; the oldest are dropped first. */
const maxRemembered = 4_096;

/** Time by which a caller may come back earlier or later than it was told, in milliseconds. */
const toleranceMs = 500;

/** Recognises callers that come back to this gateway at the time that they were told. */
export class ReturnTracker {
  /** Time at which each refused request was told to come back, by request id. */
  private readonly expectedMs = new Map<string, number>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /**
   * Records that a request was refused.
   *
   * @param requestId - Its id; one without an id can't be recognised.
   * @param retryAfterMs - Time after which it may come back, in milliseconds.
   */
  recordRefusal(requestId: string | undefined, retryAfterMs: number): void {
    if (requestId === undefined) {
      return;
    }
    this.expectedMs.delete(requestId);
    this.expectedMs.set(requestId, this.clock.monotonicMs() + retryAfterMs);
    if (this.expectedMs.size > maxRemembered) {
      const [oldest] = this.expectedMs.keys();
      this.expectedMs.delete(oldest);
    }
  }

  /**
   * Returns whether a request that arrives now was told to come back now.
   *
   * @param requestId - Id of the request.
   */
  isReturn(requestId: string | undefined): boolean {
    const expectedMs = requestId === undefined ? undefined : this.expectedMs.get(requestId);
    if (requestId === undefined || expectedMs === undefined) {
      return false;
    }
    this.expectedMs.delete(requestId);
    return Math.abs(this.clock.monotonicMs() - expectedMs) <= toleranceMs;
  }
}
