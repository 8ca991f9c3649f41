import type { EngineProfile } from '../../config/common/configSnapshot.js';
import type { Endpoint } from '../../directory/common/endpoint.js';
import { cacheTokenLayers, maxReservedShare } from './pathFinder.js';
import type { ReservationLedger } from './reservationLedger.js';

/** Requests of all gateways at the endpoints of a model service. */
export interface CapacityUse {
  /** Requests that run. */
  readonly running: number;
  /** Requests that still fit, by slots and by memory. */
  readonly free: number;
}

/** Estimates how many more requests fit the endpoints of a model service. */
export class ServiceCapacity {
  /**
   * @param endpoints - Returns the endpoints that may be part of a path now.
   * @param currentEngine - Returns the engine profile of the current configuration.
   * @param ledger - Reservations at the endpoints.
   */
  constructor(
    private readonly endpoints: () => readonly Endpoint[],
    private readonly currentEngine: () => EngineProfile,
    private readonly ledger: ReservationLedger,
  ) {}

  /** Returns the number of requests of this process that run. */
  countOwn(): number {
    const loads = this.ledger.ownLoads();
    return this.endpoints().reduce(
      (sum, { address }) => sum + (loads.get(address)?.firstStageRequests ?? 0),
      0,
    );
  }

  /**
   * Measures the use of all endpoints together. What gateways took too much of at one endpoint counts as
   * taken from the others, since its requests wait. Layers that have less capacity than others aren't told
   * apart, so fewer requests may fit.
   *
   * @param meanTokens - Mean size of a request, in tokens.
   */
  measure(meanTokens: number): CapacityUse {
    const engine = this.currentEngine();
    let running = 0;
    let freeSlots = 0;
    let freeTokenLayers = 0;
    for (const endpoint of this.endpoints()) {
      const { address, layers, slots } = endpoint;
      const load = this.ledger.loadAt(address);
      running += load.firstStageRequests;
      if (layers) {
        const capacity = Math.min(
          maxReservedShare * cacheTokenLayers(engine, endpoint, layers.to - layers.from),
          this.ledger.sharedLimitAt(address),
        );
        freeTokenLayers += capacity - load.tokenLayers;
        freeSlots += layers.from === 0 ? slots - load.firstStageRequests : 0;
      }
    }
    const fittingMemory = freeTokenLayers / (Math.max(1, meanTokens) * engine.layerCount);
    return { running, free: Math.max(0, Math.min(freeSlots, fittingMemory)) };
  }
}
