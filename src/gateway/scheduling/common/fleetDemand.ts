import { waterFilling } from '../../../services/shares/common/waterFilling.js';
import type { DemandSummary, OrganisationUse, RankDemand } from './demandSummary.js';
import { flowName } from './demandTracker.js';
import { compareRanks, rankName, type RequestUrgency } from './requestRank.js';

/** Demand for one service at all gateways that were heard lately. */
export interface FleetDemand {
  /** Whether requests wait at any gateway, or were refused lately for lack of capacity. */
  readonly isShort: boolean;
  /** Demand by rank, the most urgent one first. The waiting requests are those at peers only. */
  readonly ranks: readonly RankDemand[];
  readonly flows: ReadonlyMap<string, FlowState>;
  /** Share of all requests that were admitted lately, from 0 to 1. */
  readonly servedShare: number;
  /** Mean size of the requests that arrived lately, in tokens. */
  readonly meanTokens: number;
}

/** Use and fair share of an organisation's requests that have the same first priority. */
export interface FlowState extends OrganisationUse {
  /** Part of the capacity that its requests are due, in tokens within the window of arrivals. */
  readonly fairTokens: number;
  /**
   * Whether it demands more than its share and has it. Its requests then leave headroom to those
   * organisations that haven't.
   */
  readonly mustYield: boolean;
  /** Whether it demands no more than its share. */
  readonly fitsShare: boolean;
  /** Whether its demand fits its share, and others leave room for all such organisations together. */
  readonly hasOwnRoom: boolean;
}

/**
 * Share of what is admitted up to which requests that others leave room for take what they find free. Above
 * it they compete for that room themselves, and endpoints would get too many of them.
 */
export const maxOwnRoomShare = 0.6;

/**
 * Share of its fair part from which an organisation that demands more yields to others. Below 1, so that
 * an organisation whose whole demand fits its share isn't the one that gives way to fluctuations.
 */
const yieldFromShare = 0.9;

/**
 * Minimum served share of a rank or an organisation, relative to that of all requests. A half is
 * guaranteed; the rest makes up for what is known late.
 */
const minServedShare = 0.55;

/**
 * The same for an organisation that has its fair share and demands more. Its own requests are most of those
 * that aren't served, so a higher minimum would let a flood take what others are due; a quarter counts
 * as starved.
 */
const minServedShareAboveFair = 0.3;

/**
 * Adds up the demand at this gateway and at its peers.
 *
 * @param own - Demand at this gateway.
 * @param peers - Summaries of the peers.
 */
export function addUpDemand(own: DemandSummary, peers: readonly DemandSummary[]): FleetDemand {
  const ranks = new Map<string, Mutable<RankDemand>>();
  const uses = new Map<string, Mutable<OrganisationUse>>();
  own.ranks.forEach((rank) => addRank(ranks, { ...rank, waiting: 0 }));
  own.organisations.forEach((use) => addUse(uses, use));
  peers.forEach((summary) => {
    summary.ranks.forEach((rank) => addRank(ranks, rank));
    summary.organisations.forEach((use) => addUse(uses, use));
  });
  const sorted = [...ranks.values()].sort(compareRanks);
  const sumOf = (read: (rank: RankDemand) => number) =>
    sorted.reduce((sum, rank) => sum + read(rank), 0);
  return {
    isShort: own.isShort || peers.some(({ isShort }) => isShort),
    ranks: sorted,
    flows: toFlowStates([...uses.values()]),
    servedShare: servedShareOf({
      admitted: sumOf(({ admitted }) => admitted),
      refused: sumOf(({ refused }) => refused),
    }),
    meanTokens:
      sumOf(({ arrivedTokens }) => arrivedTokens) /
      Math.max(
        1,
        sumOf((r) => r.arrived),
      ),
  };
}

/**
 * Returns whether the requests of a rank, or those of an organisation, are served so much less often than
 * all requests that they come first now.
 *
 * @param demand - Demand at all gateways.
 * @param urgency - Urgency of such a request.
 */
export function isBelowFloor(demand: FleetDemand, { rank, organisation }: RequestUrgency): boolean {
  const ofRank = demand.ranks.find((other) => compareRanks(other, rank) === 0);
  const ofFlow =
    organisation === undefined ? undefined : demand.flows.get(flowName(organisation, rank.first));
  const minOfFlow = ofFlow?.mustYield ? minServedShareAboveFair : minServedShare;
  const isBelow = (each: RankDemand | FlowState | undefined, minShare: number) =>
    each !== undefined && servedShareOf(each) < minShare * demand.servedShare;
  return isBelow(ofRank, minServedShare) || isBelow(ofFlow, minOfFlow);
}

/** Returns the share of requests that were admitted; 1 if none had an outcome. */
export function servedShareOf({
  admitted,
  refused,
}: {
  readonly admitted: number;
  readonly refused: number;
}): number {
  return admitted + refused === 0 ? 1 : admitted / (admitted + refused);
}

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };

function addRank(ranks: Map<string, Mutable<RankDemand>>, rank: RankDemand): void {
  const name = rankName(rank);
  const sum = ranks.get(name);
  if (sum === undefined) {
    ranks.set(name, { ...rank });
    return;
  }
  sum.waiting += rank.waiting;
  sum.arrived += rank.arrived;
  sum.arrivedTokens += rank.arrivedTokens;
  sum.admitted += rank.admitted;
  sum.refused += rank.refused;
}

function addUse(uses: Map<string, Mutable<OrganisationUse>>, use: OrganisationUse): void {
  const name = flowName(use.organisation, use.first);
  const sum = uses.get(name);
  if (sum === undefined) {
    uses.set(name, { ...use });
    return;
  }
  sum.waiting += use.waiting;
  sum.arrivedTokens += use.arrivedTokens;
  sum.admittedTokens += use.admittedTokens;
  sum.admitted += use.admitted;
  sum.refused += use.refused;
  sum.servedTokens += use.servedTokens;
}

/** Computes what each organisation is due of the capacity that those of its first priority had lately. */
function toFlowStates(uses: readonly OrganisationUse[]): ReadonlyMap<string, FlowState> {
  const states = new Map<string, FlowState>();
  for (const first of new Set(uses.map((use) => use.first))) {
    const group = uses.filter((use) => use.first === first);
    const capacity = group.reduce((sum, { admittedTokens }) => sum + admittedTokens, 0);
    const fair = waterFilling(
      capacity,
      group.map(({ organisation, arrivedTokens }) => ({
        organisation,
        demand: arrivedTokens,
        weight: 1,
        ceiling: 1,
        lend: true,
      })),
    );
    const fairTokensOf = ({ organisation }: OrganisationUse) => fair.get(organisation) ?? 0;
    const fitting = group.filter((use) => use.arrivedTokens <= fairTokensOf(use));
    const fittingTokens = fitting.reduce((sum, { arrivedTokens }) => sum + arrivedTokens, 0);
    const haveRoom = fitting.length < group.length && fittingTokens < maxOwnRoomShare * capacity;
    for (const use of group) {
      const fairTokens = fairTokensOf(use);
      const fitsShare = use.arrivedTokens <= fairTokens;
      states.set(flowName(use.organisation, first), {
        ...use,
        fairTokens,
        fitsShare,
        mustYield: !fitsShare && use.admittedTokens > yieldFromShare * fairTokens,
        hasOwnRoom: haveRoom && fitsShare,
      });
    }
  }
  return states;
}
