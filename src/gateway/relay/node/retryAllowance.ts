import type { CancelTimer } from '../../../base/common/clock.js';
import type { RelayContext } from './relayContext.js';

/** Interval between tries to take a retry while the budget has none left, in milliseconds. */
const pollIntervalMs = 100;

/** Retry that one request has taken from the budget of its service, until a send follows. */
export class RetryAllowance {
  private isHeld = false;

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param service - Service whose budget is used.
   * @param context - Dependencies that all relays share.
   */
  constructor(
    private readonly service: string,
    private readonly context: RelayContext,
  ) {}

  /** Whether the budget has a retry now, which others may take first. */
  get isAvailable(): boolean {
    return !this.context.retryBudgetOf(this.service).isExhausted;
  }

  /**
   * Takes a retry from the budget.
   *
   * @param reason - What the retry is for; counted if the budget denies it.
   * @returns Whether the request may be sent again.
   */
  tryTake(reason: string): boolean {
    this.giveBack();
    this.isHeld = this.context.retryBudgetOf(this.service).tryConsume();
    if (!this.isHeld) {
      this.context.metrics.deniedRetries.inc({ reason });
    }
    return this.isHeld;
  }

  /**
   * Takes a retry as soon as the budget has one.
   *
   * @param maxWaitMs - Longest time to wait, in milliseconds.
   * @param onDidEnd - Called once with whether a retry was taken, unless it is given back before.
   */
  takeWithin(maxWaitMs: number, onDidEnd: (isTaken: boolean) => void): void {
    const { clock } = this.context;
    const deadlineMs = clock.monotonicMs() + maxWaitMs;
    const poll = () => {
      this.isHeld = this.context.retryBudgetOf(this.service).tryConsume();
      if (this.isHeld || clock.monotonicMs() >= deadlineMs) {
        this.cancelTimer = undefined;
        onDidEnd(this.isHeld);
      } else {
        this.cancelTimer = clock.after(pollIntervalMs, poll);
      }
    };
    this.giveBack();
    this.cancelTimer = clock.after(pollIntervalMs, poll);
  }

  /** Called when the send follows for which the retry was taken. */
  use(): void {
    this.isHeld = false;
  }

  /** Returns the retry to the budget if no send has followed, and ends a wait for one. */
  giveBack(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
    if (this.isHeld) {
      this.isHeld = false;
      this.context.retryBudgetOf(this.service).refund();
    }
  }
}
