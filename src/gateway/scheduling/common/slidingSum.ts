import type { IClock } from '../../../base/common/clock.js';

/** Number of parts of a window; a sum covers between the window less one part and the window. */
const partCount = 8;

/** Sum of the amounts of a time window that ends now. */
export class SlidingSum {
  private readonly parts = new Float64Array(partCount);

  private lastPart = 0;

  private sum = 0;

  /**
   * @param windowMs - Length of the window, in milliseconds.
   * @param clock - Source of time.
   */
  constructor(
    private readonly windowMs: number,
    private readonly clock: IClock,
  ) {
    this.lastPart = this.currentPart();
  }

  /** Sum of the amounts of the window. */
  get total(): number {
    this.advance();
    return this.sum;
  }

  /** Adds an amount. */
  add(amount: number): void {
    this.advance();
    this.parts[this.lastPart % partCount] += amount;
    this.sum += amount;
  }

  private currentPart(): number {
    return Math.floor((this.clock.monotonicMs() * partCount) / this.windowMs);
  }

  private advance(): void {
    const current = this.currentPart();
    if (current - this.lastPart >= partCount) {
      this.parts.fill(0);
      this.sum = 0;
      this.lastPart = current;
    }
    while (this.lastPart < current) {
      this.lastPart += 1;
      this.sum -= this.parts[this.lastPart % partCount];
      this.parts[this.lastPart % partCount] = 0;
    }
  }
}
