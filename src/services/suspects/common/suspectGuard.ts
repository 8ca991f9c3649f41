import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { SuspectRecord } from './suspectRecord.js';
import { isPartSubject, subjectsOf, type GuardedSubjects } from './subject.js';
import { Verdict, type CrashSuspects } from './crashSuspects.js';

/** Shares suspicions with the other processes. */
export interface ISuspectSharing {
  /**
   * Merges and stores suspicions.
   *
   * @param wanted - Suspects that this process wants to run.
   * @returns Those that it may run; undefined if the suspicions could not be stored.
   */
  share(wanted: readonly string[]): Promise<readonly string[] | undefined>;
}

/** A request that the guard admits or refuses. */
export interface GuardedRequest extends GuardedSubjects {
  /**
   * Called once the request may run; `isIsolated` is true if an endpoint died while it ran this
   * request, so that it must not share endpoints with other suspects.
   */
  onAdmitted(isIsolated: boolean): void;
  /** Called if the request is quarantined. */
  onRefused(): void;
}

/** Timeout of sharing through the platform, after which this process decides alone, in ms. */
const shareTimeoutMs = 500;

/** Time after which this process asks again to run a suspect that another one runs, in ms. */
const suspectRetryMs = 500;

/** Verdicts in the order of their severity. */
const severities = [Verdict.Clear, Verdict.Suspect, Verdict.Quarantined];

/** Time after which suspicions that could not be stored are stored again, in milliseconds. */
const storeRetryMs = 2_000;

/**
 * Runs requests that are suspected of crashing endpoints one at a time per fingerprint, and refuses
 * quarantined ones.
 */
export class SuspectGuard {
  private waiting: GuardedRequest[] = [];

  private readonly running = new Set<string>();

  private readonly suspected = new Emitter<readonly SuspectRecord[]>();

  /** Fires with the record of a request that ran when an endpoint died. */
  readonly onDidSuspect = this.suspected.event;

  private isSharing = false;

  /** True if `shareAndDecide` was called again while suspicions were being shared. */
  private isRerunNeeded = false;

  /** True while this process has changes that are not yet shared with the other ones. */
  private hasUnsharedChanges = false;

  private cancelStoreRetry: CancelTimer | undefined;

  private isClosed = false;

  /** Parts that were quarantined when last looked at. */
  private quarantinedParts: ReadonlySet<string> = new Set();

  /**
   * @param suspects - Suspicions of this process.
   * @param suspectSharing - Shares them with the other processes.
   * @param clock - Source of time.
   * @param timers - Schedules timeouts and retries.
   * @param logger - Logs crashes and verdicts.
   */
  constructor(
    private readonly suspects: CrashSuspects,
    private readonly suspectSharing: ISuspectSharing,
    private readonly clock: IClock,
    private readonly timers: ITimers,
    private readonly logger: ILogger,
  ) {}

  /** Whether any suspicion is recorded. */
  get hasRecords(): boolean {
    return this.suspects.size > 0;
  }

  /**
   * Tells at once whether a request must not run, as far as this process knows.
   *
   * @param fingerprint - Fingerprint of the request.
   * @returns True if it is quarantined.
   */
  isQuarantined(fingerprint: string): boolean {
    return this.suspects.verdict(fingerprint) === Verdict.Quarantined;
  }

  /**
   * Returns the time until a request may run again.
   *
   * @param request - The request.
   * @returns The rest of the longest quarantine of it and its parts in milliseconds; 0 if there is none.
   */
  quarantineRemainingMs(request: GuardedSubjects): number {
    const nowMs = this.clock.wallMs();
    const remainingMs = subjectsOf(request).map((subject) =>
      this.suspects.quarantineRemainingMs(subject, nowMs),
    );
    return Math.max(...remainingMs);
  }

  /**
   * Admits a request at once if it is not suspected. A suspect waits until it may run here, and a
   * quarantined request is refused once the other processes can know of it. Of the requests that hold a
   * part on probation one runs, and the others are refused.
   *
   * @param request - The request; its callbacks are called now or later.
   */
  admit(request: GuardedRequest): void {
    if (this.verdict(request) === Verdict.Clear) {
      request.onAdmitted(false);
      return;
    }
    this.waiting.push(request);
    void this.shareAndDecide();
  }

  /**
   * Removes a waiting request that no longer needs to run.
   *
   * @param request - The request.
   */
  remove(request: GuardedRequest): void {
    this.waiting = this.waiting.filter((other) => other !== request);
  }

  /**
   * Records that an endpoint died while it ran a request.
   *
   * @param crash - Id of the crash.
   * @param fingerprint - Fingerprint of the request.
   * @param parts - Subjects of the parts that it shares with other requests.
   */
  recordCrash(crash: string, fingerprint: string, parts: readonly string[] = []): void {
    const nowMs = this.clock.wallMs();
    const recorded = this.suspects.recordCrash(crash, [fingerprint, ...parts], nowMs);
    this.hasUnsharedChanges = true;
    this.logger.log(LogLevel.Warn, 'crash-suspect', {
      crash,
      fingerprint,
      verdict: this.suspects.verdict(fingerprint),
      parts: recorded.filter((subject) => subject !== fingerprint).join(',') || undefined,
    });
    this.logQuarantinedParts();
    this.suspected.fire(recorded.flatMap((subject) => this.suspects.recordsOf(subject)));
  }

  /** Stores the suspicions of this process unless the platform has them. */
  publish(): void {
    if (this.hasRecords) {
      this.hasUnsharedChanges = true;
      void this.shareAndDecide();
    }
  }

  /**
   * Records that a suspect ran past the point at which an endpoint died, which outweighs one crash.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  recordSurvival(fingerprint: string): void {
    const previousVerdict = this.suspects.verdict(fingerprint);
    if (this.suspects.recordSurvival(fingerprint, this.clock.wallMs())) {
      this.hasUnsharedChanges = true;
      const verdict = this.suspects.verdict(fingerprint);
      this.logger.log(LogLevel.Warn, 'crash-cleared', { fingerprint, previousVerdict, verdict });
    }
    this.release(fingerprint);
  }

  /**
   * Records that requests with these parts ran past the point at which endpoints die. Peers are told of
   * crashes that it outweighs; they are stored only if a quarantine ends, since there are many of them.
   *
   * @param parts - Subjects of the parts.
   */
  recordPartSurvivals(parts: readonly string[]): void {
    const nowMs = this.clock.wallMs();
    const cleared = parts.filter((part) => this.suspects.recordSurvival(part, nowMs));
    if (cleared.length > 0) {
      this.suspected.fire(cleared.flatMap((part) => this.suspects.recordsOf(part)));
      if (this.logQuarantinedParts()) {
        this.hasUnsharedChanges = true;
        void this.shareAndDecide();
      }
    }
  }

  /**
   * Records that a suspect no longer runs here. Other processes still wait for the runner timeout, since
   * it may turn out that an endpoint died.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  release(fingerprint: string): void {
    this.running.delete(fingerprint);
    void this.shareAndDecide();
  }

  /**
   * Records that a suspect no longer runs and that nothing is unknown about how its run ended, so that
   * other processes may run it at once.
   *
   * @param fingerprint - Fingerprint of the request.
   */
  releaseToOthers(fingerprint: string): void {
    if (this.suspects.release(fingerprint, this.clock.wallMs())) {
      this.hasUnsharedChanges = true;
    }
    this.release(fingerprint);
  }

  /**
   * Merges suspicions of other entries.
   *
   * @param records - Records as stored in the platform or sent by another process.
   */
  merge(records: readonly SuspectRecord[]): void {
    const outweighed = this.suspects.merge(records, this.clock.wallMs());
    this.logQuarantinedParts();
    if (outweighed.length > 0) {
      this.suspected.fire(outweighed.flatMap((part) => this.suspects.recordsOf(part)));
    }
    if (!this.hasUnsharedChanges) {
      this.decide();
    }
  }

  /** Removes every listener and cancels all timers; waiting requests are neither admitted nor refused. */
  close(): void {
    this.isClosed = true;
    this.waiting = [];
    this.cancelStoreRetry?.();
    this.suspected.close();
  }

  /**
   * Shares suspicions and decides on the waiting requests. A request is refused as quarantined only
   * after the other processes can know of it, since its caller may try them next.
   */
  private async shareAndDecide(): Promise<void> {
    if (this.isSharing) {
      this.isRerunNeeded = true;
      return;
    }
    this.isRerunNeeded = false;
    if (!this.hasUnsharedChanges) {
      this.decide();
    }
    const wanted = this.wantedSuspects();
    if (wanted.length === 0 && !this.hasUnsharedChanges) {
      return;
    }
    this.isSharing = true;
    this.hasUnsharedChanges = false;
    const granted = await this.shareWithTimeout(wanted);
    this.isSharing = false;
    if (this.isClosed) {
      return;
    }
    if (granted === undefined) {
      this.scheduleStoreRetry();
    }
    this.decide(granted ?? this.acquireAlone(wanted));
    if (this.hasUnsharedChanges || this.isRerunNeeded) {
      void this.shareAndDecide();
    } else if (this.wantedSuspects().length > 0) {
      this.timers.after(suspectRetryMs, () => void this.shareAndDecide());
    }
  }

  /** Returns the subjects without which no waiting request may run here, and which none runs yet. */
  private wantedSuspects(): readonly string[] {
    const subjects = this.waiting.flatMap((request) => this.suspectsOf(request));
    return [...new Set(subjects)].filter((subject) => !this.running.has(subject));
  }

  private suspectsOf(request: GuardedSubjects): readonly string[] {
    const nowMs = this.clock.wallMs();
    return subjectsOf(request).filter(
      (subject) => this.suspects.verdict(subject, nowMs) === Verdict.Suspect,
    );
  }

  /**
   * Returns the most severe verdict on a request and its parts, as far as this process knows.
   *
   * @param request - The request.
   */
  verdict(request: GuardedSubjects): Verdict {
    const nowMs = this.clock.wallMs();
    const verdicts = subjectsOf(request).map((subject) => this.suspects.verdict(subject, nowMs));
    return severities[Math.max(...verdicts.map((verdict) => severities.indexOf(verdict)))];
  }

  /** Logs the parts that are quarantined or released, and returns whether there are any. */
  private logQuarantinedParts(): boolean {
    const records = this.suspects.quarantinedParts();
    const current = new Set(records.map(({ fingerprint }) => fingerprint));
    const added = records.filter(({ fingerprint }) => !this.quarantinedParts.has(fingerprint));
    const released = [...this.quarantinedParts].filter((part) => !current.has(part));
    this.quarantinedParts = current;
    added.forEach(({ fingerprint, crashes, cleared }) =>
      this.logger.log(LogLevel.Warn, 'part-quarantined', {
        part: fingerprint,
        crashes: crashes.length,
        cleared: cleared.length,
        forMs: this.suspects.quarantineRemainingMs(fingerprint, this.clock.wallMs()),
      }),
    );
    released.forEach((part) => this.logger.log(LogLevel.Warn, 'part-released', { part }));
    return added.length + released.length > 0;
  }

  /**
   * Decides which suspects may run here by what this process knows while the platform is away. Trials of
   * parts have to wait, since each process would run one.
   */
  private acquireAlone(wanted: readonly string[]): readonly string[] {
    const nowMs = this.clock.wallMs();
    return wanted.filter(
      (subject) => !isPartSubject(subject) && this.suspects.acquire(subject, nowMs),
    );
  }

  private scheduleStoreRetry(): void {
    this.cancelStoreRetry?.();
    this.cancelStoreRetry = this.timers.after(storeRetryMs, () => this.publish());
  }

  private shareWithTimeout(wanted: readonly string[]): Promise<readonly string[] | undefined> {
    return new Promise((resolve) => {
      const cancel = this.timers.after(shareTimeoutMs, () => resolve(undefined));
      void this.suspectSharing.share(wanted).then((granted) => {
        cancel();
        resolve(granted);
      });
    });
  }

  /**
   * Decides on the waiting requests.
   *
   * @param granted - Suspects that may run here; undefined if the other processes weren't asked.
   */
  private decide(granted?: readonly string[]): void {
    const undecided = this.waiting;
    this.waiting = [];
    undecided.forEach((request) => this.decideOn(request, granted));
  }

  private decideOn(request: GuardedRequest, granted: readonly string[] | undefined): void {
    const isGranted = (subject: string) =>
      granted !== undefined && granted.includes(subject) && !this.running.has(subject);
    // A part counts as quarantined again from the moment at which its trial is granted.
    const trials = (request.parts ?? []).filter(isGranted);
    const rest: GuardedSubjects = {
      fingerprint: request.fingerprint,
      parts: request.parts?.filter((part) => !trials.includes(part)),
    };
    const verdict = this.verdict(rest);
    const suspects = this.suspectsOf(rest);
    const isTrialDenied = granted !== undefined && suspects.some(isPartSubject);
    if (verdict === Verdict.Quarantined || isTrialDenied) {
      request.onRefused();
    } else if (verdict === Verdict.Clear && trials.length === 0) {
      request.onAdmitted(false);
    } else if (suspects.every(isGranted)) {
      [...suspects, ...trials].forEach((subject) => this.running.add(subject));
      request.onAdmitted(true);
    } else {
      this.waiting.push(request);
    }
  }
}
