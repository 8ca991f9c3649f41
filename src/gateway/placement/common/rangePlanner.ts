import type { EngineProfile } from '../../config/common/configSnapshot.js';
import type { LayerRange } from '../../directory/common/endpoint.js';
import type { Assignment, PlacedEndpoint } from './assignment.js';
import { ChainRebalancer } from './chainRebalancer.js';

/** Assignments for data centres that form chains together. */
interface GroupPlan {
  readonly group: readonly PlacedEndpoint[];
  readonly chains: readonly Assignment[];
  readonly spares: readonly Assignment[];
  readonly repairs: readonly Assignment[];
}

/** Minimum memory that a chain needs for requests, as a share of the memory of its weights. */
const minHeadroomShare = 0.1;

/**
 * Minimum memory for requests in chains that include the slowest cards, as a share of the memory of their
 * weights. With this much they hold more requests than chains of only the fast cards.
 */
const mixedHeadroomShare = 0.35;

/**
 * The slowest cards join chains if all cards of the data centre together form at least this many chains.
 * With two chains, each layer has a second holder.
 */
const minMixedChains = 2;

/** Share of a card's memory that weights may take; the rest is key-value cache for requests. */
const maxWeightShare = 0.9;

/**
 * Share of a card's memory that weights usually take if the card is a spare, or joins after the initial
 * plan of its chain. The rest gives it capacity for many requests.
 */
const usualWeightShare = 0.65;

/**
 * Time for which a new fast card stays empty while no chain lacks layers, in milliseconds. In a
 * rolling release the new endpoint joins before the old one leaves. Which layers the new one must take
 * over is not known until the old one has left.
 */
const standbyMs = 3_000;

/**
 * Minimum size of a gap that a standby card is assigned to, as a share of the layers that fit into
 * {@link usualWeightShare} of its memory.
 */
const standbyFitShare = 0.6;

/** Weight of a spare card in the count of a layer's holders; a card of a chain counts 1. */
const spareHolderWeight = 0.35;

function size(range: LayerRange): number {
  return range.to - range.from;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Assigns layer ranges to endpoints.
 *
 * The cards of a data centre form chains that lie wholly within the data centre, because prompt
 * activations would saturate the links between data centres. A chain holds every layer once. Each
 * card of a chain gets layers in proportion to its memory, so that all stages have capacity for the
 * same number of requests. Where all cards together form two chains or more, the slowest kind of card
 * is part of them, which costs speed and gains memory. Elsewhere the slowest cards are spares, each
 * with a few of the layers that have the fewest holders. When layers of a data centre lose their last
 * holder, slow endpoints whose own layers have other holders take them over; if there are none, the
 * {@link ChainRebalancer} distributes the layers of that data centre anew.
 */
export class RangePlanner {
  /** @param engine - Engine profile of the service. */
  constructor(private readonly engine: EngineProfile) {}

  /**
   * Plans the next assignments.
   *
   * @param endpoints - Endpoints that accept new requests and answer.
   * @returns First the moves that repair gaps, because they take the least time, then ranges for empty
   *   endpoints of chains, then ranges for empty spares.
   */
  plan(endpoints: readonly PlacedEndpoint[]): readonly Assignment[] {
    const plans = this.planGroups(endpoints);
    return [
      ...plans.flatMap(({ repairs }) => repairs),
      ...plans.flatMap(({ chains }) => chains),
      ...plans.flatMap(({ spares }) => spares),
    ];
  }

  /**
   * Plans how data centres distribute their layers anew, for gaps that no assignment of {@link plan} closes.
   * Layers of silent endpoints are no gap: most of these endpoints come back soon.
   *
   * @param endpoints - Endpoints that the store lists as ready, including silent ones.
   * @returns The next ranges of endpoints that take part; empty if no data centre needs it.
   */
  planRebalancing(endpoints: readonly PlacedEndpoint[]): readonly Assignment[] {
    const rebalancer = new ChainRebalancer({
      layerCount: this.engine.layerCount,
      usable: (memoryMb) => this.maxLayers(memoryMb, maxWeightShare),
      total: (memoryMb) => Math.floor(memoryMb / this.engine.layerMb),
    });
    return this.planGroups(endpoints)
      .filter(({ repairs, chains, spares }) => repairs.length + chains.length + spares.length === 0)
      .flatMap(({ group }) => rebalancer.plan(group));
  }

  private planGroups(endpoints: readonly PlacedEndpoint[]): readonly GroupPlan[] {
    const dataCentres = [...new Set(endpoints.map(({ dataCentre }) => dataCentre))].sort();
    const groups = this.groupDataCentres(dataCentres, endpoints);
    return groups.map((group) => this.planGroup(group));
  }

  private get slowestStepFactor(): number {
    return Math.max(...[...this.engine.cards.values()].map(({ stepFactor }) => stepFactor));
  }

  /**
   * Groups endpoints by data centre; data centres without the memory for a chain of their own form one
   * group together.
   */
  private groupDataCentres(
    dataCentres: readonly string[],
    endpoints: readonly PlacedEndpoint[],
  ): readonly (readonly PlacedEndpoint[])[] {
    const needMb = this.chainMb(minHeadroomShare);
    const selfSufficient: PlacedEndpoint[][] = [];
    const pooled: PlacedEndpoint[] = [];
    for (const dataCentre of dataCentres) {
      const inDataCentre = endpoints.filter((endpoint) => endpoint.dataCentre === dataCentre);
      if (sum(inDataCentre.map(({ memoryMb }) => memoryMb)) >= needMb) {
        selfSufficient.push(inDataCentre);
      } else {
        pooled.push(...inDataCentre);
      }
    }
    return pooled.length > 0 ? [...selfSufficient, pooled] : selfSufficient;
  }

  private planGroup(endpoints: readonly PlacedEndpoint[]): GroupPlan {
    const { chainCards, headroom } = this.chooseChainCards(endpoints);
    const spareCards = endpoints.filter((endpoint) => !chainCards.includes(endpoint));
    const slowCards = endpoints.filter(({ stepFactor }) => stepFactor >= this.slowestStepFactor);
    const held: Assignment[] = endpoints.flatMap(({ address, layers }) =>
      layers ? [{ address, layers }] : [],
    );
    const chains =
      this.continueInitialPlan(chainCards, headroom) ??
      this.assignEmptyCards(chainCards, held, chainCards, headroom);
    const spares = this.assignEmptyCards(spareCards, [...held, ...chains], chainCards, headroom);
    const repairs = this.planRepairs(endpoints, slowCards, [...held, ...chains, ...spares]);
    return { group: endpoints, chains, spares, repairs };
  }

  /** Chooses the cards that form chains and the headroom of these chains. */
  private chooseChainCards(endpoints: readonly PlacedEndpoint[]): {
    readonly chainCards: readonly PlacedEndpoint[];
    readonly headroom: number;
  } {
    if (chainCount(endpoints, this.chainMb(mixedHeadroomShare)) >= minMixedChains) {
      return { chainCards: endpoints, headroom: mixedHeadroomShare };
    }
    const fast = endpoints.filter(({ stepFactor }) => stepFactor < this.slowestStepFactor);
    const formsChain = chainCount(fast, this.chainMb(minHeadroomShare)) > 0;
    return { chainCards: formsChain ? fast : endpoints, headroom: minHeadroomShare };
  }

  /** Moves slow cards whose layers have other holders to layers that have none. */
  private planRepairs(
    endpoints: readonly PlacedEndpoint[],
    slowCards: readonly PlacedEndpoint[],
    held: readonly Assignment[],
  ): readonly Assignment[] {
    const holderCounts = new Array<number>(this.engine.layerCount).fill(0);
    const add = ({ from, to }: LayerRange, delta: number) => {
      for (let layer = from; layer < to; layer += 1) {
        holderCounts[layer] += delta;
      }
    };
    // A fast card takes seconds to load its many layers, which have no holder until then.
    const loadingAddresses = new Set(
      endpoints
        .filter(({ isSettled, layers, stepFactor }) =>
          stepFactor < this.slowestStepFactor ? !isSettled || layers === undefined : false,
        )
        .map(({ address }) => address),
    );
    held
      .filter(({ address }) => !loadingAddresses.has(address))
      .forEach(({ layers }) => add(layers, 1));
    const movable = slowCards
      .flatMap((each) => (each.layers && each.isSettled ? [{ ...each, layers: each.layers }] : []))
      .sort(
        (a, b) =>
          a.requests - b.requests ||
          size(a.layers) - size(b.layers) ||
          a.address.localeCompare(b.address),
      );
    const moves: Assignment[] = [];
    for (const { address, layers, memoryMb } of movable) {
      const gap = longestRun(holderCounts, (count) => count === 0);
      if (size(gap) === 0) {
        break;
      }
      if (holderCounts.slice(layers.from, layers.to).every((count) => count > 1)) {
        const length = Math.min(size(gap), this.maxLayers(memoryMb, usualWeightShare));
        const target = { from: gap.from, to: gap.from + length };
        // Released layers keep their memory until their requests end, so a full card shrinks to one
        // layer before it loads the gap.
        const fits = size(layers) + length <= this.maxLayers(memoryMb, 1);
        moves.push({ address, layers: fits ? target : { from: layers.from, to: layers.from + 1 } });
        add(layers, -1);
        add(target, 1);
      }
    }
    return moves;
  }

  /**
   * Returns the remaining assignments of the initial plan, or undefined if a card of this plan already
   * holds other layers.
   */
  private continueInitialPlan(
    chainCards: readonly PlacedEndpoint[],
    headroom: number,
  ): readonly Assignment[] | undefined {
    const held = new Map(chainCards.map(({ address, layers }) => [address, layers]));
    const initialPlan = this.planInitialChains(chainCards, headroom);
    const isConsistent = initialPlan.every(({ address, layers }) => {
      const current = held.get(address);
      return current === undefined || (current.from === layers.from && current.to === layers.to);
    });
    return isConsistent
      ? initialPlan.filter(({ address }) => held.get(address) === undefined)
      : undefined;
  }

  /** Distributes cards over chains of similar total memory, and splits each chain's layers by memory. */
  private planInitialChains(
    cards: readonly PlacedEndpoint[],
    headroom: number,
  ): readonly Assignment[] {
    const count = Math.max(1, chainCount(cards, this.chainMb(headroom)));
    const chains = Array.from({ length: count }, () => ({
      memoryMb: 0,
      cards: [] as PlacedEndpoint[],
    }));
    const sorted = [...cards].sort(
      (a, b) => b.memoryMb - a.memoryMb || a.address.localeCompare(b.address),
    );
    for (const card of sorted) {
      const smallest = chains.reduce((best, chain) =>
        chain.memoryMb < best.memoryMb ? chain : best,
      );
      smallest.cards.push(card);
      smallest.memoryMb += card.memoryMb;
    }
    return chains.flatMap((chain) => this.splitChain(chain.cards));
  }

  private splitChain(cards: readonly PlacedEndpoint[]): readonly Assignment[] {
    const { layerCount } = this.engine;
    let memoryLeft = sum(cards.map(({ memoryMb }) => memoryMb));
    let from = 0;
    const assignments: Assignment[] = [];
    for (const { address, memoryMb } of cards) {
      const share = Math.round(((layerCount - from) * memoryMb) / memoryLeft);
      const count = Math.min(share, this.maxLayers(memoryMb, 1), layerCount - from);
      if (count > 0) {
        assignments.push({ address, layers: { from, to: from + count } });
      }
      from += count;
      memoryLeft -= memoryMb;
    }
    return assignments;
  }

  /** Assigns to each empty card the layers with the fewest holders. */
  private assignEmptyCards(
    cards: readonly PlacedEndpoint[],
    held: readonly Assignment[],
    chainCards: readonly PlacedEndpoint[],
    headroom: number,
  ): readonly Assignment[] {
    const chainAddresses = new Set(chainCards.map(({ address }) => address));
    const coverage = new Array<number>(this.engine.layerCount).fill(0);
    const addCoverage = ({ address, layers }: Assignment) => {
      for (let layer = layers.from; layer < layers.to; layer += 1) {
        coverage[layer] += chainAddresses.has(address) ? 1 : spareHolderWeight;
      }
    };
    held.forEach(addCoverage);
    const empty = cards
      .filter(({ layers }) => layers === undefined)
      .sort((a, b) => b.memoryMb - a.memoryMb || a.address.localeCompare(b.address));
    const loadedChainCards = chainCards.filter(({ layers }) => layers !== undefined);
    const chainsHeld = Math.max(1, chainCount(loadedChainCards, this.chainMb(headroom)));
    return empty.flatMap(({ address, memoryMb, emptyMs }) => {
      const isChainCard = chainAddresses.has(address);
      const isStandby = isChainCard && emptyMs < standbyMs;
      if (isStandby && Math.min(...coverage) >= chainsHeld) {
        return [];
      }
      const layers = this.leastHeldRange(coverage, memoryMb, isChainCard);
      const usualLayers = this.maxLayers(memoryMb, usualWeightShare);
      if (size(layers) === 0 || (isStandby && size(layers) < standbyFitShare * usualLayers)) {
        return [];
      }
      const assignment = { address, layers };
      addCoverage(assignment);
      return [assignment];
    });
  }

  private leastHeldRange(
    coverage: readonly number[],
    memoryMb: number,
    isChainCard: boolean,
  ): LayerRange {
    const usualLayers = this.maxLayers(memoryMb, usualWeightShare);
    const maxCardLayers = this.maxLayers(memoryMb, 1);
    if (isChainCard) {
      const fewestHolders = Math.floor(Math.min(...coverage));
      const leastHeld = longestRun(coverage, (count) => count < fewestHolders + 1);
      const length = size(leastHeld) > maxCardLayers ? usualLayers : size(leastHeld);
      return { from: leastHeld.from, to: leastHeld.from + length };
    }
    const length = Math.min(usualLayers, coverage.length);
    let best: LayerRange = { from: 0, to: length };
    let lowestScore = Number.POSITIVE_INFINITY;
    for (let from = 0; from + length <= coverage.length; from += 1) {
      // A sum of reciprocals keeps layers with many holders from hiding a layer of the same window
      // that has none.
      const scarcity = sum(coverage.slice(from, from + length).map((count) => 1 / (count + 0.1)));
      if (-scarcity < lowestScore - 1e-9) {
        best = { from, to: from + length };
        lowestScore = -scarcity;
      }
    }
    return best;
  }

  /** Returns the memory that a chain needs, in megabytes. */
  private chainMb(headroom: number): number {
    return this.engine.layerCount * this.engine.layerMb * (1 + headroom);
  }

  private maxLayers(memoryMb: number, share: number): number {
    return Math.floor((memoryMb * Math.min(share, maxWeightShare)) / this.engine.layerMb);
  }
}

/** Returns how many chains of at least one card each fit into the memory of the cards. */
function chainCount(cards: readonly PlacedEndpoint[], chainMb: number): number {
  return Math.min(cards.length, Math.floor(sum(cards.map(({ memoryMb }) => memoryMb)) / chainMb));
}

function longestRun(
  coverage: readonly number[],
  matches: (holderCount: number) => boolean,
): LayerRange {
  let best: LayerRange = { from: 0, to: 0 };
  let from = 0;
  for (let layer = 0; layer <= coverage.length; layer += 1) {
    if (layer === coverage.length || !matches(coverage[layer])) {
      if (layer - from > size(best)) {
        best = { from, to: layer };
      }
      from = layer + 1;
    }
  }
  return best;
}
