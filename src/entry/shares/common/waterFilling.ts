/** Demand and terms of one organisation. */
export interface ShareDemand {
  readonly organisation: string;
  /** Wanted amount, in the unit of the capacity. */
  readonly demand: number;
  readonly weight: number;
  /** Largest share of the capacity, from 0 to 1. */
  readonly ceiling: number;
  /** Whether others may use what the organisation leaves idle. */
  readonly lend: boolean;
}

interface Open {
  readonly demand: ShareDemand;
  readonly limit: number;
}

/**
 * Computes the allocation that the agreed shares allow: each organisation gets what it wants up to
 * its share, and what is left over goes to those that want more, by their weights. What an
 * organisation that does not lend leaves idle stays idle, and it does not borrow.
 *
 * @param capacity - Amount to share.
 * @param demands - The organisations.
 * @returns Amount by organisation.
 */
export function waterFilling(
  capacity: number,
  demands: readonly ShareDemand[],
): ReadonlyMap<string, number> {
  const totalWeight = demands.reduce((sum, { weight }) => sum + weight, 0);
  const shareOf = ({ weight }: ShareDemand) => (capacity * weight) / totalWeight;
  const result = new Map<string, number>();
  let left = capacity;
  for (const demand of demands.filter(({ lend }) => !lend)) {
    const limit = Math.min(shareOf(demand), demand.ceiling * capacity);
    result.set(demand.organisation, Math.min(demand.demand, limit));
    left -= shareOf(demand);
  }
  let open = demands
    .filter(({ lend }) => lend)
    .map((demand): Open => ({
      demand,
      limit: Math.min(demand.demand, demand.ceiling * capacity),
    }));
  while (open.length > 0) {
    const weight = open.reduce((sum, { demand }) => sum + demand.weight, 0);
    const level = left / weight;
    const full = open.filter(({ demand, limit }) => limit <= level * demand.weight);
    if (full.length === 0) {
      open.forEach(({ demand }) => result.set(demand.organisation, level * demand.weight));
      break;
    }
    for (const { demand, limit } of full) {
      result.set(demand.organisation, limit);
      left -= limit;
    }
    open = open.filter((one) => !full.includes(one));
  }
  return result;
}
