import type { SuspectRecord } from '../../../services/link/common/messages.js';

/** What to do with a request. */
export enum Verdict {
  /** Run it like any other. */
  Clear = 'clear',
  /** Run it apart from other suspects. */
  Suspect = 'suspect',
  /** Do not run it. */
  Quarantined = 'quarantined',
}

/** Crashes after which a request is quarantined. */
const quarantineCrashes = 2;

/** Time for which a suspicion that nobody cleared is kept, in milliseconds. */
const suspectRetentionMs = 600_000;

/** Time for which a request stays quarantined, in milliseconds. */
const quarantineRetentionMs = 3_600_000;

/** Time after which another entry may run a suspect whose runner is silent, in milliseconds. */
const runnerLimitMs = 30_000;

function union(a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])];
}

function retentionOf(record: SuspectRecord): number {
  return record.crashes.length >= quarantineCrashes ? quarantineRetentionMs : suspectRetentionMs;
}

/**
 * Remembers which requests ran when endpoints died.
 *
 * Records of several entries are merged by the union of their crash ids, so that their order does
 * not matter. A crash that was cleared for a request stays cleared.
 */
export class CrashSuspects {
  private readonly records = new Map<string, SuspectRecord>();

  private readonly cleared = new Map<string, Set<string>>();

  /** @param owner - Incarnation of this entry. */
  constructor(private readonly owner: string) {}

  /** Number of remembered requests. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Records the death of an endpoint.
   *
   * @param crash - Id of the crash, equal at all entries that see it.
   * @param fingerprints - Requests that ran there.
   * @param nowMs - Wall-clock time.
   */
  recordCrash(crash: string, fingerprints: readonly string[], nowMs: number): void {
    for (const fingerprint of fingerprints) {
      const known = this.records.get(fingerprint);
      const crashes = union(known?.crashes ?? [], [crash]);
      this.records.set(fingerprint, { fingerprint, crashes, runner: '', atMs: nowMs });
    }
  }

  /**
   * Judges a request.
   *
   * @param fingerprint - The request.
   * @returns What to do with it.
   */
  verdict(fingerprint: string): Verdict {
    const crashes = this.records.get(fingerprint)?.crashes.length ?? 0;
    if (crashes === 0) {
      return Verdict.Clear;
    }
    return crashes >= quarantineCrashes ? Verdict.Quarantined : Verdict.Suspect;
  }

  /**
   * Clears a request that ran past the point at which an endpoint died.
   *
   * @param fingerprint - The request.
   */
  clear(fingerprint: string): void {
    const record = this.records.get(fingerprint);
    if (record !== undefined) {
      const crashes = this.cleared.get(fingerprint) ?? new Set<string>();
      record.crashes.forEach((crash) => crashes.add(crash));
      this.cleared.set(fingerprint, crashes);
      this.records.delete(fingerprint);
    }
  }

  /**
   * Merges records of other entries.
   *
   * @param remote - Records as stored in the platform.
   * @param nowMs - Wall-clock time; outdated records are dropped.
   */
  merge(remote: readonly SuspectRecord[], nowMs: number): void {
    for (const record of remote) {
      const voided = this.cleared.get(record.fingerprint);
      const crashes = record.crashes.filter((crash) => !voided?.has(crash));
      if (crashes.length > 0) {
        this.mergeOne({ ...record, crashes });
      }
    }
    for (const [fingerprint, record] of this.records) {
      if (nowMs - record.atMs > retentionOf(record)) {
        this.records.delete(fingerprint);
        this.cleared.delete(fingerprint);
      }
    }
  }

  /**
   * Names this entry as the one that runs a suspect, unless another entry does.
   *
   * @param fingerprint - The request.
   * @param nowMs - Wall-clock time.
   * @returns True if this entry may run it.
   */
  acquire(fingerprint: string, nowMs: number): boolean {
    const record = this.records.get(fingerprint);
    if (record === undefined) {
      return true;
    }
    const isTaken = record.runner !== '' && record.runner !== this.owner;
    if (isTaken && nowMs - record.atMs < runnerLimitMs) {
      return false;
    }
    this.records.set(fingerprint, { ...record, runner: this.owner, atMs: nowMs });
    return true;
  }

  /**
   * Returns what is known of one request.
   *
   * @param fingerprint - The request.
   * @returns Its record, or nothing.
   */
  recordsOf(fingerprint: string): readonly SuspectRecord[] {
    const record = this.records.get(fingerprint);
    return record === undefined ? [] : [record];
  }

  /** Returns the records to store in the platform. */
  snapshot(): readonly SuspectRecord[] {
    return [...this.records.values()];
  }

  private mergeOne(remote: SuspectRecord): void {
    const known = this.records.get(remote.fingerprint);
    if (known === undefined) {
      this.records.set(remote.fingerprint, remote);
      return;
    }
    const newest = known.atMs >= remote.atMs ? known : remote;
    const crashes = union(known.crashes, remote.crashes);
    this.records.set(remote.fingerprint, { ...newest, crashes });
  }
}
