import { weighEvidence, type Convictions } from './convictions.js';
import { quarantineMs } from './quarantineTime.js';
import { isPartSubject } from './subject.js';
import type { SuspectRecord } from './suspectRecord.js';
import { SurvivalBank } from './survivalBank.js';

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
  /** Maximum number of survivals of a part that are kept to outweigh later crashes. */
  readonly maxBankedSurvivals: number;
}

/** Policy where the endpoints themselves keep suspects apart. */
export const strictPolicy: SuspicionPolicy = {
  isolationCrashes: 1,
  quarantineCrashes: 2,
  runnerTimeoutMs: 30_000,
  maxBankedSurvivals: 0,
};

/** Time for which a suspicion is kept after its last crash, in milliseconds. */
const suspectRetentionMs = 600_000;

/** Maximum number of recorded requests. */
const maxRecords = 1_024;

/** Maximum number of crashes recorded for one request; older ones are forgotten. */
const maxCrashesPerRequest = 16;

/** The same for a part; many requests may hold it at the same time. */
const maxCrashesPerPart = 32;

/** Number of different requests that must have held a part at its crashes for it to be convicted. */
const minRequestsOfPart = 2;

/** Returns the same few fingerprints of both, in whatever order records are merged. */
function mergeRequests(a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])].sort().slice(0, minRequestsOfPart);
}

function union(a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])];
}

/** Returns the crashes that count against a request, the oldest one first. */
function countingCrashes({ crashes, cleared }: SuspectRecord): readonly string[] {
  return crashes.filter((crash) => !cleared.includes(crash));
}

/** Returns a record with a bounded number of crashes. */
function withBoundedCrashes(record: SuspectRecord): SuspectRecord {
  const maxCrashes = isPartSubject(record.fingerprint) ? maxCrashesPerPart : maxCrashesPerRequest;
  if (record.crashes.length <= maxCrashes) {
    return record;
  }
  const crashes = record.crashes.slice(-maxCrashes);
  return {
    ...record,
    crashes,
    cleared: record.cleared.filter((crash) => crashes.includes(crash)),
  };
}

/**
 * Records which subjects were present when endpoints died: whole requests by their fingerprints, and parts
 * of prompts that requests share.
 *
 * Records of several processes are merged by the unions of their crash ids and of the cleared ones, so
 * that the order of the merges does not matter. A crash that was cleared for a subject stays cleared.
 */
export class CrashSuspects {
  private readonly records = new Map<string, SuspectRecord>();

  private readonly bank: SurvivalBank;

  /** Outcome of the current records; undefined if they have changed since it was last needed. */
  private convictions: Convictions | undefined;

  /**
   * @param incarnation - Incarnation of this process.
   * @param policy - When requests are isolated and quarantined.
   */
  constructor(
    private readonly incarnation: string,
    private readonly policy: SuspicionPolicy = strictPolicy,
  ) {
    this.bank = new SurvivalBank(policy.maxBankedSurvivals);
  }

  /** Number of recorded subjects, including cleared ones that are not forgotten yet. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Records the death of an endpoint, except for subjects with survivals in reserve.
   *
   * @param crash - Id of the crash, the same at all processes that see it.
   * @param fingerprints - Fingerprints of the requests that ran there, and their parts.
   * @param nowMs - Wall-clock time, in milliseconds.
   * @returns The subjects for which it was recorded.
   */
  recordCrash(crash: string, fingerprints: readonly string[], nowMs: number): readonly string[] {
    this.removeExpired(nowMs);
    const recorded = fingerprints.filter(
      (fingerprint) =>
        this.records.get(fingerprint)?.crashes.includes(crash) ||
        !this.bank.outweigh(fingerprint, crash, nowMs),
    );
    const requests = fingerprints.filter((fingerprint) => !isPartSubject(fingerprint));
    for (const fingerprint of recorded) {
      const known = this.records.get(fingerprint);
      this.store({
        fingerprint,
        crashes: union(known?.crashes ?? [], [crash]),
        cleared: known?.cleared ?? [],
        requests: isPartSubject(fingerprint) ? mergeRequests(known?.requests ?? [], requests) : [],
        runner: '',
        atMs: nowMs,
      });
    }
    return recorded;
  }

  /**
   * Decides how a request is to be treated.
   *
   * @param fingerprint - Fingerprint of the request, or one of its parts.
   * @param nowMs - Wall-clock time, in milliseconds; without it, no part is on probation.
   * @returns The verdict.
   */
  verdict(fingerprint: string, nowMs = Number.NEGATIVE_INFINITY): Verdict {
    const record = this.records.get(fingerprint);
    if (record === undefined) {
      return Verdict.Clear;
    }
    const { convicted, unexplainedCrashes } = this.weigh();
    const crashes = unexplainedCrashes.get(fingerprint) ?? 0;
    if (convicted.has(fingerprint)) {
      const isOnProbation = isPartSubject(fingerprint) && nowMs >= this.quarantineEndMs(record);
      return isOnProbation ? Verdict.Suspect : Verdict.Quarantined;
    }
    const isIsolated = !isPartSubject(fingerprint) && crashes >= this.policy.isolationCrashes;
    return isIsolated ? Verdict.Suspect : Verdict.Clear;
  }

  /**
   * Returns the time until a request may run again.
   *
   * @param fingerprint - Fingerprint of the request, or one of its parts.
   * @param nowMs - Wall-clock time, in milliseconds.
   * @returns The rest of its quarantine in milliseconds; 0 if it isn't quarantined.
   */
  quarantineRemainingMs(fingerprint: string, nowMs: number): number {
    const record = this.records.get(fingerprint);
    return record !== undefined && this.verdict(fingerprint, nowMs) === Verdict.Quarantined
      ? Math.max(0, this.quarantineEndMs(record) - nowMs)
      : 0;
  }

  /** Returns the records of the parts that are quarantined or on probation. */
  quarantinedParts(): readonly SuspectRecord[] {
    return [...this.weigh().convicted]
      .filter(isPartSubject)
      .flatMap((part) => this.recordsOf(part));
  }

  /**
   * Returns whether endpoints recently survived a part, more often than they crashed under it.
   *
   * @param part - The subject.
   * @param nowMs - Wall-clock time, in milliseconds.
   */
  isVouchedFor(part: string, nowMs: number): boolean {
    return this.bank.has(part, nowMs);
  }

  /**
   * Records that a run of a subject went on past the point at which endpoints die. It outweighs the
   * oldest crash that counts, or, for a part, a later one.
   *
   * @param fingerprint - Fingerprint of the request, or one of its parts.
   * @param nowMs - Wall-clock time, in milliseconds.
   * @returns Whether any crash counted against it.
   */
  recordSurvival(fingerprint: string, nowMs: number): boolean {
    if (this.clearOldestCrash(fingerprint)) {
      return true;
    }
    if (isPartSubject(fingerprint)) {
      this.bank.add(fingerprint, nowMs);
    }
    return false;
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
    this.store({ ...record, cleared: union(record.cleared, [oldest]), runner: '' });
    return true;
  }

  /**
   * Merges records of other processes.
   *
   * @param remote - Records as stored in the platform or sent by another process.
   * @param nowMs - Wall-clock time, in milliseconds; outdated records are dropped.
   * @returns The parts of whose crashes survivals in reserve here cleared some.
   */
  merge(remote: readonly SuspectRecord[], nowMs: number): readonly string[] {
    remote.forEach((record) => this.mergeRecord({ ...record, atMs: Math.min(record.atMs, nowMs) }));
    this.removeExpired(nowMs);
    return remote
      .map(({ fingerprint }) => fingerprint)
      .filter((fingerprint) => this.clearByReserve(fingerprint, nowMs));
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
    if (isPartSubject(fingerprint) && this.verdict(fingerprint, nowMs) !== Verdict.Suspect) {
      return false;
    }
    const isHeldByOther = record.runner !== '' && record.runner !== this.incarnation;
    if (isHeldByOther && nowMs - record.atMs < this.policy.runnerTimeoutMs) {
      return false;
    }
    this.store({ ...record, runner: this.incarnation, atMs: nowMs });
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
    this.store({ ...record, runner: '', atMs: nowMs });
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
    const crashes = union(known.crashes, remote.crashes);
    const cleared = union(known.cleared, remote.cleared);
    const requests = mergeRequests(known.requests, remote.requests);
    const isKnown =
      newest === known &&
      crashes.length === known.crashes.length &&
      cleared.length === known.cleared.length &&
      requests.join() === known.requests.join();
    if (!isKnown) {
      this.store({ ...newest, crashes, cleared, requests });
    }
  }

  private weigh(): Convictions {
    this.convictions ??= weighEvidence(
      this.snapshot().map((record) => ({
        subject: record.fingerprint,
        crashes: countingCrashes(record),
        survivals: record.cleared.length,
        canBeConvicted:
          !isPartSubject(record.fingerprint) || record.requests.length >= minRequestsOfPart,
      })),
      this.policy.quarantineCrashes,
    );
    return this.convictions;
  }

  private quarantineEndMs({ fingerprint, atMs }: SuspectRecord): number {
    const crashes = this.weigh().unexplainedCrashes.get(fingerprint) ?? 0;
    return atMs + quarantineMs(fingerprint, crashes - this.policy.quarantineCrashes);
  }

  /** Clears crashes of a part by survivals in reserve, and returns whether there were any. */
  private clearByReserve(fingerprint: string, nowMs: number): boolean {
    const record = this.records.get(fingerprint);
    const cleared = record
      ? countingCrashes(record).filter((crash) => this.bank.outweigh(fingerprint, crash, nowMs))
      : [];
    if (record === undefined || cleared.length === 0) {
      return false;
    }
    this.store({ ...record, cleared: union(record.cleared, cleared) });
    return true;
  }

  private store(record: SuspectRecord): void {
    this.convictions = undefined;
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
      this.convictions = undefined;
    }
  }

  private removeExpired(nowMs: number): void {
    const { quarantineCrashes } = this.policy;
    for (const [fingerprint, { crashes, atMs }] of this.records) {
      // Cleared crashes count here: a cleared record outlives the copies that don't know it is cleared.
      const furtherCrashes = crashes.length - quarantineCrashes;
      const retentionMs =
        furtherCrashes >= 0 ? quarantineMs(fingerprint, furtherCrashes) : suspectRetentionMs;
      // A part stays known for a while after its quarantine, so that a failed trial renews it.
      const trialMs = isPartSubject(fingerprint) ? suspectRetentionMs : 0;
      if (nowMs - atMs > retentionMs + trialMs) {
        this.records.delete(fingerprint);
        this.convictions = undefined;
      }
    }
  }
}
