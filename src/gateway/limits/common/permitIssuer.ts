import type { IClock } from '../../../base/common/clock.js';

/** Bounds of the time within which a permit has to be used, in milliseconds. */
const minLifetimeMs = 1_000;
const maxLifetimeMs = 2_000;

/** Maximum number of permits that can be used at a time. */
const maxPermits = 1_000;

const millisecondsPerSecond = 1_000;

/**
 * Issues permits at a rate that may change. A permit that isn't used soon expires, so that a gateway that
 * was idle can't use saved ones at once.
 */
export class PermitIssuer {
  private issuedAtMs: number[] = [];

  private updatedMs: number;

  private lifetimeMs = minLifetimeMs;

  /**
   * @param fraction - Part of the first permit that is due already, from 0 to 1. If gateways begin at
   *   random fractions, they don't issue their permits at the same moments.
   * @param clock - Source of time.
   */
  constructor(
    private fraction: number,
    private readonly clock: IClock,
  ) {
    this.updatedMs = clock.monotonicMs();
  }

  /** Number of permits that may be used now. */
  get available(): number {
    const oldestMs = this.clock.monotonicMs() - this.lifetimeMs;
    return this.issuedAtMs.filter((atMs) => atMs > oldestMs).length;
  }

  /**
   * Issues the permits that are due since the last call.
   *
   * @param perSecond - Rate since then, in permits per second.
   * @param demandPerSecond - Rate of the requests that may use permits, per second. If they are rare,
   *   permits live longer, so that most are used.
   */
  issue(perSecond: number, demandPerSecond: number): void {
    const nowMs = this.clock.monotonicMs();
    this.lifetimeMs = Math.min(
      maxLifetimeMs,
      Math.max(minLifetimeMs, millisecondsPerSecond / demandPerSecond),
    );
    const oldestMs = nowMs - this.lifetimeMs;
    const due = this.fraction + (perSecond * (nowMs - this.updatedMs)) / millisecondsPerSecond;
    const intervalMs = millisecondsPerSecond / perSecond;
    const count = Math.floor(due);
    this.updatedMs = nowMs;
    this.fraction = due - count;
    this.issuedAtMs = this.issuedAtMs.filter((atMs) => atMs > oldestMs);
    const newestMs = nowMs - this.fraction * intervalMs;
    for (let index = Math.min(count, maxPermits) - 1; index >= 0; index -= 1) {
      const atMs = newestMs - index * intervalMs;
      if (atMs > oldestMs) {
        this.issuedAtMs.push(atMs);
      }
    }
    this.issuedAtMs = this.issuedAtMs.slice(-maxPermits);
  }

  /** Uses the oldest permit. If there is none, the next one is issued later instead. */
  use(): void {
    if (this.issuedAtMs.shift() === undefined) {
      this.fraction -= 1;
    }
  }
}
