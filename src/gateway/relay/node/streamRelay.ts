import { toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel } from '../../../base/common/logger.js';
import type { CancelTimer } from '../../../base/common/clock.js';
import {
  ExchangeFault,
  isOwnFault,
  type AnswerHead,
  type IExchange,
} from '../../../services/exchange/node/endpointSender.js';
import { RefusalReason, type ModelAdmission } from '../../admission/common/modelAdmission.js';
import type { PacedAdmission } from '../../admission/common/pacedAdmission.js';
import { RouteKind } from '../../config/common/configSnapshot.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import { Suspicion } from '../../directory/common/endpointDirectory.js';
import type { AssignedUrgency } from '../../scheduling/common/requestRank.js';
import type { SupervisedRequest } from '../../suspects/common/supervisedRequest.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';
import {
  deadlineOf,
  notRunStatuses,
  RefusalStatus,
  type CallerRequest,
  type ICallerSink,
  type IRelay,
} from '../common/callerRequest.js';
import type { AnswerBody } from '../../../services/exchange/node/answerBody.js';
import { AnswerCut } from '../../../services/exchange/common/answerCut.js';
import { isAnswerTo, type AnswerMetadata } from '../common/dialect.js';
import type { EventBatch } from '../common/eventSplitter.js';
import { describePath, SendFailure, suspicionOf } from '../common/sendFailure.js';
import { SendHistory } from '../common/sendHistory.js';
import { PathAcquisition } from './pathAcquisition.js';
import type { RelayContext } from './relayContext.js';
import { RetryAllowance } from './retryAllowance.js';
import { RunPath } from './runPath.js';
import { StreamAnswer } from './streamAnswer.js';
import { AnswerKind, StreamAnswerSink, type IStreamReceiver } from './streamAnswerSink.js';

/**
 * Share of the expected output tokens that is reserved in addition to the prompt. The key-value cache
 * of a stream grows while it runs, so streams hold about half of their output on average.
 */
const reservedAnswerShare = 0.5;

/** Longest wait for capacity; callers disconnect after two seconds without an event. */
const maxWaitMs = 1_200;

/**
 * Longest wait for a path on which an interrupted stream resumes; callers disconnect after two
 * seconds without an event.
 */
const maxResumeWaitMs = 1_500;

/** Time without an event after which callers disconnect, in milliseconds. */
const callerPatienceMs = 2_000;

/** Maximum number of times that one request is sent, even if its route allows more endpoints. */
const maxSends = 4;

/** Minimum time before the deadline for a request to be sent again, in milliseconds. */
const minRemainingMs = 300;

/** Time after which a caller may retry a request that was not run, in milliseconds. */
const defaultRetryAfterMs = 1_000;

/** Longest idle time after which a kept-alive connection is reused, in milliseconds. */
const maxReuseIdleMs = 3_000;

/** Number of events of one run that show that its endpoints run the request. */
const progressEvents = 3;

/** Maximum size of one event of a stream, in bytes; an event holds a few tokens. */
const maxEventBytes = 262_144;

/** State of a relay. */
enum Phase {
  Waiting,
  Sent,
  Streaming,
  Finished,
}

/**
 * Relays one stream: waits for capacity on a path, sends the request, forwards the events, and resumes
 * the stream on another path if the current one fails.
 */
export class StreamRelay implements IRelay, IStreamReceiver {
  private phase = Phase.Waiting;

  private readonly acquisition: PathAcquisition;

  /** Path reserved for the next send while the previous run went on. */
  private replacementPath: LayerPath | undefined;

  private readonly path: RunPath;

  private exchange: IExchange | undefined;

  /** Whether the exchange is paused until the caller has taken what was written. */
  private isAwaitingDrain = false;

  private readonly answer: StreamAnswer;

  private readonly run: SupervisedRequest;

  /** Whether the next send resumes the request after a run that failed. */
  private isResumed = false;

  private sendCount = 0;

  private readonly history: SendHistory;

  private readonly retry: RetryAllowance;

  private readonly urgency: AssignedUrgency;

  private sentAtMs = 0;

  /** Number of the last send that its first endpoint has passed over. */
  private passedOverSend = 0;

  private readonly cancelDeadline: CancelTimer;

  /**
   * @param req - Request to relay.
   * @param caller - Receives the answer.
   * @param admission - Admits the request and reserves paths for it.
   * @param pacedAdmission - Holds the request back for shorter ones, and then passes it to `admission`.
   * @param meanOutputTokens - Mean length of an answer in tokens, used if the caller gives no estimate.
   * @param context - Dependencies that all relays share.
   * @param onDidFinish - Called once when the relay has finished.
   */
  constructor(
    private readonly req: CallerRequest,
    private readonly caller: ICallerSink,
    private readonly admission: ModelAdmission,
    private readonly pacedAdmission: PacedAdmission,
    private readonly meanOutputTokens: number,
    private readonly context: RelayContext,
    private readonly onDidFinish: (relay: StreamRelay) => void,
  ) {
    this.answer = new StreamAnswer(req, caller, context.dialect);
    this.history = new SendHistory(req.route.maxAttempts);
    this.path = new RunPath(context.ledger);
    this.acquisition = new PathAcquisition(pacedAdmission, context.ledger, () =>
      admission.admitWaiting(),
    );
    this.retry = new RetryAllowance(req.service, context);
    this.urgency = context.ranks.assign(req);
    this.run = context.supervisor.supervise(req, {
      onAdmitted: () => {
        this.acquirePath().catch((err: unknown) => this.fail(err));
      },
      onQuarantined: (remainingMs) => this.refuseQuarantined(remainingMs),
    });
    const { clock } = context;
    const remainingMs = Math.max(0, deadlineOf(req) - clock.monotonicMs());
    this.cancelDeadline = clock.after(remainingMs, () => this.expire());
  }

  /** Id of the request; empty if the caller gave none. */
  get requestId(): string {
    return this.req.metadata.requestId ?? '';
  }

  /** Number of the current send, or of the last one. */
  get sendNumber(): number {
    return this.sendCount;
  }

  /** Address of the path's first endpoint; undefined while no send is in progress. */
  get firstAddress(): string | undefined {
    return this.phase === Phase.Sent || this.phase === Phase.Streaming
      ? this.path.firstStage?.endpoint.address
      : undefined;
  }

  /** Returns the endpoint at an address if it is part of the current path. */
  findStage(address: string): Endpoint | undefined {
    return this.path.endpoints.find((endpoint) => endpoint.address === address);
  }

  /** Whether another incarnation now listens at the address of the path's first endpoint. */
  get isReplaced(): boolean {
    const [first] = this.path.endpoints;
    const listed = first && this.context.directory.findByAddress(first.address);
    return listed !== undefined && incarnationOf(listed) !== incarnationOf(first);
  }

  /** Monotonic time of the last sign of the current run, at first of its send. */
  get lastSignMs(): number {
    return this.phase === Phase.Sent ? this.sentAtMs : this.answer.progress.lastSignMs;
  }

  /** Whether the first endpoint of the path has answered a stream that was sent to it later. */
  get isOvertaken(): boolean {
    const firstEndpoint = this.path.firstStage?.endpoint;
    return (
      this.phase === Phase.Sent &&
      firstEndpoint !== undefined &&
      this.context.answerOrder.isOvertaken(incarnationOf(firstEndpoint), this.sentAtMs)
    );
  }

  private get isFinished(): boolean {
    return this.phase === Phase.Finished;
  }

  /**
   * Returns the time since the last event, in milliseconds. Before the first event, it is the time
   * beyond the expected time to the first event, negative until that has passed. Returns 0 while no
   * send is in progress.
   */
  silentMs(): number {
    const now = this.context.clock.monotonicMs();
    if (this.isAwaitingDrain) {
      return 0; // the caller is slow, not the endpoint
    }
    if (this.phase === Phase.Sent) {
      return now - this.sentAtMs - this.path.firstEventMs;
    }
    return this.phase === Phase.Streaming ? now - this.answer.progress.lastSignMs : 0;
  }

  start(): void {
    this.requestRun(false);
  }

  cancel(): void {
    if (this.phase !== Phase.Finished) {
      this.log('stream-cancelled', { events: this.answer.progress.eventCount });
      this.finish('cancelled', 0);
    }
  }

  stop(detail: string): void {
    if (this.phase === Phase.Sent) {
      this.recordPossibleRun();
    }
    if (!this.isFinished) {
      this.giveUp('stopped', defaultRetryAfterMs, detail);
    }
  }

  /**
   * Reserves a path with the same first endpoint that avoids an endpoint that stopped responding.
   *
   * @param address - Address of the endpoint at fault.
   * @returns The path with capacity reserved, or undefined if there is none, the first endpoint is at
   *   fault or the request is a suspect.
   */
  reserveAlternativePath(address: string): LayerPath | undefined {
    const { firstStage } = this.path;
    if (firstStage === undefined || firstStage.endpoint.address === address || !this.run.mayMove) {
      return undefined;
    }
    return this.admission.reserveAlternativePath(
      {
        ...this.pathRequest(address),
        firstStage: { address: firstStage.endpoint.address, to: firstStage.to },
        runningAddresses: new Set(this.path.endpoints.map((endpoint) => endpoint.address)),
      },
      this.path.reservations,
    );
  }

  /**
   * Replaces the current path after the endpoints moved the request to another one.
   *
   * @param path - The new path, with capacity reserved on it; the relay takes over its release.
   * @param sendNumber - Send whose run was moved.
   */
  adoptPath(path: LayerPath, sendNumber: number): void {
    if (this.firstAddress === undefined || this.sendCount !== sendNumber) {
      this.context.ledger.release(path.reservations); // the run has ended meanwhile
      return;
    }
    this.acquisition.cancel();
    this.retry.giveBack();
    const nextAddresses = new Set(path.stages.map(({ endpoint }) => endpoint.address));
    this.run.recordLoss(
      this.path.endpoints.filter(({ address }) => !nextAddresses.has(address)),
      false,
    );
    this.path.hold(path);
    this.run.move(this.path.endpoints);
    this.answer.progress.recordSign(this.context.clock.monotonicMs());
    this.log('stream-repathed', {
      path: describePath(path),
      events: this.answer.progress.eventCount,
    });
  }

  /**
   * Called when an endpoint of the current path does not respond. The run goes on until another path is
   * reserved, since the endpoint may respond again; it is given up only if the endpoint is gone and no
   * path was reserved in the time that the caller has.
   *
   * @param address - Address of the endpoint.
   */
  handleSilence(address: string): void {
    if (this.phase !== Phase.Sent && this.phase !== Phase.Streaming) {
      return;
    }
    const endpoint = this.findStage(address);
    const { directory } = this.context;
    const isGone = endpoint && directory.findIncarnation(incarnationOf(endpoint)) === undefined;
    if (isGone && this.silentMs() > callerPatienceMs) {
      this.abandonSend(address);
    } else if (!this.acquisition.isPending) {
      this.replacePath(address, SendFailure.EndpointSilent).catch((err: unknown) => this.fail(err));
    }
  }

  /**
   * Called when the first endpoint of the path answers its reports and later streams, but has not answered
   * this one in time. The run goes on until another path is reserved.
   */
  handleMissingAnswer(): void {
    const { firstAddress } = this;
    if (firstAddress === undefined || this.phase !== Phase.Sent) {
      return;
    }
    if (this.passedOverSend !== this.sendCount) {
      this.passedOverSend = this.sendCount;
      this.recordOutcome(true);
    }
    if (!this.acquisition.isPending) {
      this.replacePath(firstAddress, SendFailure.Unanswered).catch((err: unknown) =>
        this.fail(err),
      );
    }
  }

  /** Aborts the current send because an endpoint of its path is gone, and resumes elsewhere if possible. */
  private abandonSend(address: string): void {
    this.recordPossibleRun();
    this.history.exclude(address);
    this.exchange?.abort();
    this.handleFailedSend(SendFailure.EndpointSilent, `gone ${address}`);
  }

  /**
   * Resumes the request on a path without an endpoint, once one is reserved, unless the run makes progress.
   *
   * @param address - Address of the endpoint to avoid.
   * @param failure - Why it is avoided.
   */
  private async replacePath(address: string, failure: SendFailure): Promise<void> {
    const { clock, metrics, ledger } = this.context;
    const remainingMs = deadlineOf(this.req) - clock.monotonicMs();
    const mayResume =
      this.req.route.isResumable &&
      this.sendCount < maxSends &&
      remainingMs > minRemainingMs &&
      !this.run.isLastRun;
    if (!mayResume || !this.retry.isAvailable) {
      this.logKept(address, mayResume ? 'no retry left' : 'must not be resumed');
      return;
    }
    this.recordPossibleRun();
    const askedAtMs = clock.monotonicMs();
    const outcome = await this.acquisition.acquire({
      ...this.pathRequest(address),
      arrivedMs: this.req.arrivedMs,
      objectiveMs: this.req.route.objectiveMs,
      maxWaitMs: Math.min(remainingMs, maxResumeWaitMs),
      isResumed: true,
      waitsForPath: true,
      heldReservations: this.path.reservations,
    });
    if (outcome === undefined) {
      return;
    }
    if (outcome.isErr()) {
      this.logKept(address, outcome.error.reason);
      return;
    }
    // The retry is taken last: one that a stream without a path holds would be denied to others.
    const hasProgressed = this.answer.progress.lastSignMs > askedAtMs;
    const mustGoOn = hasProgressed || this.run.isLastRun;
    if (mustGoOn || !this.retry.tryTake(failure)) {
      ledger.release(outcome.value.reservations);
      this.admission.admitWaiting();
      this.logKept(address, hasProgressed ? 'responds again' : 'no other run allowed');
      return;
    }
    metrics.retries.inc({ reason: failure });
    this.history.exclude(address);
    this.exchange?.abort();
    this.exchange = undefined;
    this.run.recordLoss(this.path.endpoints, false);
    this.path.release();
    this.log('run-broken', {
      why: failure,
      reason: `silent ${address}`,
      events: this.answer.progress.eventCount,
      goesOn: true,
      sends: this.sendCount,
    });
    this.replacementPath = outcome.value;
    this.requestRun(true);
  }

  private logKept(address: string, reason: string): void {
    this.log('run-kept', { silent: address, reason, events: this.answer.progress.eventCount });
  }

  /** @param avoidedAddress - Address that the path must not use, besides those that are excluded. */
  private pathRequest(avoidedAddress?: string): {
    promptTokens: number;
    reservedTokens: number;
    excludedAddresses: ReadonlySet<string>;
    allowedFirstAddresses: ReadonlySet<string> | undefined;
  } {
    const { promptTokens, maxOutputTokens, expectedOutputTokens } = this.req.metadata;
    const expected = Math.min(
      maxOutputTokens || Number.POSITIVE_INFINITY,
      expectedOutputTokens ?? this.meanOutputTokens,
    );
    return {
      promptTokens,
      reservedTokens: promptTokens + reservedAnswerShare * expected,
      excludedAddresses: new Set([
        ...this.history.avoidedAddresses,
        ...this.run.avoidedAddresses,
        ...(avoidedAddress === undefined ? [] : [avoidedAddress]),
      ]),
      allowedFirstAddresses: this.history.allowedAddresses,
    };
  }

  /** Asks for a run; the request is sent once it is admitted and a path is reserved. */
  private requestRun(isResumed: boolean): void {
    this.phase = Phase.Waiting;
    this.isResumed = isResumed;
    this.run.requestRun();
  }

  private async acquirePath(): Promise<void> {
    const { isResumed, replacementPath } = this;
    const { clock, ledger, metrics } = this.context;
    this.replacementPath = undefined;
    if (replacementPath && !this.run.isIsolated) {
      this.send(replacementPath);
      return;
    }
    if (replacementPath) {
      ledger.release(replacementPath.reservations);
    }
    const remainingMs = deadlineOf(this.req) - clock.monotonicMs();
    const outcome = await this.acquisition.acquire({
      ...this.pathRequest(),
      urgency: this.urgency.urgency,
      arrivedMs: this.req.arrivedMs,
      objectiveMs: this.req.route.objectiveMs,
      maxWaitMs: Math.min(remainingMs, isResumed ? maxResumeWaitMs : maxWaitMs),
      isResumed,
      waitsForPath: this.answer.hasBegun || this.history.hasOnlyEndpoint,
      requestId: this.requestId,
    });
    if (outcome?.isOk()) {
      this.send(outcome.value);
    } else if (outcome?.isErr() && outcome.error.reason !== RefusalReason.Cancelled) {
      const { reason, retryAfterMs } = outcome.error;
      metrics.refusals.inc({ reason });
      this.giveUp(reason, retryAfterMs);
    }
  }

  private send(path: LayerPath): void {
    const { clock, dialect, sender } = this.context;
    const firstEndpoint = path.stages[0].endpoint;
    const nowMs = clock.monotonicMs();
    this.path.hold(path);
    this.retry.use();
    this.phase = Phase.Sent;
    this.sentAtMs = nowMs;
    this.sendCount += 1;
    this.answer.beginRun();
    this.run.begin(this.path.endpoints);
    this.log('stream-sent', {
      path: describePath(path),
      send: this.sendCount,
      waitedMs: Math.round(nowMs - this.req.arrivedMs),
      expectedMs: Math.round(path.firstEventMs),
      resumeAt: this.answer.lastEventId,
    });
    const headers = dialect.endpointHeaders(this.req.rawHeaders, {
      remainingMs: deadlineOf(this.req) - nowMs,
      endpointId: firstEndpoint.id,
      organisation: this.req.organisation,
      path,
      lastEventId: this.answer.lastEventId,
      requestPriority: this.urgency.headerValue,
    });
    const { method, target, body } = this.req;
    const answerSink = new StreamAnswerSink(this.sendCount, this, this.context.maxAnswerBytes);
    const { address } = firstEndpoint;
    // A copy of an earlier answer to this request would bear its id.
    const maxIdleMs = this.history.recordSend(address) ? maxReuseIdleMs : undefined;
    this.exchange = sender.send(address, { method, target, headers, body, maxIdleMs }, answerSink);
  }

  onHead(sendNumber: number, head: AnswerHead, exchange: IExchange): AnswerKind {
    if (sendNumber !== this.sendCount || this.phase !== Phase.Sent) {
      return AnswerKind.Ignored;
    }
    const metadata = this.context.dialect.readAnswer(head.status, head.headers);
    if (!isAnswerTo(this.requestId, metadata, head.isFirstOnConnection)) {
      this.abandonAnswer('answer to another request');
      return AnswerKind.Ignored;
    }
    this.context.signals.recordAnswer(this.path.endpoints[0], metadata);
    if (metadata.didNotRun) {
      return AnswerKind.NotRun;
    }
    if (head.status >= 300) {
      return AnswerKind.Failure;
    }
    if (!metadata.hasSignature || metadata.isEncoded) {
      this.abandonAnswer('answer without signature');
      return AnswerKind.Ignored;
    }
    if (!this.answer.mayContinueWith(head)) {
      this.rejectContinuation(`answer of another kind: status ${head.status}`);
      return AnswerKind.Ignored;
    }
    this.recordPossibleRun();
    this.phase = Phase.Streaming;
    const createBody = () => exchange.collect(maxEventBytes, false);
    this.answer.keepHead(head, createBody, this.context.clock.monotonicMs());
    return AnswerKind.Events;
  }

  /** Ends a send whose answer can't be passed on, although the endpoint may run the request. */
  private abandonAnswer(reason: string): void {
    this.exchange?.abort();
    this.recordOutcome(true);
    this.recordPossibleRun();
    this.handleFailedSend(SendFailure.Interrupted, reason);
  }

  /** Ends a send whose answer doesn't go on where the caller's stream broke off. */
  private rejectContinuation(reason: string): void {
    const { firstAddress } = this;
    if (firstAddress !== undefined) {
      this.history.exclude(firstAddress);
    }
    this.abandonAnswer(reason);
  }

  onEvents(chunk: Buffer): boolean {
    if (this.phase !== Phase.Streaming) {
      return true;
    }
    const batch = this.answer.push(chunk);
    if (batch === undefined || this.phase !== Phase.Streaming) {
      return true;
    }
    this.exchange?.countEvents(batch.count, batch.bytes.length);
    if (!this.answer.isContinuedBy(batch)) {
      this.rejectContinuation(`event ${batch.firstId} after ${this.answer.lastEventId}`);
      return true;
    }
    const isCallerReady =
      batch.count > 0 ? this.passEvents(batch) : this.answer.writeComments(batch.bytes);
    if (this.phase === Phase.Streaming && this.answer.bytesSinceEvent > maxEventBytes) {
      this.exchange?.giveUp(AnswerCut.TooLarge, `no event in ${maxEventBytes} bytes`);
      return true;
    }
    if (!isCallerReady && !this.isAwaitingDrain) {
      this.isAwaitingDrain = true;
      this.caller.whenDrained(() => {
        this.isAwaitingDrain = false;
        this.exchange?.resume();
      });
    }
    return isCallerReady;
  }

  /** Passes events on to the caller; returns false if it reads too slowly. */
  private passEvents(batch: EventBatch): boolean {
    const { progress } = this.answer;
    const isFirst = progress.firstEventMs === undefined;
    if (progress.runEventCount === 0) {
      this.recordAcceptance();
    }
    const isCallerReady = this.answer.write(batch, this.context.clock.monotonicMs());
    if (isFirst) {
      const firstEventMs = progress.firstEventMs ?? 0;
      const size = this.pacedAdmission.pacing.sizeOf(this.req.metadata.promptTokens);
      this.context.metrics.latency.observe({ kind: RouteKind.Stream }, firstEventMs);
      this.context.metrics.firstEvent.observe({ size }, firstEventMs);
    }
    if (this.path.finishPrefill()) {
      this.pacedAdmission.startWaiting();
    }
    if (progress.runEventCount >= progressEvents) {
      this.run.recordProgress();
    }
    return isCallerReady;
  }

  onComplete(): void {
    if (this.phase !== Phase.Streaming) {
      return;
    }
    if (this.answer.partialBytes > 0) {
      this.handleFailedSend(SendFailure.Interrupted, 'ended within an event');
      return;
    }
    const { directory } = this.context;
    this.recordOutcome(false);
    this.run.recordSurvival();
    this.path.endpoints.forEach(({ address }) => directory.clearSuspicion(address));
    this.answer.end();
    this.finish('complete', 200);
  }

  onWholeAnswer(kind: AnswerKind, head: AnswerHead, body: AnswerBody): void {
    if (this.phase !== Phase.Sent) {
      return;
    }
    const metadata = this.context.dialect.readAnswer(head.status, head.headers);
    if (kind === AnswerKind.NotRun) {
      this.handleNotRun(metadata, head.status);
      return;
    }
    this.recordPossibleRun();
    this.recordOutcome(head.status >= 500);
    this.run.recordAnswer();
    if (
      this.answer.hasBegun ||
      // The caller would take the status for a proof that the request was not run.
      notRunStatuses.has(head.status) ||
      (head.status >= 500 && this.req.route.isResumable && this.history.mayRunElsewhere)
    ) {
      this.handleFailedSend(SendFailure.Interrupted, `status ${head.status}`);
      return;
    }
    const headers = this.context.dialect.callerHeaders(head.rawHeaders);
    this.caller.answer(head.status, headers, body.handOver());
    this.finish('endpoint-failure', head.status);
  }

  onFailure(sendNumber: number, reason: string, wasSent: boolean, fault: ExchangeFault): void {
    if (
      sendNumber !== this.sendCount ||
      this.phase === Phase.Finished ||
      this.phase === Phase.Waiting
    ) {
      return;
    }
    if (fault === ExchangeFault.Request && !this.history.mayHaveRun) {
      this.refuseUnsendable(reason);
      return;
    }
    if (fault !== ExchangeFault.Connection) {
      this.handleGivenUpAnswer(reason, fault);
      return;
    }
    const firstEndpoint = this.path.firstStage?.endpoint;
    if (firstEndpoint) {
      const { address, startedMs } = firstEndpoint;
      if (wasSent) {
        this.context.directory.recordDisconnection(firstEndpoint, reason);
      } else {
        this.context.directory.suspect(address, Suspicion.Silent, reason, startedMs);
      }
      this.history.recordBreak(address);
    }
    if (wasSent && this.phase === Phase.Sent) {
      this.recordPossibleRun();
    }
    this.handleFailedSend(wasSent ? SendFailure.Interrupted : SendFailure.NotSent, reason);
  }

  /** Ends a send whose answer was given up here. The endpoint lives; its connection was ended here. */
  private handleGivenUpAnswer(reason: string, fault: ExchangeFault): void {
    this.recordPossibleRun();
    this.recordOutcome(!isOwnFault(fault));
    this.run.recordAnswer();
    const { firstAddress } = this;
    if (firstAddress !== undefined && fault === ExchangeFault.Malformed) {
      // A sound endpoint may spoil a single answer.
      this.history.recordBreak(firstAddress);
    } else if (firstAddress !== undefined) {
      this.history.exclude(firstAddress);
    }
    this.handleFailedSend(SendFailure.Interrupted, reason);
  }

  private handleNotRun(metadata: AnswerMetadata, status: number): void {
    const address = metadata.faultAddress ?? this.firstAddress;
    if (address !== undefined) {
      const waitedMs = this.context.clock.monotonicMs() - this.sentAtMs;
      const kind = suspicionOf(status, waitedMs);
      const endpoint = this.findStage(address);
      const isPaused = metadata.namedPause !== undefined && metadata.faultAddress === undefined;
      if (!isPaused && kind === Suspicion.Silent) {
        this.run.recordLoss(endpoint ? [endpoint] : [], false);
      }
      this.history.exclude(address);
      this.path.release();
      const isWithinLimits =
        metadata.namedLimit !== undefined && metadata.faultAddress === undefined;
      if (isPaused || (kind === Suspicion.Refusing && isWithinLimits)) {
        this.log('endpoint-refused-limited', { address, status });
      } else if (kind === Suspicion.Refusing && this.admission.recordRefusal(address, true)) {
        const reserved = this.context.ledger.loadAt(address).tokenLayers;
        this.log('endpoint-full', { address, status, reserved: Math.round(reserved) });
      } else {
        const reason = `request was not run: status ${status}`;
        const isRejecting =
          kind === Suspicion.Refusing &&
          endpoint !== undefined &&
          this.context.refusalStreaks.recordRefusal(incarnationOf(endpoint), this.sentAtMs);
        this.context.directory.suspect(
          address,
          isRejecting ? Suspicion.Rejecting : kind,
          reason,
          endpoint?.startedMs,
        );
      }
    }
    this.handleFailedSend(SendFailure.NotRun, `status ${status} by ${address ?? 'unknown'}`);
  }

  /** Records that the endpoints of the path run the request, at the first event of a run. */
  private recordAcceptance(): void {
    const { answerOrder, refusalStreaks, directory } = this.context;
    const [first] = this.path.endpoints;
    if (first) {
      answerOrder.recordAnswer(incarnationOf(first), this.sentAtMs);
    }
    this.path.endpoints
      .filter((each) => refusalStreaks.recordAcceptance(incarnationOf(each), this.sentAtMs))
      .forEach((endpoint) => directory.recordAcceptance(endpoint));
  }

  /** Records whether the first endpoint of the path failed the request itself. */
  private recordOutcome(hasFailed: boolean): void {
    const firstEndpoint = this.path.firstStage?.endpoint;
    if (firstEndpoint) {
      this.context.engineHealth.record(incarnationOf(firstEndpoint), hasFailed);
    }
  }

  /** Records that the request may have run at the first endpoint of the current path. */
  private recordPossibleRun(): void {
    const firstAddress = this.path.firstStage?.endpoint.address;
    if (firstAddress !== undefined) {
      this.history.recordPossibleRun(firstAddress);
    }
  }

  /** Sends the request again after a send without a complete answer, or gives up if no retry is allowed. */
  private handleFailedSend(failure: SendFailure, reason: string): void {
    if (failure === SendFailure.Interrupted || failure === SendFailure.EndpointSilent) {
      this.run.recordLoss(this.path.endpoints, failure === SendFailure.Interrupted);
    }
    this.path.release();
    this.exchange = undefined;
    this.acquisition.cancel();
    this.retry.giveBack();
    const remainingMs = deadlineOf(this.req) - this.context.clock.monotonicMs();
    const isSafe =
      failure === SendFailure.NotSent ||
      failure === SendFailure.NotRun ||
      this.req.route.isResumable;
    const mayRetry =
      isSafe &&
      this.sendCount < maxSends &&
      remainingMs > minRemainingMs &&
      !this.caller.isDisconnected;
    const hasBudget = mayRetry && (failure === SendFailure.NotSent || this.retry.tryTake(failure));
    const mayWait = mayRetry && this.answer.hasBegun;
    this.log('run-broken', {
      why: failure,
      reason,
      events: this.answer.progress.eventCount,
      goesOn: hasBudget || mayWait,
      sends: this.sendCount,
      hasBudget: mayRetry ? hasBudget : undefined,
    });
    if (hasBudget) {
      this.retryRun(failure);
    } else if (mayWait) {
      this.awaitRetry(failure, reason);
    } else {
      this.giveUp(failure, defaultRetryAfterMs, reason);
    }
  }

  private retryRun(failure: SendFailure): void {
    this.context.metrics.retries.inc({ reason: failure });
    this.requestRun(this.answer.hasBegun || this.history.mayHaveRun);
  }

  /** Resumes an answer that has begun once the budget has a retry; its caller waits for a while. */
  private awaitRetry(failure: SendFailure, reason: string): void {
    this.phase = Phase.Waiting;
    this.retry.takeWithin(maxResumeWaitMs, (isTaken) => {
      if (isTaken) {
        this.retryRun(failure);
      } else {
        this.giveUp(failure, defaultRetryAfterMs, reason);
      }
    });
  }

  /** Refuses a request that no endpoint can be sent; its caller could only repeat it in vain. */
  private refuseUnsendable(reason: string): void {
    this.context.metrics.refusals.inc({ reason: 'unsendable' });
    const status = RefusalStatus.BadRequest;
    this.caller.refuse({ status, detail: `the request can't be forwarded: ${reason}` });
    this.finish('refused: unsendable', status);
  }

  private refuseQuarantined(remainingMs: number): void {
    if (!this.isFinished) {
      this.context.metrics.refusals.inc({ reason: 'quarantined' });
      this.giveUp('quarantined', remainingMs, 'endpoints crashed while they ran this request');
    }
  }

  private fail(err: unknown): void {
    const fields = { request: this.requestId, reason: toErrorMessage(err) };
    this.context.logger.log(LogLevel.Error, 'request-failed', fields);
    this.stop('the gateway failed');
  }

  private giveUp(reason: string, retryAfterMs: number, detail = reason): void {
    if (this.answer.hasBegun) {
      this.caller.abort();
      this.finish(`broken: ${reason}`, 0);
      return;
    }
    const hasRun = this.history.mayHaveRun;
    const status = hasRun ? RefusalStatus.BadGateway : RefusalStatus.Unavailable;
    this.caller.refuse({ status, detail, ...(hasRun ? {} : { retryAfterMs }) });
    this.finish(`refused: ${reason}`, status);
  }

  private expire(): void {
    if (this.phase === Phase.Finished) {
      return;
    }
    if (this.phase === Phase.Sent) {
      this.run.recordLoss(this.path.endpoints, false);
    }
    if (this.answer.hasBegun) {
      this.caller.abort();
    } else {
      const isWaiting = this.phase === Phase.Waiting && !this.history.mayHaveRun;
      this.caller.refuse({
        status: isWaiting ? RefusalStatus.Unavailable : RefusalStatus.Timeout,
        detail: 'no complete answer in time',
        ...(isWaiting ? { retryAfterMs: defaultRetryAfterMs } : {}),
      });
    }
    this.finish('timeout', RefusalStatus.Timeout);
  }

  private finish(outcome: string, status: number): void {
    this.phase = Phase.Finished;
    this.retry.giveBack();
    this.cancelDeadline();
    this.run.close();
    this.acquisition.cancel();
    if (this.replacementPath) {
      this.context.ledger.release(this.replacementPath.reservations);
      this.replacementPath = undefined;
    }
    this.exchange?.abort();
    this.exchange = undefined;
    this.path.release();
    const { metrics, clock } = this.context;
    metrics.answers.inc({ kind: RouteKind.Stream, status, source: outcome.split(':')[0] });
    const { firstEventMs, longestPauseMs } = this.answer.progress;
    metrics.longestPause.observe(longestPauseMs);
    this.log('stream-over', {
      outcome,
      status,
      events: this.answer.progress.eventCount,
      sends: this.sendCount,
      firstEventMs: firstEventMs && Math.round(firstEventMs),
      longestPauseMs: Math.round(longestPauseMs),
      totalMs: Math.round(clock.monotonicMs() - this.req.arrivedMs),
    });
    this.onDidFinish(this);
    this.admission.admitWaiting();
    this.pacedAdmission.startWaiting();
  }

  private log(event: string, fields: Record<string, string | number | boolean | undefined>): void {
    this.context.logger.log(LogLevel.Info, event, { request: this.requestId, ...fields });
  }
}
