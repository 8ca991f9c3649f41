import type { Result } from 'ts-results-es';
import type {
  AdmissionRefusedError,
  AdmissionRequest,
  IAdmissionTicket,
} from '../../admission/common/modelAdmission.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';
import type { ReservationLedger } from '../../routing/common/reservationLedger.js';

/** Acquires paths for one request, one at a time. */
export class PathAcquisition {
  private ticket: IAdmissionTicket | undefined;

  /**
   * @param admission - Admits the request and reserves paths for it.
   * @param ledger - Records the reservations.
   * @param onDidRelease - Called after a path was released that is no longer needed.
   */
  constructor(
    private readonly admission: { request(req: AdmissionRequest): IAdmissionTicket },
    private readonly ledger: ReservationLedger,
    private readonly onDidRelease: () => void,
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
      this.onDidRelease();
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
