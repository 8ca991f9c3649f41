import type { Result } from 'ts-results-es';
import type {
  AdmissionRefusedError,
  AdmissionRequest,
  IAdmissionTicket,
  ModelAdmission,
} from '../../admission/common/modelAdmission.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';
import type { ReservationLedger } from '../../routing/common/reservationLedger.js';

/** Acquires paths for one request, one at a time. */
export class PathAcquisition {
  private ticket: IAdmissionTicket | undefined;

  /**
   * @param admission - Admits the request and reserves paths for it.
   * @param ledger - Records the reservations.
   */
  constructor(
    private readonly admission: ModelAdmission,
    private readonly ledger: ReservationLedger,
  ) {}

  /** Whether the request waits for a path. */
  get isPending(): boolean {
    return this.ticket !== undefined;
  }

  /**
   * Waits for a path with reserved capacity. Replaces an acquisition that is pending.
   *
   * @param req - Requirements of the path.
   * @returns The path, which the caller has to release, or the refusal; undefined after a cancellation.
   */
  async acquire(
    req: AdmissionRequest,
  ): Promise<Result<LayerPath, AdmissionRefusedError> | undefined> {
    this.cancel();
    const ticket = this.admission.request(req);
    this.ticket = ticket;
    const outcome = await ticket.outcome;
    if (this.ticket === ticket) {
      this.ticket = undefined;
      return outcome;
    }
    if (outcome.isOk()) {
      this.ledger.release(outcome.value.reservations);
      this.admission.admitWaiting();
    }
    return undefined;
  }

  /** Cancels the pending acquisition, if any. */
  cancel(): void {
    const { ticket } = this;
    this.ticket = undefined;
    ticket?.cancel();
  }
}
