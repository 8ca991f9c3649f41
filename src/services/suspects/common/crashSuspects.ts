import type { SuspectRecord } from './suspectRecord.js';

/** How a request is to be treated. */
export enum Verdict {
  /** Run it without restrictions. */
  Clear = 'clear',
  /** Run it only on endpoints that run no other suspect. */
  Suspect = 'suspect',
  /** Do not run it. */
  Quarantined = 'quarantined',
}

/** When a request under which endpoints crash is isolated and quarantined. */
export interface SuspicionPolicy {
  /** Number of crashes after which a request is isolated from other suspects. */
  readonly isolationCrashes: number;
  /** Number of crashes after which a request is quarantined. */
  readonly quarantineCrashes: number;
  /** Age of a suspect's record after which a process other than its runner may run it, in ms. */
  readonly runnerTimeoutMs: number;
}

/** Policy where the endpoints themselves keep suspects apart. */
export const strictPolicy: SuspicionPolicy = {
  isolationCrashes: 1,
  quarantineCrashes: 2,
  runnerTimeoutMs: 30_000,
};

/** Time for which a suspicion is kept after its last crash, in milliseconds. */
const suspectRetentionMs = 600_000;

/** Time for which a request stays quarantined after its last crash, in milliseconds. */
const quarantineRetentionMs = 3_600_000;

/** Maximum number of recorded requests. */
const maxRecords = 1_024;

/** Maximum number of crashes recorded for one request; older ones are forgotten. */
const maxCrashesPerRecord = 16;

function union(a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])];
}

/** Returns the crashes that count against a request, the oldest one first. */
function countingCrashes({ crashes, cleared }: SuspectRecord): readonly string[] {
  return crashes.filter((crash) => !cleared.includes(crash));
}

/** Returns a record with at most {@link maxCrashesPerRecord} crashes. */
function withBoundedCrashes(record: SuspectRecord): SuspectRecord {
  if (record.crashes.length <= maxCrashesPerRecord) {
    return record;
  }
  const crashes = record.crashes.slice(-maxCrashesPerRecord);
  return {
    ...record,
    crashes,
    cleared: record.cleared.filter((crash) => crashes.includes(crash)),
  };
}

/**
 * Records which requests ran when endpoints died.
 *
 * Records of several processes are merged by the unions of their crash ids and of the cleared ones, so
 * that the order of the merges does not matter. A crash that was cleared for a request stays cleared.
 */
export class CrashSuspects {
  private readonly records = new Map<string, SuspectRecord>();

  /**
   * @param incarnation - Incarnation of this process.
   * @param policy - When requests are isolated and quarantined.
   */
  constructor(
    private readonly incarnation: string,
    private readonly policy: SuspicionPolicy = strictPolicy,
  ) {}

  /** Number of recorded requests, including cleared ones that are not forgotten yet. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Records the death of an endpoint.
   *
   * @param crash - Id of the crash, the same at all processes that see it.
   * @param fingerprints - Fingerprints of the requests that ran there.
   * @param nowMs - Wall-clock time, in milliseconds.
   */
  recordCrash(crash: string, fingerprints: readonly string[], nowMs: number): void {
    this.removeExpired(nowMs);
    for (const fingerprint of fingerprints) {
      const known = this.records.get(fingerprint);
      this.store({
        fingerprint,
        crashes: union(known?.crashes ?? [], [crash]),
        cleared: known?.cleared ?? [],
        runner: '',
        atMs: nowMs,
      });
    }
  }

  /**
   * Decides how a request is to be treated.
   *
   * @param fingerprint - Fingerprint of the request.
   * @returns The verdict.
   */
  verdict(fingerprint: string): Verdict {
    const record = this.records.get(fingerprint);
    const crashes = record === undefined ? 0 : countingCrashes(record).length;
    if (crashes < this.policy.isolationCrashes) {
      return Verdict.Clear;
    }
    return crashes >= this.policy.quarantineCrashes ? Verdict.Quarantined : Verdict.Suspect;
  }

  /**
   * Returns the time until a request may run again.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Wall-clock time, in milliseconds.
   * @returns The rest of its quarantine in milliseconds; 0 if it isn't quarantined.
   */
  quarantineRemainingMs(fingerprint: string, nowMs: number): number {
    const record = this.records.get(fingerprint);
    return record !== undefined && this.verdict(fingerprint) === Verdict.Quarantined
      ? Math.max(0, record.atMs + quarantineRetentionMs - nowMs)
      : 0;
  }

  /**
   * Clears a request of its oldest crash because it ran past the point at which an endpoint died. The
   * others go on counting: a request may crash some of the endpoints that run it and spare others.
   *
   * @param fingerprint - Fingerprint of the request.
   * @returns Whether any crash counted against it.
   */
  clearOldestCrash(fingerprint: string): boolean {
    const record = this.records.get(fingerprint);
    const oldest = record && countingCrashes(record).at(0);
    if (record === undefined || oldest === undefined) {
      return false;
    }
    this.records.set(fingerprint, {
      ...record,
      cleared: union(record.cleared, [oldest]),
      runner: '',
    });
    return true;
  }

  /**
   * Merges records of other processes.
   *
   * @param remote - Records as stored in the platform or sent by another process.
   * @param nowMs - Wall-clock time, in milliseconds; outdated records are dropped.
   */
  merge(remote: readonly SuspectRecord[], nowMs: number): void {
    remote.forEach((record) => this.mergeRecord({ ...record, atMs: Math.min(record.atMs, nowMs) }));
    this.removeExpired(nowMs);
  }

  /**
   * Makes this process the runner of a suspect, unless another one is and the record is younger than the
   * runner timeout of the policy.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Wall-clock time, in milliseconds.
   * @returns True if this process may run it.
   */
  acquire(fingerprint: string, nowMs: number): boolean {
    const record = this.records.get(fingerprint);
    if (record === undefined) {
      return true;
    }
    const isHeldByOther = record.runner !== '' && record.runner !== this.incarnation;
    if (isHeldByOther && nowMs - record.atMs < this.policy.runnerTimeoutMs) {
      return false;
    }
    this.records.set(fingerprint, { ...record, runner: this.incarnation, atMs: nowMs });
    return true;
  }

  /**
   * Lets other processes run a suspect whose run has ended without a verdict.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Wall-clock time, in milliseconds.
   * @returns Whether this process was its runner.
   */
  release(fingerprint: string, nowMs: number): boolean {
    const record = this.records.get(fingerprint);
    if (record?.runner !== this.incarnation) {
      return false;
    }
    this.records.set(fingerprint, { ...record, runner: '', atMs: nowMs });
    return true;
  }

  /**
   * Returns the record of one request.
   *
   * @param fingerprint - Fingerprint of the request.
   * @returns An array with its record, or an empty array.
   */
  recordsOf(fingerprint: string): readonly SuspectRecord[] {
    const record = this.records.get(fingerprint);
    return record === undefined ? [] : [record];
  }

  /** Returns the records of the requests that are isolated or quarantined. */
  restricted(): readonly SuspectRecord[] {
    return this.snapshot().filter(({ fingerprint }) => this.verdict(fingerprint) !== Verdict.Clear);
  }

  /** Returns the records to store in the platform. */
  snapshot(): readonly SuspectRecord[] {
    return [...this.records.values()];
  }

  private mergeRecord(remote: SuspectRecord): void {
    const known = this.records.get(remote.fingerprint);
    if (known === undefined) {
      this.store(remote);
      return;
    }
    const newest = known.atMs >= remote.atMs ? known : remote;
    this.store({
      ...newest,
      crashes: union(known.crashes, remote.crashes),
      cleared: union(known.cleared, remote.cleared),
    });
  }

  private store(record: SuspectRecord): void {
    this.records.set(record.fingerprint, withBoundedCrashes(record));
    if (this.records.size > maxRecords) {
      this.removeLeastSuspect(record.fingerprint);
    }
  }

  /** Removes the record with the fewest crashes, and of these the oldest, but not the given one. */
  private removeLeastSuspect(keptFingerprint: string): void {
    let least: SuspectRecord | undefined;
    for (const record of this.records.values()) {
      const isLess =
        least === undefined ||
        countingCrashes(record).length < countingCrashes(least).length ||
        (countingCrashes(record).length === countingCrashes(least).length &&
          record.atMs < least.atMs);
      if (isLess && record.fingerprint !== keptFingerprint) {
        least = record;
      }
    }
    if (least) {
      this.records.delete(least.fingerprint);
    }
  }

  private removeExpired(nowMs: number): void {
    for (const [fingerprint, { crashes, atMs }] of this.records) {
      // Cleared crashes count here: a cleared record outlives the copies that don't know it is cleared.
      const retentionMs =
        crashes.length >= this.policy.quarantineCrashes
          ? quarantineRetentionMs
          : suspectRetentionMs;
      if (nowMs - atMs > retentionMs) {
        this.records.delete(fingerprint);
      }
    }
  }
}
