import type { IClock, ITimers } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { SuspectRecord } from '../../../services/link/common/messages.js';
import { Verdict, type CrashSuspects } from './crashSuspects.js';

/** Shares suspicions with the other entries. */
export interface ISuspectSharing {
  /** Merges and stores suspicions; returns which of the wanted suspects may run here. */
  share(wanted: readonly string[]): Promise<readonly string[]>;
}

/** A request that wants to run. */
export interface SuspectWaiter {
  readonly fingerprint: string;
  /** Called once the request may run; `apart` is true if it is suspected. */
  proceed(apart: boolean): void;
  /** Called if the request is quarantined. */
  refuse(): void;
}

/** Longest wait for the platform before this entry decides alone, in milliseconds. */
const shareLimitMs = 500;

/** Time after which a suspect that another entry runs is asked for again, in milliseconds. */
const retryMs = 500;

/** Lets suspected requests run one at a time and keeps quarantined ones out. */
export class SuspectGuard {
  private waiting: SuspectWaiter[] = [];

  private readonly running = new Set<string>();

  private readonly suspected = new Emitter<readonly SuspectRecord[]>();

  /** Fires with the record of a request that ran when an endpoint died. */
  readonly onDidSuspect = this.suspected.event;

  private sharing = false;

  /** True if something changed while suspicions were being shared. */
  private askedMeanwhile = false;

  /** True while suspicions changed here that the other entries have not been told. */
  private unshared = false;

  /**
   * @param suspects - Suspicions of this entry.
   * @param suspectSharing - Shares them with the other entries.
   * @param clock - Source of time.
   * @param timers - For limits.
   * @param logger - Receives crashes and verdicts.
   */
  constructor(
    private readonly suspects: CrashSuspects,
    private readonly suspectSharing: ISuspectSharing,
    private readonly clock: IClock,
    private readonly timers: ITimers,
    private readonly logger: ILogger,
  ) {}

  /**
   * Tells whether a request must not run, without waiting.
   *
   * @param fingerprint - The request.
   * @returns True if it is quarantined.
   */
  isQuarantined(fingerprint: string): boolean {
    return this.suspects.verdict(fingerprint) === Verdict.Quarantined;
  }

  /**
   * Lets a request run now or later, or refuses it.
   *
   * @param waiter - The request.
   */
  admit(waiter: SuspectWaiter): void {
    if (this.suspects.verdict(waiter.fingerprint) === Verdict.Clear) {
      waiter.proceed(false);
      return;
    }
    this.waiting.push(waiter);
    void this.pump();
  }

  /**
   * Takes a request back that no longer wants to run.
   *
   * @param waiter - The request.
   */
  withdraw(waiter: SuspectWaiter): void {
    this.waiting = this.waiting.filter((other) => other !== waiter);
  }

  /**
   * Records that an endpoint died with requests running.
   *
   * @param crash - Id of the crash.
   * @param fingerprint - A request that ran there.
   */
  crashed(crash: string, fingerprint: string): void {
    this.suspects.recordCrash(crash, [fingerprint], this.clock.wallMs());
    this.unshared = true;
    const verdict = this.suspects.verdict(fingerprint);
    this.logger.log(LogLevel.Warn, 'crash-suspect', { crash, fingerprint, verdict });
    this.suspected.fire(this.suspects.recordsOf(fingerprint));
  }

  /**
   * Records that a suspect ran past the point at which an endpoint died.
   *
   * @param fingerprint - The request.
   */
  clear(fingerprint: string): void {
    this.suspects.clear(fingerprint);
    this.unshared = true;
    this.release(fingerprint);
  }

  /**
   * Records that a suspect no longer runs.
   *
   * @param fingerprint - The request.
   */
  release(fingerprint: string): void {
    this.running.delete(fingerprint);
    void this.pump();
  }

  /**
   * Takes over suspicions of other entries.
   *
   * @param records - Records as stored in the platform or sent by another entry.
   */
  merge(records: readonly SuspectRecord[]): void {
    this.suspects.merge(records, this.clock.wallMs());
    void this.pump();
  }

  /** Removes every listener. */
  close(): void {
    this.suspected.close();
  }

  /**
   * Shares suspicions and decides about the waiting requests. A caller hears of a quarantine only
   * after the other entries can know of it, since it may ask them next.
   */
  private async pump(): Promise<void> {
    if (this.sharing) {
      this.askedMeanwhile = true;
      return;
    }
    this.askedMeanwhile = false;
    if (!this.unshared) {
      this.decide([]);
    }
    const wanted = this.wanted();
    if (wanted.length === 0 && !this.unshared) {
      return;
    }
    this.sharing = true;
    this.unshared = false;
    this.decide(await this.shareWithin(wanted));
    this.sharing = false;
    if (this.unshared || this.askedMeanwhile) {
      void this.pump();
    } else if (this.wanted().length > 0) {
      this.timers.after(retryMs, () => void this.pump());
    }
  }

  private wanted(): readonly string[] {
    const fingerprints = this.waiting.map((waiter) => waiter.fingerprint);
    return [...new Set(fingerprints)].filter((fingerprint) => !this.running.has(fingerprint));
  }

  private shareWithin(wanted: readonly string[]): Promise<readonly string[]> {
    return new Promise((resolve) => {
      const cancel = this.timers.after(shareLimitMs, () => resolve(wanted));
      void this.suspectSharing.share(wanted).then((granted) => {
        cancel();
        resolve(granted);
      });
    });
  }

  private decide(granted: readonly string[]): void {
    const open = this.waiting;
    this.waiting = [];
    for (const waiter of open) {
      const { fingerprint } = waiter;
      const verdict = this.suspects.verdict(fingerprint);
      if (verdict === Verdict.Quarantined) {
        waiter.refuse();
      } else if (verdict === Verdict.Clear) {
        waiter.proceed(false);
      } else if (granted.includes(fingerprint) && !this.running.has(fingerprint)) {
        this.running.add(fingerprint);
        waiter.proceed(true);
      } else {
        this.waiting.push(waiter);
      }
    }
  }
}
