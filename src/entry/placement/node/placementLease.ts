import type { IClock } from '../../../base/common/clock.js';
import type { ILogger } from '../../../base/common/logger.js';
import { LeaseCandidate } from '../../../services/lease/common/lease.js';
import {
  firstEra,
  type IObjectStore,
  type IStoreEra,
} from '../../../services/objects/common/objects.js';

/** Identity of an entry that may place the layers of a region. */
export interface PlacementLeaseOptions {
  readonly region: string;
  /** Incarnation of the entry. */
  readonly incarnation: string;
  readonly durationMs: number;
}

/**
 * Creates the candidacy of an entry for the placement lease of its region, which follows the era of the store.
 *
 * @param options - Identity of the entry and duration of the lease.
 * @param store - Object store of the platform.
 * @param clock - Source of monotonic time.
 * @param logger - Receives a stored lease that can't be read.
 * @returns The candidate; the caller steps it.
 */
export function createPlacementLease(
  options: PlacementLeaseOptions,
  store: IObjectStore & IStoreEra,
  clock: IClock,
  logger?: ILogger,
): LeaseCandidate {
  const { region, incarnation: candidate, durationMs } = options;
  const leaseOptions = {
    name: `placement-${region}`,
    candidate,
    durationMs,
    get mustWaitIfAbsent() {
      return store.era > firstEra;
    },
  };
  const lease = new LeaseCandidate(leaseOptions, store, clock, () => store.era, logger);
  store.onDidChangeEra(() => lease.handleEraChange());
  return lease;
}
