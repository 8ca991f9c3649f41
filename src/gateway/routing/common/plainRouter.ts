import type { IClock } from '../../../base/common/clock.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import { Suspicion, type EndpointDirectory } from '../../directory/common/endpointDirectory.js';
import type { ISendPermission } from '../../signals/common/endpointSignals.js';
import type { ReservationLedger } from './reservationLedger.js';

/** Weight of the newest latency in the exponential moving average. */
const newestLatencyWeight = 0.1;

/** Latency assumed for an endpoint that hasn't answered yet, in milliseconds. */
const assumedLatencyMs = 50;

/** Requests that may queue at an endpoint beyond its slots, as a share of the slots. */
const maxQueuedShare = 1;

/** Cost of a hop to another data centre, in milliseconds. */
const crossingCostMs = 1;

/** Time for which an endpoint is skipped after it refused a request for lack of a slot, in ms. */
const fullBackoffMs = 100;

/** Minimum interval between requests to an endpoint that is suspected silent, in milliseconds. */
const trialIntervalMs = 250;

/** Picks endpoints of plain services by expected latency. */
export class PlainRouter {
  private readonly meanLatencyMs = new Map<string, number>();

  private readonly fullUntilMs = new Map<string, number>();

  /** Monotonic time of the last request to each incarnation that was suspected silent. */
  private readonly triedAtMs = new Map<string, number>();

  /**
   * @param dataCentre - Data centre of this gateway.
   * @param directory - Known endpoints.
   * @param ledger - Active requests of each endpoint.
   * @param isEjected - Whether outlier ejection excludes an incarnation.
   * @param permission - Whether endpoints may be sent requests, as far as they asked for fewer.
   * @param clock - Source of time.
   */
  constructor(
    private readonly dataCentre: string,
    private readonly directory: EndpointDirectory,
    private readonly ledger: ReservationLedger,
    private readonly isEjected: (incarnation: string) => boolean,
    private readonly permission: ISendPermission,
    private readonly clock: IClock,
  ) {}

  /**
   * Picks an endpoint that hasn't been tried and may be sent a request. Endpoints that the store lacks
   * since an outage, and then ejected ones, are used only if all others are full. If all endpoints are
   * suspected silent, uses those that only a peer suspects, or tries the others from time to time.
   *
   * @param service - Name of the service.
   * @param triedAddresses - Addresses to which the request was already sent.
   * @returns The endpoint with the lowest expected latency, or undefined if all are full.
   */
  pick(service: string, triedAddresses: ReadonlySet<string>): Endpoint | undefined {
    return this.directory.findUsable(service).length > 0
      ? this.pickUsable(service, triedAddresses)
      : this.pickSuspect(service, triedAddresses);
  }

  private pickUsable(service: string, triedAddresses: ReadonlySet<string>): Endpoint | undefined {
    const untried = this.untriedOf(service, triedAddresses).filter((endpoint) =>
      this.permission.mayUse(endpoint),
    );
    const healthy = untried.filter((endpoint) => !this.isEjected(incarnationOf(endpoint)));
    const confirmed = healthy.filter((endpoint) => this.directory.isConfirmed(endpoint));
    return this.cheapest(confirmed) ?? this.cheapest(healthy) ?? this.cheapest(untried);
  }

  private pickSuspect(service: string, triedAddresses: ReadonlySet<string>): Endpoint | undefined {
    const find = (kind: Suspicion) =>
      this.directory
        .findSuspects(service, kind)
        .filter(({ address }) => !triedAddresses.has(address))
        .filter((endpoint) => this.permission.mayUse(endpoint));
    const reported = this.cheapest(find(Suspicion.ReportedByPeer));
    if (reported) {
      return reported;
    }
    const nowMs = this.clock.monotonicMs();
    const lastTrialMs = (endpoint: Endpoint) =>
      this.triedAtMs.get(incarnationOf(endpoint)) ?? Number.NEGATIVE_INFINITY;
    const silent = this.cheapest(
      find(Suspicion.Silent).filter((each) => lastTrialMs(each) + trialIntervalMs <= nowMs),
    );
    if (silent) {
      this.triedAtMs.set(incarnationOf(silent), nowMs);
    }
    return silent;
  }

  /** Returns whether an untried endpoint must not be sent a request because it asked for fewer. */
  lacksPermission(service: string, triedAddresses: ReadonlySet<string>): boolean {
    const untried = this.untriedOf(service, triedAddresses);
    return untried.some((endpoint) => !this.permission.mayUse(endpoint));
  }

  /**
   * Updates the moving average of an endpoint's latency.
   *
   * @param endpoint - Endpoint that answered.
   * @param latencyMs - Time until its answer, in milliseconds.
   */
  recordLatency(endpoint: Endpoint, latencyMs: number): void {
    const key = incarnationOf(endpoint);
    const meanMs = this.meanLatencyMs.get(key) ?? assumedLatencyMs;
    this.meanLatencyMs.set(key, meanMs + newestLatencyWeight * (latencyMs - meanMs));
  }

  /**
   * Skips an endpoint for a short time after it refused a request for lack of a slot.
   *
   * @param endpoint - Endpoint that refused.
   */
  markFull(endpoint: Endpoint): void {
    this.fullUntilMs.set(incarnationOf(endpoint), this.clock.monotonicMs() + fullBackoffMs);
  }

  /**
   * Removes the state of an endpoint that is gone.
   *
   * @param endpoint - Endpoint that was removed.
   */
  removeEndpoint(endpoint: Endpoint): void {
    this.meanLatencyMs.delete(incarnationOf(endpoint));
    this.fullUntilMs.delete(incarnationOf(endpoint));
    this.triedAtMs.delete(incarnationOf(endpoint));
  }

  private untriedOf(service: string, triedAddresses: ReadonlySet<string>): readonly Endpoint[] {
    return this.directory
      .findUsable(service)
      .filter((endpoint) => !triedAddresses.has(endpoint.address));
  }

  private cheapest(endpoints: readonly Endpoint[]): Endpoint | undefined {
    let best: Endpoint | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const endpoint of endpoints) {
      const cost = this.costOf(endpoint);
      if (cost < bestCost) {
        best = endpoint;
        bestCost = cost;
      }
    }
    return best;
  }

  private costOf(endpoint: Endpoint): number {
    const { firstStageRequests } = this.ledger.loadAt(endpoint.address);
    const key = incarnationOf(endpoint);
    const isFull = (this.fullUntilMs.get(key) ?? 0) > this.clock.monotonicMs();
    if (isFull || firstStageRequests >= endpoint.slots * (1 + maxQueuedShare)) {
      return Number.POSITIVE_INFINITY;
    }
    const meanMs = this.meanLatencyMs.get(key) ?? assumedLatencyMs;
    const hopCostMs = endpoint.dataCentre === this.dataCentre ? 0 : crossingCostMs;
    return hopCostMs + meanMs * (1 + firstStageRequests / Math.max(1, endpoint.slots));
  }
}
