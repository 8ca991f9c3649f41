import type { OrderMessage } from '../../../services/link/common/messages.js';

/** Where an agent learns the newest lease term from, independent of any order. */
export interface ITermSource {
  /** Reads the current term; undefined if the platform cannot be read. */
  currentTerm(): Promise<number | undefined>;
}

/**
 * Refuses orders of earlier lease terms.
 *
 * A restarted agent has seen no order yet, so it reads the current term from the platform before
 * it obeys any; this protects engines that ignore the fencing number.
 */
export class OrderFence {
  private term: number | undefined;

  /** @param source - The platform's lease object. */
  constructor(private readonly source: ITermSource) {}

  /** Highest term seen; 0 before the first. */
  get highestTerm(): number {
    return this.term ?? 0;
  }

  /**
   * Decides whether to obey an order.
   *
   * @param order - The order.
   * @returns True if its term is at least the highest known one.
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
