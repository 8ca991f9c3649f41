import type { IClock } from '../../../base/common/clock.js';
import { RetryBudget } from './retryBudget.js';

/** Minimum number of gateways assumed to share a budget, even while no peer has sent a message. */
const minGatewayCount = 5;

/** Settings of the budgets, which all gateways share. */
export interface RetrySettings {
  /** Retries per request of a service. */
  readonly retryRatio: number;
  /** Retries that a window allows regardless of the number of requests. */
  readonly retrySlack: number;
  /** Length of the sliding window, in milliseconds. */
  readonly retryWindowMs: number;
}

/** Numbers of gateways, including this one. */
export interface IGatewayCounts {
  /** Number of gateways that have sent a message recently. */
  readonly aliveCount: number;
  /** Number of gateways that the store lists or that have sent a message. */
  readonly knownCount: number;
}

/** Retry budgets of all services. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  private readonly createdMs: number;

  /**
   * @param settings - Limits for all gateways together.
   * @param counts - Returns the numbers of gateways.
   * @param clock - Source of time.
   */
  constructor(
    private readonly settings: RetrySettings,
    private readonly counts: () => IGatewayCounts,
    private readonly clock: IClock,
  ) {
    this.createdMs = clock.monotonicMs();
  }

  /**
   * Number of gateways among which budgets are divided. Peers may not have sent a message for a
   * while, so it has a lower bound.
   */
  get assumedGatewayCount(): number {
    return Math.max(minGatewayCount, this.counts().aliveCount);
  }

  /** Returns the budget of a service. */
  of(service: string): RetryBudget {
    const existing = this.budgets.get(service);
    if (existing) {
      return existing;
    }
    const {
      retryRatio: retriesPerRequest,
      retrySlack: minRetriesPerWindow,
      retryWindowMs: windowMs,
    } = this.settings;
    const created = new RetryBudget(
      { retriesPerRequest, minRetriesPerWindow, windowMs },
      () => Math.max(this.assumedGatewayCount, this.counts().knownCount),
      this.createdMs,
      this.clock,
    );
    this.budgets.set(service, created);
    return created;
  }
}
