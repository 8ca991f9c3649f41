import type { LayerRange } from '../../directory/common/endpoint.js';
import type { Assignment, PlacedEndpoint } from './assignment.js';

/** Endpoint that holds layers or is loading them. */
type HoldingEndpoint = PlacedEndpoint & { readonly layers: LayerRange };

/** How many layers fit on a card. */
export interface LayerCapacity {
  /** Number of layers of the model. */
  readonly layerCount: number;
  /** Returns how many layers leave enough of a card's memory for requests. */
  readonly usable: (memoryMb: number) => number;
  /** Returns how many layers fit on a card at all. */
  readonly total: (memoryMb: number) => number;
}

function size({ from, to }: LayerRange): number {
  return Math.max(0, to - from);
}

function contains(outer: LayerRange, inner: LayerRange): boolean {
  return outer.from <= inner.from && outer.to >= inner.to;
}

function hullOf(a: LayerRange, b: LayerRange): LayerRange {
  return { from: Math.min(a.from, b.from), to: Math.max(a.to, b.to) };
}

function intersectionOf(a: LayerRange, b: LayerRange): LayerRange {
  return { from: Math.max(a.from, b.from), to: Math.min(a.to, b.to) };
}

/**
 * Closes gaps in the only chain of a data centre. After the loss of an endpoint whose layers have no other
 * holder there, the layers are distributed anew over the endpoints that are left, in their present order.
 *
 * Each endpoint moves towards its new range in steps. It first grows, and gives layers up only once
 * others hold them, so that no step opens another gap.
 */
export class ChainRebalancer {
  /** @param capacity - How many layers fit on a card. */
  constructor(private readonly capacity: LayerCapacity) {}

  /**
   * Plans the next step of each endpoint that can take one now.
   *
   * @param endpoints - Endpoints of the data centre.
   * @returns Ranges to order; empty if there is no gap or if the endpoints can't hold all layers.
   */
  plan(endpoints: readonly PlacedEndpoint[]): readonly Assignment[] {
    const holding = endpoints.filter(
      (endpoint): endpoint is HoldingEndpoint => endpoint.layers !== undefined,
    );
    if (!this.hasGap(holding)) {
      return [];
    }
    const shortest = this.chooseChain(holding);
    const chain = this.canMove(shortest)
      ? shortest
      : [...holding].sort((a, b) => a.layers.from - b.layers.from || a.layers.to - b.layers.to);
    const targets = this.splitLayers(chain);
    if (targets === undefined) {
      return [];
    }
    const holderCounts = this.countHolders(holding.filter(({ isSettled }) => isSettled));
    return chain.flatMap((endpoint, index) => {
      const next = endpoint.isSettled && this.nextRange(endpoint, targets[index], holderCounts);
      if (!next) {
        return [];
      }
      for (let layer = endpoint.layers.from; layer < endpoint.layers.to; layer += 1) {
        holderCounts[layer] -= layer >= next.from && layer < next.to ? 0 : 1;
      }
      return [{ address: endpoint.address, layers: next }];
    });
  }

  /** Returns whether endpoints hold all layers even while two hold those at each border of their ranges. */
  private canMove(chain: readonly HoldingEndpoint[]): boolean {
    const room = chain.reduce(
      (total, { memoryMb }) => total + this.capacity.usable(memoryMb) - 1,
      0,
    );
    return room >= this.capacity.layerCount;
  }

  private countHolders(endpoints: readonly HoldingEndpoint[]): number[] {
    const counts = new Array<number>(this.capacity.layerCount).fill(0);
    for (const { layers } of endpoints) {
      for (let layer = layers.from; layer < layers.to; layer += 1) {
        counts[layer] += 1;
      }
    }
    return counts;
  }

  private hasGap(endpoints: readonly HoldingEndpoint[]): boolean {
    return this.countHolders(endpoints).includes(0);
  }

  /** Chooses the fewest endpoints, in the order of their layers, that cover what all of them hold. */
  private chooseChain(endpoints: readonly HoldingEndpoint[]): readonly HoldingEndpoint[] {
    const chain: HoldingEndpoint[] = [];
    let remaining = endpoints;
    for (let covered = 0; covered < this.capacity.layerCount;) {
      const position = covered;
      remaining = remaining.filter(({ layers }) => layers.to > position);
      const start = Math.max(position, Math.min(...remaining.map(({ layers }) => layers.from)));
      const next = remaining
        .filter(({ layers }) => layers.from <= start)
        .reduce<HoldingEndpoint | undefined>(
          (best, each) => (best && best.layers.to >= each.layers.to ? best : each),
          undefined,
        );
      if (next === undefined) {
        return chain;
      }
      chain.push(next);
      covered = next.layers.to;
    }
    return chain;
  }

  /** Splits the layers by memory; returns undefined if the endpoints can't hold them all. */
  private splitLayers(chain: readonly HoldingEndpoint[]): readonly LayerRange[] | undefined {
    const { layerCount, usable } = this.capacity;
    let memoryLeft = chain.reduce((total, { memoryMb }) => total + memoryMb, 0);
    let roomLeft = chain.reduce((total, { memoryMb }) => total + usable(memoryMb), 0);
    if (roomLeft < layerCount) {
      return undefined;
    }
    let from = 0;
    return chain.map(({ memoryMb }) => {
      const layersLeft = layerCount - from;
      const room = usable(memoryMb);
      roomLeft -= room;
      const share = Math.round((layersLeft * memoryMb) / memoryLeft);
      const count = Math.min(room, Math.max(share, layersLeft - roomLeft));
      const range = { from, to: from + count };
      memoryLeft -= memoryMb;
      from = range.to;
      return range;
    });
  }

  /** Returns the next range of an endpoint on the way to its target; undefined if it stays as it is. */
  private nextRange(
    { layers, memoryMb }: HoldingEndpoint,
    target: LayerRange,
    holderCounts: readonly number[],
  ): LayerRange | undefined {
    if (contains(layers, target)) {
      return undefined;
    }
    const hull = hullOf(layers, target);
    const usable = this.capacity.usable(memoryMb);
    if (size(hull) <= usable) {
      return hull;
    }
    return target.from < layers.from
      ? this.slideDown(layers, target, memoryMb, holderCounts)
      : this.slideUp(layers, target, memoryMb, holderCounts);
  }

  /** Moves a range towards lower layers, as far as others hold those that it gives up at its end. */
  private slideDown(
    layers: LayerRange,
    target: LayerRange,
    memoryMb: number,
    holderCounts: readonly number[],
  ): LayerRange | undefined {
    let { to } = layers;
    while (to > Math.max(layers.from + 1, target.to) && holderCounts[to - 1] > 1) {
      to -= 1;
    }
    const from = Math.max(target.from, to - this.capacity.usable(memoryMb));
    return this.withinMemory(layers, { from: Math.min(from, layers.from), to }, memoryMb);
  }

  /** Moves a range towards higher layers, as far as others hold those that it gives up at its start. */
  private slideUp(
    layers: LayerRange,
    target: LayerRange,
    memoryMb: number,
    holderCounts: readonly number[],
  ): LayerRange | undefined {
    let { from } = layers;
    while (from < Math.min(layers.to - 1, target.from) && holderCounts[from] > 1) {
      from += 1;
    }
    const to = Math.min(target.to, from + this.capacity.usable(memoryMb));
    return this.withinMemory(layers, { from, to: Math.max(to, layers.to) }, memoryMb);
  }

  /**
   * Returns the next range, or only what is kept of the present one if the card can't hold both: layers
   * that are given up keep their memory until their requests end.
   */
  private withinMemory(
    layers: LayerRange,
    next: LayerRange,
    memoryMb: number,
  ): LayerRange | undefined {
    if (next.from === layers.from && next.to === layers.to) {
      return undefined;
    }
    return size(hullOf(layers, next)) <= this.capacity.total(memoryMb)
      ? next
      : intersectionOf(layers, next);
  }
}
