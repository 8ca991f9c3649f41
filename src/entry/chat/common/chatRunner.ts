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
import type { FleetChange, FleetLoss, IFleet } from '../../fleet/common/fleet.js';
import type { Route } from '../../routing/common/chainRouter.js';
import type { SuspectGuard } from '../../suspects/common/suspectGuard.js';
import { AnswerAssembler } from './answerAssembler.js';
import type { ChatAdmission } from './chatAdmission.js';
import type { ChatRequest, IChatSink } from './chatRequest.js';
import type {
  AttemptRefused,
  ChatHandle,
  ChatRunnerOptions,
  ChatUsage,
  EndpointOutcome,
  Session,
} from './chatSession.js';

/** Time that an attempt under way may take to its first token, in milliseconds. */
const collectExpectedMs = 10_000;

/** Time without a chain after which endpoints that failed a request are tried again, in ms. */
const forgiveMs = 1_000;

/** Tokens after which a request that was suspected is cleared. */
const clearingTokens = 3;

/** Share of retries among requests that the budget allows. */
const retryShare = 0.2;

/** Retries that the budget allows at once after a quiet time. */
const maxRetryTokens = 64;

/** Runs chat answers over chains of endpoints and repairs chains that break. */
export class ChatRunner {
  /** Sessions by attempt; callers that share an idempotency key share an attempt. */
  private readonly sessions = new MultiMap<string, Session>();

  private readonly usages = new Emitter<ChatUsage>();

  private readonly outcomes = new Emitter<EndpointOutcome>();

  private retryTokens = maxRetryTokens;

  /** Fires when an endpoint started an answer or refused a step. */
  readonly onDidOutcome = this.outcomes.event;

  /** Fires when an answer ended, whole or not. */
  readonly onDidUse = this.usages.event;

  /**
   * @param options - Limits.
   * @param fleet - The endpoints.
   * @param admission - Gives chains.
   * @param guard - Keeps apart requests that may crash endpoints.
   * @param clock - Source of time.
   * @param logger - Receives repairs.
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
    fleet.onDidLose((lost) => this.endpointLost(lost));
    fleet.onDidRestore((restored) => this.endpointRestored(restored));
    fleet.onDidChange(() => admission.admitWaiting());
  }

  /** Number of answers under way. */
  get active(): number {
    return this.sessions.size;
  }

  /**
   * Answers a lookup; a broken chain is replaced and the answer goes on after its last token.
   *
   * @param request - The request.
   * @param sink - Receives the answer.
   * @returns A handle to cancel it.
   */
  open(request: ChatRequest, sink: IChatSink): ChatHandle {
    const session = this.createSession(request, request.id, sink, false);
    this.retryTokens = Math.min(maxRetryTokens, this.retryTokens + retryShare);
    this.guard.admit(session.suspectWaiter);
    return { cancel: () => this.cancel(session) };
  }

  /**
   * Starts a submission's claimed attempt on a chain that was admitted for it; it is never repaired.
   *
   * @param request - The request.
   * @param attempt - The claimed attempt.
   * @param route - Its chain; released when the attempt ends.
   * @param sink - Receives the answer.
   * @param refused - Called instead of `sink.fail` if the attempt did not run.
   */
  startClaimed(
    request: ChatRequest,
    attempt: string,
    route: Route,
    sink: IChatSink,
    refused: AttemptRefused,
  ): void {
    const session = this.createSession(request, attempt, sink, true);
    this.refusals.set(attempt, refused);
    this.begin(session, route);
  }

  /**
   * Receives the tokens of an attempt that another entry, or an earlier call, started.
   *
   * @param request - The request.
   * @param attempt - The attempt.
   * @param keeper - Last stage of its chain.
   * @param sealed - What the gate of its first stage said.
   * @param sink - Receives the answer from its first token on.
   */
  collect(
    request: ChatRequest,
    attempt: string,
    keeper: Pick<StageSpec, 'endpoint' | 'incarnation'>,
    sealed: SealOutcome,
    sink: IChatSink,
  ): void {
    const session = this.createSession(request, attempt, sink, true);
    session.epoch = 1;
    session.collecting = sealed;
    session.progressMs = this.clock.monotonicMs();
    session.route = {
      chain: [{ ...keeper, address: '', range: { from: 0, to: 0 } }],
      expectedMs: collectExpectedMs,
      prefixHits: 0,
      considered: 1,
    };
    this.fleet.addActive(keeper.endpoint, 1);
    this.sendResume(session, keeper.incarnation);
  }

  /** Replaces stalled chains and ends requests past their deadline; call this often. */
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
      } else if (!session.route && nowMs - session.progressMs > forgiveMs) {
        session.failed.clear(); // rather an endpoint that failed before than none
      } else if (session.collecting !== undefined && session.route) {
        this.sendResume(session, session.route.chain[0].incarnation);
      }
    }
    this.admission.refuseTimedOut();
  }

  private readonly refusals = new Map<string, AttemptRefused>();

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
      assembler: new AnswerAssembler(),
      failed: new Set(),
      apart: false,
      suspectWaiter: {
        fingerprint: request.fingerprint,
        proceed: (apart) => this.enqueue(session, apart),
        refuse: () => this.fail(session, quarantined(session)),
      },
      epoch: 0,
      firstStep: 0,
      refusals: 0,
      collecting: undefined,
      stagePrices: [],
      layerTokens: 0,
      micros: 0,
      mayHaveRun: false,
      route: undefined,
      progressMs: 0,
      done: false,
      avoid: () => this.avoidOf(session),
      admitted: (route) => this.begin(session, route),
      refused: (refusal) =>
        this.fail(session, session.mayHaveRun ? { ...refusal, run: RunState.Ran } : refusal),
    };
    this.sessions.add(attempt, session);
    return session;
  }

  private begin(session: Session, route: Route): void {
    if (session.done) {
      this.admission.release(session.request, route);
      return;
    }
    session.epoch += 1;
    session.route = route;
    session.stagePrices = this.pricesOf(session.request, route);
    session.progressMs = this.clock.monotonicMs();
    session.firstStep = session.assembler.tokens.length;
    session.assembler.beginEpoch();
    if (!this.sendStart(session, route)) {
      this.refusedBy(session, route.chain[0].endpoint, FailureReason.StageLost);
    }
  }

  /** Looks the prices up while the endpoints are known; one may be gone when its work is counted. */
  private pricesOf(request: ChatRequest, route: Route): readonly number[] {
    const views = this.fleet.endpoints();
    return route.chain.map(({ incarnation }) => {
      const view = views.find((one) => one.incarnation === incarnation);
      return view === undefined ? 0 : request.prices[view.report.accelerator];
    });
  }

  private sendStart(session: Session, route: Route): boolean {
    return this.fleet.send(route.chain[0].incarnation, {
      kind: MessageKind.Start,
      spec: this.specOf(session, route),
      prompt: session.request.prompt,
      delivered: [...session.assembler.tokens], // the message is encoded later in this turn
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
      suspect: session.apart,
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
      // An epoch whose chain was left is cancelled, and its engines may have dropped its cache.
      .filter((session) => session.epoch === message.epoch && session.route !== undefined)
      .forEach((session) => this.deliver(session, message));
  }

  private deliver(session: Session, message: TokenMessage): void {
    Object.assign(session, { progressMs: this.clock.monotonicMs() });
    for (const token of session.assembler.accept(message)) {
      this.countToken(session, token);
      session.sink.token(token.text);
    }
    const progress = session.assembler.tokens.length - session.firstStep;
    if (progress === 1) {
      this.reportOutcome(session, undefined);
    }
    if (session.apart && (progress >= clearingTokens || session.assembler.whole)) {
      session.apart = false;
      this.guard.clear(session.request.fingerprint);
    }
    if (session.assembler.whole) {
      this.finish(session);
      session.sink.end(session.assembler.summary());
    }
  }

  /** Counts the work of one token: its own position, and on a chain's first token the prefill. */
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
    const concerned = this.sessions
      .get(message.attempt)
      .filter((session) => session.epoch === message.epoch && session.route !== undefined);
    for (const session of concerned) {
      if (message.reason === FailureReason.UnknownAttempt) {
        this.keeperIsEmpty(session);
      } else if (isRefusal(session, message)) {
        session.mayHaveRun ||= message.run !== RunState.NotRun;
        this.refusedBy(session, message.endpoint, message.reason);
      } else {
        this.failedAt(session, message);
      }
    }
  }

  private failedAt(session: Session, message: AttemptFailedMessage): void {
    if (message.reason === FailureReason.StepRefused) {
      this.reportOutcome(session, message.endpoint);
    }
    if (message.crash !== undefined) {
      this.guard.crashed(message.crash, session.request.fingerprint);
    }
    this.repair(session, message.endpoint);
  }

  /** Reports the outcome of a chain's start, or of the step at which it failed. */
  private reportOutcome(session: Session, failedAt: string | undefined): void {
    for (const { endpoint } of session.route?.chain ?? []) {
      if (failedAt === undefined || failedAt === endpoint) {
        this.outcomes.fire({ endpoint, failed: endpoint === failedAt });
      }
    }
  }

  /** The last stage has not seen the attempt yet, or does not keep its answer. */
  private keeperIsEmpty(session: Session): void {
    if (session.collecting === SealOutcome.Ran) {
      const detail = 'the request was started before; its answer is not kept';
      this.fail(session, problem(ProblemKind.OutcomeUnknown, RunState.Unknown, detail));
    }
  }

  /** Handles an endpoint that did not start the current epoch. */
  private refusedBy(session: Session, endpoint: string, reason: FailureReason): void {
    const { request } = session;
    this.logger.log(LogLevel.Info, 'refused', { request: request.id, endpoint, reason });
    const refused = this.refusals.get(session.attempt);
    if (session.submission && refused) {
      this.finish(session);
      refused(RunState.NotRun, reason);
      return;
    }
    this.leaveChain(session);
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

  /** Lets a request wait for a chain, in front of others if its answer is under way. */
  private enqueue(session: Session, apart: boolean): void {
    if (session.done) {
      this.guard.release(session.request.fingerprint);
      return;
    }
    session.apart = apart;
    this.admission.enqueue(session, session.mayHaveRun);
  }

  private avoidOf(session: Session): ReadonlySet<string> {
    if (!session.apart) {
      return session.failed;
    }
    const others = this.sessions
      .entries()
      .filter(([, other]) => other !== session && other.apart)
      .flatMap(([, other]) => other.route?.chain.map((stage) => stage.endpoint) ?? []);
    return new Set([...session.failed, ...others]);
  }

  /** Replaces the chain of a lookup; a submission ends with an unknown outcome. */
  private repair(session: Session, failed: string | undefined): void {
    const { request } = session;
    const tokens = session.assembler.tokens.length;
    session.mayHaveRun = true;
    this.leaveChain(session);
    if (session.submission) {
      const detail = 'an endpoint failed while the request ran; it will not be run again';
      this.fail(session, problem(ProblemKind.OutcomeUnknown, RunState.Unknown, detail));
      return;
    }
    const { epoch } = session;
    if (epoch >= this.options.maxEpochs || this.retryTokens < 1) {
      const detail =
        epoch >= this.options.maxEpochs ? `${epoch} chains failed` : 'too many retries';
      this.fail(
        session,
        problem(ProblemKind.EndpointFailed, RunState.Ran, detail, { retryAfterSeconds: 1 }),
      );
      return;
    }
    this.retryTokens -= 1;
    if (failed !== undefined) {
      session.failed.add(failed);
    }
    this.logger.log(LogLevel.Warn, 'repair', { request: request.id, epoch, failed, tokens });
    this.leaveApart(session);
    this.guard.admit(session.suspectWaiter);
  }

  /** Replaces chains; only a process that died is held against the requests that it ran. */
  private endpointLost(lost: FleetLoss): void {
    for (const [, session] of this.sessions.entries()) {
      if (session.route?.chain.some((stage) => stage.incarnation === lost.incarnation)) {
        if (lost.died) {
          this.guard.crashed(`${lost.incarnation}#lost`, session.request.fingerprint);
        }
        this.repair(session, lost.endpoint);
      }
    }
  }

  /** Sends again what may have been lost with the link that was replaced. */
  private endpointRestored(restored: FleetChange): void {
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
    const silentMs = nowMs - session.progressMs;
    const first = session.assembler.tokens.length === 0 ? route.expectedMs : 0;
    if (silentMs > this.options.stallMs + first) {
      return true;
    }
    if (silentMs <= this.options.engineUnreachableStallMs) {
      return false;
    }
    const used = new Set(route.chain.map((stage) => stage.incarnation));
    return this.fleet.endpoints().some((view) => used.has(view.incarnation) && !view.report.ready);
  }

  private expire(session: Session): void {
    const started = session.mayHaveRun || session.route !== undefined;
    const run = started ? RunState.Unknown : RunState.NotRun;
    const detail = started
      ? 'the deadline passed during the answer'
      : 'the deadline passed in the queue';
    this.fail(
      session,
      problem(ProblemKind.DeadlineExceeded, run, detail, { retryAfterSeconds: 1 }),
    );
  }

  private cancel(session: Session): void {
    if (!session.done) {
      this.finish(session);
    }
  }

  private fail(session: Session, reason: Problem): void {
    if (!session.done) {
      this.finish(session);
      session.sink.fail(reason);
    }
  }

  private finish(session: Session): void {
    session.done = true;
    this.sessions.delete(session.attempt, session);
    this.refusals.delete(session.attempt);
    this.admission.withdraw(session);
    this.guard.withdraw(session.suspectWaiter);
    this.leaveChain(session);
    this.leaveApart(session);
    const { organisation, model, revision } = session.request;
    const tokens = session.assembler.tokens.length;
    const { layerTokens, micros } = session;
    this.usages.fire({ organisation, model: model.name, revision, tokens, layerTokens, micros });
  }

  private leaveApart(session: Session): void {
    if (session.apart) {
      session.apart = false;
      this.guard.release(session.request.fingerprint);
    }
  }

  /** Frees the current chain; an answer that is whole stays kept at its last stage. */
  private leaveChain(session: Session): void {
    const { route, attempt, epoch, submission, collecting } = session;
    if (route === undefined) {
      return;
    }
    session.route = undefined;
    const isCollected = collecting !== undefined && !session.assembler.whole;
    for (const stage of isCollected ? [] : route.chain) {
      const cancel = { kind: MessageKind.Cancel, attempt, epoch, submission } as const;
      this.fleet.send(stage.incarnation, cancel);
    }
    if (collecting === undefined) {
      this.admission.release(session.request, route);
    } else {
      this.fleet.addActive(route.chain[0].endpoint, -1); // it was never admitted here
    }
  }
}

function quarantined(session: Session): Problem {
  const run = session.mayHaveRun ? RunState.Ran : RunState.NotRun;
  const detail = 'endpoints died while they ran this request; it is not run again';
  return problem(ProblemKind.Quarantined, run, detail);
}

/** A later stage may refuse a lookup after the first ran; for a submission that is a failure. */
function isRefusal(session: Session, message: AttemptFailedMessage): boolean {
  const isBusy = message.reason === FailureReason.Busy && !session.submission;
  return message.run === RunState.NotRun || isBusy;
}
