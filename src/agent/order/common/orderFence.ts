import type { OrderMessage } from '../../../services/link/common/messages.js';

/** Source of the current lease term that does not depend on the orders received. */
export interface ITermSource {
  /** Returns the current term; undefined if the platform cannot be read. */
  currentTerm(): Promise<number | undefined>;
}

/**
 * Refuses orders of earlier lease terms.
 *
 * A restarted agent has seen no order yet, so it reads the current term from the platform before it
 * admits the first one. This protects engines that ignore the fencing token.
 */
export class OrderFence {
  private term: number | undefined;

  /** @param source - Source of the current term of the placement lease. */
  constructor(private readonly source: ITermSource) {}

  /** Highest term seen; 0 if none was seen yet. */
  get highestTerm(): number {
    return this.term ?? 0;
  }

  /**
   * Decides whether an order may be carried out, and records its term.
   *
   * @param order - Order to check.
   * @returns True if the order's term is at least the highest known one. False if no term is known
   *   yet and the platform cannot be read.
   */
  async admit(order: OrderMessage): Promise<boolean> {
    if (this.term === undefined) {
      const current = await this.source.currentTerm();
      if (current === undefined) {
        return false;
      }
      this.term = Math.max(this.term ?? 0, current);
    }
    if (order.term < this.term) {
      return false;
    }
    this.term = order.term;
    return true;
  }
}
