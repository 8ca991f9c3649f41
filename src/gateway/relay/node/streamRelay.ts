import { LogLevel } from '../../../base/common/logger.js';
import type { CancelTimer } from '../../../base/common/clock.js';
import {
  RefusalReason,
  type IAdmissionTicket,
  type ModelAdmission,
} from '../../admission/common/modelAdmission.js';
import { RouteKind } from '../../config/common/configSnapshot.js';
import { incarnationOf } from '../../directory/common/endpoint.js';
import { Suspicion } from '../../directory/common/endpointDirectory.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';
import {
  deadlineOf,
  RefusalStatus,
  type CallerRequest,
  type ICallerSink,
} from '../common/callerRequest.js';
import type { AnswerMetadata } from '../common/dialect.js';
import { EventSplitter } from '../common/eventSplitter.js';
import type { AnswerHead, IExchange } from './endpointSender.js';
import type { RelayContext } from './relayContext.js';
import { AnswerKind, StreamRun, type IStreamReceiver } from './streamRun.js';

/**
 * Share of the expected answer that is reserved beside the prompt. Streams grow while they run, so
 * at any moment they hold about half of it.
 */
const reservedAnswerShare = 0.5;

/** Longest wait for room; callers leave after two seconds without an event. */
const maxWaitMs = 1_200;

/** Longest wait for a path on which a broken stream goes on; callers leave after two seconds. */
const maxResumeWaitMs = 1_500;

/** Sends of one request at the most, whatever the route allows for endpoints that run it. */
const maxSends = 4;

/** Endpoints at which a stream may run whatever its route allows, so that it can go on after a cut. */
const minRunEndpoints = 2;

/** Time left below which a request isn't sent once more, in milliseconds. */
const minRemainingMs = 300;

/** Idle time of a kept connection that is used again, in milliseconds. */
const keptIdleMs = 3_000;

/** Wait after which a refusal for want of an endpoint means that the endpoint is dead, in ms. */
const deadRefusalMs = 1_200;

const misdirectedStatus = 421;

/** Where a stream stands. */
enum Phase {
  Waiting,
  Sent,
  Streaming,
  Over,
}

/** Why a run ended without a complete answer. */
enum Break {
  /** No byte of the request reached the endpoint. */
  NotSent = 'not-sent',
  /** The endpoint says that it didn't run the request. */
  NotRun = 'not-run',
  /** The answer broke off, or wasn't the endpoint's own. */
  Cut = 'cut',
  /** An endpoint of the path is silent. */
  Dead = 'dead',
}

/** Relays one stream: waits for room, sends, passes events on, and goes on elsewhere if it must. */
export class StreamRelay implements IStreamReceiver {
  private phase = Phase.Waiting;

  private ticket: IAdmissionTicket | undefined;

  private path: LayerPath | undefined;

  private exchange: IExchange | undefined;

  private splitter = new EventSplitter();

  private hasBegun = false;

  private lastEventId: string | undefined;

  private events = 0;

  private sends = 0;

  /** First endpoints of paths on which the request may have run; the route bounds their number. */
  private readonly ranAt = new Set<string>();

  private isReading = false;

  private sentAtMs = 0;

  private lastEventAtMs = 0;

  private firstEventMs: number | undefined;

  private longestPauseMs = 0;

  private readonly excluded = new Set<string>();

  private readonly cancelDeadline: CancelTimer;

  /**
   * @param req - The request.
   * @param caller - Receives the answer.
   * @param admission - Gives paths.
   * @param usualOutputTokens - Mean length of answers.
   * @param context - What relays share.
   * @param onOver - Called once when the relay has ended.
   */
  constructor(
    private readonly req: CallerRequest,
    private readonly caller: ICallerSink,
    private readonly admission: ModelAdmission,
    private readonly usualOutputTokens: number,
    private readonly context: RelayContext,
    private readonly onOver: (relay: StreamRelay) => void,
  ) {
    this.lastEventId = req.metadata.lastEventId;
    const { clock } = context;
    const leftMs = Math.max(0, deadlineOf(req) - clock.monotonicMs());
    this.cancelDeadline = clock.after(leftMs, () => this.expire());
  }

  /** Id of the request. */
  get requestId(): string {
    return this.req.metadata.requestId ?? '';
  }

  /** Address of the first endpoint while the request is at one. */
  get firstAddress(): string | undefined {
    return this.phase === Phase.Sent || this.phase === Phase.Streaming
      ? this.path?.stages[0].endpoint.address
      : undefined;
  }

  private get isOver(): boolean {
    return this.phase === Phase.Over;
  }

  /** Time without an event beyond what was expected, in milliseconds. */
  silentMs(): number {
    const now = this.context.clock.monotonicMs();
    if (this.phase === Phase.Sent) {
      return now - this.sentAtMs - (this.path?.firstEventMs ?? 0);
    }
    return this.phase === Phase.Streaming ? now - this.lastEventAtMs : 0;
  }

  /** Whether the path includes an endpoint. */
  uses(address: string): boolean {
    return this.path?.stages.some(({ endpoint }) => endpoint.address === address) ?? false;
  }

  /** Starts to wait for room. */
  start(): void {
    void this.seekPath(false);
  }

  /** The caller left: gives everything up. */
  cancel(): void {
    if (this.phase !== Phase.Over) {
      this.log('stream-cancelled', { events: this.events });
      this.finish('cancelled', 0);
    }
  }

  /**
   * Looks for a path around an endpoint that fell silent.
   *
   * @param address - The endpoint at fault.
   * @returns The path with room reserved, or undefined if there is none.
   */
  reserveAlternativePath(address: string): LayerPath | undefined {
    const firstStage = this.path?.stages[0];
    if (firstStage === undefined || firstStage.endpoint.address === address) {
      return undefined;
    }
    this.excluded.add(address);
    return this.admission.reserveAlternativePath({
      ...this.pathRequest(),
      firstStage: { address: firstStage.endpoint.address, to: firstStage.to },
    });
  }

  /**
   * Takes note that the endpoints moved the request to another path.
   *
   * @param path - The new path; room is reserved on it.
   */
  adopt(path: LayerPath): void {
    if (this.phase === Phase.Over) {
      this.context.ledger.release(path.reservations);
      return;
    }
    this.releasePath();
    this.path = path;
    this.isReading = true;
    this.lastEventAtMs = this.context.clock.monotonicMs();
    this.log('stream-repathed', { path: describe(path), events: this.events });
  }

  /** Breaks the run off because an endpoint of its path is silent, and goes on elsewhere. */
  abandonRun(address: string): void {
    if (this.phase !== Phase.Sent && this.phase !== Phase.Streaming) {
      return;
    }
    this.noteRun();
    this.excluded.add(address);
    this.exchange?.abort();
    this.broken(Break.Dead, `silent ${address}`);
  }

  private pathRequest(): {
    promptTokens: number;
    reservedTokens: number;
    excluded: ReadonlySet<string>;
    allowedFirstAddresses: ReadonlySet<string> | undefined;
  } {
    const { promptTokens, maxOutputTokens, expectedOutputTokens } = this.req.metadata;
    const expected = Math.min(
      maxOutputTokens || Number.POSITIVE_INFINITY,
      expectedOutputTokens ?? this.usualOutputTokens,
    );
    return {
      promptTokens,
      reservedTokens: promptTokens + reservedAnswerShare * expected,
      excluded: this.excluded,
      allowedFirstAddresses: this.mayRunElsewhere ? undefined : this.ranAt,
    };
  }

  private async seekPath(isResumed: boolean): Promise<void> {
    this.phase = Phase.Waiting;
    const { clock } = this.context;
    const leftMs = deadlineOf(this.req) - clock.monotonicMs();
    this.ticket = this.admission.request({
      ...this.pathRequest(),
      arrivedMs: this.req.arrivedMs,
      objectiveMs: this.req.route.objectiveMs,
      maxWaitMs: Math.min(leftMs, isResumed ? maxResumeWaitMs : maxWaitMs),
      isResumed,
    });
    const outcome = await this.ticket.outcome;
    this.ticket = undefined;
    if (outcome.isErr()) {
      const { reason, retryAfterMs } = outcome.error;
      if (!this.isOver && reason !== RefusalReason.Cancelled) {
        this.context.metrics.refusals.inc({ reason });
        this.giveUp(reason, retryAfterMs);
      }
      return;
    }
    if (this.isOver) {
      this.context.ledger.release(outcome.value.reservations);
      this.admission.admitWaiting();
      return;
    }
    this.send(outcome.value);
  }

  private send(path: LayerPath): void {
    const { clock, dialect, sender } = this.context;
    const firstEndpoint = path.stages[0].endpoint;
    const nowMs = clock.monotonicMs();
    this.path = path;
    this.isReading = true;
    this.phase = Phase.Sent;
    this.sentAtMs = nowMs;
    this.sends += 1;
    this.splitter = new EventSplitter();
    this.log('stream-sent', {
      path: describe(path),
      send: this.sends,
      waitedMs: Math.round(nowMs - this.req.arrivedMs),
      expectedMs: Math.round(path.firstEventMs),
      resumeAt: this.lastEventId,
    });
    const headers = dialect.endpointHeaders(this.req.rawHeaders, {
      remainingMs: deadlineOf(this.req) - nowMs,
      endpointId: firstEndpoint.id,
      organisation: this.req.organisation,
      path,
      lastEventId: this.lastEventId,
    });
    const { method, target, body } = this.req;
    const run = new StreamRun(this.sends, this);
    this.exchange = sender.send(
      firstEndpoint.address,
      { method, target, headers, body, maxIdleMs: keptIdleMs },
      run,
    );
  }

  onHead(send: number, head: AnswerHead): AnswerKind {
    if (send !== this.sends || this.phase !== Phase.Sent) {
      return AnswerKind.Ignored;
    }
    const metadata = this.context.dialect.readAnswer(head.status, head.headers);
    if (metadata.requestId !== undefined && metadata.requestId !== this.requestId) {
      this.exchange?.abort();
      this.broken(Break.Cut, 'answer to another request');
      return AnswerKind.Ignored;
    }
    if (metadata.didNotRun) {
      return AnswerKind.NotRun;
    }
    if (head.status >= 300) {
      return AnswerKind.Failure;
    }
    if (!metadata.hasSignature || metadata.isEncoded) {
      this.exchange?.abort();
      this.broken(Break.Cut, 'answer without signature');
      return AnswerKind.Ignored;
    }
    this.noteRun();
    this.phase = Phase.Streaming;
    this.lastEventAtMs = this.context.clock.monotonicMs();
    if (!this.hasBegun) {
      this.hasBegun = true;
      this.caller.begin(head.status, this.context.dialect.callerHeaders(head.rawHeaders));
    }
    return AnswerKind.Events;
  }

  onEvents(chunk: Buffer): boolean {
    const batch = this.splitter.push(chunk);
    if (batch === undefined || this.phase !== Phase.Streaming) {
      return true;
    }
    const nowMs = this.context.clock.monotonicMs();
    if (this.firstEventMs === undefined) {
      this.firstEventMs = nowMs - this.req.arrivedMs;
      this.context.metrics.latency.observe({ kind: RouteKind.Stream }, this.firstEventMs);
    } else {
      this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastEventAtMs);
    }
    if (this.isReading && this.path) {
      this.isReading = false;
      this.context.ledger.finishPrefill(this.path.reservations);
    }
    this.lastEventAtMs = nowMs;
    this.lastEventId = batch.lastId ?? this.lastEventId;
    this.events += batch.count;
    if (this.caller.write(batch.bytes)) {
      return true;
    }
    this.caller.whenDrained(() => this.exchange?.resume());
    return false;
  }

  onComplete(): void {
    if (this.phase !== Phase.Streaming) {
      return;
    }
    if (this.splitter.partial.length > 0) {
      this.broken(Break.Cut, 'ended within an event');
      return;
    }
    const { directory } = this.context;
    this.path?.stages.forEach(({ endpoint }) => directory.clearSuspicion(endpoint.address));
    this.caller.end();
    this.finish('complete', 200);
  }

  onWhole(kind: AnswerKind, head: AnswerHead, body: Buffer): void {
    if (this.phase !== Phase.Sent) {
      return;
    }
    const metadata = this.context.dialect.readAnswer(head.status, head.headers);
    if (kind === AnswerKind.NotRun) {
      this.notRun(metadata, head.status);
      return;
    }
    this.noteRun();
    if (
      this.hasBegun ||
      (head.status >= 500 && this.req.route.isResumable && this.mayRunElsewhere)
    ) {
      this.broken(Break.Cut, `status ${head.status}`);
      return;
    }
    this.caller.answer(head.status, this.context.dialect.callerHeaders(head.rawHeaders), body);
    this.finish('endpoint-failure', head.status);
  }

  onFailure(send: number, reason: string, wasSent: boolean): void {
    if (send !== this.sends || this.phase === Phase.Over || this.phase === Phase.Waiting) {
      return;
    }
    const firstEndpoint = this.path?.stages[0].endpoint;
    if (firstEndpoint) {
      this.context.directory.suspect(firstEndpoint.address, Suspicion.Silent, reason);
      this.excluded.add(firstEndpoint.address);
    }
    if (wasSent && this.phase === Phase.Sent) {
      this.noteRun();
    }
    this.broken(wasSent ? Break.Cut : Break.NotSent, reason);
  }

  private notRun(metadata: AnswerMetadata, status: number): void {
    const address = metadata.faultAddress ?? this.firstAddress;
    if (address !== undefined) {
      const waitedMs = this.context.clock.monotonicMs() - this.sentAtMs;
      const kind = suspicionOf(status, waitedMs);
      this.excluded.add(address);
      this.releasePath();
      if (kind === Suspicion.Refusing && this.admission.recordRefusal(address, true)) {
        const reserved = this.context.ledger.loadAt(address).tokenLayers;
        this.log('endpoint-full', { address, status, reserved: Math.round(reserved) });
      } else {
        this.context.directory.suspect(address, kind, `status ${status}`);
      }
    }
    this.broken(Break.NotRun, `status ${status} by ${address ?? 'unknown'}`);
  }

  /** Whether the route lets the request run at one more endpoint. */
  private get mayRunElsewhere(): boolean {
    return this.ranAt.size < Math.max(minRunEndpoints, this.req.route.maxAttempts);
  }

  /** Takes note that the request may run at the first endpoint of its path. */
  private noteRun(): void {
    const firstAddress = this.path?.stages[0].endpoint.address;
    if (firstAddress !== undefined) {
      this.ranAt.add(firstAddress);
    }
  }

  /** Decides what follows a run without a complete answer. */
  private broken(why: Break, reason: string): void {
    this.releasePath();
    this.exchange = undefined;
    const { clock, retryBudgetOf, metrics } = this.context;
    const leftMs = deadlineOf(this.req) - clock.monotonicMs();
    const isSafe = why === Break.NotSent || why === Break.NotRun || this.req.route.isResumable;
    const hasBudget = why === Break.NotSent || retryBudgetOf(this.req.service).tryConsume();
    const goesOn = isSafe && hasBudget && this.sends < maxSends && leftMs > minRemainingMs;
    this.log('run-broken', { why, reason, events: this.events, goesOn, sends: this.sends });
    if (goesOn && !this.caller.isDisconnected) {
      metrics.repeats.inc({ reason: why });
      void this.seekPath(this.hasBegun || this.ranAt.size > 0);
      return;
    }
    this.giveUp(why, 1_000, reason);
  }

  private giveUp(reason: string, retryAfterMs: number, detail = reason): void {
    if (this.hasBegun) {
      this.caller.abort();
      this.finish(`broken: ${reason}`, 0);
      return;
    }
    const hasRun = this.ranAt.size > 0;
    const status = hasRun ? RefusalStatus.BadGateway : RefusalStatus.Unavailable;
    this.caller.refuse({ status, detail, ...(hasRun ? {} : { retryAfterMs }) });
    this.finish(`refused: ${reason}`, status);
  }

  private expire(): void {
    if (this.phase === Phase.Over) {
      return;
    }
    if (this.hasBegun) {
      this.caller.abort();
    } else {
      const isWaiting = this.phase === Phase.Waiting && this.ranAt.size === 0;
      this.caller.refuse({
        status: isWaiting ? RefusalStatus.Unavailable : RefusalStatus.Timeout,
        detail: 'no complete answer in time',
      });
    }
    this.finish('timeout', RefusalStatus.Timeout);
  }

  private finish(outcome: string, status: number): void {
    this.phase = Phase.Over;
    this.cancelDeadline();
    this.ticket?.cancel();
    this.exchange?.abort();
    this.exchange = undefined;
    this.releasePath();
    const { metrics, clock } = this.context;
    metrics.answers.inc({ kind: RouteKind.Stream, status, source: outcome.split(':')[0] });
    metrics.pause.observe(this.longestPauseMs);
    this.log('stream-over', {
      outcome,
      status,
      events: this.events,
      sends: this.sends,
      firstEventMs: this.firstEventMs && Math.round(this.firstEventMs),
      longestPauseMs: Math.round(this.longestPauseMs),
      totalMs: Math.round(clock.monotonicMs() - this.req.arrivedMs),
    });
    this.onOver(this);
    this.admission.admitWaiting();
  }

  private releasePath(): void {
    if (this.path) {
      if (this.isReading) {
        this.context.ledger.finishPrefill(this.path.reservations);
        this.isReading = false;
      }
      this.context.ledger.release(this.path.reservations);
      this.path = undefined;
    }
  }

  private log(event: string, fields: Record<string, string | number | boolean | undefined>): void {
    this.context.logger.log(LogLevel.Info, event, { request: this.requestId, ...fields });
  }
}

/** What a refusal by an endpoint of a path says of it. */
function suspicionOf(status: number, waitedMs: number): Suspicion {
  if (status === misdirectedStatus) {
    return Suspicion.Misdirected;
  }
  return waitedMs > deadRefusalMs ? Suspicion.Silent : Suspicion.Refusing;
}

/**
 * Describes a path for a log line.
 *
 * @param path - The path.
 * @returns Incarnations with their layers.
 */
function describe(path: LayerPath): string {
  return path.stages
    .map(({ endpoint, from, to }) => `${incarnationOf(endpoint)}:${from}-${to}`)
    .join(',');
}
