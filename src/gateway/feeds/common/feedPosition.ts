import type { IClock } from '../../../base/common/clock.js';
import type { FeedUpdate } from './feedUpdate.js';
import type { FeedTiming } from './feedTiming.js';

/** Time without an update of a watcher after which a copy is no longer taken for current, in milliseconds. */
export const updateTimeoutMs = 1_300;

/** Time that an answer of the store may take beyond the wait of its watch, in milliseconds. */
const answerMarginMs = 500;

/** Time for which confirmations are remembered, in milliseconds. */
const confirmationMemoryMs = 15_000;

/** Interval within which two confirmations are remembered as one, in milliseconds. */
const confirmationGranularityMs = 50;

/**
 * Position of this process's copy of one kind of object in the history of the store, and how long ago
 * it was confirmed to be current, directly or by another gateway's update.
 */
export class FeedPosition {
  private knownRevision: number | undefined;

  private lastChangeRevision = 0;

  private highestReportedRevision = 0;

  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Monotonic times of recent confirmations, in rising order. */
  private confirmationsMs: readonly number[] = [];

  /** Monotonic time of the last update that confirmed the copy, in milliseconds. */
  private heardAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param timing - How long a watcher waits for an answer of the store.
   * @param clock - Source of time.
   */
  constructor(
    private readonly timing: FeedTiming,
    private readonly clock: IClock,
  ) {}

  /** Revision up to which the copy is complete; undefined if the objects must be listed. */
  get revision(): number | undefined {
    return this.knownRevision;
  }

  /** Revision of the last change in the copy. */
  get changedAt(): number {
    return this.lastChangeRevision;
  }

  /** Highest revision of a change that another gateway reported. */
  get reportedRevision(): number {
    return this.highestReportedRevision;
  }

  /** Whether the copy lacks a change that another gateway reported. */
  get isBehind(): boolean {
    return this.knownRevision !== undefined && this.knownRevision < this.highestReportedRevision;
  }

  /** Time since the copy was confirmed to be current, in milliseconds. */
  get ageMs(): number {
    return this.clock.monotonicMs() - this.confirmedAtMs;
  }

  /**
   * Time for which the copy may be used without asking the store, in milliseconds; not positive if the
   * store must be asked now.
   */
  get freshForMs(): number {
    const nowMs = this.clock.monotonicMs();
    return Math.min(
      this.heardAtMs + updateTimeoutMs - nowMs,
      this.confirmedAtMs + this.timing.watchWaitMs + answerMarginMs - nowMs,
    );
  }

  /**
   * Records an answer of the store.
   *
   * @param revision - Revision up to which the copy is now complete.
   * @param hasChanged - Whether the answer held changes.
   */
  recordAnswer(revision: number, hasChanged: boolean): void {
    this.confirm(this.clock.monotonicMs());
    this.advance(revision, hasChanged);
    // An answer of the latest state holds every change, whatever another gateway reported.
    this.highestReportedRevision = Math.min(this.highestReportedRevision, this.knownRevision ?? 0);
  }

  /**
   * Records that all changes up to a revision were applied, without a confirmation of their age.
   *
   * @param revision - Revision of the last change.
   */
  recordChanges(revision: number): void {
    this.advance(revision, true);
  }

  /**
   * Records the update of a watcher, after its changes were applied as far as possible.
   *
   * @param update - What the watcher knows.
   * @returns Whether the update confirms that the copy is current.
   */
  recordUpdate(update: Pick<FeedUpdate<unknown>, 'changedAt' | 'knownTo' | 'ageMs'>): boolean {
    this.highestReportedRevision = Math.max(this.highestReportedRevision, update.changedAt);
    const { knownRevision } = this;
    if (knownRevision === undefined || this.isBehind || update.knownTo < knownRevision) {
      return false;
    }
    this.advance(update.knownTo, false);
    this.lastChangeRevision = Math.max(this.lastChangeRevision, update.changedAt);
    const nowMs = this.clock.monotonicMs();
    this.confirm(nowMs - update.ageMs);
    this.heardAtMs = nowMs;
    return true;
  }

  /** Returns whether the store answered this or another gateway between two monotonic times. */
  wasConfirmedBetween(fromMs: number, toMs: number): boolean {
    return this.confirmationsMs.some((atMs) => atMs > fromMs && atMs < toMs);
  }

  /** Forgets the position, so that the objects are listed anew. */
  reset(): void {
    this.knownRevision = undefined;
  }

  private confirm(atMs: number): void {
    if (atMs > this.confirmedAtMs + confirmationGranularityMs) {
      const recent = this.confirmationsMs.filter((ms) => ms > atMs - confirmationMemoryMs);
      this.confirmationsMs = [...recent, atMs];
    }
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  private advance(revision: number, hasChanged: boolean): void {
    this.knownRevision = Math.max(this.knownRevision ?? 0, revision);
    if (hasChanged) {
      this.lastChangeRevision = Math.max(this.lastChangeRevision, revision);
    }
  }
}
