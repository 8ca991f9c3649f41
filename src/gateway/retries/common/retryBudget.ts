import type { IClock } from '../../../base/common/clock.js';

/** Bounds on repeated sends, agreed for all gateways together. */
export interface RetryBudgetOptions {
  /** Repeated sends for each request. */
  readonly ratio: number;
  /** Repeated sends that are always allowed in a window. */
  readonly slack: number;
  readonly windowMs: number;
}

interface Counts {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Buckets that a window is counted in. */
const bucketsPerWindow = 10;

/** Share of the agreed budget that is used; the rest covers requests that peers count otherwise. */
const usedShare = 0.8;

/** Sliding-window budget of repeated sends to one service. */
export class RetryBudget {
  private buckets: Counts[] = [];

  /**
   * @param options - Bounds.
   * @param gateways - Number of gateways that share the slack.
   * @param clock - Source of time.
   */
  constructor(
    private readonly options: RetryBudgetOptions,
    private readonly gateways: () => number,
    private readonly clock: IClock,
  ) {}

  /** Counts a request of a caller. */
  countRequest(): void {
    this.bucket().requests += 1;
  }

  /**
   * Takes one repeated send out of the budget.
   *
   * @returns Whether the request may be sent once more.
   */
  tryConsume(): boolean {
    const bucket = this.bucket();
    const { ratio, slack } = this.options;
    const requests = this.buckets.reduce((sum, each) => sum + each.requests, 0);
    const repeats = this.buckets.reduce((sum, each) => sum + each.repeats, 0);
    if (repeats + 1 > usedShare * (ratio * requests + slack / this.gateways())) {
      return false;
    }
    bucket.repeats += 1;
    return true;
  }

  private bucket(): Counts {
    const nowMs = this.clock.monotonicMs();
    const { windowMs } = this.options;
    this.buckets = this.buckets.filter(({ startMs }) => startMs > nowMs - windowMs);
    const newest = this.buckets[this.buckets.length - 1];
    if (newest && nowMs - newest.startMs < windowMs / bucketsPerWindow) {
      return newest;
    }
    const created = { startMs: nowMs, requests: 0, repeats: 0 };
    this.buckets.push(created);
    return created;
  }
}
