import { Emitter, type Event } from '../../../base/common/event.js';
import type { EraChange } from './objects.js';

/** Number of revisions that an era can hold; a version is a revision together with its era. */
const revisionsPerEra = 2 ** 40;

/**
 * Follows the era of a store, which rises each time that the store comes back from an older copy, and adds
 * it to revisions, since the store then gives out the same numbers again.
 */
export class EraTracker {
  private knownEra = 0;

  private readonly changes = new Emitter<EraChange>();

  /** Fires once for each change of era. */
  readonly onDidChange: Event<EraChange> = this.changes.event;

  /** Number of the newest era that is known; 0 while none is. */
  get era(): number {
    return this.knownEra;
  }

  /**
   * Reads the era that an answer gives.
   *
   * @param header - Era as the answer gives it; undefined if it gives none.
   * @returns The era; the known one if the answer gives none.
   */
  read(header: string | string[] | undefined): number {
    const era = Number(header);
    return header !== undefined && Number.isSafeInteger(era) ? era : this.knownEra;
  }

  /**
   * Takes over the era of an answer.
   *
   * @param era - Era that {@link read} returned.
   * @returns Whether it is current; an answer of an earlier era must not be used.
   */
  observe(era: number): boolean {
    if (era <= this.knownEra) {
      return era === this.knownEra;
    }
    const previousEra = this.knownEra;
    this.knownEra = era;
    if (previousEra > 0) {
      this.changes.fire({ previousEra, era });
    }
    return true;
  }

  /** Removes every listener. */
  close(): void {
    this.changes.close();
  }
}

/** Returns the version that stands for a revision in an era. */
export function toVersion(era: number, revision: number): number {
  return era * revisionsPerEra + revision;
}

/** Returns the era of a version. */
export function eraOf(version: number): number {
  return Math.floor(version / revisionsPerEra);
}

/** Returns the revision of a version. */
export function revisionOf(version: number): number {
  return version % revisionsPerEra;
}
