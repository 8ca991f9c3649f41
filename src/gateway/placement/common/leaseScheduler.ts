import type { IClock } from '../../../base/common/clock.js';
import type { LeaseCandidate } from '../../../services/lease/common/lease.js';

/** Time without a placer heartbeat after which another gateway may take over the lease, in ms. */
const placerTimeoutMs = 1_500;

/**
 * Interval between lease steps while the placer is silent, in milliseconds. The lease must not change
 * for one interval before it is taken over.
 */
const contentionIntervalMs = 500;

/**
 * Interval between lease steps of the holder, or of a gateway without peers, as a share of the
 * duration of the lease.
 */
const stepIntervalShare = 1 / 4;

/**
 * Decides when this gateway calls the store for the lease that permits the placement of layers. The
 * holder of the lease is the placer.
 *
 * A gateway that receives heartbeats from the placer makes no calls, because store calls are costly
 * and there are many gateways.
 */
export class LeaseScheduler {
  private lastHeartbeatMs: number;

  private lastStepMs = Number.NEGATIVE_INFINITY;

  /**
   * @param lease - Candidacy of this gateway for the lease.
   * @param durationMs - Duration of the lease, in milliseconds.
   * @param hasPeers - Whether messages from other gateways arrived recently.
   * @param clock - Source of time.
   */
  constructor(
    private readonly lease: LeaseCandidate,
    private readonly durationMs: number,
    private readonly hasPeers: () => boolean,
    private readonly clock: IClock,
  ) {
    this.lastHeartbeatMs = clock.monotonicMs();
  }

  /** Called when a peer reports that it holds the lease. */
  recordPlacerHeartbeat(): void {
    this.lastHeartbeatMs = this.clock.monotonicMs();
  }

  /** Takes, renews or reads the lease if a step is due; call this a few times a second. */
  async step(): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    const isHolder = this.lease.term() !== undefined;
    const isPlacerSilent = nowMs - this.lastHeartbeatMs > placerTimeoutMs;
    const isContending = this.hasPeers() && isPlacerSilent && !isHolder;
    const isFirstStep = this.lastStepMs === Number.NEGATIVE_INFINITY;
    const intervalMs = isContending ? contentionIntervalMs : this.durationMs * stepIntervalShare;
    const isNeeded = isFirstStep || isHolder || isPlacerSilent || !this.hasPeers();
    if (isNeeded && nowMs - this.lastStepMs >= intervalMs) {
      this.lastStepMs = nowMs;
      await this.lease.acquireOrRenew(isContending);
    }
  }
}
