import type { IClock } from '../../../base/common/clock.js';
import {
  absentVersion,
  firstEra,
  ObjectKind,
  type IObjectStore,
  type IStoreEra,
} from './objects.js';

/**
 * Time after the return of the store from an older copy in which the absence of an object proves nothing, in
 * milliseconds. All processes notice the return and write again what they know within it; a watch of each
 * ends within four seconds.
 */
export const restoreMs = 6_000;

/** Object that tells processes that start in an era that the others have written again what they know. */
interface RestoredEra {
  readonly era: number;
}

const restoredEraName = 'restored';

/** Tells whether other processes may still write again what the store has forgotten. */
export class RestorePeriod {
  /** Monotonic time at which this process began, or noticed the last return from an older copy. */
  private sinceMs: number;

  /** Era that another process has seen restored, or of which this one has told the others. */
  private restoredEra = 0;

  private hasAsked = false;

  private isAsking = false;

  /**
   * @param store - Tells of changes of era, and holds the last era that was restored.
   * @param clock - Source of monotonic time.
   */
  constructor(
    private readonly store: IObjectStore & IStoreEra,
    private readonly clock: IClock,
  ) {
    this.sinceMs = clock.monotonicMs();
    store.onDidChangeEra(() => {
      this.sinceMs = clock.monotonicMs();
    });
  }

  /** Whether the store holds again all that a running process knew. */
  get isOver(): boolean {
    const isKnown = this.store.era <= firstEra || this.restoredEra === this.store.era;
    return isKnown || this.isTimeOver;
  }

  /** Whether this process knows what others have told about the era in which it began. */
  get isKnown(): boolean {
    return this.hasAsked || this.isOver;
  }

  /**
   * Asks the store whether others have seen the era restored, or tells them once it is. Called several times a
   * second; calls the store only in an era of which neither is done.
   */
  async step(): Promise<void> {
    const { era } = this.store;
    if (this.isAsking || era <= firstEra || this.restoredEra === era) {
      return;
    }
    this.isAsking = true;
    const read = await this.store.get<RestoredEra>(ObjectKind.Eras, restoredEraName);
    if (read.isOk()) {
      this.hasAsked = true;
      const stored = read.value;
      if (stored?.value.era === era) {
        this.restoredEra = era;
      } else if (this.isTimeOver && this.store.era === era) {
        const version = stored?.version ?? absentVersion;
        await this.store.put(ObjectKind.Eras, restoredEraName, { era }, version);
      }
    }
    this.isAsking = false;
  }

  private get isTimeOver(): boolean {
    return this.clock.monotonicMs() - this.sinceMs >= restoreMs;
  }
}
