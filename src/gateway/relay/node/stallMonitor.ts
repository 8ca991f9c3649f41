import { LogLevel } from '../../../base/common/logger.js';
import type { CancelTimer } from '../../../base/common/clock.js';
import type { IEndpointControl } from '../common/endpointControl.js';
import { OrderRefusal, OrderRefusedError } from '../common/endpointControl.js';
import { Suspicion } from '../../directory/common/endpointDirectory.js';
import type { RelayContext } from './relayContext.js';
import type { StreamRelay } from './streamRelay.js';

/** Interval between checks of the streams, in milliseconds. */
const checkIntervalMs = 100;

/** Time without an event after which a stream's first endpoint is asked for a report, in milliseconds. */
const maxSilenceMs = 350;

/** Minimum interval between report requests to the same endpoint, in milliseconds. */
const minReportIntervalMs = 250;

/** Consecutive report requests without an answer after which an endpoint is suspected silent. */
const maxFailedReports = 2;

/** Move of a run that its first endpoint refused. */
interface RefusedRepath {
  readonly sendNumber: number;
  /** Address of the endpoint at fault. */
  readonly faultAddress: string;
}

/**
 * Detects streams that are stalled by an endpoint that does not respond, or that their first endpoint has
 * passed over, and moves them to paths that avoid it.
 */
export class StallMonitor {
  private readonly streams = new Set<StreamRelay>();

  private readonly lastReportRequestMs = new Map<string, number>();

  /** Times at which the last report requests without an answer were sent, in monotonic milliseconds. */
  private readonly failedReportsMs = new Map<string, readonly number[]>();

  /** Send of each stream whose run is being moved. */
  private readonly repathing = new Map<StreamRelay, number>();

  private readonly refusedRepaths = new WeakMap<StreamRelay, RefusedRepath>();

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param control - Reads reports of endpoints and sends orders to them.
   * @param context - Dependencies that all relays share.
   */
  constructor(
    private readonly control: IEndpointControl,
    private readonly context: RelayContext,
  ) {}

  /** Starts monitoring a stream. */
  add(stream: StreamRelay): void {
    this.streams.add(stream);
    this.cancelTimer ??= this.context.clock.after(checkIntervalMs, () => this.checkStreams());
  }

  /** Stops monitoring a stream. */
  remove(stream: StreamRelay): void {
    this.streams.delete(stream);
  }

  /** Cancels the timer of the next check. */
  close(): void {
    this.cancelTimer?.();
  }

  private checkStreams(): void {
    this.cancelTimer = undefined;
    const now = this.context.clock.monotonicMs();
    for (const stream of this.streams) {
      const address = stream.firstAddress;
      const isDue = now - (this.lastReportRequestMs.get(address ?? '') ?? 0) >= minReportIntervalMs;
      if (address !== undefined && isDue && stream.silentMs() > maxSilenceMs) {
        this.lastReportRequestMs.set(address, now);
        void this.requestReport(address);
      }
    }
    if (this.streams.size > 0) {
      this.cancelTimer = this.context.clock.after(checkIntervalMs, () => this.checkStreams());
    } else {
      this.lastReportRequestMs.clear();
    }
  }

  private async requestReport(firstAddress: string): Promise<void> {
    const { directory, clock } = this.context;
    const asked = directory.findByAddress(firstAddress);
    const askedMs = clock.monotonicMs();
    const report = await this.control.report(firstAddress);
    const affectedStreams = [...this.streams].filter(
      (stream) => stream.firstAddress === firstAddress,
    );
    if (report.isErr()) {
      const failedMs = [...(this.failedReportsMs.get(firstAddress) ?? []), askedMs];
      const lastFailedMs = failedMs.slice(-maxFailedReports);
      this.failedReportsMs.set(firstAddress, lastFailedMs);
      if (lastFailedMs.length === maxFailedReports) {
        const reason = 'endpoint did not answer report requests';
        directory.suspect(firstAddress, Suspicion.Silent, reason, asked?.startedMs);
        affectedStreams
          .filter((stream) => stream.lastSignMs < lastFailedMs[0])
          .forEach((stream) => stream.handleSilence(firstAddress));
      }
      return;
    }
    if (this.failedReportsMs.delete(firstAddress)) {
      this.context.logger.log(LogLevel.Info, 'endpoint-responds-again', { address: firstAddress });
    }
    affectedStreams
      .filter((stream) => stream.isReplaced && stream.silentMs() > maxSilenceMs)
      .forEach((stream) => stream.handleSilence(firstAddress));
    const stalledIds = new Set(report.value.stalled.map(({ requestId }) => requestId));
    affectedStreams
      .filter((stream) => stream.isOvertaken && stream.silentMs() > maxSilenceMs)
      .filter((stream) => !stalledIds.has(stream.requestId))
      .forEach((stream) => stream.handleMissingAnswer());
    const byId = new Map(affectedStreams.map((stream) => [stream.requestId, stream]));
    for (const { requestId, address } of report.value.stalled) {
      const stream = byId.get(requestId);
      const stage = stream?.findStage(address);
      const reason = `reported by ${firstAddress} as stalling request ${requestId}`;
      directory.suspect(address, Suspicion.Silent, reason, stage?.startedMs);
      // The report may be older than the run.
      if (stream && (stage || stream.silentMs() > maxSilenceMs)) {
        await this.repath(stream, firstAddress, address);
      }
    }
  }

  /**
   * Moves a stalled stream to a path that avoids the endpoint at fault. If this fails, lets the stream
   * resume on another path, unless the first endpoint no longer knows the request.
   */
  private async repath(
    stream: StreamRelay,
    firstAddress: string,
    faultAddress: string,
  ): Promise<void> {
    const { sendNumber } = stream;
    if (this.repathing.get(stream) === sendNumber) {
      return;
    }
    const refused = this.refusedRepaths.get(stream);
    if (refused?.sendNumber === sendNumber && refused.faultAddress === faultAddress) {
      stream.handleSilence(faultAddress);
      return;
    }
    this.repathing.set(stream, sendNumber);
    const path = stream.reserveAlternativePath(faultAddress);
    const outcome = path && (await this.control.repath(firstAddress, stream.requestId, path));
    if (this.repathing.get(stream) === sendNumber) {
      this.repathing.delete(stream);
    }
    if (path && outcome?.isOk()) {
      stream.adoptPath(path, sendNumber);
      return;
    }
    if (path) {
      this.context.ledger.release(path.reservations);
    }
    this.context.logger.log(LogLevel.Warn, 'repath-failed', {
      request: stream.requestId,
      endpoint: firstAddress,
      around: faultAddress,
      reason: outcome?.isErr() ? outcome.error.message : 'no alternative path with free capacity',
    });
    const isUnknownRequest =
      outcome?.isErr() &&
      outcome.error instanceof OrderRefusedError &&
      outcome.error.refusal === OrderRefusal.UnknownRequest;
    if (!isUnknownRequest && stream.sendNumber === sendNumber) {
      if (path) {
        this.refusedRepaths.set(stream, { sendNumber, faultAddress });
      }
      stream.handleSilence(faultAddress);
    }
  }
}
