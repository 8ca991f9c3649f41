import type { CancelTimer } from '../../../base/common/clock.js';
import { LogLevel } from '../../../base/common/logger.js';
import type { EndpointHealth } from '../../../services/ejection/common/endpointHealth.js';
import type { AnswerBody } from '../../../services/exchange/node/answerBody.js';
import {
  ExchangeFault,
  isOwnFault,
  type AnswerHead,
  type IAnswerSink,
  type IExchange,
} from '../../../services/exchange/node/endpointSender.js';
import { RouteKind } from '../../config/common/configSnapshot.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import { Suspicion } from '../../directory/common/endpointDirectory.js';
import type { SupervisedRequest } from '../../suspects/common/supervisedRequest.js';
import type { Reservation } from '../../routing/common/reservationLedger.js';
import {
  deadlineOf,
  notRunStatuses,
  RefusalStatus,
  type CallerRequest,
  type ICallerSink,
  type IRelay,
} from '../common/callerRequest.js';
import type { PlainRouter } from '../../routing/common/plainRouter.js';
import { isAnswerTo } from '../common/dialect.js';
import type { RelayContext } from './relayContext.js';
import { RetryAllowance } from './retryAllowance.js';

/** Share of the route's latency objective after which an idempotent request is hedged. */
const hedgeShare = 0.8;

/** Maximum number of times that one request is sent, even if its route allows more endpoints. */
const maxSends = 3;

/** Minimum time before the deadline for a request to be sent again, in milliseconds. */
const minRemainingMs = 60;

/** Longest idle time after which a kept-alive connection is reused, in milliseconds. */
const maxReuseIdleMs = 3_000;

/**
 * The same limit for requests that may run only once, in milliseconds, and while endpoints of the service
 * crash. If the endpoint had closed the connection in the meantime, or its machine had fallen silent, it
 * would be unknown whether the request ran.
 */
const certainMaxReuseIdleMs = 250;

/** Time after which a caller may retry a request that found no endpoint, in milliseconds. */
const retryAfterMs = 500;

/** One send of the request to an endpoint. */
interface Send {
  readonly endpoint: Endpoint;
  readonly reservation: Reservation;
  readonly sentAtMs: number;
  exchange: IExchange | undefined;
  isFinished: boolean;
}

/** Relays one request to a plain service and forwards the answer once it is complete. */
export class PlainRelay implements IRelay {
  private readonly sends: Send[] = [];

  private isFinished = false;

  /** Number of failed sends whose endpoint may have run the request. */
  private possibleRunCount = 0;

  private readonly retry: RetryAllowance;

  private cancelHedge: CancelTimer | undefined;

  private readonly cancelDeadline: CancelTimer;

  private readonly run: SupervisedRequest;

  /**
   * @param req - Request to relay.
   * @param caller - Receives the answer.
   * @param router - Picks endpoints.
   * @param health - Records successes and failures of endpoints.
   * @param context - Dependencies that all relays share.
   * @param onDidFinish - Called once when the relay has finished.
   */
  constructor(
    private readonly req: CallerRequest,
    private readonly caller: ICallerSink,
    private readonly router: PlainRouter,
    private readonly health: EndpointHealth,
    private readonly context: RelayContext,
    private readonly onDidFinish: (relay: PlainRelay) => void,
  ) {
    this.retry = new RetryAllowance(req.service, context);
    this.run = context.supervisor.supervise(req, {
      onAdmitted: () => this.send(),
      onQuarantined: (remainingMs) => this.refuseQuarantined(remainingMs),
    });
    const remainingMs = Math.max(0, deadlineOf(req) - context.clock.monotonicMs());
    this.cancelDeadline = context.clock.after(remainingMs, () => this.expire());
  }

  start(): void {
    this.run.requestRun();
  }

  cancel(): void {
    if (!this.isFinished) {
      this.finish('cancelled', 0);
    }
  }

  stop(detail: string): void {
    if (this.isFinished) {
      return;
    }
    this.possibleRunCount += this.sends.filter(({ isFinished }) => !isFinished).length;
    this.sends.forEach((send) => this.abortSend(send));
    this.refuseUnlessRunning(detail, 'stopped');
  }

  private get isIdempotent(): boolean {
    return this.req.route.kind === RouteKind.Safe;
  }

  private get remainingMs(): number {
    return deadlineOf(this.req) - this.context.clock.monotonicMs();
  }

  /**
   * Sends the request to the best endpoint that it hasn't been sent to. If there is none, refuses it
   * unless another send is running. Schedules the hedge of an idempotent request at its first send.
   */
  private send(): void {
    const { clock, dialect, sender, ledger } = this.context;
    if (this.isFinished) {
      return;
    }
    const triedAddresses = this.sends.map(({ endpoint }) => endpoint.address);
    const excludedAddresses = new Set([...triedAddresses, ...this.run.avoidedAddresses]);
    const endpoint = this.router.pick(this.req.service, excludedAddresses);
    if (endpoint === undefined) {
      this.refuseWithoutEndpoint(excludedAddresses);
      return;
    }
    this.retry.use();
    this.context.signals.recordSend(endpoint);
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
      sentAtMs: clock.monotonicMs(),
      exchange: undefined,
      isFinished: false,
    };
    this.sends.push(send);
    this.run.begin([endpoint]);
    this.log('request-sent', { endpoint: incarnationOf(endpoint), send: this.sends.length });
    const headers = dialect.endpointHeaders(this.req.rawHeaders, {
      remainingMs: this.remainingMs,
      endpointId: endpoint.id,
      organisation: this.req.organisation,
      path: undefined,
      lastEventId: this.req.metadata.lastEventId,
    });
    const { method, target, body } = this.req;
    const sink = new PlainAnswerSink(send, this, this.context.maxAnswerBytes);
    const mustBeCertain =
      !this.isIdempotent || this.context.supervisor.isWatchful(this.req.service);
    const maxIdleMs = mustBeCertain ? certainMaxReuseIdleMs : maxReuseIdleMs;
    send.exchange = sender.send(
      endpoint.address,
      { method, target, headers, body, maxIdleMs, neededByMs: deadlineOf(this.req) },
      sink,
    );
    if (this.isIdempotent && !this.run.isIsolated) {
      const hedgeMs = hedgeShare * this.req.route.objectiveMs;
      this.cancelHedge ??= clock.after(hedgeMs, () => this.hedge());
    }
  }

  private hedge(): void {
    if (!this.isFinished && this.hasRunningSend() && this.tryConsumeRetry()) {
      this.context.metrics.retries.inc({ reason: 'hedge' });
      this.send();
    }
  }

  /**
   * Returns whether the request may be sent again although an endpoint may have run it; consumes one
   * retry of the budget if so.
   */
  private tryConsumeRetry(): boolean {
    return (
      this.isIdempotent &&
      this.sends.length < Math.min(maxSends, Math.max(1, this.req.route.maxAttempts)) &&
      this.remainingMs > minRemainingMs &&
      this.retry.tryTake('failed')
    );
  }

  /**
   * @internal Called with the head of an answer. Its connection is closed if the answer belongs to another
   * request, since the right one may still come on it.
   */
  onHead(send: Send, head: AnswerHead): void {
    if (this.isFinished || send.isFinished) {
      return;
    }
    const metadata = this.context.dialect.readAnswer(head.status, head.headers);
    if (!isAnswerTo(this.req.metadata.requestId, metadata, head.isFirstOnConnection)) {
      send.exchange?.abort();
      this.finishSend(send);
      this.handlePossibleRun(send, 'answer to another request');
    }
  }

  /** @internal Called when a send was answered completely. */
  onAnswer(send: Send, head: AnswerHead, body: AnswerBody): void {
    if (this.isFinished || send.isFinished) {
      return;
    }
    const { clock, dialect } = this.context;
    const metadata = dialect.readAnswer(head.status, head.headers);
    this.finishSend(send);
    const isPausing = metadata.namedPause !== undefined;
    if (!isPausing) {
      this.router.recordLatency(send.endpoint, clock.monotonicMs() - send.sentAtMs);
    }
    this.context.signals.recordAnswer(send.endpoint, metadata);
    if (metadata.didNotRun) {
      this.handleNotRun(send, `status ${head.status}`);
      return;
    }
    if (notRunStatuses.has(head.status)) {
      // The caller would take the status for a proof that the request was not run.
      if (!isPausing) {
        this.health.record(incarnationOf(send.endpoint), true);
      }
      this.handlePossibleRun(send, `status ${head.status} without a proof`);
      return;
    }
    if (head.status < 300 && (!metadata.hasSignature || metadata.isEncoded)) {
      this.handlePossibleRun(send, 'answer without signature');
      return;
    }
    if (head.status < 300) {
      this.run.recordSurvival();
    }
    this.context.directory.recordAnswer(send.endpoint);
    const isFailure = head.status >= 500;
    this.health.record(incarnationOf(send.endpoint), isFailure);
    if (isFailure && (this.hasRunningSend() || this.tryConsumeRetry())) {
      this.possibleRunCount += 1;
      this.log('answer-failed', { endpoint: send.endpoint.id, status: head.status });
      this.context.metrics.retries.inc({ reason: 'failure' });
      if (!this.hasRunningSend()) {
        this.run.requestRun();
      }
      return;
    }
    this.caller.answer(head.status, dialect.callerHeaders(head.rawHeaders), body.handOver());
    this.finish(isFailure ? 'endpoint-failure' : 'complete', head.status);
  }

  /** @internal Called when the exchange of a send failed. */
  onFailure(send: Send, reason: string, wasSent: boolean, fault: ExchangeFault): void {
    if (this.isFinished || send.isFinished) {
      return;
    }
    this.finishSend(send);
    if (fault === ExchangeFault.Request && this.possibleRunCount === 0) {
      this.refuseUnsendable(reason);
      return;
    }
    if (isOwnFault(fault)) {
      this.handlePossibleRun(send, reason);
      return;
    }
    this.health.record(incarnationOf(send.endpoint), true);
    if (fault !== ExchangeFault.Connection) {
      // The endpoint lives; its connection was ended here.
      this.handlePossibleRun(send, reason);
    } else if (wasSent) {
      this.run.recordLoss([send.endpoint], true);
      this.handlePossibleRun(send, reason);
    } else {
      const { address, startedMs } = send.endpoint;
      this.context.directory.suspect(address, Suspicion.Silent, reason, startedMs);
      this.handleNotRun(send, reason);
    }
  }

  private handlePossibleRun(send: Send, reason: string): void {
    this.possibleRunCount += 1;
    this.log('run-broken', { endpoint: send.endpoint.id, reason });
    if (this.hasRunningSend()) {
      return;
    }
    if (this.tryConsumeRetry()) {
      this.context.metrics.retries.inc({ reason: 'cut' });
      this.run.requestRun();
      return;
    }
    this.refuseUnlessRunning(reason);
  }

  private handleNotRun(send: Send, reason: string): void {
    this.log('not-run', { endpoint: send.endpoint.id, reason });
    this.router.markFull(send.endpoint);
    if (this.hasRunningSend()) {
      return;
    }
    const mayRetry = this.sends.length < maxSends && this.remainingMs > minRemainingMs;
    if (mayRetry && this.retry.tryTake('not-run')) {
      this.context.metrics.retries.inc({ reason: 'not-run' });
      this.run.requestRun();
      return;
    }
    this.refuseUnlessRunning(reason);
  }

  /** Refuses a request that no endpoint can be sent; its caller could only repeat it in vain. */
  private refuseUnsendable(reason: string): void {
    this.context.metrics.refusals.inc({ reason: 'unsendable' });
    const status = RefusalStatus.BadRequest;
    this.caller.refuse({ status, detail: `the request can't be forwarded: ${reason}` });
    this.finish('refused: unsendable', status);
  }

  private refuseQuarantined(remainingMs: number): void {
    if (this.isFinished) {
      return;
    }
    const hasRun = this.possibleRunCount > 0;
    this.context.metrics.refusals.inc({ reason: 'quarantined' });
    this.caller.refuse({
      status: hasRun ? RefusalStatus.BadGateway : RefusalStatus.Unavailable,
      detail: 'endpoints crashed while they ran this request',
      ...(hasRun ? {} : { retryAfterMs: remainingMs }),
    });
    this.finish(
      'refused: quarantined',
      hasRun ? RefusalStatus.BadGateway : RefusalStatus.Unavailable,
    );
  }

  private refuseWithoutEndpoint(excludedAddresses: ReadonlySet<string>): void {
    const { service } = this.req;
    if (this.router.lacksPermission(service, excludedAddresses)) {
      this.refuseUnlessRunning('endpoints want fewer requests', 'limited');
    } else {
      this.refuseUnlessRunning('no endpoint has room');
    }
  }

  private refuseUnlessRunning(detail: string, reason = 'no-endpoint'): void {
    if (this.hasRunningSend()) {
      return;
    }
    const { service } = this.req;
    const delayMs = this.router.lacksPermission(service, new Set())
      ? this.context.signals.retryAfterMs(service)
      : retryAfterMs;
    const hasRun = this.possibleRunCount > 0;
    const status = hasRun ? RefusalStatus.BadGateway : RefusalStatus.Unavailable;
    this.context.metrics.refusals.inc({ reason: hasRun ? 'failed' : reason });
    this.caller.refuse({ status, detail, ...(hasRun ? {} : { retryAfterMs: delayMs }) });
    this.finish(`refused: ${detail}`, status);
  }

  private expire(): void {
    if (this.isFinished) {
      return;
    }
    for (const send of this.sends.filter(({ isFinished }) => !isFinished)) {
      this.health.record(incarnationOf(send.endpoint), true);
      this.run.recordLoss([send.endpoint], false);
    }
    const wasSent = this.sends.length > 0;
    const status = wasSent ? RefusalStatus.Timeout : RefusalStatus.Unavailable;
    this.caller.refuse({
      status,
      detail: 'no answer in time',
      ...(wasSent ? {} : { retryAfterMs }),
    });
    this.finish('timeout', status);
  }

  private hasRunningSend(): boolean {
    return this.sends.some(({ isFinished }) => !isFinished);
  }

  private abortSend(send: Send): void {
    if (!send.isFinished) {
      send.exchange?.abort();
      this.finishSend(send);
    }
  }

  private finishSend(send: Send): void {
    if (!send.isFinished) {
      send.isFinished = true;
      this.context.ledger.release([send.reservation]);
    }
  }

  private finish(outcome: string, status: number): void {
    this.isFinished = true;
    this.retry.giveBack();
    this.cancelDeadline();
    this.cancelHedge?.();
    this.run.close();
    this.sends.forEach((send) => this.abortSend(send));
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
    this.onDidFinish(this);
  }

  private log(event: string, fields: Record<string, string | number | boolean | undefined>): void {
    const request = this.req.metadata.requestId;
    this.context.logger.log(LogLevel.Info, event, { request, ...fields });
  }
}

/** Receives the answer to one send and buffers its body until it is complete. */
class PlainAnswerSink implements IAnswerSink {
  private head: AnswerHead | undefined;

  private body: AnswerBody | undefined;

  constructor(
    private readonly send: Send,
    private readonly relay: PlainRelay,
    private readonly maxBytes: number,
  ) {}

  onHead(head: AnswerHead, exchange: IExchange): void {
    this.head = head;
    this.body = exchange.collect(this.maxBytes, true);
    this.relay.onHead(this.send, head);
  }

  onData(chunk: Buffer): boolean {
    this.body?.append(chunk);
    return true;
  }

  onEnd(): void {
    if (this.head && this.body) {
      this.relay.onAnswer(this.send, this.head, this.body);
    }
  }

  onError(reason: string, wasSent: boolean, fault: ExchangeFault): void {
    this.relay.onFailure(this.send, reason, wasSent, fault);
  }
}
