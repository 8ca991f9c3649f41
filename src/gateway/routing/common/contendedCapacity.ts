import type { IClock } from '../../../base/common/clock.js';
import type { IRandom } from '../../../base/common/random.js';

/** Capacity of an endpoint that is nearly full, as one gateway sees it. */
export interface ContendedEndpoint {
  /** Capacity that no gateway has reserved, in tokens times layers. */
  readonly freeTokenLayers: number;
  /** What this gateway has reserved, in tokens times layers. */
  readonly ownTokenLayers: number;
  /** Mean reservation of a request at the endpoint, in tokens times layers. */
  readonly meanTokenLayers: number;
  /** Number of gateways that use the endpoint, including this one. */
  readonly gatewayCount: number;
}

/** What this gateway may reserve at one endpoint in one round. */
interface Allowance {
  readonly round: number;
  /** Own reservations at the start of the round, in tokens times layers. */
  readonly startTokenLayers: number;
  /** Further reservations that are allowed, in tokens times layers. */
  readonly tokenLayers: number;
}

/**
 * Length of a round, in milliseconds. In this time each gateway hears the reservations of its peers, so
 * that what was reserved in one round is known in the next.
 */
const roundMs = 200;

/**
 * Allowance of a gateway that is drawn, as a multiple of the mean reservation. It is above 1 so that
 * requests larger than the mean are served too.
 */
const drawnRequestSize = 3;

/**
 * Divides the free capacity of a nearly full endpoint among the gateways that use it.
 *
 * Answers the load in which many gateways queue requests for the same endpoint: all of them see a little
 * free capacity at the same time, and if each used it, the endpoint would refuse most of their requests.
 * In each round, each gateway is drawn with the probability that gives the free capacity to as many
 * gateways as it has room for.
 */
export class ContendedCapacity {
  private readonly allowances = new Map<string, Allowance>();

  /**
   * @param clock - Source of time.
   * @param random - Draws the gateways; must differ between gateways.
   */
  constructor(
    private readonly clock: IClock,
    private readonly random: IRandom,
  ) {}

  /**
   * Returns how much of the free capacity of an endpoint this gateway may reserve now.
   *
   * @param address - Address of the endpoint.
   * @param endpoint - Its capacity at present.
   * @returns Tokens times layers.
   */
  usableAt(address: string, endpoint: ContendedEndpoint): number {
    const round = Math.floor(this.clock.monotonicMs() / roundMs);
    let allowance = this.allowances.get(address);
    if (allowance?.round !== round) {
      allowance = this.draw(round, endpoint);
      this.allowances.set(address, allowance);
    }
    const reserved = endpoint.ownTokenLayers - allowance.startTokenLayers;
    return Math.max(0, Math.min(endpoint.freeTokenLayers, allowance.tokenLayers - reserved));
  }

  /** Forgets an endpoint that is no longer nearly full, or is gone. */
  forget(address: string): void {
    this.allowances.delete(address);
  }

  private draw(round: number, endpoint: ContendedEndpoint): Allowance {
    const { freeTokenLayers, ownTokenLayers, meanTokenLayers, gatewayCount } = endpoint;
    const part = Math.max(0, freeTokenLayers) / gatewayCount;
    const isDrawn = this.random.float() * meanTokenLayers < part;
    return {
      round,
      startTokenLayers: ownTokenLayers,
      tokenLayers: isDrawn ? Math.max(part, drawnRequestSize * meanTokenLayers) : 0,
    };
  }
}
