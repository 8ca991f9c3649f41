import type { IClock } from '../../../base/common/clock.js';
import { addLoad, emptyLoad, type EndpointLoad } from './endpointLoad.js';

/**
 * Age after which the loads that a peer reported are ignored, in milliseconds. By then several of its
 * messages were lost, or it stopped.
 */
export const peerLoadTimeoutMs = 1_000;

interface PeerReport {
  readonly atMs: number;
  readonly loads: ReadonlyMap<string, EndpointLoad>;
}

/**
 * Sum of the loads that peers reported, by endpoint. The sums are kept up to date with each report, since
 * a path search reads those of all endpoints, far more often than reports arrive.
 */
export class PeerLoads {
  /** Last report of each peer, the oldest first. */
  private readonly reports = new Map<string, PeerReport>();

  private readonly sums = new Map<string, EndpointLoad>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /**
   * Replaces the report of a peer.
   *
   * @param peer - Name of the peer.
   * @param loads - Its reservations by address, as whole numbers; must not change later.
   */
  update(peer: string, loads: ReadonlyMap<string, EndpointLoad>): void {
    this.remove(peer);
    this.reports.set(peer, { atMs: this.clock.monotonicMs(), loads });
    this.addToSums(loads, 1);
  }

  /**
   * Returns what peers that were heard recently have reserved at an endpoint.
   *
   * @param address - Address of the endpoint.
   * @returns The sum, which must not be changed; undefined if there is nothing.
   */
  at(address: string): Readonly<EndpointLoad> | undefined {
    this.removeExpired();
    return this.sums.get(address);
  }

  /**
   * Returns how many peers that were heard recently have reservations at an endpoint.
   *
   * @param address - Address of the endpoint.
   */
  countAt(address: string): number {
    this.removeExpired();
    return [...this.reports.values()].filter(({ loads }) => loads.has(address)).length;
  }

  private removeExpired(): void {
    const oldestMs = this.clock.monotonicMs() - peerLoadTimeoutMs;
    for (const [peer, { atMs }] of this.reports) {
      if (atMs >= oldestMs) {
        return;
      }
      this.remove(peer);
    }
  }

  private remove(peer: string): void {
    const report = this.reports.get(peer);
    if (report) {
      this.reports.delete(peer);
      this.addToSums(report.loads, -1);
    }
  }

  private addToSums(loads: ReadonlyMap<string, EndpointLoad>, sign: 1 | -1): void {
    for (const [address, load] of loads) {
      const sum = this.sums.get(address) ?? emptyLoad();
      addLoad(sum, load, sign);
      if (sum.requests > 0) {
        this.sums.set(address, sum);
      } else {
        this.sums.delete(address);
      }
    }
  }
}
