import type { IClock } from '../../../base/common/clock.js';
import {
  arrivalWindowMs,
  outcomeWindowMs,
  type OrganisationUse,
  type RankDemand,
} from './demandSummary.js';
import { compareRanks, rankName, type RequestRank, type RequestUrgency } from './requestRank.js';
import { SlidingSum } from './slidingSum.js';

/** Request whose demand is measured. */
export interface MeasuredRequest {
  readonly urgency: RequestUrgency;
  /** Tokens that it reserves, for each layer. */
  readonly tokens: number;
}

interface Measures {
  lastArrivalMs: number;
  readonly arrived: SlidingSum;
  readonly arrivedTokens: SlidingSum;
  readonly admitted: SlidingSum;
  readonly admittedTokens: SlidingSum;
  readonly refused: SlidingSum;
  servedTokens: number;
  waiting: number;
}

interface RankMeasures extends Measures {
  readonly rank: RequestRank;
}

interface OrganisationMeasures extends Measures {
  readonly organisation: string;
  readonly first: number;
}

/** Time without arrivals after which measures are dropped, in milliseconds. */
const forgetAfterMs = 60_000;

/** Number of ranks or organisations above which outdated measures are dropped. */
const maxRemembered = 256;

/**
 * Returns the name of the flow that shares capacity with others: the requests of one organisation that
 * have the same first priority.
 */
export function flowName(organisation: string, first: number): string {
  return `${first} ${organisation}`;
}

/** Demand for one service at this gateway: arrivals, outcomes and waiting requests. */
export class DemandTracker {
  private readonly byRank = new Map<string, RankMeasures>();

  private readonly byFlow = new Map<string, OrganisationMeasures>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /** Records that a request arrived. */
  recordArrival(req: MeasuredRequest): void {
    for (const measures of this.measuresOf(req)) {
      measures.lastArrivalMs = this.clock.monotonicMs();
      measures.arrived.add(1);
      measures.arrivedTokens.add(Math.round(req.tokens));
    }
  }

  /** Records that a request was admitted. */
  recordAdmitted(req: MeasuredRequest): void {
    for (const measures of this.measuresOf(req)) {
      measures.admitted.add(1);
      measures.admittedTokens.add(Math.round(req.tokens));
      measures.servedTokens += Math.round(req.tokens);
    }
  }

  /** Records that a request was refused for lack of capacity. */
  recordRefused(req: MeasuredRequest): void {
    this.measuresOf(req).forEach((measures) => measures.refused.add(1));
  }

  /**
   * Records that a request joined the queue or left it.
   *
   * @param change - 1 or -1.
   */
  countWaiting(req: MeasuredRequest, change: 1 | -1): void {
    for (const measures of this.measuresOf(req)) {
      measures.waiting += change;
    }
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return [...this.byRank.values()].reduce((sum, { waiting }) => sum + waiting, 0);
  }

  /** Returns the number of waiting requests of a rank. */
  waitingOf(rank: RequestRank): number {
    return this.byRank.get(rankName(rank))?.waiting ?? 0;
  }

  /** Returns the rate at which requests of a rank are admitted here, per millisecond. */
  admittedPerMs(rank: RequestRank): number {
    return (this.byRank.get(rankName(rank))?.admitted.total ?? 0) / outcomeWindowMs;
  }

  /** Demand by rank, the most urgent one first. */
  ranks(): readonly RankDemand[] {
    return [...this.byRank.values()]
      .map(({ rank, waiting, arrived, arrivedTokens, admitted, refused }) => ({
        ...rank,
        waiting,
        arrived: arrived.total,
        arrivedTokens: arrivedTokens.total,
        admitted: admitted.total,
        refused: refused.total,
      }))
      .filter((each) => each.waiting + each.arrived + each.admitted + each.refused > 0)
      .sort(compareRanks);
  }

  /** Use by organisation, the one with the highest demand first. */
  organisations(): readonly OrganisationUse[] {
    return [...this.byFlow.values()]
      .map((each) => ({
        organisation: each.organisation,
        first: each.first,
        waiting: each.waiting,
        arrivedTokens: each.arrivedTokens.total,
        admittedTokens: each.admittedTokens.total,
        admitted: each.admitted.total,
        refused: each.refused.total,
        servedTokens: each.servedTokens,
      }))
      .filter((each) => each.waiting + each.arrivedTokens + each.admitted + each.refused > 0)
      .sort((a, b) => b.arrivedTokens - a.arrivedTokens);
  }

  private measuresOf({ urgency: { rank, organisation } }: MeasuredRequest): readonly Measures[] {
    const ofRank = this.rankMeasures(rank);
    if (organisation === undefined) {
      return [ofRank];
    }
    const flow = flowName(organisation, rank.first);
    let ofFlow = this.byFlow.get(flow);
    if (ofFlow === undefined) {
      this.forgetOutdated(this.byFlow);
      ofFlow = { ...this.createMeasures(), organisation, first: rank.first };
      this.byFlow.set(flow, ofFlow);
    }
    return [ofRank, ofFlow];
  }

  private rankMeasures(rank: RequestRank): RankMeasures {
    const name = rankName(rank);
    let measures = this.byRank.get(name);
    if (measures === undefined) {
      this.forgetOutdated(this.byRank);
      measures = { ...this.createMeasures(), rank };
      this.byRank.set(name, measures);
    }
    return measures;
  }

  private createMeasures(): Measures {
    const { clock } = this;
    return {
      lastArrivalMs: clock.monotonicMs(),
      arrived: new SlidingSum(arrivalWindowMs, clock),
      arrivedTokens: new SlidingSum(arrivalWindowMs, clock),
      admitted: new SlidingSum(outcomeWindowMs, clock),
      admittedTokens: new SlidingSum(arrivalWindowMs, clock),
      refused: new SlidingSum(outcomeWindowMs, clock),
      servedTokens: 0,
      waiting: 0,
    };
  }

  private forgetOutdated(measures: Map<string, Measures>): void {
    if (measures.size < maxRemembered) {
      return;
    }
    const oldestMs = this.clock.monotonicMs() - forgetAfterMs;
    for (const [name, { lastArrivalMs, waiting }] of measures) {
      if (lastArrivalMs < oldestMs && waiting === 0) {
        measures.delete(name);
      }
    }
  }
}
