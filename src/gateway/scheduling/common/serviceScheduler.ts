import type { IClock } from '../../../base/common/clock.js';
import type { IRandom } from '../../../base/common/random.js';
import { FairClock } from '../../../services/shares/common/fairClock.js';
import {
  arrivalWindowMs,
  outcomeWindowMs,
  type DemandSummary,
  type OrganisationUse,
} from './demandSummary.js';
import type { ServiceCapacity } from '../../routing/common/serviceCapacity.js';
import { Contention } from './contention.js';
import { DemandTracker, flowName, type MeasuredRequest } from './demandTracker.js';
import {
  addUpDemand,
  isBelowFloor,
  maxOwnRoomShare,
  servedShareOf,
  type FleetDemand,
} from './fleetDemand.js';
import { PeerDemand } from './peerDemand.js';
import { compareRanks, rankName, type RequestRank, type RequestUrgency } from './requestRank.js';
import { RetrySchedule } from './retrySchedule.js';
import { ReturnTracker } from './returnTracker.js';

/** Request that the scheduler orders among others. */
export interface ScheduledRequest {
  /** Id that the caller gave the request, and keeps when it comes back. */
  readonly requestId?: string;
  readonly urgency?: RequestUrgency;
  /** Tokens of key-value cache that it reserves. */
  readonly reservedTokens: number;
  /** Time of arrival, in monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Latency objective for the first event, in milliseconds since the arrival. */
  readonly objectiveMs: number;
  /** Maximum time in the queue, in milliseconds. */
  readonly maxWaitMs: number;
}

/** What became of a request. */
export enum SchedulingOutcome {
  Admitted = 'admitted',
  Refused = 'refused',
  /** Refused because a more urgent request took its place in the queue. */
  Yielded = 'yielded',
}

/** Decision about one request. */
export interface SchedulingDecision {
  readonly outcome: SchedulingOutcome;
  readonly service: string;
  readonly rank: string;
  readonly organisation: string | undefined;
  readonly waitedMs: number;
  /** Share of the endpoints' capacity that the request leaves to others. */
  readonly headroomShare: number;
  /** Share of the requests of its rank that were admitted lately at all gateways, from 0 to 1. */
  readonly servedShare: number;
  /** Whether the caller came back at the time that an earlier refusal told. */
  readonly isReturn: boolean;
  /** Age of the oldest summary of a peer that is taken into account, in milliseconds; 0 without peers. */
  readonly viewAgeMs: number;
}

interface View {
  readonly atMs: number;
  readonly demand: FleetDemand;
  readonly peers: readonly DemandSummary[];
  readonly oldestAgeMs: number;
  /** Time after which a change at one gateway has taken effect at the others, in milliseconds. */
  readonly lagMs: number;
}

/** Use of the endpoints, less what was admitted here since it was measured. */
interface MeasuredUse {
  readonly atMs: number;
  readonly running: number;
  free: number;
}

interface OrderedEntry<T> {
  readonly entry: T;
  readonly req: ScheduledRequest;
  readonly isBelowFloor: boolean;
  readonly isLate: boolean;
  readonly isReturn: boolean;
  startTime: number;
}

/**
 * Time for which the sums over all gateways are reused, in milliseconds. Each peer sends ten messages a
 * second at most, and adding up those of 27 gateways takes 0.5 ms.
 */
const viewTtlMs = 50;

/** Time for which the measured free capacity is reused, in milliseconds; the queue is checked as often. */
const capacityTtlMs = 25;

/** Bounds of the lag of the view, in milliseconds; peers send a message each 100 to 430 ms. */
const minLagMs = 100;
const maxLagMs = 500;

/** Time for which capacity counts as short after a request waited, in milliseconds. */
const shortAfterWaitMs = 1_000;

/** Time for which capacity counts as short after a request was refused, in milliseconds. */
const shortAfterRefusalMs = 3_000;

/**
 * Maximum share of the capacity that is left free. Reached only if urgent requests wait in numbers; they
 * then get what becomes free, and the others keep what they have.
 */
const maxHeadroomShare = 0.25;

/**
 * Headroom for a rank is bounded by how many of its requests are admitted, so that requests that no
 * endpoint can take hold little capacity back, and none once the first of them were refused. Expected
 * arrivals are bounded by a multiple of the rate of admissions, and waiting requests by those admitted
 * within a time, each plus what lets a rank begin.
 */
const arrivalsPerAdmission = 2;
const minArrivalsPerSecond = 4;
const waitingAdmissionsMs = 500;
const minWaiting = 2;

/** Number of requests that may wait even if none was admitted lately, as long as several run. */
const minQueueCapacity = 4;

/** Weight of the last admission in the mean time to the first event. */
const firstEventWeight = 0.1;

const millisecondsPerSecond = 1_000;

const neutralRank: RequestRank = { first: 0, second: 0 };

/**
 * Decides which requests of one model service come first while capacity is short: by rank, then by whether
 * the objective can still be met, then by the fair share of the organisation, then by age. A caller that
 * comes back at the time that it was told counts as older than the others.
 *
 * It combines what it measures at this gateway with the summaries of the peers, so that the decision is
 * about the same at whichever gateway a request arrives.
 */
export class ServiceScheduler {
  private readonly tracker: DemandTracker;

  private readonly peers: PeerDemand;

  private readonly fairClock = new FairClock();

  private readonly retries: RetrySchedule;

  private readonly contention: Contention;

  private readonly returns: ReturnTracker;

  /** Requests whose callers came back at the time told, until they have an outcome. */
  private readonly returned = new WeakSet<ScheduledRequest>();

  private shortUntilMs = 0;

  private view: View | undefined;

  private use: MeasuredUse = { atMs: Number.NEGATIVE_INFINITY, running: 0, free: 0 };

  private meanFirstEventMs = 0;

  /**
   * @param service - Name of the service.
   * @param capacity - Estimates how many more requests fit its endpoints.
   * @param random - Decides which gateway goes first among several that wait for the same capacity.
   * @param clock - Source of time.
   * @param onDidDecide - Called with each decision about a request that has an urgency.
   */
  constructor(
    private readonly service: string,
    private readonly capacity: ServiceCapacity,
    random: IRandom,
    private readonly clock: IClock,
    private readonly onDidDecide: (decision: SchedulingDecision) => void = () => undefined,
  ) {
    this.tracker = new DemandTracker(clock);
    this.peers = new PeerDemand(clock);
    this.retries = new RetrySchedule(clock);
    this.contention = new Contention(random, clock);
    this.returns = new ReturnTracker(clock);
  }

  /** Records that a request arrived. */
  recordArrival(req: ScheduledRequest): void {
    this.measure(req, (measured) => this.tracker.recordArrival(measured));
    if (this.returns.isReturn(req.requestId)) {
      this.returned.add(req);
    }
  }

  /**
   * Records that a request was admitted.
   *
   * @param req - The request.
   * @param firstEventMs - Expected time from now to its first event, in milliseconds.
   */
  recordAdmitted(req: ScheduledRequest, firstEventMs: number): void {
    this.meanFirstEventMs += firstEventWeight * (firstEventMs - this.meanFirstEventMs);
    this.measure(req, (measured) => {
      const { organisation, rank } = measured.urgency;
      this.tracker.recordAdmitted(measured);
      if (this.currentView().demand.isShort) {
        this.contention.recordTaken(this.capacity.countOwn() - 1);
        this.use.free = Math.max(0, this.use.free - 1);
      }
      if (organisation !== undefined) {
        this.fairClock.serve(flowName(organisation, rank.first), measured.tokens);
      }
      this.report(SchedulingOutcome.Admitted, req, measured.urgency);
    });
  }

  /**
   * Records that a request is refused for lack of capacity.
   *
   * @param req - The request.
   * @param outcome - Whether it was refused or yielded to another one.
   * @returns The time after which a request of its rank can expect capacity, in milliseconds from now.
   */
  refuse(
    req: ScheduledRequest,
    outcome: SchedulingOutcome.Refused | SchedulingOutcome.Yielded,
  ): number {
    const rank = req.urgency?.rank ?? neutralRank;
    const retryAfterMs = this.retries.nextDelayMs(rankName(rank), this.tracker.admittedPerMs(rank));
    this.measure(req, (measured) => {
      this.tracker.recordRefused(measured);
      this.extendShortage(shortAfterRefusalMs);
      this.report(outcome, req, measured.urgency);
    });
    this.returns.recordRefusal(req.requestId, retryAfterMs);
    return retryAfterMs;
  }

  /** Records that a request joined the queue. */
  recordQueued(req: ScheduledRequest): void {
    this.measure(req, (measured) => {
      this.tracker.countWaiting(measured, 1);
      this.extendShortage(shortAfterWaitMs);
    });
  }

  /** Records that a request left the queue. */
  recordDequeued(req: ScheduledRequest): void {
    this.measure(req, (measured) => {
      this.tracker.countWaiting(measured, -1);
      this.extendShortage(shortAfterWaitMs);
    });
  }

  /**
   * Returns the share of the endpoints' memory and slots that a request leaves to more urgent requests,
   * and to organisations that have less than their share, that are expected to arrive anywhere before
   * the gateways know of each other's.
   *
   * @param req - The request.
   * @returns A share from 0 to 1; 0 unless capacity is short.
   */
  headroomShare(req: ScheduledRequest): number {
    const { urgency } = req;
    const view = this.currentView();
    const { demand } = view;
    if (urgency === undefined || !demand.isShort) {
      return 0;
    }
    const expected = this.expectedAhead(urgency, view);
    if (expected.tokens === 0 || isBelowFloor(demand, urgency)) {
      return 0;
    }
    const { running, free } = this.measureUse(demand);
    // Of the whole capacity: where other endpoints have room, the one that binds keeps less of its own free.
    const share = expected.tokens / (Math.max(1, running + free) * Math.max(1, demand.meanTokens));
    return Math.min(maxHeadroomShare, share);
  }

  /**
   * Returns whether a request may take free capacity now, or has to leave it to other gateways that wait for
   * the same.
   *
   * @param req - The request.
   */
  mayTake({ urgency }: ScheduledRequest): boolean {
    const view = this.currentView();
    if (urgency === undefined || !view.demand.isShort) {
      return true;
    }
    if (hasOwnRoom(urgency, view.demand)) {
      return true;
    }
    const contenders = countContenders(urgency.rank, view);
    return this.contention.mayTake({
      ownRunning: this.capacity.countOwn(),
      free: this.measureUse(view.demand).free,
      contenders,
      lagMs: view.lagMs,
    });
  }

  /**
   * Orders requests that wait.
   *
   * @param entries - Requests of which none is resumed.
   * @param reqOf - Returns the request of an entry.
   * @returns The entries, the one to be served first at the front.
   */
  order<T>(entries: readonly T[], reqOf: (entry: T) => ScheduledRequest): readonly T[] {
    const now = this.clock.monotonicMs();
    const { demand } = this.currentView();
    const ordered = entries.map((entry): OrderedEntry<T> => {
      const req = reqOf(entry);
      return {
        entry,
        req,
        isBelowFloor:
          demand.isShort && req.urgency !== undefined && isBelowFloor(demand, req.urgency),
        isLate:
          now - req.arrivedMs + this.meanFirstEventMs >= req.objectiveMs &&
          !fitsShare(demand, req.urgency),
        isReturn: this.returned.has(req),
        startTime: 0,
      };
    });
    ordered.sort(compareEntries);
    const hasShares = ordered.some(({ req }) => req.urgency?.organisation !== undefined);
    if (hasShares) {
      this.assignStartTimes(ordered);
      ordered.sort(compareEntries);
    }
    return ordered.map(({ entry }) => entry);
  }

  /**
   * Returns the request that has to leave the queue because more wait than can be served in time.
   *
   * @param ordered - Waiting requests in order, including the one that arrived.
   * @param reqOf - Returns the request of an entry.
   * @param arrived - The entry that arrived.
   * @param admissionsPerMs - Rate of admissions at this gateway, over all ranks.
   * @returns The entry to refuse, or undefined if all may wait.
   */
  findExcess<T>(
    ordered: readonly T[],
    reqOf: (entry: T) => ScheduledRequest,
    arrived: T,
    admissionsPerMs: number,
  ): T | undefined {
    const { urgency, maxWaitMs } = reqOf(arrived);
    const rank = urgency?.rank ?? neutralRank;
    const ofRank = ordered.filter(
      (entry) => compareRanks(reqOf(entry).urgency?.rank ?? neutralRank, rank) === 0,
    );
    const capacityAt = (perMs: number) => minQueueCapacity + perMs * maxWaitMs;
    // The entry itself is part of the queue here.
    if (ofRank.length - 1 > capacityAt(this.tracker.admittedPerMs(rank))) {
      return ofRank[ofRank.length - 1];
    }
    if (ordered.length - 1 > capacityAt(admissionsPerMs)) {
      return ordered[ordered.length - 1];
    }
    return undefined;
  }

  /** Returns what peers have to know; undefined unless capacity is short here or at a peer. */
  createSummary(): DemandSummary | undefined {
    return this.currentView().demand.isShort ? this.ownSummary() : undefined;
  }

  /**
   * Takes over the summary of a peer.
   *
   * @param peer - Name of the peer.
   * @param summary - Its summary; undefined if its message has none for the service.
   */
  handleSummary(peer: string, summary: DemandSummary | undefined): void {
    const previous = this.peers.update(peer, summary);
    if (summary && previous) {
      this.serveElsewhere(previous.organisations, summary.organisations);
    }
  }

  /** Returns the demand at this gateway, the most urgent ranks and the largest organisations first. */
  ownSummary(): DemandSummary {
    return {
      service: this.service,
      isShort: this.clock.monotonicMs() < this.shortUntilMs || this.tracker.waitingCount > 0,
      ranks: this.tracker.ranks(),
      organisations: this.tracker.organisations(),
    };
  }

  /** Adds what peers admitted since their last message to the use of the organisations. */
  private serveElsewhere(
    previous: readonly OrganisationUse[],
    current: readonly OrganisationUse[],
  ): void {
    const servedBefore = new Map(
      previous.map((use) => [flowName(use.organisation, use.first), use.servedTokens]),
    );
    current
      .map((use) => {
        const flow = flowName(use.organisation, use.first);
        const tokens = use.servedTokens - (servedBefore.get(flow) ?? use.servedTokens);
        return { flow, tokens, startTime: this.fairClock.startTimeOf(flow) };
      })
      .filter(({ tokens }) => tokens > 0)
      .sort((a, b) => a.startTime - b.startTime)
      .forEach(({ flow, tokens }) => this.fairClock.serve(flow, tokens));
  }

  /** Computes the demand that a request leaves room for, in tokens. */
  private expectedAhead(
    urgency: RequestUrgency,
    { demand, lagMs }: View,
  ): { readonly tokens: number } {
    let arriving = 0;
    let waiting = 0;
    let tokens = 0;
    for (const rank of demand.ranks) {
      if (compareRanks(rank, urgency.rank) >= 0) {
        break;
      }
      if (rank.admitted === 0 && rank.refused > 0) {
        continue; // no endpoint takes its requests
      }
      const admittedPerSecond = (rank.admitted * millisecondsPerSecond) / outcomeWindowMs;
      const perSecond = Math.min(
        (rank.arrived * millisecondsPerSecond) / arrivalWindowMs,
        arrivalsPerAdmission * admittedPerSecond + minArrivalsPerSecond,
      );
      const arrivingOfRank = (perSecond * lagMs) / millisecondsPerSecond;
      const waitingOfRank = Math.min(
        rank.waiting + this.tracker.waitingOf(rank),
        maxWaitingOf(rank.admitted),
      );
      const meanTokens = rank.arrived > 0 ? rank.arrivedTokens / rank.arrived : demand.meanTokens;
      arriving += arrivingOfRank;
      waiting += waitingOfRank;
      tokens += meanTokens * (arrivingOfRank + waitingOfRank);
    }
    const owed = owedTo(urgency, demand);
    const meanTokens = Math.max(1, demand.meanTokens);
    const owedTokens = (owed.arrivingTokens * lagMs) / arrivalWindowMs;
    arriving += owedTokens / meanTokens;
    waiting += owed.waiting;
    tokens += owedTokens + owed.waiting * meanTokens;
    if (arriving + waiting === 0) {
      return { tokens: 0 };
    }
    // Arrivals are as good as independent, so their number varies by its root.
    return { tokens: tokens * (1 + Math.sqrt(arriving) / (arriving + waiting)) };
  }

  private assignStartTimes<T>(ordered: readonly OrderedEntry<T>[]): void {
    const nextStartTimes = new Map<string, number>();
    for (const each of ordered) {
      const { urgency, reservedTokens } = each.req;
      if (urgency?.organisation !== undefined) {
        const flow = flowName(urgency.organisation, urgency.rank.first);
        each.startTime = nextStartTimes.get(flow) ?? this.fairClock.startTimeOf(flow);
        nextStartTimes.set(flow, each.startTime + reservedTokens);
      }
    }
  }

  private measure(req: ScheduledRequest, action: (measured: MeasuredRequest) => void): void {
    if (req.urgency) {
      action({ urgency: req.urgency, tokens: req.reservedTokens });
    }
  }

  private extendShortage(byMs: number): void {
    this.shortUntilMs = Math.max(this.shortUntilMs, this.clock.monotonicMs() + byMs);
    if (this.view && !this.view.demand.isShort) {
      this.view = undefined;
    }
  }

  private currentView(): View {
    const now = this.clock.monotonicMs();
    if (this.view && now - this.view.atMs < viewTtlMs) {
      return this.view;
    }
    const peers = this.peers.current();
    const ages = peers.map(({ atMs }) => now - atMs);
    const meanAgeMs = ages.reduce((sum, ageMs) => sum + ageMs, 0) / Math.max(1, ages.length);
    const demand = addUpDemand(
      this.ownSummary(),
      peers.map(({ summary }) => summary),
    );
    this.view = {
      atMs: now,
      demand,
      peers: peers.map(({ summary }) => summary),
      oldestAgeMs: Math.max(0, ...ages),
      lagMs: Math.min(maxLagMs, Math.max(minLagMs, 2 * meanAgeMs + capacityTtlMs)),
    };
    return this.view;
  }

  private measureUse({ meanTokens }: FleetDemand): MeasuredUse {
    const now = this.clock.monotonicMs();
    if (now - this.use.atMs >= capacityTtlMs) {
      this.use = { atMs: now, ...this.capacity.measure(meanTokens) };
    }
    return this.use;
  }

  private report(
    outcome: SchedulingOutcome,
    req: ScheduledRequest,
    { rank, organisation }: RequestUrgency,
  ): void {
    const { demand, oldestAgeMs } = this.currentView();
    const ofRank = demand.ranks.find((other) => compareRanks(other, rank) === 0);
    this.onDidDecide({
      outcome,
      service: this.service,
      rank: rankName(rank),
      organisation,
      waitedMs: this.clock.monotonicMs() - req.arrivedMs,
      headroomShare: this.headroomShare(req),
      servedShare: ofRank ? servedShareOf(ofRank) : 1,
      isReturn: this.returned.has(req),
      viewAgeMs: oldestAgeMs,
    });
  }
}

/**
 * Returns whether an organisation demands no more than its share, so that its requests that are late don't
 * fall behind those of organisations that demand more.
 */
function fitsShare({ flows }: FleetDemand, urgency: RequestUrgency | undefined): boolean {
  const { organisation, rank } = urgency ?? {};
  return (
    organisation !== undefined &&
    rank !== undefined &&
    flows.get(flowName(organisation, rank.first))?.fitsShare === true
  );
}

/**
 * Returns whether the room that others leave to a request is large enough for all such requests: those of
 * the most urgent rank, or those of the organisations whose demand fits their share.
 */
function hasOwnRoom(
  { rank, organisation }: RequestUrgency,
  { ranks, flows }: FleetDemand,
): boolean {
  if (
    organisation !== undefined &&
    flows.get(flowName(organisation, rank.first))?.hasOwnRoom === true
  ) {
    return true;
  }
  const [mostUrgent, ...others] = ranks.filter(({ arrived }) => arrived > 0);
  if (mostUrgent === undefined || others.length === 0 || compareRanks(mostUrgent, rank) !== 0) {
    return false;
  }
  const admitted = ranks.reduce((sum, each) => sum + each.admitted, 0);
  return mostUrgent.arrived / arrivalWindowMs < (maxOwnRoomShare * admitted) / outcomeWindowMs;
}

/** Returns the expected number of peers that want capacity for a rank before they hear of this gateway. */
function countContenders(rank: RequestRank, { peers, lagMs }: View): number {
  return peers.reduce((sum, { ranks }) => {
    const ofRank = ranks.find((other) => compareRanks(other, rank) === 0);
    const arriving = ((ofRank?.arrived ?? 0) * lagMs) / arrivalWindowMs;
    return sum + Math.min(1, (ofRank?.waiting ?? 0) + arriving);
  }, 0);
}

/**
 * Returns the number of waiting requests for which others leave room.
 *
 * @param admitted - Requests of the same kind that were admitted within the window of outcomes.
 */
function maxWaitingOf(admitted: number): number {
  return minWaiting + (admitted * waitingAdmissionsMs) / outcomeWindowMs;
}

/** Returns the demand that an organisation leaves room for which has its share. */
function owedTo(
  { rank, organisation }: RequestUrgency,
  { flows }: FleetDemand,
): { readonly arrivingTokens: number; readonly waiting: number } {
  const own =
    organisation === undefined ? undefined : flows.get(flowName(organisation, rank.first));
  let arrivingTokens = 0;
  let waiting = 0;
  if (own?.mustYield) {
    for (const flow of flows.values()) {
      if (flow.first === rank.first && !flow.mustYield) {
        arrivingTokens += flow.fairTokens;
        waiting += Math.min(flow.waiting, maxWaitingOf(flow.admitted));
      }
    }
  }
  return { arrivingTokens, waiting };
}

function compareEntries(a: OrderedEntry<unknown>, b: OrderedEntry<unknown>): number {
  return (
    Number(b.isBelowFloor) - Number(a.isBelowFloor) ||
    compareRanks(a.req.urgency?.rank ?? neutralRank, b.req.urgency?.rank ?? neutralRank) ||
    Number(a.isLate) - Number(b.isLate) ||
    a.startTime - b.startTime ||
    Number(b.isReturn) - Number(a.isReturn) ||
    a.req.arrivedMs - b.req.arrivedMs
  );
}
