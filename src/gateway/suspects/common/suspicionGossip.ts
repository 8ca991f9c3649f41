import { isPartSubject } from '../../../services/suspects/common/subject.js';
import { Verdict, type CrashSuspects } from '../../../services/suspects/common/crashSuspects.js';
import type { SuspectRecord } from '../../../services/suspects/common/suspectRecord.js';

/** Maximum number of records in one message, which keeps datagrams small. */
const recordsPerMessage = 4;

/** Number of consecutive messages that carry a changed record, in case some are lost. */
const repetitions = 5;

/**
 * Chooses the suspicions that each message to the peers carries: changed ones, and one isolated or
 * quarantined request in turn. Most suspicions are of innocent requests and not worth repeating.
 */
export class SuspicionGossip {
  private readonly changed = new Map<string, number>();

  private position = 0;

  /** @param suspects - Suspicions of this gateway. */
  constructor(private readonly suspects: CrashSuspects) {}

  /**
   * Puts changed records into the next messages.
   *
   * @param records - Records that have changed.
   */
  prioritise(records: readonly SuspectRecord[]): void {
    records.forEach(({ fingerprint }) => this.changed.set(fingerprint, repetitions));
  }

  /** Returns the records for the next message. */
  next(): readonly SuspectRecord[] {
    const chosen = new Map<string, SuspectRecord>();
    for (const [fingerprint, remaining] of this.mostUrgent()) {
      this.suspects.recordsOf(fingerprint).forEach((record) => chosen.set(fingerprint, record));
      // Behind the others, so that a record that changed later isn't kept waiting by repetitions.
      this.changed.delete(fingerprint);
      if (remaining > 1) {
        this.changed.set(fingerprint, remaining - 1);
      }
    }
    const restricted = this.suspects.restricted();
    if (restricted.length > 0) {
      this.position = (this.position + 1) % restricted.length;
      const record = restricted[this.position];
      chosen.set(record.fingerprint, record);
    }
    return [...chosen.values()];
  }

  /**
   * Returns the changed records to send next: what is quarantined, then parts, of which there are few and
   * whose crashes come from several gateways, then requests.
   */
  private mostUrgent(): readonly [string, number][] {
    const rank = (fingerprint: string): number => {
      if (this.suspects.verdict(fingerprint) === Verdict.Quarantined) {
        return 0;
      }
      return isPartSubject(fingerprint) ? 1 : 2;
    };
    return [...this.changed].sort(([a], [b]) => rank(a) - rank(b)).slice(0, recordsPerMessage);
  }
}
