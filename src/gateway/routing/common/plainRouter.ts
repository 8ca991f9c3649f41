import type { IClock } from '../../../base/common/clock.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import type { EndpointDirectory } from '../../directory/common/endpointDirectory.js';
import type { ReservationLedger } from './reservationLedger.js';

/** Weight of the newest latency in the moving average. */
const latencyWeight = 0.1;

/** Latency that is assumed of an endpoint that hasn't answered yet, in milliseconds. */
const assumedLatencyMs = 50;

/** Requests beyond its slots that an endpoint may have waiting, as a share of the slots. */
const queuedShare = 1;

/** Cost of a hop to another data centre, in milliseconds. */
const crossingMs = 1;

/** Time for which an endpoint that refused for want of a slot is passed over, in milliseconds. */
const fullMs = 100;

/** Picks endpoints of plain services by the wait that is expected there. */
export class PlainRouter {
  private readonly latencies = new Map<string, number>();

  private readonly fullUntil = new Map<string, number>();

  /**
   * @param dataCentre - Data centre of this gateway.
   * @param directory - Endpoints that there are.
   * @param ledger - Requests under way at them.
   * @param isEjected - Whether an incarnation keeps failing.
   * @param clock - Source of time.
   */
  constructor(
    private readonly dataCentre: string,
    private readonly directory: EndpointDirectory,
    private readonly ledger: ReservationLedger,
    private readonly isEjected: (incarnation: string) => boolean,
    private readonly clock: IClock,
  ) {}

  /**
   * Picks an endpoint.
   *
   * @param service - Name of the service.
   * @param tried - Addresses that had the request already.
   * @returns The endpoint with the shortest expected wait, or undefined if all are full.
   */
  pick(service: string, tried: ReadonlySet<string>): Endpoint | undefined {
    const untried = this.directory
      .usable(service)
      .filter((endpoint) => !tried.has(endpoint.address));
    const sound = untried.filter((endpoint) => !this.isEjected(incarnationOf(endpoint)));
    return this.cheapest(sound) ?? this.cheapest(untried);
  }

  /**
   * Takes note of an answer.
   *
   * @param endpoint - Who answered.
   * @param latencyMs - After what time, in milliseconds.
   */
  recordLatency(endpoint: Endpoint, latencyMs: number): void {
    const key = incarnationOf(endpoint);
    const known = this.latencies.get(key) ?? assumedLatencyMs;
    this.latencies.set(key, known + latencyWeight * (latencyMs - known));
  }

  /**
   * Passes an endpoint over that had no slot.
   *
   * @param endpoint - Who refused.
   */
  markFull(endpoint: Endpoint): void {
    this.fullUntil.set(incarnationOf(endpoint), this.clock.monotonicMs() + fullMs);
  }

  /**
   * Forgets an endpoint that is gone.
   *
   * @param endpoint - Who left.
   */
  forget(endpoint: Endpoint): void {
    this.latencies.delete(incarnationOf(endpoint));
    this.fullUntil.delete(incarnationOf(endpoint));
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
    const isFull = (this.fullUntil.get(key) ?? 0) > this.clock.monotonicMs();
    if (isFull || firstStageRequests >= endpoint.slots * (1 + queuedShare)) {
      return Number.POSITIVE_INFINITY;
    }
    const latency = this.latencies.get(key) ?? assumedLatencyMs;
    const hop = endpoint.dataCentre === this.dataCentre ? 0 : crossingMs;
    return hop + latency * (1 + firstStageRequests / Math.max(1, endpoint.slots));
  }
}
