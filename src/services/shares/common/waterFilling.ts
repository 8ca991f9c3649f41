/** Demand and terms of one organisation. */
export interface ShareDemand {
  readonly organisation: string;
  /** Demanded amount, in the unit of the capacity. */
  readonly demand: number;
  readonly weight: number;
  /** Largest share of the capacity, from 0 to 1. */
  readonly ceiling: number;
  /** True if other organisations may use the part of the share that this one leaves idle. */
  readonly lend: boolean;
}

interface BorrowingDemand {
  readonly demand: ShareDemand;
  readonly limit: number;
}

/**
 * Computes the weighted max-min fair allocation of a capacity. Each organisation gets its demand up
 * to its share, and the remainder goes to those with a higher demand, by their weights. The idle
 * part of a share that is not lent stays idle, and an organisation that does not lend does not
 * borrow.
 *
 * @param capacity - Amount to allocate.
 * @param demands - Demands and terms of the organisations.
 * @returns Allocated amount by organisation.
 */
export function waterFilling(
  capacity: number,
  demands: readonly ShareDemand[],
): ReadonlyMap<string, number> {
  const totalWeight = demands.reduce((sum, { weight }) => sum + weight, 0);
  const shareOf = ({ weight }: ShareDemand) => (capacity * weight) / totalWeight;
  const result = new Map<string, number>();
  let remaining = capacity;
  for (const demand of demands.filter(({ lend }) => !lend)) {
    const limit = Math.min(shareOf(demand), demand.ceiling * capacity);
    result.set(demand.organisation, Math.min(demand.demand, limit));
    remaining -= shareOf(demand);
  }
  let unsatisfied = demands
    .filter(({ lend }) => lend)
    .map((demand): BorrowingDemand => ({
      demand,
      limit: Math.min(demand.demand, demand.ceiling * capacity),
    }));
  while (unsatisfied.length > 0) {
    const weight = unsatisfied.reduce((sum, { demand }) => sum + demand.weight, 0);
    const amountPerWeight = remaining / weight;
    const satisfied = unsatisfied.filter(
      ({ demand, limit }) => limit <= amountPerWeight * demand.weight,
    );
    if (satisfied.length === 0) {
      unsatisfied.forEach(({ demand }) =>
        result.set(demand.organisation, amountPerWeight * demand.weight),
      );
      break;
    }
    for (const { demand, limit } of satisfied) {
      result.set(demand.organisation, limit);
      remaining -= limit;
    }
    unsatisfied = unsatisfied.filter((candidate) => !satisfied.includes(candidate));
  }
  return result;
}
