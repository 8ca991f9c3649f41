import type { IClock } from '../../../base/common/clock.js';
import type { EngineProfile } from '../../config/common/configSnapshot.js';

/**
 * Share of the links between data centres that paths may use. Each token of a stream waits behind
 * the prompts on the link, so that a link in full use stalls all streams that cross it.
 */
const usedShare = 0.4;

/** Time over which an unused share can be saved up, in milliseconds; an endpoint's stall. */
const burstMs = 2_000;

const bytesPerMegabit = 125_000;

const millisecondsPerSecond = 1_000;

/**
 * Bounds the activations that paths send between data centres.
 *
 * Answers the load after endpoints were lost: a data centre without room sends requests over paths
 * that cross data centres, which hold room longer the fuller the links are, until nothing else is
 * served.
 */
export class CrossDataCentreBudget {
  /** Bytes that may cross now; negative while what crossed is made up for. */
  private levelBytes = 0;

  private filledMs: number;

  /**
   * @param currentEngine - Behaviour of the engines under the configuration in force.
   * @param gateways - Number of gateways that share the links.
   * @param clock - Source of time.
   */
  constructor(
    private readonly currentEngine: () => EngineProfile,
    private readonly gateways: () => number,
    private readonly clock: IClock,
  ) {
    this.filledMs = clock.monotonicMs() - burstMs;
  }

  /** Whether a path may cross data centres now. */
  get allowsCrossing(): boolean {
    this.refill();
    return this.bytesPerMs === undefined || this.levelBytes > 0;
  }

  /**
   * Takes what a request sends between data centres out of the budget.
   *
   * @param tokens - Tokens of the prompt and the expected answer.
   * @param crossings - How often its path crosses data centres.
   */
  consume(tokens: number, crossings: number): void {
    this.refill();
    this.levelBytes -= tokens * crossings * this.currentEngine().activationBytesPerToken;
  }

  /** Share of this gateway; undefined if the configuration states no bound on the links. */
  private get bytesPerMs(): number | undefined {
    const { interDataCentreMbps } = this.currentEngine();
    return interDataCentreMbps === undefined
      ? undefined
      : (usedShare * interDataCentreMbps * bytesPerMegabit) /
          millisecondsPerSecond /
          this.gateways();
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const rate = this.bytesPerMs ?? 0;
    const filled = this.levelBytes + rate * (nowMs - this.filledMs);
    this.levelBytes = Math.min(rate * burstMs, filled);
    this.filledMs = nowMs;
  }
}
