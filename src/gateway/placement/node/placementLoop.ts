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
import type { ReservationLedger } from '../../routing/common/reservationLedger.js';
import type { IEndpointControl } from '../../relay/common/endpointControl.js';
import { RangePlanner, type Assignment, type PlacedEndpoint } from '../common/rangePlanner.js';

/** Pause between looks at the endpoints, in milliseconds. */
const tickMs = 200;

/** Time for which the list of endpoints must be still before a first plan, in milliseconds. */
const settleMs = 400;

/** Pause between reports of an endpoint that is loading, in milliseconds. */
const followMs = 250;

/** Time after which an idle endpoint with other layers obeyed another order, in milliseconds. */
const effectMs = 3_000;

/** Time after which an order without an effect is given anew, in milliseconds. */
const orderTimeoutMs = 15_000;

/** Pause before an endpoint that refused an order or was silent is asked again, in milliseconds. */
const retryMs = 1_000;

/** Orders layers to endpoints while this gateway holds the lease. */
export class PlacementLoop {
  /** Ranges ordered and not yet held, by incarnation. */
  private readonly underWay = new Map<string, Assignment['layers']>();

  /** Monotonic time at which an incarnation was first seen without layers. */
  private readonly emptySinceMs = new Map<string, number>();

  private readonly retryAtMs = new Map<string, number>();

  private readonly abort = new AbortController();

  private lastCount = -1;

  private lastChangeMs = 0;

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param lease - Tells whether this gateway may order, and under which fencing token.
   * @param config - The configuration in force.
   * @param directory - Endpoints that there are.
   * @param ledger - Requests under way at them.
   * @param control - Reports of and orders to endpoints.
   * @param clock - Source of time and timers.
   * @param logger - Receives each decision.
   */
  constructor(
    private readonly lease: LeaseCandidate,
    private readonly config: ConfigHolder,
    private readonly directory: EndpointDirectory,
    private readonly ledger: ReservationLedger,
    private readonly control: IEndpointControl,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {}

  /** Starts to look at the endpoints. */
  start(): void {
    this.cancelTimer = this.clock.after(tickMs, () => {
      this.tick();
      this.start();
    });
  }

  /** Stops. */
  close(): void {
    this.cancelTimer?.();
    this.abort.abort();
  }

  private tick(): void {
    const services = this.config.current?.config.services;
    const term = this.lease.term();
    if (services === undefined || term === undefined) {
      return;
    }
    for (const service of services.values()) {
      if (service.engine) {
        this.planService(service, service.engine, term);
      }
    }
  }

  private planService(service: ServiceProfile, engine: EngineProfile, term: number): void {
    const nowMs = this.clock.monotonicMs();
    const endpoints = this.directory
      .ofService(service.name)
      .filter(({ state }) => state === EndpointState.Ready);
    if (endpoints.length !== this.lastCount) {
      this.lastCount = endpoints.length;
      this.lastChangeMs = nowMs;
    }
    const isFresh = endpoints.every(({ layers }) => layers === undefined);
    if (endpoints.length === 0 || (isFresh && nowMs - this.lastChangeMs < settleMs)) {
      return;
    }
    const placed = endpoints.flatMap((endpoint) => this.toPlaced(endpoint, engine));
    const byAddress = new Map(endpoints.map((endpoint) => [endpoint.address, endpoint]));
    for (const assignment of new RangePlanner(engine).plan(placed)) {
      const endpoint = byAddress.get(assignment.address);
      const isLater = (this.retryAtMs.get(assignment.address) ?? 0) > nowMs;
      if (endpoint && !isLater && this.underWay.size < engine.maxConcurrentLoads) {
        void this.order(endpoint, assignment, term);
      }
    }
  }

  private toPlaced(endpoint: Endpoint, engine: EngineProfile): readonly PlacedEndpoint[] {
    const card = engine.cards.get(endpoint.card ?? '');
    if (card === undefined || this.directory.isSilent(endpoint)) {
      return [];
    }
    const { address, dataCentre } = endpoint;
    const ordered = this.underWay.get(incarnationOf(endpoint));
    return [
      {
        address,
        dataCentre,
        memoryMb: card.memoryMb,
        stepFactor: card.stepFactor,
        layers: ordered ?? endpoint.layers,
        isSettled: ordered === undefined,
        requests: this.ledger.loadAt(address).requests,
        emptyMs: this.emptyMs(endpoint),
      },
    ];
  }

  private emptyMs(endpoint: Endpoint): number {
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

  /** Orders one endpoint to load layers and follows it until it holds them. */
  private async order(endpoint: Endpoint, assignment: Assignment, term: number): Promise<void> {
    const key = incarnationOf(endpoint);
    if (this.underWay.has(key)) {
      return;
    }
    this.underWay.set(key, assignment.layers);
    if (await this.place(endpoint, assignment, term)) {
      await this.follow(endpoint, assignment.layers);
    } else {
      this.retryAtMs.set(endpoint.address, this.clock.monotonicMs() + retryMs);
    }
    this.underWay.delete(key);
  }

  private async place(endpoint: Endpoint, { layers }: Assignment, term: number): Promise<boolean> {
    const { address } = endpoint;
    const report = await this.control.report(address);
    if (report.isErr()) {
      this.logger.log(LogLevel.Warn, 'placement-no-report', { address });
      return false;
    }
    const { startedMs, isBusy, orderCount, layers: held } = report.value;
    if (startedMs !== endpoint.startedMs) {
      return false;
    }
    if (isBusy || !isSameRange(held, endpoint.layers)) {
      this.directory.observeLayers(endpoint, held);
      return false;
    }
    const ordered = await this.control.loadLayers(address, {
      endpointId: endpoint.id,
      layers,
      fencingToken: term,
      expectedOrderCount: orderCount,
    });
    this.logger.log(LogLevel.Info, 'placement-ordered', {
      endpoint: endpoint.id,
      address,
      card: endpoint.card,
      place: endpoint.dataCentre,
      from: layers.from,
      to: layers.to,
      term,
      orderCount,
      outcome: ordered.isOk() ? 'accepted' : ordered.error.message,
    });
    return ordered.isOk();
  }

  private async follow(endpoint: Endpoint, layers: LayerRange): Promise<void> {
    const startedMs = this.clock.monotonicMs();
    const deadlineMs = startedMs + orderTimeoutMs;
    while (this.clock.monotonicMs() < deadlineMs && !this.abort.signal.aborted) {
      await sleep(followMs, this.abort.signal);
      const report = await this.control.report(endpoint.address);
      if (report.isErr() || report.value.startedMs !== endpoint.startedMs) {
        return;
      }
      this.directory.observeLayers(endpoint, report.value.layers);
      const isLate = this.clock.monotonicMs() - startedMs > effectMs;
      if (!report.value.isBusy && (isLate || isSameRange(report.value.layers, layers))) {
        return;
      }
    }
  }
}

function isSameRange(a: LayerRange | undefined, b: LayerRange | undefined): boolean {
  return a?.from === b?.from && a?.to === b?.to;
}
