import type { OrderMessage } from '../../../services/link/common/messages.js';

/** Source of fencing tokens that does not depend on the orders received. */
export interface ITokenSource {
  /** Token below which no order is valid in the era of the store, as far as the era is known. */
  readonly lowestToken: number;
  /** Returns the token of the current placer; undefined if the platform cannot be read. */
  currentToken(): Promise<number | undefined>;
}

/**
 * Refuses orders of earlier placers.
 *
 * A restarted agent has seen no order yet, so it reads the current token from the platform before it
 * admits the first one. This protects engines that ignore the fencing token.
 */
export class OrderFence {
  private token: number | undefined;

  /** @param source - Source of the token of the current placer. */
  constructor(private readonly source: ITokenSource) {}

  /** Highest token known; 0 if none is known yet. */
  get highestToken(): number {
    return this.token ?? 0;
  }

  /** Records a token that the engine knows. */
  record(token: number): void {
    this.token = Math.max(this.highestToken, token);
  }

  /**
   * Decides whether an order may be carried out, and records its token.
   *
   * @param order - Order to check.
   * @returns True if the order's token is at least the highest known one and of the era of the store. False if no
   *   token is known yet and the platform cannot be read.
   */
  async admit(order: OrderMessage): Promise<boolean> {
    if (this.token === undefined) {
      const current = await this.source.currentToken();
      if (current === undefined) {
        return false;
      }
      this.token = Math.max(this.token ?? 0, current);
    }
    this.token = Math.max(this.token, this.source.lowestToken);
    if (order.term < this.token) {
      return false;
    }
    this.token = order.term;
    return true;
  }
}
