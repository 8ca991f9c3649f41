import type { EngineProfile } from '../../config/common/configSnapshot.js';
import type { LayerRange } from '../../directory/common/endpoint.js';

/** Endpoint as placement sees it. */
export interface PlacedEndpoint {
  readonly address: string;
  readonly dataCentre: string;
  readonly memoryMb: number;
  /** Factor on the time of a token step; the slowest kind serves as spares. */
  readonly stepFactor: number;
  /** Layers that it holds or was ordered to hold. */
  readonly layers: LayerRange | undefined;
  /** Whether it carries out no order. */
  readonly isSettled: boolean;
  /** Requests whose path includes it. */
  readonly requests: number;
  /** How long it has held nothing, in milliseconds; 0 if it holds layers. */
  readonly emptyMs: number;
}

/** Layers that an endpoint should take. */
export interface Assignment {
  readonly address: string;
  readonly layers: LayerRange;
}

/** Least memory that a chain needs beyond its weights, as a share of them, for requests. */
const chainHeadroom = 0.1;

/**
 * Memory beyond their weights, as a share of them, with which chains of all cards hold more requests
 * than chains of the fast cards alone.
 */
const mixedHeadroom = 0.35;

/**
 * Chains of all cards that a data centre must have room for; each layer then has a second holder.
 */
const minMixedChains = 2;

/** Share of a card's memory that weights may take; the rest holds requests. */
const maxWeightShare = 0.9;

/** Share of a spare card's memory that weights take, so that it has room for many requests. */
const spareWeightShare = 0.65;

/**
 * Time for which a fast card that isn't needed yet stays empty, in milliseconds: in a release the new
 * endpoint comes first, and what it should hold shows when the old one leaves.
 */
const reserveMs = 3_000;

/** Share of its usual layers below which a fast card isn't taken out of reserve for a gap. */
const reserveFitShare = 0.6;

/** Weight of a spare holder when holders of a layer are counted. */
const spareWeight = 0.35;

function size(range: LayerRange): number {
  return range.to - range.from;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Assigns layers to endpoints.
 *
 * The cards of a data centre form chains that lie wholly within the data centre: activations of a
 * prompt would fill the links between data centres. Each part of a chain gets layers in proportion
 * to its memory, so that all parts have room for the same requests. Where all cards together hold
 * two chains or more, the slowest kind is part of them, which costs pace and gains memory; elsewhere
 * the slowest cards are spares that hold a few layers each, where the fewest others do. When layers
 * of a data centre lose their last holder, slow endpoints whose layers others hold as well take them
 * over.
 */
export class RangePlanner {
  /** @param engine - Behaviour of the engines. */
  constructor(private readonly engine: EngineProfile) {}

  /**
   * Plans the next assignments.
   *
   * @param endpoints - Endpoints that take new work.
   * @returns Ranges for endpoints without any, chains before spares; before them moves that mend gaps, which take the least time.
   */
  plan(endpoints: readonly PlacedEndpoint[]): readonly Assignment[] {
    const dataCentres = [...new Set(endpoints.map(({ dataCentre }) => dataCentre))].sort();
    const groups = this.groupDataCentres(dataCentres, endpoints);
    const plans = groups.map((group) => this.planGroup(group));
    return [
      ...plans.flatMap(({ repairs }) => repairs),
      ...plans.flatMap(({ chains }) => chains),
      ...plans.flatMap(({ spares }) => spares),
    ];
  }

  private get slowestStepFactor(): number {
    return Math.max(...[...this.engine.cards.values()].map(({ stepFactor }) => stepFactor));
  }

  /** Places that can't hold a chain of their own plan together. */
  private groupDataCentres(
    dataCentres: readonly string[],
    endpoints: readonly PlacedEndpoint[],
  ): readonly (readonly PlacedEndpoint[])[] {
    const needMb = this.chainMb(chainHeadroom);
    const whole: PlacedEndpoint[][] = [];
    const rest: PlacedEndpoint[] = [];
    for (const dataCentre of dataCentres) {
      const there = endpoints.filter((endpoint) => endpoint.dataCentre === dataCentre);
      if (sum(there.map(({ memoryMb }) => memoryMb)) >= needMb) {
        whole.push(there);
      } else {
        rest.push(...there);
      }
    }
    return rest.length > 0 ? [...whole, rest] : whole;
  }

  private planGroup(endpoints: readonly PlacedEndpoint[]): {
    readonly chains: readonly Assignment[];
    readonly spares: readonly Assignment[];
    readonly repairs: readonly Assignment[];
  } {
    const { core, headroom } = this.chooseCore(endpoints);
    const spareCards = endpoints.filter((endpoint) => !core.includes(endpoint));
    const slowCards = endpoints.filter(({ stepFactor }) => stepFactor >= this.slowestStepFactor);
    const held: Assignment[] = endpoints.flatMap(({ address, layers }) =>
      layers ? [{ address, layers }] : [],
    );
    const chains = this.continueFresh(core, headroom) ?? this.fill(core, held, core, headroom);
    const spares = this.fill(spareCards, [...held, ...chains], core, headroom);
    const repairs = this.repair(endpoints, slowCards, [...held, ...chains, ...spares]);
    return { chains, spares, repairs };
  }

  /** Cards that form chains, and the memory that each chain has beyond its weights. */
  private chooseCore(endpoints: readonly PlacedEndpoint[]): {
    readonly core: readonly PlacedEndpoint[];
    readonly headroom: number;
  } {
    if (chainCount(endpoints, this.chainMb(mixedHeadroom)) >= minMixedChains) {
      return { core: endpoints, headroom: mixedHeadroom };
    }
    const fast = endpoints.filter(({ stepFactor }) => stepFactor < this.slowestStepFactor);
    const isEnough = chainCount(fast, this.chainMb(chainHeadroom)) > 0;
    return { core: isEnough ? fast : endpoints, headroom: chainHeadroom };
  }

  /** Moves slow cards whose layers others hold as well to layers that nobody holds. */
  private repair(
    endpoints: readonly PlacedEndpoint[],
    slowCards: readonly PlacedEndpoint[],
    held: readonly Assignment[],
  ): readonly Assignment[] {
    const holders = new Array<number>(this.engine.layerCount).fill(0);
    const add = ({ from, to }: LayerRange, by: number) => {
      for (let layer = from; layer < to; layer += 1) {
        holders[layer] += by;
      }
    };
    // A fast card loads its many layers for seconds, so those are missing until then.
    const loading = new Set(
      endpoints
        .filter(({ isSettled, layers, stepFactor }) =>
          stepFactor < this.slowestStepFactor ? !isSettled || layers === undefined : false,
        )
        .map(({ address }) => address),
    );
    held.filter(({ address }) => !loading.has(address)).forEach(({ layers }) => add(layers, 1));
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
      const gap = longestRun(holders, (count) => count === 0);
      if (size(gap) === 0) {
        break;
      }
      if (holders.slice(layers.from, layers.to).every((count) => count > 1)) {
        const length = Math.min(size(gap), this.maxLayers(memoryMb, spareWeightShare));
        const target = { from: gap.from, to: gap.from + length };
        // What is given up takes memory until requests have left it, so a full card shrinks first.
        const fits = size(layers) + length <= this.maxLayers(memoryMb, 1);
        moves.push({ address, layers: fits ? target : { from: layers.from, to: layers.from + 1 } });
        add(layers, -1);
        add(target, 1);
      }
    }
    return moves;
  }

  /** The rest of a first plan, if all that the cards hold so far is part of it. */
  private continueFresh(
    core: readonly PlacedEndpoint[],
    headroom: number,
  ): readonly Assignment[] | undefined {
    const held = new Map(core.map(({ address, layers }) => [address, layers]));
    const fresh = this.freshChains(core, headroom);
    const isPart = fresh.every(({ address, layers }) => {
      const has = held.get(address);
      return has === undefined || (has.from === layers.from && has.to === layers.to);
    });
    return isPart ? fresh.filter(({ address }) => held.get(address) === undefined) : undefined;
  }

  /** Splits cards into chains of like memory and the layers of each chain by memory. */
  private freshChains(cards: readonly PlacedEndpoint[], headroom: number): readonly Assignment[] {
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

  /** Gives each empty card the layers that the fewest others hold. */
  private fill(
    cards: readonly PlacedEndpoint[],
    held: readonly Assignment[],
    core: readonly PlacedEndpoint[],
    headroom: number,
  ): readonly Assignment[] {
    const coreAddresses = new Set(core.map(({ address }) => address));
    const cover = new Array<number>(this.engine.layerCount).fill(0);
    const count = ({ address, layers }: Assignment) => {
      for (let layer = layers.from; layer < layers.to; layer += 1) {
        cover[layer] += coreAddresses.has(address) ? 1 : spareWeight;
      }
    };
    held.forEach(count);
    const empty = cards
      .filter(({ layers }) => layers === undefined)
      .sort((a, b) => b.memoryMb - a.memoryMb || a.address.localeCompare(b.address));
    const holding = core.filter(({ layers }) => layers !== undefined);
    const chains = Math.max(1, chainCount(holding, this.chainMb(headroom)));
    return empty.flatMap(({ address, memoryMb, emptyMs }) => {
      const isCore = coreAddresses.has(address);
      const isReserve = isCore && emptyMs < reserveMs;
      if (isReserve && Math.min(...cover) >= chains) {
        return [];
      }
      const layers = this.leastCovered(cover, memoryMb, isCore);
      const usual = this.maxLayers(memoryMb, spareWeightShare);
      if (size(layers) === 0 || (isReserve && size(layers) < reserveFitShare * usual)) {
        return [];
      }
      const assignment = { address, layers };
      count(assignment);
      return [assignment];
    });
  }

  private leastCovered(cover: readonly number[], memoryMb: number, isCore: boolean): LayerRange {
    const usual = this.maxLayers(memoryMb, spareWeightShare);
    const most = this.maxLayers(memoryMb, 1);
    if (isCore) {
      const fewest = Math.floor(Math.min(...cover));
      const thin = longestRun(cover, (holders) => holders < fewest + 1);
      const length = size(thin) > most ? usual : size(thin);
      return { from: thin.from, to: thin.from + length };
    }
    const length = Math.min(usual, cover.length);
    let best: LayerRange = { from: 0, to: length };
    let bestCover = Number.POSITIVE_INFINITY;
    for (let from = 0; from + length <= cover.length; from += 1) {
      // Reciprocals keep well covered layers from hiding uncovered ones of the same window.
      const covered = sum(cover.slice(from, from + length).map((holders) => 1 / (holders + 0.1)));
      if (-covered < bestCover - 1e-9) {
        best = { from, to: from + length };
        bestCover = -covered;
      }
    }
    return best;
  }

  /** Memory that a chain needs, in megabytes. */
  private chainMb(headroom: number): number {
    return this.engine.layerCount * this.engine.layerMb * (1 + headroom);
  }

  private maxLayers(memoryMb: number, share: number): number {
    return Math.floor((memoryMb * Math.min(share, maxWeightShare)) / this.engine.layerMb);
  }
}

/** Chains that the memory of cards holds. */
function chainCount(cards: readonly PlacedEndpoint[], chainMb: number): number {
  return Math.floor(sum(cards.map(({ memoryMb }) => memoryMb)) / chainMb);
}

function longestRun(cover: readonly number[], matches: (holders: number) => boolean): LayerRange {
  let best: LayerRange = { from: 0, to: 0 };
  let from = 0;
  for (let layer = 0; layer <= cover.length; layer += 1) {
    if (layer === cover.length || !matches(cover[layer])) {
      if (layer - from > size(best)) {
        best = { from, to: layer };
      }
      from = layer + 1;
    }
  }
  return best;
}
