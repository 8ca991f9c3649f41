import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { IRandom } from '../../../base/common/random.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import type { NamedLimit } from '../../relay/common/dialect.js';
import { DemandMeter } from './demandMeter.js';
import type { LimitReport } from './limitReport.js';
import { PermitIssuer } from './permitIssuer.js';

/** Share of a named limit that the gateways use together; the rest covers their different views. */
const usableShare = 0.9;

/**
 * Lowest rate at which an endpoint gets requests whatever it names, in requests per second. Without any,
 * no answer could tell that the limit is over.
 */
const minPerSecond = 0.1;

/**
 * Highest limit that restricts an endpoint, in requests per second. One that names more takes whatever the
 * gateways send.
 */
const maxPerSecond = 10_000;

/** Demand of a gateway without requests, in requests per second, so that a first one finds a part. */
const minDemandPerSecond = 0.25;

/** Time for which a limit that is over still restricts, in milliseconds. It doubles each second. */
const releaseMs = 5_000;

/** Time for which it is remembered that a limit is over, in milliseconds, against outdated reports. */
const liftedMemoryMs = 60_000;

/** Time for which the demand that a peer reported counts although it fell silent, in milliseconds. */
const peerDemandMemoryMs = 60_000;

/** Differences in time below this say nothing about which of two answers is newer, in milliseconds. */
const orderingToleranceMs = 100;

/** Bounds of the retry delay of a caller that was refused because of limits, in milliseconds. */
const minRetryAfterMs = 200;
const maxRetryAfterMs = 4_000;

const millisecondsPerSecond = 1_000;

interface PeerDemand {
  readonly perSecond: number;
  readonly atMs: number;
}

/** Limit of one incarnation of an endpoint. */
interface EndpointLimit {
  readonly endpoint: Endpoint;
  /** Limit that the endpoint named last, in requests per second. */
  perSecond: number;
  /** Monotonic time since which it names none; undefined while it does. */
  liftedAtMs: number | undefined;
  /** Monotonic time of the answer that this is known from. */
  knownAtMs: number;
  readonly permits: PermitIssuer;
  readonly peerDemands: Map<string, PeerDemand>;
  /** Number of requests that this gateway has sent since the limit is known. */
  sent: number;
}

/** What the limits of a gateway depend on. */
export interface EndpointLimitsDependencies {
  /** Returns the incarnation of an endpoint with a key if it is known. */
  readonly findIncarnation: (incarnation: string) => Endpoint | undefined;
  /** Returns the number of other gateways that may send to endpoints, also of those that can't be heard. */
  readonly peerCount: () => number;
  readonly random: IRandom;
  readonly clock: IClock;
  readonly logger: ILogger;
}

/**
 * Keeps the rate limits that endpoints in need name, together with the other gateways.
 *
 * The gateways divide a limit by the demand that each sees, and tell each other that demand. One that
 * isn't heard counts with the mean.
 */
export class EndpointLimits {
  private readonly limits = new Map<string, EndpointLimit>();

  private readonly demand: DemandMeter;

  /** Monotonic time of the latest return for which a refused caller of a service was asked. */
  private readonly lastReturnMs = new Map<string, number>();

  /** @param dependencies - Shared objects. */
  constructor(private readonly dependencies: EndpointLimitsDependencies) {
    this.demand = new DemandMeter(dependencies.clock);
  }

  /** Number of endpoints that name a limit. */
  get count(): number {
    return [...this.limits.values()].filter(({ liftedAtMs }) => liftedAtMs === undefined).length;
  }

  /**
   * Counts a request of a caller, whether it is sent to a limited endpoint or not.
   *
   * @param service - Service that is to serve it.
   */
  countRequest(service: string): void {
    this.demand.countRequest(service);
  }

  /** Returns whether an endpoint may be sent a request now. */
  mayUse(endpoint: Endpoint): boolean {
    const limit = this.limits.size > 0 ? this.limits.get(incarnationOf(endpoint)) : undefined;
    if (limit === undefined || !this.isRestricting(limit)) {
      return true;
    }
    this.issuePermits(limit);
    return limit.permits.available > 0;
  }

  /**
   * Counts a request that is sent to an endpoint, or to a path that includes it.
   *
   * @param endpoint - Endpoint that gets the request.
   */
  recordSend(endpoint: Endpoint): void {
    const limit = this.limits.size > 0 ? this.limits.get(incarnationOf(endpoint)) : undefined;
    if (limit && this.isRestricting(limit)) {
      limit.sent += 1;
      limit.permits.use();
    }
  }

  /**
   * Returns when a caller may come back that was refused because of limits. Callers get consecutive times
   * at the rate that this gateway may send.
   *
   * @param service - Service of the request.
   * @returns Delay in milliseconds.
   */
  retryAfterMs(service: string): number {
    const { clock, random } = this.dependencies;
    const nowMs = clock.monotonicMs();
    const perSecond = [...this.limits.values()]
      .filter((limit) => limit.endpoint.service === service && this.isRestricting(limit))
      .reduce((sum, limit) => sum + this.partOf(limit), 0);
    const intervalMs = millisecondsPerSecond / Math.max(perSecond, minPerSecond);
    const earliestMs = nowMs + minRetryAfterMs + random.float() * intervalMs;
    const returnMs = Math.max(earliestMs, (this.lastReturnMs.get(service) ?? 0) + intervalMs);
    if (returnMs - nowMs > maxRetryAfterMs) {
      return minRetryAfterMs + random.float() * (maxRetryAfterMs - minRetryAfterMs);
    }
    this.lastReturnMs.set(service, returnMs);
    return returnMs - nowMs;
  }

  /**
   * Takes over what an answer says of the limit of its endpoint.
   *
   * @param endpoint - Endpoint that answered.
   * @param named - Limit that it names; undefined if it names none.
   */
  recordAnswer(endpoint: Endpoint, named: NamedLimit | undefined): void {
    if (named !== undefined && named.perSecond === undefined) {
      const { id, address } = endpoint;
      const { text } = named;
      this.dependencies.logger.log(LogLevel.Warn, 'endpoint-limit-invalid', {
        endpoint: id,
        address,
        text,
      });
      return;
    }
    this.learn(endpoint, named?.perSecond, this.dependencies.clock.monotonicMs());
  }

  /** Returns what to tell the peers. */
  createReport(): readonly LimitReport[] {
    const nowMs = this.dependencies.clock.monotonicMs();
    this.forgetLifted(nowMs);
    return [...this.limits].map(([incarnation, limit]) => ({
      incarnation,
      perSecond: limit.liftedAtMs === undefined ? limit.perSecond : undefined,
      ageMs: nowMs - limit.knownAtMs,
      demandPerSecond: this.ownDemand(limit),
    }));
  }

  /**
   * Learns limits, and the demand of a peer, from its report.
   *
   * @param peer - Instance name of the peer.
   * @param reports - What it knows of limits.
   */
  handleReport(peer: string, reports: readonly LimitReport[]): void {
    const nowMs = this.dependencies.clock.monotonicMs();
    for (const { incarnation, perSecond, ageMs, demandPerSecond } of reports) {
      const endpoint = this.dependencies.findIncarnation(incarnation);
      if (endpoint) {
        this.learn(endpoint, perSecond, nowMs - ageMs, peer);
        this.limits
          .get(incarnation)
          ?.peerDemands.set(peer, { perSecond: demandPerSecond, atMs: nowMs });
      }
    }
  }

  /** Removes what is known of an endpoint that is gone. */
  removeEndpoint(endpoint: Endpoint): void {
    this.limits.delete(incarnationOf(endpoint));
  }

  /**
   * Records the limit that an endpoint names, unless a newer answer is known.
   *
   * @param endpoint - Endpoint that answered.
   * @param namedPerSecond - Limit in requests per second; undefined if it names none.
   * @param atMs - Monotonic time of the answer.
   * @param peer - Peer that got the answer; undefined if this gateway got it.
   */
  private learn(
    endpoint: Endpoint,
    namedPerSecond: number | undefined,
    atMs: number,
    peer?: string,
  ): void {
    const isLimit = namedPerSecond !== undefined && namedPerSecond <= maxPerSecond;
    const perSecond = isLimit ? namedPerSecond : undefined;
    const incarnation = incarnationOf(endpoint);
    const known = this.limits.get(incarnation);
    if (peer !== undefined && known && atMs <= known.knownAtMs + orderingToleranceMs) {
      return;
    }
    if (perSecond === undefined) {
      if (known) {
        this.lift(known, atMs, peer);
      }
      return;
    }
    const limit = known ?? this.createLimit(endpoint, perSecond, atMs);
    const isUnchanged = known?.perSecond === perSecond && known.liftedAtMs === undefined;
    if (known) {
      this.issuePermits(known);
    }
    const previous = known?.liftedAtMs === undefined ? known?.perSecond : undefined;
    limit.perSecond = perSecond;
    limit.liftedAtMs = undefined;
    limit.knownAtMs = atMs;
    if (!isUnchanged) {
      this.dependencies.logger.log(LogLevel.Info, 'endpoint-limited', {
        endpoint: endpoint.id,
        address: endpoint.address,
        perSecond,
        previous,
        toldBy: peer,
        partPerSecond: Number(this.partOf(limit).toFixed(2)),
        demandPerSecond: Number(this.ownDemand(limit).toFixed(2)),
        peers: this.dependencies.peerCount(),
      });
    }
  }

  private lift(limit: EndpointLimit, atMs: number, peer?: string): void {
    limit.knownAtMs = atMs;
    if (limit.liftedAtMs !== undefined) {
      return;
    }
    this.issuePermits(limit);
    limit.liftedAtMs = this.dependencies.clock.monotonicMs();
    this.dependencies.logger.log(LogLevel.Info, 'endpoint-limit-lifted', {
      endpoint: limit.endpoint.id,
      address: limit.endpoint.address,
      previous: limit.perSecond,
      toldBy: peer,
      sent: limit.sent,
    });
  }

  private createLimit(endpoint: Endpoint, perSecond: number, atMs: number): EndpointLimit {
    const { clock, random } = this.dependencies;
    const created = {
      endpoint,
      perSecond,
      liftedAtMs: undefined,
      knownAtMs: atMs,
      permits: new PermitIssuer(random.float(), clock),
      peerDemands: new Map(),
      sent: 0,
    };
    this.limits.set(incarnationOf(endpoint), created);
    return created;
  }

  private forgetLifted(nowMs: number): void {
    for (const [incarnation, { liftedAtMs }] of this.limits) {
      if (liftedAtMs !== undefined && nowMs - liftedAtMs > liftedMemoryMs) {
        this.limits.delete(incarnation);
      }
    }
  }

  private isRestricting({ liftedAtMs }: EndpointLimit): boolean {
    return (
      liftedAtMs === undefined || this.dependencies.clock.monotonicMs() - liftedAtMs < releaseMs
    );
  }

  private issuePermits(limit: EndpointLimit): void {
    limit.permits.issue(this.partOf(limit), this.ownDemand(limit));
  }

  private ownDemand({ endpoint }: EndpointLimit): number {
    return Math.max(minDemandPerSecond, this.demand.perSecond(endpoint.service));
  }

  /** Returns the rate at which this gateway may send to a limited endpoint, in requests per second. */
  private partOf(limit: EndpointLimit): number {
    const nowMs = this.dependencies.clock.monotonicMs();
    const own = this.ownDemand(limit);
    let known = own;
    for (const [peer, { perSecond, atMs }] of limit.peerDemands) {
      if (nowMs - atMs > peerDemandMemoryMs) {
        limit.peerDemands.delete(peer);
      } else {
        known += perSecond;
      }
    }
    const knownCount = 1 + limit.peerDemands.size;
    const count = Math.max(knownCount, 1 + this.dependencies.peerCount());
    const total = (known / knownCount) * count;
    const { perSecond, liftedAtMs } = limit;
    const releaseFactor =
      liftedAtMs === undefined ? 1 : 2 ** ((nowMs - liftedAtMs) / millisecondsPerSecond);
    return Math.max(minPerSecond, usableShare * perSecond * releaseFactor) * (own / total);
  }
}
