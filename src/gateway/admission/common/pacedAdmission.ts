import { Err, type Result } from 'ts-results-es';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';
import type { PromptPacing } from '../../routing/common/promptPacing.js';
import {
  AdmissionRefusedError,
  RefusalReason,
  type AdmissionRequest,
  type IAdmissionTicket,
} from './modelAdmission.js';

/** Admission that long prompts are passed to once they no longer have to wait. */
export interface IAdmission {
  /** Reserves a path for a request, queues the request, or refuses it. */
  request(req: AdmissionRequest): IAdmissionTicket;
  /** Returns the path that a request would get now; undefined if it would have to queue. */
  previewPath(req: AdmissionRequest): LayerPath | undefined;
}

/** Long prompt that was held back, at the time when it is passed on. */
export interface HeldPrompt {
  readonly requestId: string | undefined;
  readonly promptTokens: number;
  /** Time for which it was held back, in milliseconds. */
  readonly heldMs: number;
  /** Stage or link for whose long prompts it waited. */
  readonly address: string;
  /** Whether it was passed on because it had no more time to spare. */
  readonly isOutOfTime: boolean;
}

interface HeldEntry {
  readonly req: AdmissionRequest;
  readonly heldAtMs: number;
  readonly latestStartMs: number;
  readonly address: string;
  readonly settle: (outcome: Result<LayerPath, AdmissionRefusedError>) => void;
  /** Set once the request was passed on. */
  ticket: IAdmissionTicket | undefined;
}

/**
 * Interval at which held prompts are checked, in milliseconds. Prompts of other gateways end their prefill
 * without an event in this process.
 */
const checkIntervalMs = 25;

/** Held prompts that may fail to start in one check, which bounds the number of path searches. */
const maxFailuresPerCheck = 4;

/**
 * Holds long prompts back while the long prompts before them leave no room for shorter ones.
 *
 * Held prompts stand beside the admission queue, so that they delay no other request. A prompt is only held
 * while it could run: without free capacity it goes to the queue, which decides by rank.
 */
export class PacedAdmission {
  private held: HeldEntry[] = [];

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param admission - Receives the requests that don't have to wait.
   * @param pacing - Decides which prompts wait, and for how long.
   * @param onDidHold - Called with each held prompt that is passed on.
   * @param clock - Source of time and timers.
   */
  constructor(
    private readonly admission: IAdmission,
    readonly pacing: PromptPacing,
    private readonly onDidHold: (prompt: HeldPrompt) => void,
    private readonly clock: IClock & ITimers,
  ) {}

  /** Number of prompts that are held back. */
  get heldCount(): number {
    return this.held.length;
  }

  /**
   * Passes a request on to the admission, at once or after it was held back.
   *
   * @param req - The request for a path.
   * @returns A ticket whose outcome is the reserved path or the refusal.
   */
  request(req: AdmissionRequest): IAdmissionTicket {
    const { pacing } = this;
    if (!pacing.isInEffect || req.isResumed || req.waitsForPath) {
      return this.admission.request(req);
    }
    const nowMs = this.clock.monotonicMs();
    if (!pacing.isLong(req.promptTokens)) {
      pacing.recordShorter(req.objectiveMs, nowMs);
      return this.admission.request(req);
    }
    this.startWaiting();
    const path = this.admission.previewPath(req);
    const address = path && pacing.findBusyStage(path, req, nowMs);
    const latestStartMs = path ? pacing.latestStartMs(path, req) : nowMs;
    return address === undefined || latestStartMs <= nowMs
      ? this.admission.request(req)
      : this.hold(req, latestStartMs, address);
  }

  /** Passes on the held prompts that may start now; call this when a prefill ended or capacity was released. */
  startWaiting(): void {
    if (this.held.length === 0) {
      return;
    }
    let failures = 0;
    for (const entry of [...this.held]) {
      const nowMs = this.clock.monotonicMs();
      if (entry.latestStartMs <= nowMs) {
        this.start(entry, nowMs, true);
      } else if (failures < maxFailuresPerCheck) {
        failures += this.tryStart(entry, nowMs) ? 0 : 1;
      }
    }
    this.schedule();
  }

  /** Refuses all held prompts and stops the timer. */
  close(): void {
    this.cancelTimer?.();
    const { held } = this;
    this.held = [];
    held.forEach(({ settle }) => settle(Err(cancelledError())));
  }

  private hold(req: AdmissionRequest, latestStartMs: number, address: string): IAdmissionTicket {
    let settle: HeldEntry['settle'] = () => undefined;
    const outcome = new Promise<Result<LayerPath, AdmissionRefusedError>>((resolve) => {
      settle = resolve;
    });
    const heldAtMs = this.clock.monotonicMs();
    const entry: HeldEntry = { req, heldAtMs, latestStartMs, address, settle, ticket: undefined };
    this.held.push(entry);
    this.held.sort((a, b) => a.latestStartMs - b.latestStartMs);
    this.schedule();
    return {
      outcome,
      cancel: () => {
        if (entry.ticket) {
          entry.ticket.cancel();
        } else if (this.held.includes(entry)) {
          this.held = this.held.filter((other) => other !== entry);
          settle(Err(cancelledError()));
        }
      },
    };
  }

  private tryStart(entry: HeldEntry, nowMs: number): boolean {
    const { req } = entry;
    const path = this.admission.previewPath(req);
    const isBusy = path !== undefined && this.pacing.findBusyStage(path, req, nowMs) !== undefined;
    const isOutOfTime = path !== undefined && this.pacing.latestStartMs(path, req) <= nowMs;
    if (isBusy && !isOutOfTime) {
      return false;
    }
    this.start(entry, nowMs, isBusy);
    return true;
  }

  private start(entry: HeldEntry, nowMs: number, isOutOfTime: boolean): void {
    const { req, heldAtMs, address, settle } = entry;
    const heldMs = nowMs - heldAtMs;
    this.held = this.held.filter((other) => other !== entry);
    entry.ticket = this.admission.request({
      ...req,
      maxWaitMs: Math.max(0, req.maxWaitMs - heldMs),
    });
    void entry.ticket.outcome.then(settle);
    const { requestId, promptTokens } = req;
    this.onDidHold({ requestId, promptTokens, heldMs, address, isOutOfTime });
  }

  private schedule(): void {
    this.cancelTimer?.();
    this.cancelTimer =
      this.held.length > 0
        ? this.clock.after(checkIntervalMs, () => this.startWaiting())
        : undefined;
  }
}

function cancelledError(): AdmissionRefusedError {
  return new AdmissionRefusedError(RefusalReason.Cancelled, 0);
}
