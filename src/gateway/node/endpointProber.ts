import type { CancelTimer, IClock, ITimers } from '../../base/common/clock.js';
import type { Subscription } from '../../base/common/event.js';
import { incarnationOf, type Endpoint } from '../directory/common/endpoint.js';
import { Suspicion, type EndpointDirectory } from '../directory/common/endpointDirectory.js';
import type { IEndpointControl } from '../relay/common/endpointControl.js';

/** Interval between probes of endpoints that are suspected silent, in milliseconds. */
const probeIntervalMs = 700;

/**
 * Requests the reports of model endpoints: at once of those that broke a connection, and periodically
 * of silent ones, until they answer or are removed from the directory.
 */
export class EndpointProber {
  private cancelTimer: CancelTimer | undefined;

  private disconnections: Subscription | undefined;

  /** Incarnations that broke a connection and are being probed. */
  private readonly probedIncarnations = new Set<string>();

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

  /** Starts to probe endpoints. */
  start(): void {
    this.disconnections = this.directory.onDidDisconnect((endpoint) => {
      if (this.mayProbe(endpoint)) {
        void this.probeDisconnected(endpoint);
      }
    });
    this.scheduleRound();
  }

  /** Cancels the next round of probes; probes in progress are not aborted. */
  close(): void {
    this.cancelTimer?.();
    this.disconnections?.close();
  }

  /** Schedules the next round of probes; each round schedules the one after it. */
  private scheduleRound(): void {
    this.cancelTimer = this.clock.after(probeIntervalMs, () => {
      this.directory
        .silentEndpoints()
        .filter((endpoint) => this.mayProbe(endpoint))
        .forEach((endpoint) => void this.probe(endpoint));
      this.scheduleRound();
    });
  }

  private mayProbe(endpoint: Endpoint): boolean {
    return endpoint.card !== undefined && !this.isPaused(endpoint);
  }

  /** Finds out whether an endpoint that broke a connection still answers. */
  private async probeDisconnected(endpoint: Endpoint): Promise<void> {
    const incarnation = incarnationOf(endpoint);
    if (this.probedIncarnations.has(incarnation)) {
      return;
    }
    this.probedIncarnations.add(incarnation);
    const { address, startedMs } = endpoint;
    const report = await this.control.report(address);
    this.probedIncarnations.delete(incarnation);
    if (report.isErr()) {
      const reason = 'endpoint broke a connection and did not answer a report request';
      this.directory.suspect(address, Suspicion.Silent, reason, startedMs);
    } else if ((report.value.startedMs ?? startedMs) === startedMs) {
      this.directory.recordProbeAnswer(endpoint);
    }
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
