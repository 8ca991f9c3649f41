import { Err, Ok, type Result } from 'ts-results-es';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { IbissparError } from '../../../base/common/errors.js';
import type { Endpoint } from '../../directory/common/endpoint.js';
import type { LayerPath, PathFinder, PathRequest } from '../../routing/common/pathFinder.js';
import type { CrossDataCentreBudget } from '../../routing/common/crossDataCentreBudget.js';
import type { ReservationLedger } from '../../routing/common/reservationLedger.js';

/** Why a request isn't admitted. */
export enum RefusalReason {
  /** No path covers all layers. */
  NoPath = 'no-path',
  /** More requests wait than can be served in time. */
  QueueFull = 'queue-full',
  /** No room became free in time. */
  WaitTimeout = 'waited',
  /** The caller left. */
  Cancelled = 'cancelled',
}

/** The request wasn't admitted and hasn't run. */
export class AdmissionRefusedError extends IbissparError {
  readonly code = 'admission-refused';

  /**
   * @param reason - Why.
   * @param retryAfterMs - When to come back, in milliseconds.
   */
  constructor(
    readonly reason: RefusalReason,
    readonly retryAfterMs: number,
  ) {
    super(reason);
  }
}

/** A request that wants a path. */
export interface AdmissionRequest extends PathRequest {
  /** Time of arrival, in monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Time to the first event that is still on time, in milliseconds since the arrival. */
  readonly objectiveMs: number;
  /** Longest wait from now, in milliseconds. */
  readonly maxWaitMs: number;
  /** A stream under way that lost its path; goes before all that haven't begun. */
  readonly isResumed: boolean;
}

/** Handle on a request that waits. */
export interface IAdmissionTicket {
  readonly outcome: Promise<Result<LayerPath, AdmissionRefusedError>>;
  /** Gives the place in the queue up. */
  cancel(): void;
}

interface Waiting {
  readonly req: AdmissionRequest;
  readonly giveUpMs: number;
  readonly settle: (outcome: Result<LayerPath, AdmissionRefusedError>) => void;
}

/** Pause between looks at the queue while room may become free elsewhere, in milliseconds. */
const pumpMs = 25;

/** Waiting requests that are tried at one look, so that a large one doesn't block the others. */
const triedAtOnce = 6;

/** Window over which admissions are counted for the estimate of the wait, in milliseconds. */
const rateWindowMs = 2_000;

/** Requests that may always wait, whatever the estimate; a handful of paths end at any moment. */
const freeWaiters = 4;

/** Shortest and longest time that a refused caller is told to stay away, in milliseconds. */
const minRetryMs = 700;
const maxRetryMs = 4_000;

/** Time in which missing layers are usually loaded elsewhere, in milliseconds. */
const repairMs = 2_000;

/**
 * Queue before the endpoints of one model service.
 *
 * Answers the load of a burst or of lost endpoints: requests that can still be on time go first,
 * a queue that can't drain in time refuses at once.
 */
export class ModelAdmission {
  private waiting: Waiting[] = [];

  private admittedMs: number[] = [];

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param finder - Finds paths.
   * @param endpoints - Endpoints that take new work.
   * @param ledger - Where paths reserve room.
   * @param crossing - Bounds paths between data centres.
   * @param clock - Source of time and timers.
   */
  constructor(
    private readonly finder: PathFinder,
    private readonly endpoints: () => readonly Endpoint[],
    private readonly ledger: ReservationLedger,
    private readonly crossing: CrossDataCentreBudget,
    private readonly clock: IClock & ITimers,
  ) {}

  /** Requests that wait. */
  get queueLength(): number {
    return this.waiting.length;
  }

  /**
   * Asks for a path with room reserved on it.
   *
   * @param req - The request.
   * @returns A ticket whose outcome is the path, or the refusal.
   */
  request(req: AdmissionRequest): IAdmissionTicket {
    const now = this.clock.monotonicMs();
    const mustWait = this.waiting.length > 0 && !req.isResumed;
    const path = mustWait ? undefined : this.tryAdmit(req);
    if (path) {
      return settled(Ok(path));
    }
    const refusal = this.refuseNow(req);
    if (refusal) {
      return settled(Err(refusal));
    }
    let entry: Waiting | undefined;
    const outcome = new Promise<Result<LayerPath, AdmissionRefusedError>>((resolve) => {
      entry = { req, giveUpMs: now + req.maxWaitMs, settle: resolve };
      this.waiting.push(entry);
    });
    this.schedule();
    return {
      outcome,
      cancel: () => {
        if (entry && this.waiting.includes(entry)) {
          this.waiting = this.waiting.filter((other) => other !== entry);
          entry.settle(Err(new AdmissionRefusedError(RefusalReason.Cancelled, 0)));
        }
      },
    };
  }

  /**
   * Finds another path for a request that is running, with room reserved on it.
   *
   * @param req - What the path is for.
   * @returns The path, or undefined if none has room.
   */
  reserveAlternativePath(req: PathRequest): LayerPath | undefined {
    return this.reserve(req);
  }

  /**
   * Takes note that an endpoint refused a request whose reservations were given back.
   *
   * @param address - The endpoint.
   * @param isOwn - Whether it refused a request of this process.
   * @returns Whether it refused for want of room, so that it will do for smaller loads.
   */
  recordRefusal(address: string, isOwn: boolean): boolean {
    const endpoint = this.endpoints().find((each) => each.address === address);
    const isFull = endpoint !== undefined && this.finder.isNearCapacity(endpoint);
    if (isFull) {
      this.ledger.recordFull(address, isOwn);
    }
    return isFull;
  }

  /** Admits what has room now; call this when room became free. */
  admitWaiting(): void {
    if (this.waiting.length === 0) {
      return;
    }
    const now = this.clock.monotonicMs();
    this.waiting.sort((a, b) => this.compare(a, b, now));
    let failures = 0;
    for (const entry of [...this.waiting]) {
      if (entry.giveUpMs <= now) {
        this.settle(
          entry,
          Err(new AdmissionRefusedError(RefusalReason.WaitTimeout, this.retryAfterMs())),
        );
      } else if (failures < triedAtOnce) {
        const path = this.tryAdmit(entry.req);
        failures += path ? 0 : 1;
        if (path) {
          this.settle(entry, Ok(path));
        }
      }
    }
    this.schedule();
  }

  /** Refuses what waits and stops the timer. */
  close(): void {
    this.cancelTimer?.();
    for (const entry of [...this.waiting]) {
      this.settle(entry, Err(new AdmissionRefusedError(RefusalReason.Cancelled, minRetryMs)));
    }
  }

  private settle(entry: Waiting, outcome: Result<LayerPath, AdmissionRefusedError>): void {
    this.waiting = this.waiting.filter((other) => other !== entry);
    entry.settle(outcome);
  }

  private tryAdmit(req: AdmissionRequest): LayerPath | undefined {
    const path = this.reserve(req);
    if (path) {
      this.admittedMs.push(this.clock.monotonicMs());
    }
    return path;
  }

  private reserve(req: PathRequest): LayerPath | undefined {
    const staysInDataCentre = !this.crossing.allowsCrossing;
    const path = this.finder.find(this.endpoints(), { ...req, staysInDataCentre });
    if (path) {
      this.ledger.reserve(path.reservations);
      this.crossing.consume(req.reservedTokens, path.crossings);
    }
    return path;
  }

  private refuseNow(req: AdmissionRequest): AdmissionRefusedError | undefined {
    if (this.finder.find(this.endpoints(), { ...req, ignoresCapacity: true }) === undefined) {
      return new AdmissionRefusedError(RefusalReason.NoPath, repairMs);
    }
    const now = this.clock.monotonicMs();
    this.admittedMs = this.admittedMs.filter((atMs) => atMs > now - rateWindowMs);
    const perMs = this.admittedMs.length / rateWindowMs;
    const ahead = this.waiting.length;
    if (!req.isResumed && ahead > freeWaiters + perMs * req.maxWaitMs) {
      return new AdmissionRefusedError(RefusalReason.QueueFull, this.retryAfterMs());
    }
    return undefined;
  }

  /** Resumed streams first, then those that can still be on time, then the rest; each by age. */
  private compare(a: Waiting, b: Waiting, now: number): number {
    const rank = ({ req }: Waiting): number => {
      if (req.isResumed) {
        return 0;
      }
      return now - req.arrivedMs < req.objectiveMs ? 1 : 2;
    };
    return rank(a) - rank(b) || a.req.arrivedMs - b.req.arrivedMs;
  }

  private retryAfterMs(): number {
    const perMs = Math.max(1, this.admittedMs.length) / rateWindowMs;
    const drainMs = this.waiting.length / perMs;
    return Math.min(maxRetryMs, Math.max(minRetryMs, drainMs));
  }

  private schedule(): void {
    this.cancelTimer?.();
    this.cancelTimer =
      this.waiting.length > 0 ? this.clock.after(pumpMs, () => this.admitWaiting()) : undefined;
  }
}

function settled(outcome: Result<LayerPath, AdmissionRefusedError>): IAdmissionTicket {
  return { outcome: Promise.resolve(outcome), cancel: () => undefined };
}
