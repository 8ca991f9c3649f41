import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { sleep } from '../../../base/node/systemClock.js';
import type { LeaseCandidate } from '../../../services/lease/common/lease.js';
import type { EngineProfile, ServiceProfile } from '../../config/common/configSnapshot.js';
import type { ConfigHolder } from '../../config/common/configHolder.js';
import {
  EndpointState,
  incarnationOf,
  type Endpoint,
  type LayerRange,
} from '../../directory/common/endpoint.js';
import type { EndpointDirectory } from '../../directory/common/endpointDirectory.js';
import type { LayerCheck } from '../../directory/common/layerCheck.js';
import type { ReservationLedger } from '../../routing/common/reservationLedger.js';
import {
  OrderRefusal,
  OrderRefusedError,
  type IEndpointControl,
} from '../../relay/common/endpointControl.js';
import type { Assignment, PlacedEndpoint } from '../common/assignment.js';
import { RangePlanner } from '../common/rangePlanner.js';

/** Interval between plans, in milliseconds. */
const planIntervalMs = 200;

/** Time for which the number of endpoints must be stable before the first plan, in milliseconds. */
const stableListMs = 400;

/** Interval between requests for the report of an endpoint that is loading, in milliseconds. */
const reportIntervalMs = 250;

/**
 * Age of an order after which the order is no longer awaited if the endpoint is idle but holds layers
 * other than the ordered ones, in milliseconds. It has probably carried out a different order.
 */
const orderEffectTimeoutMs = 3_000;

/** Time after which an order without effect is no longer awaited and may be repeated, in ms. */
const orderTimeoutMs = 15_000;

/** Delay before the next order to an endpoint that refused one or didn't answer, in milliseconds. */
const orderRetryDelayMs = 1_000;

/**
 * Time for which a gap must have lasted before endpoints move their ranges to close it, in milliseconds.
 * The store removes an endpoint that crashed at about the time at which its successor starts.
 */
const rebalanceDelayMs = 1_000;

/** Time without a gap after which the next one counts as new, in milliseconds. */
const gapMemoryMs = 3_000;

/** Layers of a service without a holder in some data centre. */
interface Gap {
  readonly sinceMs: number;
  seenMs: number;
}

interface PendingOrder {
  readonly service: string;
  readonly layers: LayerRange;
}

/** Plans layer ranges and orders endpoints to load them while this gateway holds the lease. */
export class PlacementLoop {
  /** Orders that aren't carried out yet, by incarnation. */
  private readonly pendingOrders = new Map<string, PendingOrder>();

  /** Monotonic time at which each incarnation was first seen without layers. */
  private readonly emptySinceMs = new Map<string, number>();

  private readonly retryAtMs = new Map<string, number>();

  private readonly abortController = new AbortController();

  /** Number of endpoints of each service, with the monotonic time since which it is unchanged. */
  private readonly endpointCounts = new Map<string, { count: number; sinceMs: number }>();

  /** Gaps that only a new distribution of layers can close, by service. */
  private readonly gaps = new Map<string, Gap>();

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param lease - Lease whose holder may send orders; gives their fencing token.
   * @param config - Holder of the current configuration.
   * @param directory - Known endpoints.
   * @param layerCheck - Leaves out endpoints that state impossible layers.
   * @param ledger - Active requests of each endpoint.
   * @param control - Reads reports of endpoints and sends them orders.
   * @param isPaused - Whether an endpoint wants nothing of this gateway now; it gets no orders and is asked
   *   for no reports.
   * @param clock - Source of time and timers.
   * @param logger - Receives each order.
   */
  constructor(
    private readonly lease: LeaseCandidate,
    private readonly config: ConfigHolder,
    private readonly directory: EndpointDirectory,
    private readonly layerCheck: LayerCheck,
    private readonly ledger: ReservationLedger,
    private readonly control: IEndpointControl,
    private readonly isPaused: (endpoint: Endpoint) => boolean,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {}

  /** Starts periodic planning. */
  start(): void {
    this.cancelTimer = this.clock.after(planIntervalMs, () => {
      this.planAll();
      this.start();
    });
  }

  /** Stops planning and cancels pending waits. */
  close(): void {
    this.cancelTimer?.();
    this.abortController.abort();
  }

  private planAll(): void {
    const services = this.config.current?.config.services;
    const fencingToken = this.lease.fencingToken();
    if (services === undefined || fencingToken === undefined) {
      return;
    }
    for (const service of services.values()) {
      if (service.engine) {
        this.planService(service, service.engine, fencingToken);
      }
    }
  }

  private planService(service: ServiceProfile, engine: EngineProfile, fencingToken: number): void {
    const nowMs = this.clock.monotonicMs();
    const endpoints = this.layerCheck
      .filter(this.directory.findByService(service.name), engine)
      .filter(({ state }) => state === EndpointState.Ready);
    const known = this.endpointCounts.get(service.name);
    const sinceMs = known?.count === endpoints.length ? known.sinceMs : nowMs;
    this.endpointCounts.set(service.name, { count: endpoints.length, sinceMs });
    const isFirstPlan = endpoints.every(({ layers }) => layers === undefined);
    if (endpoints.length === 0 || (isFirstPlan && nowMs - sinceMs < stableListMs)) {
      return;
    }
    const expected = endpoints.flatMap((endpoint) => this.toPlacedEndpoints(endpoint, engine));
    const placed = expected.filter(({ isSilent }) => !isSilent);
    const byAddress = new Map(endpoints.map((endpoint) => [endpoint.address, endpoint]));
    const planner = new RangePlanner(engine);
    const assignments = [
      ...planner.plan(placed),
      ...this.whenGapLasts(service.name, planner.planRebalancing(expected)),
    ];
    for (const assignment of assignments) {
      const endpoint = byAddress.get(assignment.address);
      const isBackingOff = (this.retryAtMs.get(assignment.address) ?? 0) > nowMs;
      const isPaused = endpoint !== undefined && this.isPaused(endpoint);
      const hasLoadSlot = this.countPendingOrders(service.name) < engine.maxConcurrentLoads;
      if (endpoint && !isBackingOff && !isPaused && hasLoadSlot) {
        void this.order(endpoint, assignment, fencingToken);
      }
    }
  }

  /** Returns assignments that close a gap once it has lasted for a while; none before. */
  private whenGapLasts(service: string, assignments: readonly Assignment[]): readonly Assignment[] {
    const nowMs = this.clock.monotonicMs();
    const known = this.gaps.get(service);
    if (assignments.length === 0) {
      if (known && nowMs - known.seenMs > gapMemoryMs) {
        this.gaps.delete(service);
      }
      return [];
    }
    const gap = known ?? { sinceMs: nowMs, seenMs: nowMs };
    gap.seenMs = nowMs;
    this.gaps.set(service, gap);
    return nowMs - gap.sinceMs >= rebalanceDelayMs ? assignments : [];
  }

  private countPendingOrders(service: string): number {
    return [...this.pendingOrders.values()].filter((order) => order.service === service).length;
  }

  private toPlacedEndpoints(endpoint: Endpoint, engine: EngineProfile): readonly PlacedEndpoint[] {
    const card = engine.cards.get(endpoint.card ?? '');
    if (card === undefined) {
      return [];
    }
    const { address, dataCentre } = endpoint;
    const isSilent = this.directory.isSilent(endpoint);
    const pendingRange = this.pendingOrders.get(incarnationOf(endpoint))?.layers;
    return [
      {
        address,
        dataCentre,
        memoryMb: card.memoryMb,
        stepFactor: card.stepFactor,
        layers: pendingRange ?? endpoint.layers,
        isSettled: pendingRange === undefined && !isSilent,
        isSilent,
        requests: this.ledger.loadAt(address).requests,
        emptyMs: this.trackEmptyMs(endpoint),
      },
    ];
  }

  private trackEmptyMs(endpoint: Endpoint): number {
    const key = incarnationOf(endpoint);
    if (endpoint.layers !== undefined) {
      this.emptySinceMs.delete(key);
      return 0;
    }
    const nowMs = this.clock.monotonicMs();
    const sinceMs = this.emptySinceMs.get(key) ?? nowMs;
    this.emptySinceMs.set(key, sinceMs);
    return nowMs - sinceMs;
  }

  /** Orders one endpoint to load layers and waits until it holds them. */
  private async order(
    endpoint: Endpoint,
    assignment: Assignment,
    fencingToken: number,
  ): Promise<void> {
    const key = incarnationOf(endpoint);
    if (this.pendingOrders.has(key)) {
      return;
    }
    this.pendingOrders.set(key, { service: endpoint.service, layers: assignment.layers });
    if (await this.sendOrder(endpoint, assignment, fencingToken)) {
      await this.waitUntilLoaded(endpoint, assignment.layers);
    } else {
      this.retryAtMs.set(endpoint.address, this.clock.monotonicMs() + orderRetryDelayMs);
    }
    this.pendingOrders.delete(key);
  }

  private async sendOrder(
    endpoint: Endpoint,
    { layers }: Assignment,
    fencingToken: number,
  ): Promise<boolean> {
    const { address } = endpoint;
    const report = await this.control.report(address);
    if (report.isErr()) {
      this.logger.log(LogLevel.Warn, 'placement-no-report', { address });
      return false;
    }
    const { startedMs, isBusy, orderCount, layers: held } = report.value;
    const isLeaseHeld = this.lease.fencingToken() === fencingToken;
    if (!isLeaseHeld || startedMs !== endpoint.startedMs || this.isPaused(endpoint)) {
      return false;
    }
    if (isBusy || !isSameRange(held, endpoint.layers)) {
      this.directory.observeLayers(endpoint, held);
      return false;
    }
    const result = await this.control.loadLayers(address, {
      endpointId: endpoint.id,
      layers,
      fencingToken,
      expectedOrderCount: orderCount,
    });
    this.logger.log(LogLevel.Info, 'placement-ordered', {
      endpoint: endpoint.id,
      address,
      card: endpoint.card,
      place: endpoint.dataCentre,
      from: layers.from,
      to: layers.to,
      fencingToken,
      orderCount,
      outcome: result.isOk() ? 'accepted' : result.error.message,
    });
    if (
      result.isErr() &&
      result.error instanceof OrderRefusedError &&
      result.error.refusal === OrderRefusal.Fenced &&
      fencingToken === this.lease.fencingToken()
    ) {
      this.lease.handleFencedOrder();
    }
    return result.isOk();
  }

  private async waitUntilLoaded(endpoint: Endpoint, layers: LayerRange): Promise<void> {
    const startedMs = this.clock.monotonicMs();
    const deadlineMs = startedMs + orderTimeoutMs;
    while (this.clock.monotonicMs() < deadlineMs && !this.abortController.signal.aborted) {
      await sleep(reportIntervalMs, this.abortController.signal);
      if (this.isPaused(endpoint)) {
        continue;
      }
      const report = await this.control.report(endpoint.address);
      if (report.isErr() || report.value.startedMs !== endpoint.startedMs) {
        return;
      }
      this.directory.observeLayers(endpoint, report.value.layers);
      const isEffectDue = this.clock.monotonicMs() - startedMs > orderEffectTimeoutMs;
      if (!report.value.isBusy && (isEffectDue || isSameRange(report.value.layers, layers))) {
        return;
      }
    }
  }
}

function isSameRange(a: LayerRange | undefined, b: LayerRange | undefined): boolean {
  return a?.from === b?.from && a?.to === b?.to;
}
