import { LogLevel } from '../../../base/common/logger.js';
import type { CancelTimer } from '../../../base/common/clock.js';
import type { IEndpointControl } from '../common/endpointControl.js';
import { OrderRefusal, OrderRefusedError } from '../common/endpointControl.js';
import { Suspicion } from '../../directory/common/endpointDirectory.js';
import type { RelayContext } from './relayContext.js';
import type { StreamRelay } from './streamRelay.js';

/** Pause between looks at the streams, in milliseconds. */
const tickMs = 100;

/** Silence of a stream after which its first endpoint is asked why, in milliseconds. */
const silenceMs = 350;

/** Pause between questions to the same endpoint, in milliseconds. */
const askAgainMs = 250;

/** Silent reports in a row after which an endpoint counts as dead. */
const maxSilentReports = 2;

/** Finds streams that wait for a silent endpoint, and moves them around it. */
export class StallMonitor {
  private readonly streams = new Set<StreamRelay>();

  private readonly askedMs = new Map<string, number>();

  private readonly silentReports = new Map<string, number>();

  private readonly moving = new Set<StreamRelay>();

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param control - Reports of and orders to endpoints.
   * @param context - What relays share.
   */
  constructor(
    private readonly control: IEndpointControl,
    private readonly context: RelayContext,
  ) {}

  /** Starts to watch a stream. */
  add(stream: StreamRelay): void {
    this.streams.add(stream);
    this.cancelTimer ??= this.context.clock.after(tickMs, () => this.tick());
  }

  /** Ends the watch of a stream. */
  remove(stream: StreamRelay): void {
    this.streams.delete(stream);
  }

  /** Stops. */
  close(): void {
    this.cancelTimer?.();
  }

  private tick(): void {
    this.cancelTimer = undefined;
    const now = this.context.clock.monotonicMs();
    for (const stream of this.streams) {
      const address = stream.firstAddress;
      const isDue = now - (this.askedMs.get(address ?? '') ?? 0) >= askAgainMs;
      if (address !== undefined && isDue && stream.silentMs() > silenceMs) {
        this.askedMs.set(address, now);
        void this.ask(address);
      }
    }
    if (this.streams.size > 0) {
      this.cancelTimer = this.context.clock.after(tickMs, () => this.tick());
    } else {
      this.askedMs.clear();
    }
  }

  private async ask(head: string): Promise<void> {
    const report = await this.control.report(head);
    const through = [...this.streams].filter((stream) => stream.firstAddress === head);
    if (report.isErr()) {
      const count = (this.silentReports.get(head) ?? 0) + 1;
      this.silentReports.set(head, count);
      if (count >= maxSilentReports) {
        this.context.directory.suspect(head, Suspicion.Silent, 'no report');
        through.forEach((stream) => stream.abandonRun(head));
      }
      return;
    }
    this.silentReports.delete(head);
    const byId = new Map(through.map((stream) => [stream.requestId, stream]));
    for (const { requestId, address } of report.value.stalled) {
      this.context.directory.suspect(address, Suspicion.Silent, 'stalls a path');
      const stream = byId.get(requestId);
      if (stream) {
        await this.move(stream, head, address);
      }
    }
  }

  /** Moves a stalled stream around an endpoint; if it can't move, it goes on elsewhere. */
  private async move(stream: StreamRelay, head: string, fault: string): Promise<void> {
    if (this.moving.has(stream)) {
      return;
    }
    this.moving.add(stream);
    const path = stream.reserveAlternativePath(fault);
    const moved = path && (await this.control.repath(head, stream.requestId, path));
    this.moving.delete(stream);
    if (path && moved?.isOk()) {
      stream.adopt(path);
      return;
    }
    if (path) {
      this.context.ledger.release(path.reservations);
    }
    this.context.logger.log(LogLevel.Warn, 'repath-failed', {
      request: stream.requestId,
      endpoint: head,
      around: fault,
      reason: moved?.isErr() ? moved.error.message : 'no path has room',
    });
    const isGone =
      moved?.isErr() &&
      moved.error instanceof OrderRefusedError &&
      moved.error.refusal === OrderRefusal.UnknownRequest;
    if (!isGone) {
      stream.abandonRun(fault);
    }
  }
}
