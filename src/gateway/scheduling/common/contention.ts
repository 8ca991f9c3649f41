import type { IClock } from '../../../base/common/clock.js';
import type { IRandom } from '../../../base/common/random.js';

interface RunningSample {
  readonly atMs: number;
  readonly count: number;
}

/** What a gateway knows of the capacity that it and others wait for. */
export interface AwaitedCapacity {
  /** Requests of this gateway that run now. */
  readonly ownRunning: number;
  /** Requests that still fit, as far as this gateway knows. */
  readonly free: number;
  /** Expected number of peers that want the same capacity before they know of what this gateway takes. */
  readonly contenders: number;
  /** Time after which the peers know of it, in milliseconds. */
  readonly lagMs: number;
}

/**
 * Keeps gateways that wait for capacity from all taking the same capacity once it becomes free.
 *
 * A gateway learns of what its peers took only with their next messages. Until then it takes its part of
 * the free capacity; a part below one request is a chance. Capacity that its own requests released
 * is used at once, since the peers don't know of it yet.
 */
export class Contention {
  /** Numbers of running requests within the last lag, descending. */
  private samples: RunningSample[] = [];

  private chance = 0;

  private takenCount = 0;

  private intervalStartMs = Number.NEGATIVE_INFINITY;

  /**
   * @param random - Decides which gateway goes first.
   * @param clock - Source of time.
   */
  constructor(
    private readonly random: IRandom,
    private readonly clock: IClock,
  ) {}

  /**
   * Returns whether this gateway may take capacity now.
   *
   * @param capacity - The capacity, and who wants it.
   */
  mayTake({ ownRunning, free, contenders, lagMs }: AwaitedCapacity): boolean {
    const now = this.clock.monotonicMs();
    if (now - this.intervalStartMs >= lagMs) {
      this.intervalStartMs = now;
      this.takenCount = 0;
      this.chance = this.random.float();
    }
    this.addSample(ownRunning, lagMs);
    if (contenders === 0 || this.hasReleased(ownRunning)) {
      return true;
    }
    // At least one request may fit that the estimate of the free capacity misses.
    const part = (Math.max(1, free) + this.takenCount) / (contenders + 1);
    return this.takenCount < Math.floor(part + this.chance);
  }

  /**
   * Records that a request was admitted.
   *
   * @param ownRunning - Requests of this gateway that ran before.
   */
  recordTaken(ownRunning: number): void {
    if (!this.hasReleased(ownRunning)) {
      this.takenCount += 1;
    }
  }

  private hasReleased(ownRunning: number): boolean {
    return this.samples.length > 0 && this.samples[0].count > ownRunning;
  }

  private addSample(count: number, lagMs: number): void {
    const atMs = this.clock.monotonicMs();
    this.samples = this.samples.filter((each) => each.atMs > atMs - lagMs && each.count > count);
    this.samples.push({ atMs, count });
  }
}
