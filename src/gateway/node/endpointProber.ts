import type { CancelTimer, IClock, ITimers } from '../../base/common/clock.js';
import { Suspicion, type EndpointDirectory } from '../directory/common/endpointDirectory.js';
import type { IEndpointControl } from '../relay/common/endpointControl.js';

/** Pause between probes of a silent endpoint, in milliseconds. */
const probeMs = 700;

/** Asks silent model endpoints for their report until they answer or are gone. */
export class EndpointProber {
  private cancelTimer: CancelTimer | undefined;

  /**
   * @param directory - Endpoints and suspicions.
   * @param control - Reads reports.
   * @param clock - Timers.
   */
  constructor(
    private readonly directory: EndpointDirectory,
    private readonly control: IEndpointControl,
    private readonly clock: IClock & ITimers,
  ) {}

  /** Starts to probe. */
  start(): void {
    this.cancelTimer = this.clock.after(probeMs, () => {
      this.directory
        .silentAddresses()
        .filter((address) => this.directory.atAddress(address)?.card !== undefined)
        .forEach((address) => void this.probe(address));
      this.start();
    });
  }

  /** Stops. */
  close(): void {
    this.cancelTimer?.();
  }

  private async probe(address: string): Promise<void> {
    const report = await this.control.report(address);
    if (report.isOk()) {
      this.directory.clearSuspicion(address);
    } else {
      this.directory.suspect(address, Suspicion.Silent, 'no report');
    }
  }
}
