import type { Terms } from '../../../services/rules/common/agreement.js';

/** Organisation whose share others must leave free. */
export interface Reservation {
  readonly organisation: string;
  readonly terms: Terms;
}

/** Counts running requests by organisation and limits them as the rules say. */
export class SlotLimits {
  private readonly running = new Map<string, number>();

  private total = 0;

  /**
   * Tells whether one more request of an organisation may run.
   *
   * @param organisation - Name of the organisation.
   * @param terms - Its terms.
   * @param slots - Maximum number of requests that this entry runs at once.
   * @param reservations - Organisations that do not lend, with their terms.
   * @param totalWeight - Sum of the weights of all organisations that the rules name.
   * @returns True if neither its ceiling nor another's reservation forbids it.
   */
  mayRun(
    organisation: string,
    terms: Terms,
    slots: number,
    reservations: readonly Reservation[],
    totalWeight: number,
  ): boolean {
    const ownRunning = this.running.get(organisation) ?? 0;
    const shareLimit = terms.lend
      ? terms.ceiling
      : Math.min(terms.ceiling, terms.weight / totalWeight);
    if (ownRunning >= Math.max(1, Math.floor(shareLimit * slots))) {
      return false;
    }
    const reserved = reservations
      .filter((other) => other.organisation !== organisation)
      .map((other) => {
        const share = Math.floor((slots * other.terms.weight) / totalWeight);
        return Math.max(0, share - (this.running.get(other.organisation) ?? 0));
      })
      .reduce((sum, free) => sum + free, 0);
    return this.total < Math.max(1, slots - reserved);
  }

  /**
   * Counts the start or the end of a request.
   *
   * @param organisation - Organisation of the request.
   * @param change - 1 when it starts, -1 when it ends.
   */
  add(organisation: string, change: 1 | -1): void {
    this.running.set(organisation, (this.running.get(organisation) ?? 0) + change);
    this.total += change;
  }
}
