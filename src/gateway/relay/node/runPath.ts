import type { Endpoint } from '../../directory/common/endpoint.js';
import type { LayerPath, PathStage } from '../../routing/common/pathFinder.js';
import type { Reservation, ReservationLedger } from '../../routing/common/reservationLedger.js';

/** Path of a stream's current run, and the capacity that the run holds on it. */
export class RunPath {
  private path: LayerPath | undefined;

  private isPrefilling = false;

  /** @param ledger - Records the reservations. */
  constructor(private readonly ledger: ReservationLedger) {}

  /** Stage that the request is sent to; undefined without a path. */
  get firstStage(): PathStage | undefined {
    return this.path?.stages[0];
  }

  /** Endpoints in the order of their stages; empty without a path. */
  get endpoints(): readonly Endpoint[] {
    return this.path?.stages.map(({ endpoint }) => endpoint) ?? [];
  }

  /** What the run holds; empty without a path. */
  get reservations(): readonly Reservation[] {
    return this.path?.reservations ?? [];
  }

  /** Expected time to the first event, in milliseconds; 0 without a path. */
  get firstEventMs(): number {
    return this.path?.firstEventMs ?? 0;
  }

  /**
   * Takes over a path, in place of the current one.
   *
   * @param path - Path with capacity reserved on it.
   */
  hold(path: LayerPath): void {
    this.release();
    this.path = path;
    this.isPrefilling = true;
  }

  /**
   * Called when the run has sent events, so that its prefill no longer delays other requests.
   *
   * @returns Whether these were its first events.
   */
  finishPrefill(): boolean {
    if (!this.isPrefilling) {
      return false;
    }
    this.isPrefilling = false;
    this.ledger.finishPrefill(this.reservations);
    return true;
  }

  /** Releases the path, if any. */
  release(): void {
    this.ledger.release(this.reservations);
    this.path = undefined;
    this.isPrefilling = false;
  }
}
