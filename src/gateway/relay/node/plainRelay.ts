import type { CancelTimer } from '../../../base/common/clock.js';
import { LogLevel } from '../../../base/common/logger.js';
import type { EndpointHealth } from '../../../services/ejection/common/endpointHealth.js';
import { RouteKind } from '../../config/common/configSnapshot.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import { Suspicion } from '../../directory/common/endpointDirectory.js';
import type { Reservation } from '../../routing/common/reservationLedger.js';
import {
  deadlineOf,
  RefusalStatus,
  type CallerRequest,
  type ICallerSink,
} from '../common/callerRequest.js';
import type { PlainRouter } from '../../routing/common/plainRouter.js';
import type { AnswerHead, IAnswerSink, IExchange } from './endpointSender.js';
import type { RelayContext } from './relayContext.js';

/** Share of the objective after which an idempotent request is also sent to another endpoint. */
const hedgeShare = 0.8;

/** Sends of one request at the most, whatever the route allows for endpoints that run it. */
const maxSends = 3;

/** Time left below which a request isn't sent once more, in milliseconds. */
const minRemainingMs = 60;

/** Idle time of a kept connection that is used again, in milliseconds. */
const keptIdleMs = 3_000;

/**
 * The same for requests that may run only once: a connection that was closed meanwhile would leave
 * open whether they ran.
 */
const submissionIdleMs = 250;

/** When a caller whose request found no endpoint may come back, in milliseconds. */
const retryAfterMs = 500;

interface Send {
  readonly endpoint: Endpoint;
  readonly reservation: Reservation;
  readonly atMs: number;
  exchange: IExchange | undefined;
  isOver: boolean;
}

/** Relays one request to a plain service and passes its whole answer on. */
export class PlainRelay {
  private readonly sends: Send[] = [];

  private isOver = false;

  /** Sends that endpoints may have run. */
  private runs = 0;

  private cancelHedge: CancelTimer | undefined;

  private readonly cancelDeadline: CancelTimer;

  /**
   * @param req - The request.
   * @param caller - Receives the answer.
   * @param router - Picks endpoints.
   * @param health - Learns outcomes.
   * @param context - What relays share.
   * @param onOver - Called once when the relay has ended.
   */
  constructor(
    private readonly req: CallerRequest,
    private readonly caller: ICallerSink,
    private readonly router: PlainRouter,
    private readonly health: EndpointHealth,
    private readonly context: RelayContext,
    private readonly onOver: (relay: PlainRelay) => void,
  ) {
    const leftMs = Math.max(0, deadlineOf(req) - context.clock.monotonicMs());
    this.cancelDeadline = context.clock.after(leftMs, () => this.expire());
  }

  /** Sends the request to its first endpoint. */
  start(): void {
    const { clock } = this.context;
    if (this.send() && this.isRepeatable) {
      this.cancelHedge = clock.after(hedgeShare * this.req.route.objectiveMs, () => this.hedge());
    }
  }

  /** The caller left: gives everything up. */
  cancel(): void {
    if (!this.isOver) {
      this.finish('cancelled', 0);
    }
  }

  private get isRepeatable(): boolean {
    return this.req.route.kind === RouteKind.Safe;
  }

  private get remainingMs(): number {
    return deadlineOf(this.req) - this.context.clock.monotonicMs();
  }

  /** Sends to the best endpoint that hasn't had the request; refuses if there is none. */
  private send(): boolean {
    const { clock, dialect, sender, ledger } = this.context;
    const tried = new Set(this.sends.map(({ endpoint }) => endpoint.address));
    const endpoint = this.router.pick(this.req.service, tried);
    if (endpoint === undefined) {
      this.failUnlessRunning('no endpoint has room');
      return false;
    }
    const reservation = {
      address: endpoint.address,
      tokenLayers: 0,
      prefillMs: 0,
      isFirstStage: true,
    };
    ledger.reserve([reservation]);
    const send: Send = {
      endpoint,
      reservation,
      atMs: clock.monotonicMs(),
      exchange: undefined,
      isOver: false,
    };
    this.sends.push(send);
    this.log('request-sent', { endpoint: incarnationOf(endpoint), send: this.sends.length });
    const headers = dialect.endpointHeaders(this.req.rawHeaders, {
      remainingMs: this.remainingMs,
      endpointId: endpoint.id,
      organisation: this.req.organisation,
      path: undefined,
      lastEventId: this.req.metadata.lastEventId,
    });
    const { method, target, body } = this.req;
    const sink = new PlainRun(send, this);
    const maxIdleMs = this.isRepeatable ? keptIdleMs : submissionIdleMs;
    send.exchange = sender.send(
      endpoint.address,
      { method, target, headers, body, maxIdleMs },
      sink,
    );
    return true;
  }

  private hedge(): void {
    if (!this.isOver && this.mayRepeat()) {
      this.context.metrics.repeats.inc({ reason: 'hedge' });
      this.send();
    }
  }

  /** Whether the request may be sent once more though an endpoint may have run it. */
  private mayRepeat(): boolean {
    return (
      this.isRepeatable &&
      this.sends.length < Math.min(maxSends, Math.max(1, this.req.route.maxAttempts)) &&
      this.remainingMs > minRemainingMs &&
      this.context.retryBudgetOf(this.req.service).tryConsume()
    );
  }

  /** @internal A whole answer arrived. */
  onAnswer(send: Send, head: AnswerHead, body: Buffer): void {
    if (this.isOver || send.isOver) {
      return;
    }
    const { clock, dialect } = this.context;
    const metadata = dialect.readAnswer(head.status, head.headers);
    this.settle(send);
    this.router.recordLatency(send.endpoint, clock.monotonicMs() - send.atMs);
    if (metadata.requestId !== undefined && metadata.requestId !== this.req.metadata.requestId) {
      this.mayHaveRun(send, 'answer to another request');
      return;
    }
    if (metadata.didNotRun) {
      this.didNotRun(send, `status ${head.status}`);
      return;
    }
    if (head.status < 300 && (!metadata.hasSignature || metadata.isEncoded)) {
      this.mayHaveRun(send, 'answer without signature');
      return;
    }
    const isFailure = head.status >= 500;
    this.health.record(incarnationOf(send.endpoint), isFailure);
    if (isFailure && (this.hasOtherRunning() || this.mayRepeat())) {
      this.runs += 1;
      this.log('answer-failed', { endpoint: send.endpoint.id, status: head.status });
      this.context.metrics.repeats.inc({ reason: 'failure' });
      if (!this.hasOtherRunning()) {
        this.send();
      }
      return;
    }
    this.caller.answer(head.status, dialect.callerHeaders(head.rawHeaders), body);
    this.finish(isFailure ? 'endpoint-failure' : 'complete', head.status);
  }

  /** @internal The exchange failed. */
  onFailure(send: Send, reason: string, wasSent: boolean): void {
    if (this.isOver || send.isOver) {
      return;
    }
    this.settle(send);
    this.health.record(incarnationOf(send.endpoint), true);
    if (wasSent) {
      this.mayHaveRun(send, reason);
    } else {
      this.context.directory.suspect(send.endpoint.address, Suspicion.Silent, reason);
      this.didNotRun(send, reason);
    }
  }

  private mayHaveRun(send: Send, reason: string): void {
    this.runs += 1;
    this.log('run-broken', { endpoint: send.endpoint.id, reason });
    if (this.hasOtherRunning()) {
      return;
    }
    if (this.mayRepeat()) {
      this.context.metrics.repeats.inc({ reason: 'cut' });
      this.send();
      return;
    }
    this.failUnlessRunning(reason);
  }

  private didNotRun(send: Send, reason: string): void {
    this.log('not-run', { endpoint: send.endpoint.id, reason });
    this.router.markFull(send.endpoint);
    if (this.hasOtherRunning()) {
      return;
    }
    const { retryBudgetOf } = this.context;
    const mayGoOn = this.sends.length < maxSends && this.remainingMs > minRemainingMs;
    if (mayGoOn && retryBudgetOf(this.req.service).tryConsume()) {
      this.context.metrics.repeats.inc({ reason: 'not-run' });
      this.send();
      return;
    }
    this.failUnlessRunning(reason);
  }

  private failUnlessRunning(detail: string): void {
    if (this.hasOtherRunning()) {
      return;
    }
    const status = this.runs > 0 ? RefusalStatus.BadGateway : RefusalStatus.Unavailable;
    this.context.metrics.refusals.inc({ reason: this.runs > 0 ? 'failed' : 'no-endpoint' });
    this.caller.refuse({
      status,
      detail,
      ...(status === RefusalStatus.Unavailable ? { retryAfterMs } : {}),
    });
    this.finish(`refused: ${detail}`, status);
  }

  private expire(): void {
    if (this.isOver) {
      return;
    }
    for (const send of this.sends.filter(({ isOver }) => !isOver)) {
      this.health.record(incarnationOf(send.endpoint), true);
    }
    this.caller.refuse({ status: RefusalStatus.Timeout, detail: 'no answer in time' });
    this.finish('timeout', RefusalStatus.Timeout);
  }

  private hasOtherRunning(): boolean {
    return this.sends.some(({ isOver }) => !isOver);
  }

  private settle(send: Send): void {
    if (!send.isOver) {
      send.isOver = true;
      this.context.ledger.release([send.reservation]);
    }
  }

  private finish(outcome: string, status: number): void {
    this.isOver = true;
    this.cancelDeadline();
    this.cancelHedge?.();
    for (const send of this.sends) {
      if (!send.isOver) {
        send.exchange?.abort();
        this.settle(send);
      }
    }
    const { metrics, clock } = this.context;
    const { kind } = this.req.route;
    const totalMs = clock.monotonicMs() - this.req.arrivedMs;
    metrics.answers.inc({ kind, status, source: outcome.split(':')[0] });
    metrics.latency.observe({ kind }, totalMs);
    this.log('request-over', {
      outcome,
      status,
      sends: this.sends.length,
      totalMs: Math.round(totalMs),
    });
    this.onOver(this);
  }

  private log(event: string, fields: Record<string, string | number | boolean | undefined>): void {
    const request = this.req.metadata.requestId;
    this.context.logger.log(LogLevel.Info, event, { request, ...fields });
  }
}

/** Sink of one send; keeps the body until it is whole. */
class PlainRun implements IAnswerSink {
  private head: AnswerHead | undefined;

  private readonly chunks: Buffer[] = [];

  constructor(
    private readonly send: Send,
    private readonly relay: PlainRelay,
  ) {}

  onHead(head: AnswerHead): void {
    this.head = head;
  }

  onData(chunk: Buffer): boolean {
    this.chunks.push(chunk);
    return true;
  }

  onEnd(): void {
    if (this.head) {
      this.relay.onAnswer(this.send, this.head, Buffer.concat(this.chunks));
    }
  }

  onError(reason: string, wasSent: boolean): void {
    this.relay.onFailure(this.send, reason, wasSent);
  }
}
