import type { IClock } from '../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import { waitForNextPoll } from '../../base/node/eventLoop.js';
import { sleep } from '../../base/node/systemClock.js';
import type { LeaseCandidate } from '../../services/lease/common/lease.js';
import type { Ingress } from '../http/node/ingress.js';
import { deadlineOf, type CallerRequest } from '../relay/common/callerRequest.js';

/**
 * Time after SIGTERM during which the load balancer may still send callers here, in milliseconds.
 */
const loadBalancerDelayMs = 2_500;

/** Margin between stopping unfinished requests and the end of the grace period, in milliseconds. */
const stopMarginMs = 500;

/** Time in which the answers to stopped requests are sent, in milliseconds. */
const flushMs = 200;

/**
 * Time after SIGTERM during which new requests are accepted however long they may take, in milliseconds.
 * The rest of the grace period is left for them to finish.
 */
const drainAcceptAllMs = 2_800;

/**
 * Margin between the last accepted plain request and the end of the grace period, in milliseconds.
 */
const drainPlainMarginMs = 2_000;

/** Time in which callers send the first request on the connections that were accepted last, in milliseconds. */
const lingerMs = 250;

/** Interval between checks whether requests are in flight, in milliseconds. */
const pollIntervalMs = 50;

/** Moves callers of a gateway that stops to others, and lets its requests finish. */
export class DrainSequence {
  /** Monotonic time of the start; undefined while the gateway serves normally. */
  private startedMs: number | undefined;

  /**
   * @param graceMs - Time from SIGTERM to the end of the process, in milliseconds.
   * @param ingress - Accepts the callers.
   * @param lease - Placement lease, released once no more callers arrive.
   * @param clock - Source of time.
   * @param logger - Receives the start and the end.
   */
  constructor(
    private readonly graceMs: number,
    private readonly ingress: Ingress,
    private readonly lease: LeaseCandidate,
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {}

  /** Whether the gateway drains. */
  get hasStarted(): boolean {
    return this.startedMs !== undefined;
  }

  /**
   * Returns whether the gateway drains and has too little of the grace period left for a new request.
   *
   * @param isStream - Whether the request is a stream.
   * @param req - Request that has just been read.
   */
  mustRefuse(isStream: boolean, req: CallerRequest): boolean {
    if (this.startedMs === undefined) {
      return false;
    }
    const elapsedMs = this.clock.monotonicMs() - this.startedMs;
    const mayOutlast = isStream || deadlineOf(req) > this.stopMs(this.startedMs);
    return (
      (mayOutlast && elapsedMs > drainAcceptAllMs) ||
      (!isStream && elapsedMs > this.graceMs - drainPlainMarginMs)
    );
  }

  /** Resolves once all requests have ended or the grace period is almost over. */
  async run(): Promise<void> {
    const startedMs = this.clock.monotonicMs();
    this.startedMs = startedMs;
    this.ingress.drain();
    this.logger.log(LogLevel.Info, 'draining', { inFlight: this.ingress.inFlight });
    const deadlineMs = this.stopMs(startedMs);
    await sleep(Math.min(loadBalancerDelayMs, this.graceMs / 2));
    void this.lease.release();
    await this.waitForRequests(deadlineMs);
    await this.ingress.closeIdle();
    await sleep(Math.min(lingerMs, Math.max(0, deadlineMs - this.clock.monotonicMs())));
    await this.waitForRequests(deadlineMs);
    const stopped = this.ingress.inFlight;
    this.ingress.stopRequests();
    await this.waitForRequests(deadlineMs + flushMs);
    this.logger.log(LogLevel.Info, 'drained', {
      stopped,
      cut: this.ingress.inFlight,
      tookMs: Math.round(this.clock.monotonicMs() - startedMs),
    });
  }

  /** Returns the time at which unfinished requests are stopped. */
  private stopMs(startedMs: number): number {
    return startedMs + this.graceMs - stopMarginMs;
  }

  /** Waits for the requests that have arrived. */
  private async waitForRequests(deadlineMs: number): Promise<void> {
    await waitForNextPoll();
    while (this.ingress.inFlight > 0 && this.clock.monotonicMs() < deadlineMs) {
      await sleep(pollIntervalMs);
      await waitForNextPoll();
    }
  }
}
