import type { IClock } from '../../../base/common/clock.js';
import { peerLoadTimeoutMs } from '../../routing/common/peerLoads.js';
import type { DemandSummary } from './demandSummary.js';

/** Last summary of a peer for one service. */
export interface PeerSummary {
  readonly atMs: number;
  readonly summary: DemandSummary;
}

/** Summaries of one service that peers sent lately. */
export class PeerDemand {
  private readonly byPeer = new Map<string, PeerSummary>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /**
   * Replaces the summary of a peer.
   *
   * @param peer - Name of the peer.
   * @param summary - Its summary; undefined if its message has none.
   * @returns The previous summary, unless it has expired.
   */
  update(peer: string, summary: DemandSummary | undefined): DemandSummary | undefined {
    this.removeExpired();
    const previous = this.byPeer.get(peer)?.summary;
    this.byPeer.delete(peer);
    if (summary) {
      this.byPeer.set(peer, { atMs: this.clock.monotonicMs(), summary });
    }
    return previous;
  }

  /** Returns the summaries of peers that were heard within the time after which their loads expire. */
  current(): readonly PeerSummary[] {
    this.removeExpired();
    return [...this.byPeer.values()];
  }

  private removeExpired(): void {
    const oldestMs = this.clock.monotonicMs() - peerLoadTimeoutMs;
    for (const [peer, { atMs }] of this.byPeer) {
      if (atMs >= oldestMs) {
        return;
      }
      this.byPeer.delete(peer);
    }
  }
}
