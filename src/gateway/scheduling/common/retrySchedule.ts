import type { IClock } from '../../../base/common/clock.js';

/** Bounds of the delay, in milliseconds; callers wait for a third of their remaining time at most. */
const minDelayMs = 700;
const maxDelayMs = 4_000;

/** Rate that is assumed while none is measured, per millisecond. */
const minAdmissionsPerMs = 0.5 / 1_000;

/**
 * Fraction of the range of delays by which successive delays differ once the schedule is full. Its
 * multiples, modulo 1, are spread evenly however many there are.
 */
const spreadStep = (Math.sqrt(5) - 1) / 2;

/**
 * Times at which refused callers are told to come back, by rank: one after the other at the rate at which
 * requests of the rank are admitted.
 */
export class RetrySchedule {
  private readonly nextMs = new Map<string, number>();

  private overflowCount = 0;

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /**
   * Returns the delay for the next refused caller.
   *
   * @param rank - Name of the rank.
   * @param admissionsPerMs - Rate at which requests of the rank are admitted.
   * @returns Delay in milliseconds.
   */
  nextDelayMs(rank: string, admissionsPerMs: number): number {
    const now = this.clock.monotonicMs();
    const intervalMs = 1 / Math.max(minAdmissionsPerMs, admissionsPerMs);
    const atMs = Math.max(now + minDelayMs, (this.nextMs.get(rank) ?? 0) + intervalMs);
    if (atMs <= now + maxDelayMs) {
      this.nextMs.set(rank, atMs);
      return atMs - now;
    }
    this.overflowCount += 1;
    const position = (this.overflowCount * spreadStep) % 1;
    return minDelayMs + position * (maxDelayMs - minDelayMs);
  }
}
