import { Err, Ok, type Result } from 'ts-results-es';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { IbissparError } from '../../../base/common/errors.js';
import type { Endpoint } from '../../directory/common/endpoint.js';
import type { ISendPermission } from '../../signals/common/endpointSignals.js';
import type { LayerPath, PathFinder, PathRequest } from '../../routing/common/pathFinder.js';
import type { CrossDataCentreBudget } from '../../routing/common/crossDataCentreBudget.js';
import type { Reservation, ReservationLedger } from '../../routing/common/reservationLedger.js';
import { rankName, type RequestUrgency } from '../../scheduling/common/requestRank.js';
import {
  SchedulingOutcome,
  type ServiceScheduler,
} from '../../scheduling/common/serviceScheduler.js';
import { PassFailures } from './passFailures.js';

/** Why a request was refused. */
export enum RefusalReason {
  /** The available endpoints don't cover all layers of the model. */
  NoPath = 'no-path',
  /** Endpoints that asked for fewer or no requests leave no path. */
  Limited = 'limited',
  /** The queue is too long for the request to be served within its maximum wait. */
  QueueFull = 'queue-full',
  /** No capacity became free within the request's maximum wait. */
  WaitTimeout = 'waited',
  /** The caller disconnected, or the queue was closed. */
  Cancelled = 'cancelled',
}

/** Error for a request that was refused before any part of it ran. */
export class AdmissionRefusedError extends IbissparError {
  readonly code = 'admission-refused';

  /**
   * @param reason - Reason of the refusal.
   * @param retryAfterMs - Time after which the caller may try again, in milliseconds.
   */
  constructor(
    readonly reason: RefusalReason,
    readonly retryAfterMs: number,
  ) {
    super(reason);
  }
}

/** Request for a path with reserved capacity. */
export interface AdmissionRequest extends PathRequest {
  /** Time of arrival, in monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Latency objective for the first event, in milliseconds since the arrival. */
  readonly objectiveMs: number;
  /** Maximum time in the queue, in milliseconds. */
  readonly maxWaitMs: number;
  /** Whether this is a running stream that lost its path; it is admitted before new requests. */
  readonly isResumed: boolean;
  /** Whether it waits although no path exists at the moment, since nothing better can be had. */
  readonly waitsForPath?: boolean;
  /** Reservations that the request holds until it has another path; they count as free for it. */
  readonly heldReservations?: readonly Reservation[];
  /** Id that the caller gave the request. */
  readonly requestId?: string;
  /** Urgency among the requests of the service; undefined if the configuration tells none apart. */
  readonly urgency?: RequestUrgency;
}

/** Endpoints of a model service. */
export interface IEndpointPool {
  /** Returns the endpoints that may be part of a path now. */
  usable(): readonly Endpoint[];
  /** Returns the endpoints that accept new requests, including those that are skipped at present. */
  accepting(): readonly Endpoint[];
  /** Returns whether the store lists an endpoint; others are used only if those lack capacity. */
  isConfirmed(endpoint: Endpoint): boolean;
  /** Returns whether an endpoint keeps failing requests; it is used only if others have no path. */
  isFailing(endpoint: Endpoint): boolean;
}

/** Handle of a request for admission. */
export interface IAdmissionTicket {
  readonly outcome: Promise<Result<LayerPath, AdmissionRefusedError>>;
  /** Removes the request from the queue; has no effect once it has an outcome. */
  cancel(): void;
}

interface WaitingRequest {
  readonly req: AdmissionRequest;
  readonly deadlineMs: number;
  /** Endpoints for which it was last checked that they have a path for the request. */
  checkedKey: string;
  readonly settle: (outcome: Result<LayerPath, AdmissionRefusedError>) => void;
}

/**
 * Interval at which the queue is checked for requests to admit, in milliseconds. Capacity may become
 * free without an event in this process, for example when a request of another gateway ends.
 */
const queueCheckIntervalMs = 25;

/**
 * Maximum numbers of new requests and of resumed streams that fail to get a path in one pass over the
 * queue. They are greater than 1 so that a large request doesn't block smaller ones behind it.
 */
const maxFailuresPerPass = 6;

/** Window over which the rate of admissions is measured, in milliseconds. */
const rateWindowMs = 2_000;

/**
 * Number of requests that may wait even if the measured rate of admissions is 0. At any moment several
 * running requests are about to end and release their capacity.
 */
const minQueueCapacity = 4;

/** Bounds of the retry delay that a refused caller receives, in milliseconds. */
const minRetryAfterMs = 700;
const maxRetryAfterMs = 4_000;

/**
 * Retry delay while no path covers all layers, in milliseconds. Missing layers are usually loaded by
 * another endpoint within this time.
 */
const noPathRetryAfterMs = 2_000;

/**
 * Admission queue of one model service.
 *
 * Applies backpressure after a burst of requests or the loss of endpoints: requests that can still
 * meet their latency objective are admitted first, and requests that the queue can't serve in time
 * are refused immediately.
 */
export class ModelAdmission {
  private queue: WaitingRequest[] = [];

  private admittedAtMs: number[] = [];

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param finder - Finds paths with free capacity.
   * @param pool - Endpoints of the service.
   * @param permission - Whether endpoints may be sent requests; each request counts at all endpoints of
   *   its path.
   * @param ledger - Records the reservations of admitted requests.
   * @param crossingBudget - Limits paths that cross data centres.
   * @param clock - Source of time and timers.
   * @param scheduler - Decides among requests that have an urgency; without one, they are served like the
   *   others.
   */
  constructor(
    private readonly finder: PathFinder,
    private readonly pool: IEndpointPool,
    private readonly permission: ISendPermission,
    private readonly ledger: ReservationLedger,
    private readonly crossingBudget: CrossDataCentreBudget,
    private readonly clock: IClock & ITimers,
    private readonly scheduler?: ServiceScheduler,
  ) {}

  /** Number of waiting requests. */
  get queueLength(): number {
    return this.queue.length;
  }

  /**
   * Reserves a path for a request, queues the request, or refuses it.
   *
   * @param req - The request for a path.
   * @returns A ticket whose outcome is the reserved path or the refusal.
   */
  request(req: AdmissionRequest): IAdmissionTicket {
    const now = this.clock.monotonicMs();
    const scheduler = this.schedulerOf(req);
    scheduler?.recordArrival(req);
    const path = this.mustQueue(req) ? undefined : this.tryAdmit(req);
    if (path) {
      return settledTicket(Ok(path));
    }
    const refusal = this.immediateRefusal(req);
    if (refusal) {
      return settledTicket(Err(refusal));
    }
    let settle: WaitingRequest['settle'] = () => undefined;
    const outcome = new Promise<Result<LayerPath, AdmissionRefusedError>>((resolve) => {
      settle = resolve;
    });
    const checkedKey = this.permittedKey();
    const entry: WaitingRequest = { req, deadlineMs: now + req.maxWaitMs, checkedKey, settle };
    this.queue.push(entry);
    scheduler?.recordQueued(req);
    if (scheduler) {
      this.refuseExcess(scheduler, entry);
    }
    this.schedule();
    return {
      outcome,
      cancel: () => {
        if (this.queue.includes(entry)) {
          this.settle(entry, Err(new AdmissionRefusedError(RefusalReason.Cancelled, 0)));
        }
      },
    };
  }

  /**
   * Returns the path that a new request would get now, without reserving it.
   *
   * @param req - The request for a path.
   * @returns The path, or undefined if the request would have to queue.
   */
  previewPath(req: AdmissionRequest): LayerPath | undefined {
    return this.queue.length > 0 ? undefined : this.findPath(req);
  }

  /**
   * Finds and reserves another path for a running request, bypassing the queue.
   *
   * @param req - Requirements of the path.
   * @param heldReservations - Reservations of its current path, which count as free for the next one.
   * @returns The path, or undefined if no path has enough free capacity.
   */
  reserveAlternativePath(
    req: PathRequest,
    heldReservations: readonly Reservation[],
  ): LayerPath | undefined {
    return this.reserve(req, heldReservations);
  }

  /**
   * Records that an endpoint refused a request. Call this after the reservations of that request were
   * released.
   *
   * @param address - Address of the endpoint.
   * @param isOwn - Whether the request came from this process rather than from a peer.
   * @returns Whether the endpoint lacked capacity, so that it can still serve a smaller load.
   */
  recordRefusal(address: string, isOwn: boolean): boolean {
    const endpoint = this.pool.usable().find((each) => each.address === address);
    const isNearCapacity = endpoint !== undefined && this.finder.isNearCapacity(endpoint);
    if (isNearCapacity) {
      this.ledger.recordFull(address, isOwn);
    }
    return isNearCapacity;
  }

  /** Admits waiting requests that have capacity now; call this when capacity was released. */
  admitWaiting(): void {
    if (this.queue.length === 0) {
      return;
    }
    const now = this.clock.monotonicMs();
    const permittedKey = this.permittedKey();
    if (this.scheduler && this.queue.some(({ req }) => this.schedulerOf(req))) {
      this.admitInOrder(this.scheduler, now, permittedKey);
      this.schedule();
      return;
    }
    this.queue.sort((a, b) => this.compareUrgency(a, b, now));
    let newFailures = 0;
    let resumedFailures = 0;
    for (const entry of [...this.queue]) {
      if (entry.deadlineMs <= now) {
        this.refuseLate(entry);
      } else if ((entry.req.isResumed ? resumedFailures : newFailures) < maxFailuresPerPass) {
        const outcome = this.tryAgain(entry, permittedKey);
        if (outcome) {
          this.settle(entry, outcome);
        } else if (entry.req.isResumed) {
          resumedFailures += 1;
        } else {
          newFailures += 1;
        }
      }
    }
    this.schedule();
  }

  /** Refuses all waiting requests and stops the timer. */
  close(): void {
    this.cancelTimer?.();
    for (const entry of [...this.queue]) {
      this.settle(entry, Err(new AdmissionRefusedError(RefusalReason.Cancelled, minRetryAfterMs)));
    }
  }

  private settle(entry: WaitingRequest, outcome: Result<LayerPath, AdmissionRefusedError>): void {
    this.queue = this.queue.filter((other) => other !== entry);
    this.schedulerOf(entry.req)?.recordDequeued(entry.req);
    entry.settle(outcome);
  }

  /** Returns the scheduler that decides about a request; running streams go first without one. */
  private schedulerOf(req: AdmissionRequest): ServiceScheduler | undefined {
    return req.isResumed || req.urgency === undefined ? undefined : this.scheduler;
  }

  /** Returns whether a request has to wait because others come before it. */
  private mustQueue(req: AdmissionRequest): boolean {
    if (this.queue.length === 0 || req.isResumed) {
      return false;
    }
    const scheduler = this.schedulerOf(req);
    if (scheduler === undefined || this.queue.some((entry) => entry.req.isResumed)) {
      return true;
    }
    const waiting = this.queue.map((entry) => entry.req);
    return scheduler.order([...waiting, req], (each) => each)[0] !== req;
  }

  /** Refuses the least urgent request if more wait than can be served in time. */
  private refuseExcess(scheduler: ServiceScheduler, arrived: WaitingRequest): void {
    const reqOf = (entry: WaitingRequest) => entry.req;
    const ordered = scheduler.order(
      this.queue.filter(({ req }) => !req.isResumed),
      reqOf,
    );
    const excess = scheduler.findExcess(ordered, reqOf, arrived, this.admissionsPerMs());
    if (excess) {
      const retryAfterMs = scheduler.refuse(
        excess.req,
        excess === arrived ? SchedulingOutcome.Refused : SchedulingOutcome.Yielded,
      );
      this.settle(excess, Err(new AdmissionRefusedError(RefusalReason.QueueFull, retryAfterMs)));
    }
  }

  /**
   * Admits waiting requests in the order of the scheduler. A request that gets no path doesn't block others
   * that ask for less.
   */
  private admitInOrder(scheduler: ServiceScheduler, now: number, permittedKey: string): void {
    const resumed = this.queue.filter(({ req }) => req.isResumed);
    const others = this.queue.filter(({ req }) => !req.isResumed);
    const failures = new PassFailures();
    let resumedFailures = 0;
    resumed.sort((a, b) => this.compareUrgency(a, b, now));
    for (const entry of [...resumed, ...scheduler.order(others, ({ req }) => req)]) {
      const { req } = entry;
      const rank = req.urgency ? rankName(req.urgency.rank) : '';
      const pathRequest = { ...req, headroomShare: this.headroomShareFor(req) };
      if (entry.deadlineMs <= now) {
        this.refuseLate(entry);
      } else if (
        req.isResumed
          ? resumedFailures < maxFailuresPerPass
          : scheduler.mayTake(req) && !failures.mustSkip(rank, pathRequest)
      ) {
        const outcome = this.tryAgain(entry, permittedKey);
        if (outcome) {
          this.settle(entry, outcome);
        } else if (req.isResumed) {
          resumedFailures += 1;
        } else {
          failures.record(rank, pathRequest);
        }
      }
    }
  }

  private refuseLate(entry: WaitingRequest): void {
    const retryAfterMs =
      this.schedulerOf(entry.req)?.refuse(entry.req, SchedulingOutcome.Refused) ??
      this.retryAfterMs();
    this.settle(entry, Err(new AdmissionRefusedError(RefusalReason.WaitTimeout, retryAfterMs)));
  }

  private headroomShareFor(req: AdmissionRequest): number {
    return this.schedulerOf(req)?.headroomShare(req) ?? 0;
  }

  /** Admits a waiting request, or refuses it if no path would remain even with all capacity free. */
  private tryAgain(
    entry: WaitingRequest,
    permittedKey: string,
  ): Result<LayerPath, AdmissionRefusedError> | undefined {
    const { req } = entry;
    const path = this.tryAdmit(req);
    if (path) {
      return Ok(path);
    }
    if (req.waitsForPath || entry.checkedKey === permittedKey) {
      return undefined;
    }
    entry.checkedKey = permittedKey;
    const refusal = this.refusalWithoutPath(this.pool.accepting(), req);
    return refusal && Err(refusal);
  }

  /** Identifies the endpoints that might be sent requests, with their layers. */
  private permittedKey(): string {
    return this.pool
      .accepting()
      .filter((endpoint) => this.permission.mayUse(endpoint))
      .map(({ address, layers }) => `${address}=${layers?.from}-${layers?.to}`)
      .join(',');
  }

  private tryAdmit(req: AdmissionRequest): LayerPath | undefined {
    const scheduler = this.schedulerOf(req);
    if (scheduler && !scheduler.mayTake(req)) {
      return undefined;
    }
    const path = this.reserve(
      scheduler ? { ...req, headroomShare: scheduler.headroomShare(req) } : req,
      req.heldReservations,
    );
    if (path) {
      this.admittedAtMs.push(this.clock.monotonicMs());
      scheduler?.recordAdmitted(req, path.firstEventMs);
    }
    return path;
  }

  private reserve(
    req: PathRequest,
    heldReservations: readonly Reservation[] = [],
  ): LayerPath | undefined {
    const path = this.ledger.without(heldReservations, () => this.findPath(req));
    if (path) {
      this.ledger.reserve(path.reservations);
      path.stages
        .filter(({ endpoint }) => !req.runningAddresses?.has(endpoint.address))
        .forEach(({ endpoint }) => this.permission.recordSend(endpoint));
      this.crossingBudget.consume(req.reservedTokens, path.crossings);
    }
    return path;
  }

  private findPath(req: PathRequest): LayerPath | undefined {
    const endpoints = this.withoutFailing(this.permittedEndpoints(this.pool.usable(), req), req);
    const confirmed = endpoints.filter((endpoint) => this.pool.isConfirmed(endpoint));
    if (confirmed.length < endpoints.length) {
      const path = this.finder.find(confirmed, { ...req, staysInDataCentre: true });
      if (path) {
        return path;
      }
    }
    const staysInDataCentre = !this.crossingBudget.allowsCrossing;
    return this.finder.find(endpoints, { ...req, staysInDataCentre });
  }

  /** Leaves out endpoints that keep failing, unless the others can't serve the request at all. */
  private withoutFailing(endpoints: readonly Endpoint[], req: PathRequest): readonly Endpoint[] {
    const sound = endpoints.filter((endpoint) => !this.pool.isFailing(endpoint));
    const isEnough =
      sound.length === endpoints.length ||
      this.finder.find(sound, { ...req, ignoresCapacity: true }) !== undefined;
    return isEnough ? sound : endpoints;
  }

  private permittedEndpoints(
    endpoints: readonly Endpoint[],
    { runningAddresses }: PathRequest,
  ): readonly Endpoint[] {
    return endpoints.filter(
      (endpoint) => runningAddresses?.has(endpoint.address) || this.permission.mayUse(endpoint),
    );
  }

  private immediateRefusal(req: AdmissionRequest): AdmissionRefusedError | undefined {
    const refusal = req.waitsForPath ? undefined : this.refusalWithoutPath(this.pool.usable(), req);
    if (refusal || req.isResumed || this.schedulerOf(req)) {
      return refusal;
    }
    // Resumed streams may wait for endpoints that new requests can do without.
    const requestsAhead = this.queue.filter((entry) => !entry.req.isResumed).length;
    if (requestsAhead > minQueueCapacity + this.admissionsPerMs() * req.maxWaitMs) {
      return new AdmissionRefusedError(RefusalReason.QueueFull, this.retryAfterMs());
    }
    return undefined;
  }

  /** Returns a refusal if some endpoints form no path for a request even with all capacity free. */
  private refusalWithoutPath(
    endpoints: readonly Endpoint[],
    req: AdmissionRequest,
  ): AdmissionRefusedError | undefined {
    const permitted = this.permittedEndpoints(endpoints, req);
    const hasPath = (candidates: readonly Endpoint[]) =>
      this.finder.find(candidates, { ...req, ignoresCapacity: true }) !== undefined;
    if (!hasPath(endpoints)) {
      return new AdmissionRefusedError(RefusalReason.NoPath, noPathRetryAfterMs);
    }
    if (permitted.length < endpoints.length && !hasPath(permitted)) {
      const retryAfterMs = this.permission.retryAfterMs(endpoints[0].service, hasPath);
      return new AdmissionRefusedError(RefusalReason.Limited, retryAfterMs);
    }
    return undefined;
  }

  /**
   * Orders resumed streams first, then requests that can still meet their objective, then the rest.
   * Within each group the oldest comes first.
   */
  private compareUrgency(a: WaitingRequest, b: WaitingRequest, now: number): number {
    const rank = ({ req }: WaitingRequest): number => {
      if (req.isResumed) {
        return 0;
      }
      return now - req.arrivedMs < req.objectiveMs ? 1 : 2;
    };
    return rank(a) - rank(b) || a.req.arrivedMs - b.req.arrivedMs;
  }

  private admissionsPerMs(): number {
    const earliestMs = this.clock.monotonicMs() - rateWindowMs;
    this.admittedAtMs = this.admittedAtMs.filter((atMs) => atMs > earliestMs);
    return this.admittedAtMs.length / rateWindowMs;
  }

  private retryAfterMs(): number {
    const admissionsPerMs = Math.max(1, this.admittedAtMs.length) / rateWindowMs;
    const drainMs = this.queue.length / admissionsPerMs;
    return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, drainMs));
  }

  private schedule(): void {
    this.cancelTimer?.();
    this.cancelTimer =
      this.queue.length > 0
        ? this.clock.after(queueCheckIntervalMs, () => this.admitWaiting())
        : undefined;
  }
}

function settledTicket(outcome: Result<LayerPath, AdmissionRefusedError>): IAdmissionTicket {
  return { outcome: Promise.resolve(outcome), cancel: () => undefined };
}
