import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { SuspectRecord } from './suspectRecord.js';
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
export interface GuardedRequest {
  readonly fingerprint: string;
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
   * @param fingerprint - Fingerprint of the request.
   * @returns The rest of its quarantine in milliseconds; 0 if it isn't quarantined.
   */
  quarantineRemainingMs(fingerprint: string): number {
    return this.suspects.quarantineRemainingMs(fingerprint, this.clock.wallMs());
  }

  /**
   * Admits a request at once if it is not suspected. A suspect waits until it may run here, and a
   * quarantined request is refused once the other processes can know of it.
   *
   * @param request - The request; its callbacks are called now or later.
   */
  admit(request: GuardedRequest): void {
    if (this.suspects.verdict(request.fingerprint) === Verdict.Clear) {
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
   */
  recordCrash(crash: string, fingerprint: string): void {
    this.suspects.recordCrash(crash, [fingerprint], this.clock.wallMs());
    this.hasUnsharedChanges = true;
    const verdict = this.suspects.verdict(fingerprint);
    this.logger.log(LogLevel.Warn, 'crash-suspect', { crash, fingerprint, verdict });
    this.suspected.fire(this.suspects.recordsOf(fingerprint));
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
    if (this.suspects.clearOldestCrash(fingerprint)) {
      this.hasUnsharedChanges = true;
      const verdict = this.suspects.verdict(fingerprint);
      this.logger.log(LogLevel.Warn, 'crash-cleared', { fingerprint, previousVerdict, verdict });
    }
    this.release(fingerprint);
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
    this.suspects.merge(records, this.clock.wallMs());
    if (!this.hasUnsharedChanges) {
      this.decide([]);
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
      this.decide([]);
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

  private wantedSuspects(): readonly string[] {
    const fingerprints = this.waiting.map((request) => request.fingerprint);
    return [...new Set(fingerprints)].filter((fingerprint) => !this.running.has(fingerprint));
  }

  /** Decides which suspects may run here by what this process knows while the platform is away. */
  private acquireAlone(wanted: readonly string[]): readonly string[] {
    const nowMs = this.clock.wallMs();
    return wanted.filter((fingerprint) => this.suspects.acquire(fingerprint, nowMs));
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

  private decide(granted: readonly string[]): void {
    const undecided = this.waiting;
    this.waiting = [];
    for (const request of undecided) {
      const { fingerprint } = request;
      const verdict = this.suspects.verdict(fingerprint);
      if (verdict === Verdict.Quarantined) {
        request.onRefused();
      } else if (verdict === Verdict.Clear) {
        request.onAdmitted(false);
      } else if (granted.includes(fingerprint) && !this.running.has(fingerprint)) {
        this.running.add(fingerprint);
        request.onAdmitted(true);
      } else {
        this.waiting.push(request);
      }
    }
  }
}
