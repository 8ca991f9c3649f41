import type { FastifyInstance } from 'fastify';
import type { IClock } from '../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import { waitForNextPoll } from '../../base/node/eventLoop.js';
import { sleep } from '../../base/node/systemClock.js';
import { problem, ProblemKind, RunState } from '../../services/problem/common/problem.js';
import type { CallerConnections } from '../http/node/callerConnections.js';
import { drainPollIntervalMs, loadBalancerGraceMs } from './entryLimits.js';

/** Time before the end of a drain at which unfinished requests are stopped, in milliseconds. */
const stopMarginMs = 500;

/** Time in which callers send the first request on the connections that were accepted last, in milliseconds. */
const lingerMs = 250;

/** Work that a drain waits for and stops at its end. */
export interface IDrainedWork {
  /** Number of requests in progress, also of those whose caller has disconnected. */
  readonly active: number;
  /** Ends the answers in progress. */
  stop(): void;
}

/** Moves callers of an entry that stops to others, and gives each of its requests a final answer. */
export class EntryDrain {
  /** Whether the health check fails, so that the load balancer sends no more callers. */
  isLeaving = false;

  /** Whether new requests are refused. */
  isRefusing = false;

  private closing: Promise<void> | undefined;

  /**
   * @param drainMs - Time from SIGTERM to the last answer, in milliseconds.
   * @param app - HTTP server for callers.
   * @param connections - Its connections.
   * @param work - Work that the drain waits for.
   * @param clock - Source of time.
   * @param logger - Receives the start and the end.
   */
  constructor(
    private readonly drainMs: number,
    private readonly app: FastifyInstance,
    private readonly connections: CallerConnections,
    private readonly work: IDrainedWork,
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {}

  /** Resolves once every request has its final answer, or the drain time is over. */
  async run(): Promise<void> {
    const startedMs = this.clock.monotonicMs();
    const endMs = startedMs + this.drainMs;
    const stopMs = endMs - Math.min(stopMarginMs, this.drainMs / 4);
    this.isLeaving = true;
    this.connections.leave();
    this.logger.log(LogLevel.Info, 'drain-started', { active: this.work.active });
    await sleep(Math.min(loadBalancerGraceMs, this.drainMs / 2));
    this.isRefusing = true;
    await this.waitForRequests(stopMs);
    this.stopListening();
    await sleep(Math.min(lingerMs, Math.max(0, stopMs - this.clock.monotonicMs())));
    await this.waitForRequests(stopMs);
    const stopped = this.connections.openCount;
    await this.stopRequests();
    await this.waitForRequests(endMs);
    this.logger.log(LogLevel.Info, 'drain-ended', {
      active: this.work.active,
      stopped,
      cut: this.connections.openCount,
    });
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.stopListening();
    this.app.server.closeAllConnections();
    await this.closing;
  }

  private stopListening(): void {
    this.closing ??= this.app.close();
  }

  private async stopRequests(): Promise<void> {
    this.connections.refuseIncomplete();
    this.work.stop();
    await waitForNextPoll(); // the answers of the stopped work are sent
    const detail = 'this instance stopped before the request was answered';
    this.connections.answerRest(problem(ProblemKind.OutcomeUnknown, RunState.Unknown, detail));
  }

  /** Waits for the requests that have arrived. */
  private async waitForRequests(untilMs: number): Promise<void> {
    await waitForNextPoll();
    while (this.isBusy && this.clock.monotonicMs() < untilMs) {
      await sleep(drainPollIntervalMs);
      await waitForNextPoll();
    }
  }

  private get isBusy(): boolean {
    return this.work.active > 0 || this.connections.openCount > 0;
  }
}
