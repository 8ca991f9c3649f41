import type { IClock } from '../../../base/common/clock.js';
import { firstEra, type IStoreEra } from './objects.js';

/**
 * Time after the return of the store from an older copy in which the absence of an object proves nothing, in
 * milliseconds. All processes notice the return and write again what they know within it; a watch of each
 * ends within four seconds.
 */
export const restoreMs = 6_000;

/** Tells whether other processes may still write again what the store has forgotten. */
export class RestorePeriod {
  /** Monotonic time at which this process began, or noticed the last return from an older copy. */
  private sinceMs: number;

  /**
   * @param store - Tells of changes of era.
   * @param clock - Source of monotonic time.
   */
  constructor(
    private readonly store: IStoreEra,
    private readonly clock: IClock,
  ) {
    this.sinceMs = clock.monotonicMs();
    store.onDidChangeEra(() => {
      this.sinceMs = clock.monotonicMs();
    });
  }

  /** Whether the store holds again all that a running process knew. */
  get isOver(): boolean {
    const isFirstEra = this.store.era <= firstEra;
    return isFirstEra || this.clock.monotonicMs() - this.sinceMs >= restoreMs;
  }
}
