import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { Emitter } from '../../../base/common/event.js';
import { MultiMap } from '../../../base/common/multiMap.js';
import {
  FailureReason,
  MessageKind,
  SealOutcome,
  type AttemptFailedMessage,
  type AttemptSpec,
  type LinkMessage,
  type TokenMessage,
} from '../../../services/link/common/messages.js';
import type { StageSpec } from '../../../services/model/common/model.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';
import type { AgentIncarnation, FleetLoss, IFleet } from '../../fleet/common/fleet.js';
import type { Route } from '../../routing/common/chainRouter.js';
import type { SuspectGuard } from '../../../services/suspects/common/suspectGuard.js';
import { AnswerAssembler } from './answerAssembler.js';
import type { ChatAdmission } from './chatAdmission.js';
import type { ChatRequest, IChatSink } from './chatRequest.js';
import type {
  AttemptRefusedHandler,
  ChatHandle,
  ChatRunnerOptions,
  ChatUsage,
  EndpointOutcome,
  Session,
} from './chatSession.js';

/** Expected time to the first token of an attempt that another call started, in milliseconds. */
const runningAttemptFirstTokenMs = 10_000;

/** Time without a chain after which endpoints that failed a request may be used again, in ms. */
const failedEndpointRetryMs = 1_000;

/** Number of tokens of one epoch after which a suspected request is cleared. */
const suspectClearTokens = 3;

/** Ratio of retries to requests that the retry budget allows. */
const retryBudgetRatio = 0.2;

/** Maximum number of retries that the retry budget saves up for a burst. */
const maxRetryBudget = 64;

/** Runs chat answers over chains of endpoints and replaces chains that break. */
export class ChatRunner {
  /** Sessions by attempt id; calls with the same idempotency key share an attempt. */
  private readonly sessions = new MultiMap<string, Session>();

  private readonly usages = new Emitter<ChatUsage>();

  private readonly outcomes = new Emitter<EndpointOutcome>();

  private retryBudget = maxRetryBudget;

  /** Fires for each endpoint of a chain that started an answer, and for one that refused a step. */
  readonly onDidReportOutcome = this.outcomes.event;

  /** Fires with the usage of each session that has ended, with or without a complete answer. */
  readonly onDidRecordUsage = this.usages.event;

  /**
   * @param options - Limits of sessions.
   * @param fleet - The endpoints.
   * @param admission - Assigns chains to requests.
   * @param guard - Isolates requests that may crash endpoints.
   * @param clock - Source of time.
   * @param logger - Logs refusals, stalls and repairs.
   */
  constructor(
    private readonly options: ChatRunnerOptions,
    private readonly fleet: IFleet,
    private readonly admission: ChatAdmission,
    private readonly guard: SuspectGuard,
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {
    fleet.onDidReceive(({ message }) => this.receive(message));
    fleet.onDidLose((lost) => this.handleEndpointLost(lost));
    fleet.onDidRestore((restored) => this.handleEndpointRestored(restored));
    fleet.onDidChange(() => admission.admitWaiting());
  }

  /** Number of answers in progress. */
  get active(): number {
    return this.sessions.size;
  }

  /**
   * Answers a lookup. If its chain breaks, another chain continues the answer after the last token
   * that was delivered.
   *
   * @param request - The lookup.
   * @param sink - Receives the answer.
   * @returns A handle that cancels the session.
   */
  startLookup(request: ChatRequest, sink: IChatSink): ChatHandle {
    const session = this.createSession(request, request.id, sink, false);
    this.retryBudget = Math.min(maxRetryBudget, this.retryBudget + retryBudgetRatio);
    this.guard.admit(session.guardedRequest);
    return { cancel: () => this.cancel(session) };
  }

  /**
   * Starts a submission's claimed attempt on the chain that was admitted for it. The chain is not
   * replaced if it breaks.
   *
   * @param request - The submission.
   * @param attempt - Id of the claimed attempt.
   * @param route - Its chain; released when the attempt ends.
   * @param sink - Receives the answer.
   * @param onRefused - Called instead of `sink.fail` if the attempt did not run.
   */
  startClaimed(
    request: ChatRequest,
    attempt: string,
    route: Route,
    sink: IChatSink,
    onRefused: AttemptRefusedHandler,
  ): void {
    const session = this.createSession(request, attempt, sink, true);
    this.refusalHandlers.set(attempt, onRefused);
    this.begin(session, route);
  }

  /**
   * Fetches the answer of an attempt that another entry or an earlier call started.
   *
   * @param request - The submission.
   * @param attempt - Id of the attempt.
   * @param keeper - Last stage of its chain, which keeps the answer.
   * @param sealOutcome - Outcome of the seal at the first stage of its chain.
   * @param sink - Receives the answer from its first token on.
   */
  fetchAnswer(
    request: ChatRequest,
    attempt: string,
    keeper: Pick<StageSpec, 'endpoint' | 'incarnation'>,
    sealOutcome: SealOutcome,
    sink: IChatSink,
  ): void {
    const session = this.createSession(request, attempt, sink, true);
    session.epoch = 1;
    session.sealOutcome = sealOutcome;
    session.lastProgressMs = this.clock.monotonicMs();
    session.route = {
      chain: [{ ...keeper, address: '', range: { from: 0, to: 0 } }],
      expectedMs: runningAttemptFirstTokenMs,
      prefixHits: 0,
      considered: 1,
    };
    this.fleet.addActive(keeper.endpoint, 1);
    this.sendResume(session, keeper.incarnation);
  }

  /**
   * Replaces stalled chains and fails requests past their deadline; call this several times a
   * second.
   */
  checkTimeouts(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [, session] of this.sessions.entries()) {
      if (session.request.deadlineMs <= nowMs) {
        this.expire(session);
      } else if (session.route && this.isStalled(session, session.route, nowMs)) {
        this.logger.log(LogLevel.Warn, 'stall', {
          request: session.request.id,
          epoch: session.epoch,
        });
        this.repair(session, undefined);
      } else if (!session.route && nowMs - session.lastProgressMs > failedEndpointRetryMs) {
        session.failedEndpoints.clear(); // an endpoint that failed before is better than none
      } else if (session.sealOutcome !== undefined && session.route) {
        // Repeated, because the attempt may not have reached the last stage yet.
        this.sendResume(session, session.route.chain[0].incarnation);
      }
    }
    this.admission.refuseTimedOut();
  }

  /** Ends all answers in progress, because the entry stops. */
  stop(): void {
    const detail = 'this instance is stopping';
    const options = { retryAfterSeconds: 1 };
    for (const [, session] of this.sessions.entries()) {
      const hasStarted = session.mayHaveRun || session.route !== undefined;
      const failure = hasStarted
        ? problem(ProblemKind.OutcomeUnknown, RunState.Unknown, detail, options)
        : problem(ProblemKind.Draining, RunState.NotRun, detail, options);
      this.fail(session, failure);
    }
  }

  private readonly refusalHandlers = new Map<string, AttemptRefusedHandler>();

  private createSession(
    request: ChatRequest,
    attempt: string,
    sink: IChatSink,
    submission: boolean,
  ): Session {
    const session: Session = {
      request,
      attempt,
      sink,
      submission,
      assembler: new AnswerAssembler(request.maxTokens),
      failedEndpoints: new Set(),
      isIsolated: false,
      guardedRequest: {
        fingerprint: request.fingerprint,
        onAdmitted: (isIsolated) => this.enqueue(session, isIsolated),
        onRefused: () => this.fail(session, quarantineProblem(session)),
      },
      epoch: 0,
      firstStep: 0,
      refusals: 0,
      sealOutcome: undefined,
      stagePrices: [],
      layerTokens: 0,
      micros: 0,
      mayHaveRun: false,
      route: undefined,
      lastProgressMs: 0,
      isDone: false,
      avoidedEndpoints: () => this.avoidedEndpointsOf(session),
      onAdmitted: (route) => this.begin(session, route),
      onRefused: (refusal) =>
        this.fail(session, session.mayHaveRun ? { ...refusal, run: RunState.Ran } : refusal),
    };
    this.sessions.add(attempt, session);
    return session;
  }

  private begin(session: Session, route: Route): void {
    if (session.isDone) {
      this.admission.release(session.request, route);
      return;
    }
    session.epoch += 1;
    session.route = route;
    session.stagePrices = this.pricesOf(session.request, route);
    session.lastProgressMs = this.clock.monotonicMs();
    session.firstStep = session.assembler.tokens.length;
    session.assembler.beginEpoch();
    if (!this.sendStart(session, route)) {
      this.handleRefusal(session, route.chain[0].endpoint, FailureReason.StageLost);
    }
  }

  /**
   * Returns the price at each stage of a chain. Prices are read when the chain starts, because an
   * endpoint may be gone when its work is counted.
   */
  private pricesOf(request: ChatRequest, route: Route): readonly number[] {
    const views = this.fleet.endpoints();
    return route.chain.map(({ incarnation }) => {
      const view = views.find((candidate) => candidate.incarnation === incarnation);
      return view === undefined ? 0 : request.prices[view.report.accelerator];
    });
  }

  private sendStart(session: Session, route: Route): boolean {
    return this.fleet.send(route.chain[0].incarnation, {
      kind: MessageKind.Start,
      spec: this.specOf(session, route),
      prompt: session.request.prompt,
      // A copy, because the message is encoded later in this event-loop turn.
      delivered: [...session.assembler.tokens],
    });
  }

  private specOf(session: Session, route: Route): AttemptSpec {
    const { request } = session;
    return {
      attempt: session.attempt,
      epoch: session.epoch,
      chain: route.chain,
      model: request.model.name,
      organisation: request.organisation,
      revision: request.revision,
      prices: request.prices,
      entry: this.options.entry,
      maxTokens: request.maxTokens,
      priority: request.priority,
      submission: session.submission,
      suspect: session.isIsolated,
      remainingMs: Math.max(1, request.deadlineMs - this.clock.monotonicMs()),
    };
  }

  private receive(message: LinkMessage): void {
    if (message.kind === MessageKind.Token) {
      this.receiveToken(message);
    } else if (message.kind === MessageKind.AttemptFailed) {
      this.receiveFailure(message);
    }
  }

  private receiveToken(message: TokenMessage): void {
    this.sessions
      .get(message.attempt)
      // Ignores tokens of a released chain: its epoch is cancelled, and engines may have dropped its
      // key-value cache.
      .filter((session) => session.epoch === message.epoch && session.route !== undefined)
      .forEach((session) => this.deliver(session, message));
  }

  private deliver(session: Session, message: TokenMessage): void {
    Object.assign(session, { lastProgressMs: this.clock.monotonicMs() });
    for (const token of session.assembler.accept(message)) {
      this.countToken(session, token);
      session.sink.token(token.text);
    }
    const epochTokens = session.assembler.tokens.length - session.firstStep;
    if (epochTokens === 1) {
      this.reportOutcome(session, undefined);
    }
    if (session.isIsolated && (epochTokens >= suspectClearTokens || session.assembler.isComplete)) {
      session.isIsolated = false;
      this.guard.recordSurvival(session.request.fingerprint);
    }
    if (session.assembler.isComplete) {
      this.finish(session);
      session.sink.end(session.assembler.summary());
    }
  }

  /** Adds the work of one token: its own position and, for a chain's first token, the prefill. */
  private countToken(session: Session, token: TokenMessage): void {
    const { request, route } = session;
    const positions = token.step === session.firstStep ? request.prompt.length + token.step : 1;
    (route?.chain ?? []).forEach((stage, index) => {
      const layerTokens = (stage.range.to - stage.range.from) * positions;
      session.layerTokens += layerTokens;
      session.micros += (layerTokens * (session.stagePrices[index] ?? 0)) / 1_000;
    });
  }

  private receiveFailure(message: AttemptFailedMessage): void {
    const affected = this.sessions
      .get(message.attempt)
      .filter((session) => session.epoch === message.epoch && session.route !== undefined);
    for (const session of affected) {
      if (message.reason === FailureReason.UnknownAttempt) {
        this.handleUnknownAttempt(session);
      } else if (isRefusal(session, message)) {
        session.mayHaveRun ||= message.run !== RunState.NotRun;
        this.handleRefusal(session, message.endpoint, message.reason);
      } else {
        this.handleFailure(session, message);
      }
    }
  }

  private handleFailure(session: Session, message: AttemptFailedMessage): void {
    if (message.reason === FailureReason.StepRefused) {
      this.reportOutcome(session, message.endpoint);
    }
    if (message.crash !== undefined) {
      this.guard.recordCrash(message.crash, session.request.fingerprint);
    }
    this.repair(session, message.endpoint);
  }

  /** Reports success for every endpoint of the chain, or failure for the one that failed. */
  private reportOutcome(session: Session, failedEndpoint: string | undefined): void {
    for (const { endpoint } of session.route?.chain ?? []) {
      if (failedEndpoint === undefined || failedEndpoint === endpoint) {
        this.outcomes.fire({ endpoint, failed: endpoint === failedEndpoint });
      }
    }
  }

  /**
   * Handles the reply that the last stage does not know the attempt. The session fails only if the
   * attempt has ended, since its answer is then not kept; otherwise the attempt may still arrive.
   */
  private handleUnknownAttempt(session: Session): void {
    if (session.sealOutcome === SealOutcome.Ran) {
      const detail = 'the request was started before; its answer is not kept';
      this.fail(session, problem(ProblemKind.OutcomeUnknown, RunState.Unknown, detail));
    }
  }

  /** Handles an endpoint that did not start the current epoch. */
  private handleRefusal(session: Session, endpoint: string, reason: FailureReason): void {
    const { request } = session;
    this.logger.log(LogLevel.Info, 'refused', { request: request.id, endpoint, reason });
    const onRefused = this.refusalHandlers.get(session.attempt);
    if (session.submission && onRefused) {
      this.finish(session);
      onRefused(RunState.NotRun, reason);
      return;
    }
    this.releaseChain(session);
    session.refusals += 1;
    this.fleet.markFull(endpoint);
    if (session.refusals > this.options.maxRefusals) {
      const detail = `${session.refusals} endpoints refused the request, the last with ${reason}`;
      const run = session.mayHaveRun ? RunState.Ran : RunState.NotRun;
      this.fail(session, problem(ProblemKind.Overloaded, run, detail, { retryAfterSeconds: 1 }));
      return;
    }
    this.admission.enqueue(session, true);
  }

  /** Queues a request for a chain, ahead of others if a part of it may have run. */
  private enqueue(session: Session, isIsolated: boolean): void {
    if (session.isDone) {
      this.guard.release(session.request.fingerprint);
      return;
    }
    session.isIsolated = isIsolated;
    this.admission.enqueue(session, session.mayHaveRun);
  }

  private avoidedEndpointsOf(session: Session): ReadonlySet<string> {
    if (!session.isIsolated) {
      return session.failedEndpoints;
    }
    const isolatedEndpoints = this.sessions
      .entries()
      .filter(([, other]) => other !== session && other.isIsolated)
      .flatMap(([, other]) => other.route?.chain.map((stage) => stage.endpoint) ?? []);
    return new Set([...session.failedEndpoints, ...isolatedEndpoints]);
  }

  /** Replaces the chain of a lookup, or fails a submission with an unknown outcome. */
  private repair(session: Session, failedEndpoint: string | undefined): void {
    const { request } = session;
    const tokens = session.assembler.tokens.length;
    session.mayHaveRun = true;
    this.releaseChain(session);
    if (session.submission) {
      const detail = 'an endpoint failed while the request ran; it will not be run again';
      this.fail(session, problem(ProblemKind.OutcomeUnknown, RunState.Unknown, detail));
      return;
    }
    const { epoch } = session;
    if (epoch >= this.options.maxEpochs || this.retryBudget < 1) {
      const detail =
        epoch >= this.options.maxEpochs ? `${epoch} chains failed` : 'too many retries';
      this.fail(
        session,
        problem(ProblemKind.EndpointFailed, RunState.Ran, detail, { retryAfterSeconds: 1 }),
      );
      return;
    }
    this.retryBudget -= 1;
    if (failedEndpoint !== undefined) {
      session.failedEndpoints.add(failedEndpoint);
    }
    this.logger.log(LogLevel.Warn, 'repair', {
      request: request.id,
      epoch,
      failed: failedEndpoint,
      tokens,
    });
    this.endIsolation(session);
    this.guard.admit(session.guardedRequest);
  }

  /** Replaces the chains that use a lost endpoint; requests become suspects only if it died. */
  private handleEndpointLost(lost: FleetLoss): void {
    for (const [, session] of this.sessions.entries()) {
      if (session.route?.chain.some((stage) => stage.incarnation === lost.incarnation)) {
        if (lost.died) {
          this.guard.recordCrash(`${lost.incarnation}#lost`, session.request.fingerprint);
        }
        this.repair(session, lost.endpoint);
      }
    }
  }

  /** Repeats messages that may have been lost with the link that was replaced. */
  private handleEndpointRestored(restored: AgentIncarnation): void {
    for (const [, session] of this.sessions.entries()) {
      const { route } = session;
      const chain = route?.chain ?? [];
      const hasStarted = session.assembler.tokens.length > session.firstStep;
      if (route && chain[0].incarnation === restored.incarnation && !hasStarted) {
        this.sendStart(session, route);
      }
      if (chain[chain.length - 1]?.incarnation === restored.incarnation) {
        this.sendResume(session, restored.incarnation);
      }
    }
  }

  private sendResume(session: Session, incarnation: string): void {
    this.fleet.send(incarnation, {
      kind: MessageKind.Resume,
      attempt: session.attempt,
      epoch: session.epoch,
      fromStep: session.assembler.tokens.length,
      entry: this.options.entry,
    });
  }

  private isStalled(session: Session, route: Route, nowMs: number): boolean {
    const silentMs = nowMs - session.lastProgressMs;
    const firstTokenMs = session.assembler.tokens.length === 0 ? route.expectedMs : 0;
    if (silentMs > this.options.stallMs + firstTokenMs) {
      return true;
    }
    if (silentMs <= this.options.engineUnreachableStallMs) {
      return false;
    }
    const chainIncarnations = new Set(route.chain.map((stage) => stage.incarnation));
    return this.fleet
      .endpoints()
      .some((view) => chainIncarnations.has(view.incarnation) && !view.report.ready);
  }

  private expire(session: Session): void {
    const hasStarted = session.mayHaveRun || session.route !== undefined;
    const run = hasStarted ? RunState.Unknown : RunState.NotRun;
    const detail = hasStarted
      ? 'the deadline passed during the answer'
      : 'the deadline passed in the queue';
    this.fail(
      session,
      problem(ProblemKind.DeadlineExceeded, run, detail, { retryAfterSeconds: 1 }),
    );
  }

  private cancel(session: Session): void {
    if (!session.isDone) {
      this.finish(session);
    }
  }

  private fail(session: Session, failure: Problem): void {
    if (!session.isDone) {
      this.finish(session);
      session.sink.fail(failure);
    }
  }

  private finish(session: Session): void {
    session.isDone = true;
    this.sessions.delete(session.attempt, session);
    this.refusalHandlers.delete(session.attempt);
    this.admission.remove(session);
    this.guard.remove(session.guardedRequest);
    this.releaseChain(session);
    this.endIsolation(session);
    const { organisation, model, revision } = session.request;
    const tokens = session.assembler.tokens.length;
    const { layerTokens, micros } = session;
    this.usages.fire({ organisation, model: model.name, revision, tokens, layerTokens, micros });
  }

  private endIsolation(session: Session): void {
    if (session.isIsolated) {
      session.isIsolated = false;
      this.guard.release(session.request.fingerprint);
    }
  }

  /**
   * Releases the current chain and cancels its epoch. An epoch that another call started is
   * cancelled only after its last token. The last stage keeps the complete answer of a submission.
   */
  private releaseChain(session: Session): void {
    const { route, attempt, epoch, submission, sealOutcome } = session;
    if (route === undefined) {
      return;
    }
    session.route = undefined;
    const isOwnedByOtherCall = sealOutcome !== undefined && !session.assembler.isComplete;
    for (const stage of isOwnedByOtherCall ? [] : route.chain) {
      const cancel = { kind: MessageKind.Cancel, attempt, epoch, submission } as const;
      this.fleet.send(stage.incarnation, cancel);
    }
    if (sealOutcome === undefined) {
      this.admission.release(session.request, route);
    } else {
      this.fleet.addActive(route.chain[0].endpoint, -1); // not admitted by this entry
    }
  }
}

function quarantineProblem(session: Session): Problem {
  const run = session.mayHaveRun ? RunState.Ran : RunState.NotRun;
  const detail = 'endpoints died while they ran this request; it is not run again';
  return problem(ProblemKind.Quarantined, run, detail);
}

/**
 * Returns whether a failure is a refusal. A later stage may refuse a lookup as busy after the first
 * one ran; a submission fails in that case.
 */
function isRefusal(session: Session, message: AttemptFailedMessage): boolean {
  const isBusy = message.reason === FailureReason.Busy && !session.submission;
  return message.run === RunState.NotRun || isBusy;
}
