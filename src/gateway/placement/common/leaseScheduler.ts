import type { IClock } from '../../../base/common/clock.js';
import type { LeaseCandidate } from '../../../services/lease/common/lease.js';

/** Silence of the gateway that places layers after which another may take the lease, in ms. */
const placerSilenceMs = 1_500;

/** Pause between two steps while the placer is silent, in milliseconds; it must stand still for one. */
const contendMs = 500;

/** Pause between the steps of a holder, or of a gateway without peers, as a share of the duration. */
const stepShare = 1 / 4;

/**
 * Decides when this gateway calls the store for the lease under which layers are placed.
 *
 * A gateway that hears from the placer has nothing to ask: calls cost, and there are many gateways.
 */
export class LeaseScheduler {
  private heardMs: number;

  private steppedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param lease - The candidate.
   * @param durationMs - Duration of the lease.
   * @param hasPeers - Whether other gateways were heard of lately.
   * @param clock - Source of time.
   */
  constructor(
    private readonly lease: LeaseCandidate,
    private readonly durationMs: number,
    private readonly hasPeers: () => boolean,
    private readonly clock: IClock,
  ) {
    this.heardMs = clock.monotonicMs();
  }

  /** Takes note that a peer says that it places layers. */
  recordPlacerHeartbeat(): void {
    this.heardMs = this.clock.monotonicMs();
  }

  /** Takes, renews or asks for the lease if it is time to; call this a few times a second. */
  async step(): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    const isHolder = this.lease.term() !== undefined;
    const isSilent = nowMs - this.heardMs > placerSilenceMs;
    const contends = this.hasPeers() && isSilent && !isHolder;
    const isFirst = this.steppedMs === Number.NEGATIVE_INFINITY;
    const pauseMs = contends ? contendMs : this.durationMs * stepShare;
    const isNeeded = isFirst || isHolder || isSilent || !this.hasPeers();
    if (isNeeded && nowMs - this.steppedMs >= pauseMs) {
      this.steppedMs = nowMs;
      await this.lease.step(contends);
    }
  }
}
