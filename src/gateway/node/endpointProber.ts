import type { CancelTimer, IClock, ITimers } from '../../base/common/clock.js';
import type { Endpoint } from '../directory/common/endpoint.js';
import { Suspicion, type EndpointDirectory } from '../directory/common/endpointDirectory.js';
import type { IEndpointControl } from '../relay/common/endpointControl.js';

/** Interval between probes of endpoints that are suspected silent, in milliseconds. */
const probeIntervalMs = 700;

/**
 * Requests the reports of silent model endpoints periodically, until they answer or are removed
 * from the directory.
 */
export class EndpointProber {
  private cancelTimer: CancelTimer | undefined;

  /**
   * @param directory - Holds the endpoints and the suspicions against them.
   * @param control - Requests the reports of endpoints.
   * @param isPaused - Whether an endpoint wants nothing of this gateway now; it is asked for no report.
   * @param clock - Source of timers.
   */
  constructor(
    private readonly directory: EndpointDirectory,
    private readonly control: IEndpointControl,
    private readonly isPaused: (endpoint: Endpoint) => boolean,
    private readonly clock: IClock & ITimers,
  ) {}

  /** Schedules the next round of probes; each round schedules the one after it. */
  start(): void {
    this.cancelTimer = this.clock.after(probeIntervalMs, () => {
      this.directory
        .silentEndpoints()
        .filter((endpoint) => this.mayProbe(endpoint))
        .forEach((endpoint) => void this.probe(endpoint));
      this.start();
    });
  }

  /** Cancels the next round of probes; probes in progress are not aborted. */
  close(): void {
    this.cancelTimer?.();
  }

  private mayProbe(endpoint: Endpoint): boolean {
    return endpoint.card !== undefined && !this.isPaused(endpoint);
  }

  private async probe({ address, startedMs }: Endpoint): Promise<void> {
    const report = await this.control.report(address);
    if (report.isOk()) {
      this.directory.clearSuspicion(address);
    } else {
      const reason = 'endpoint did not answer report requests';
      this.directory.suspect(address, Suspicion.Silent, reason, startedMs);
    }
  }
}
