/** Share of the processor time that the datagrams of one sender may use. */
const senderShare = 0.1;

/** Share of the processor time that all datagrams may use; those of a large system use a quarter. */
const totalShare = 0.5;

/** Time at the full rate that may be made up after a quiet time, in milliseconds. */
const burstMs = 200;

/** Number of senders that are told apart; the others share one allowance. */
const maxSenders = 1_024;

/** Time that may be used; refilled as time passes. */
class Allowance {
  private leftMs: number;

  private updatedMs: number;

  /**
   * @param share - Part of the time that may be used.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  constructor(
    private readonly share: number,
    nowMs: number,
  ) {
    this.leftMs = share * burstMs;
    this.updatedMs = nowMs;
  }

  hasLeft(nowMs: number): boolean {
    const refilledMs = this.leftMs + this.share * (nowMs - this.updatedMs);
    this.leftMs = Math.min(this.share * burstMs, refilledMs);
    this.updatedMs = nowMs;
    return this.leftMs > 0;
  }

  use(tookMs: number): void {
    this.leftMs -= tookMs;
  }
}

/**
 * Decides which datagrams are handled, so that a sender without end delays neither the process nor the
 * datagrams of others. A datagram that isn't handled counts as lost.
 */
export class DatagramPacer {
  private readonly senders = new Map<string, Allowance>();

  private readonly total: Allowance;

  private readonly others: Allowance;

  /** @param nowMs - Monotonic time, in milliseconds. */
  constructor(nowMs: number) {
    this.total = new Allowance(totalShare, nowMs);
    this.others = new Allowance(senderShare, nowMs);
  }

  /**
   * Returns whether a datagram may be handled.
   *
   * @param sender - Address from which it came.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  admits(sender: string, nowMs: number): boolean {
    return this.allowanceOf(sender, nowMs).hasLeft(nowMs) && this.total.hasLeft(nowMs);
  }

  /**
   * Records that a datagram was handled.
   *
   * @param sender - Address from which it came.
   * @param nowMs - Monotonic time at the end, in milliseconds.
   * @param tookMs - Time that it took, in milliseconds.
   */
  record(sender: string, nowMs: number, tookMs: number): void {
    this.allowanceOf(sender, nowMs).use(tookMs);
    this.total.use(tookMs);
  }

  private allowanceOf(sender: string, nowMs: number): Allowance {
    let allowance = this.senders.get(sender);
    if (allowance === undefined) {
      if (this.senders.size >= maxSenders) {
        return this.others;
      }
      allowance = new Allowance(senderShare, nowMs);
      this.senders.set(sender, allowance);
    }
    return allowance;
  }
}
