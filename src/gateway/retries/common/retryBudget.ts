import type { IClock } from '../../../base/common/clock.js';

/** Limits on the retries of all gateways together. */
export interface RetryBudgetOptions {
  /** Retries per request. */
  readonly retriesPerRequest: number;
  /** Retries that are allowed in a window regardless of the number of requests. */
  readonly minRetriesPerWindow: number;
  readonly windowMs: number;
}

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Number of buckets into which the sliding window is divided. */
const bucketsPerWindow = 10;

/** Share of the budget that is used; the rest covers requests that peers count differently. */
const usableShare = 0.8;

/**
 * Share of the fixed part that a gateway uses in its first window. The previous process of its instance
 * may have used all of the usable share just before.
 */
const startupShare = 0.1;

/** Sliding-window retry budget of one service. */
export class RetryBudget {
  private buckets: Bucket[] = [];

  /**
   * @param options - Limits for all gateways together.
   * @param gatewayCount - Number of gateways that share `minRetriesPerWindow`, including unreachable ones.
   * @param startedMs - Monotonic time at which the process started, in milliseconds.
   * @param clock - Source of time.
   */
  constructor(
    private readonly options: RetryBudgetOptions,
    private readonly gatewayCount: () => number,
    private readonly startedMs: number,
    private readonly clock: IClock,
  ) {}

  /** Counts a request of a caller, which increases the budget. */
  countRequest(): void {
    this.currentBucket().requests += 1;
  }

  /** Whether the budget allows no retry now. */
  get isExhausted(): boolean {
    this.currentBucket();
    const { retriesPerRequest, minRetriesPerWindow, windowMs } = this.options;
    const nowMs = this.clock.monotonicMs();
    const requests = this.buckets
      .filter(({ startMs }) => startMs > nowMs - windowMs)
      .reduce((sum, each) => sum + each.requests, 0);
    const retries = this.buckets.reduce((sum, each) => sum + each.retries, 0);
    const isStarting = nowMs - this.startedMs < windowMs;
    const fixedPart =
      ((isStarting ? startupShare : usableShare) * minRetriesPerWindow) / this.gatewayCount();
    return retries + 1 > usableShare * retriesPerRequest * requests + fixedPart;
  }

  /**
   * Consumes one retry if the budget allows it.
   *
   * @returns Whether the request may be retried.
   */
  tryConsume(): boolean {
    if (this.isExhausted) {
      return false;
    }
    this.currentBucket().retries += 1;
    return true;
  }

  /** Returns a retry that was consumed and not sent. */
  refund(): void {
    const bucket = [...this.buckets].reverse().find(({ retries }) => retries > 0);
    if (bucket) {
      bucket.retries -= 1;
    }
  }

  private currentBucket(): Bucket {
    const nowMs = this.clock.monotonicMs();
    const { windowMs } = this.options;
    const bucketMs = windowMs / bucketsPerWindow;
    // A bucket is kept until its end has left the window, since its last retries may be that young.
    this.buckets = this.buckets.filter(({ startMs }) => startMs + bucketMs > nowMs - windowMs);
    const newest = this.buckets[this.buckets.length - 1];
    if (newest && nowMs - newest.startMs < bucketMs) {
      return newest;
    }
    const created = { startMs: nowMs, requests: 0, retries: 0 };
    this.buckets.push(created);
    return created;
  }
}
