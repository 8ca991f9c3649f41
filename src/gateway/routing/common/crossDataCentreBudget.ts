import type { IClock } from '../../../base/common/clock.js';
import type { EngineProfile } from '../../config/common/configSnapshot.js';

/**
 * Share of the bandwidth between data centres that paths may use. Each token of a stream queues
 * behind the prompts on the link, so a saturated link stalls all streams that cross it.
 */
const usableLinkShare = 0.4;

/** Time over which unused bandwidth accumulates, in milliseconds; a stall of an endpoint lasts as long. */
const maxAccrualMs = 2_000;

const bytesPerMegabit = 125_000;

const millisecondsPerSecond = 1_000;

/**
 * Token bucket that limits the activations that paths send between data centres.
 *
 * After a loss of endpoints, a data centre without free capacity uses paths that cross data centres.
 * The fuller the links are, the longer such requests hold capacity. Without a limit they would take
 * all capacity, and nothing else would be served.
 */
export class CrossDataCentreBudget {
  /** Bytes that may cross now; negative until the refill has covered the bytes already sent. */
  private availableBytes = 0;

  private refilledAtMs: number;

  /**
   * @param currentEngine - Returns the engine profile of the current configuration.
   * @param gatewayCount - Number of gateways that share the links.
   * @param clock - Source of time.
   */
  constructor(
    private readonly currentEngine: () => EngineProfile,
    private readonly gatewayCount: () => number,
    private readonly clock: IClock,
  ) {
    this.refilledAtMs = clock.monotonicMs() - maxAccrualMs;
  }

  /** Whether a path may cross data centres now; always true if the configuration sets no bandwidth. */
  get allowsCrossing(): boolean {
    this.refill();
    return this.bytesPerMs === undefined || this.availableBytes > 0;
  }

  /**
   * Deducts the activations that a request sends between data centres.
   *
   * @param tokens - Tokens of the prompt and the expected answer.
   * @param crossings - Number of hops of its path that cross data centres.
   */
  consume(tokens: number, crossings: number): void {
    this.refill();
    this.availableBytes -= tokens * crossings * this.currentEngine().activationBytesPerToken;
  }

  /** Bandwidth share of this gateway; undefined if the configuration sets no bandwidth. */
  private get bytesPerMs(): number | undefined {
    const { interDataCentreMbps } = this.currentEngine();
    return interDataCentreMbps === undefined
      ? undefined
      : (usableLinkShare * interDataCentreMbps * bytesPerMegabit) /
          millisecondsPerSecond /
          this.gatewayCount();
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const bytesPerMs = this.bytesPerMs ?? 0;
    const refilledBytes = this.availableBytes + bytesPerMs * (nowMs - this.refilledAtMs);
    this.availableBytes = Math.min(bytesPerMs * maxAccrualMs, refilledBytes);
    this.refilledAtMs = nowMs;
  }
}
