import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock, ITimers } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { MultiMap } from '../../../base/common/multiMap.js';
import type { IRandom } from '../../../base/common/random.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { ClaimTarget } from '../../../services/claims/common/claim.js';
import {
  FailureReason,
  MessageKind,
  SealOutcome,
  type CallMessage,
  type CallResultMessage,
  type Header,
  type LinkMessage,
  type ServiceAnswer,
} from '../../../services/link/common/messages.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';
import type { EndpointOutcome } from '../../chat/common/chatSession.js';
import { isUsable, loadOf, type EndpointView } from '../../fleet/common/endpointView.js';
import type { AgentIncarnation, IFleet } from '../../fleet/common/fleet.js';
import { isFinalStatus } from '../../../services/exchange/common/finalStatus.js';
import { RunOutcomeKind, type RunOutcome } from '../../submission/common/submissionFlow.js';

/** A validated call of a plain service. */
export interface ServiceRequest {
  readonly id: string;
  readonly organisation: string;
  readonly service: string;
  readonly revision: number;
  readonly method: string;
  /** Path and query, as sent to the service. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Deadline of the caller, in monotonic milliseconds. */
  readonly deadlineMs: number;
}

interface PendingCall {
  readonly target: ClaimTarget;
  readonly submission: boolean;
  readonly resolve: (outcome: RunOutcome<ServiceAnswer>) => void;
}

interface PendingSeal {
  readonly target: ClaimTarget;
  readonly resolve: (outcome: SealOutcome | undefined) => void;
}

/** Maximum number of endpoints that one lookup tries. */
const maxLookupTries = 4;

/** Timeout of a seal, in milliseconds; longer than the detection of a dead link takes. */
const sealTimeoutMs = 4_000;

/** Lowest HTTP status that means a failure of the service. */
const minServerErrorStatus = 500;

const unresolvedOutcome = { kind: RunOutcomeKind.Unresolved } as const;

/** Calls plain services through the agents that run beside them. */
export class ServiceCaller {
  private readonly calls = new MultiMap<string, PendingCall>();

  private readonly seals = new MultiMap<string, PendingSeal>();

  private readonly outcomes = new Emitter<EndpointOutcome>();

  /** Fires with the outcome of each call that an endpoint did not refuse. */
  readonly onDidReportOutcome = this.outcomes.event;

  /**
   * @param fleet - The endpoints.
   * @param timers - Schedules deadlines and timeouts.
   * @param clock - Source of time.
   * @param random - Picks the endpoints to compare.
   * @param logger - Logs the chosen endpoints.
   */
  constructor(
    private readonly fleet: IFleet,
    private readonly timers: ITimers,
    private readonly clock: IClock,
    private readonly random: IRandom,
    private readonly logger: ILogger,
  ) {
    fleet.onDidReceive(({ message }) => this.receive(message));
    fleet.onDidLose((lost) => this.handleEndpointLost(lost));
    fleet.onDidRestore((restored) => this.handleEndpointRestored(restored));
  }

  /** Number of calls in progress. */
  get active(): number {
    return this.calls.size;
  }

  /**
   * Chooses the less loaded of two random endpoints.
   *
   * @param request - The request.
   * @param avoidedEndpoints - Ids of endpoints that must not be used.
   * @returns The endpoint, or undefined if none is usable.
   */
  choose(request: ServiceRequest, avoidedEndpoints: ReadonlySet<string>): EndpointView | undefined {
    const usable = this.fleet
      .endpoints()
      .filter((view) => view.report.service && view.report.model === request.service)
      .filter((view) => isUsable(view) && !avoidedEndpoints.has(view.id));
    if (usable.length === 0) {
      return undefined;
    }
    const a = usable[this.random.integer(0, usable.length - 1)];
    const b = usable[this.random.integer(0, usable.length - 1)];
    const chosen = loadOf(a) <= loadOf(b) ? a : b;
    this.logger.log(LogLevel.Info, 'route', {
      request: request.id,
      organisation: request.organisation,
      service: request.service,
      endpoint: chosen.id,
      load: loadOf(chosen),
      considered: usable.length,
      revision: request.revision,
    });
    return chosen;
  }

  /**
   * Makes a call that may be repeated, and tries other endpoints if one fails.
   *
   * @param request - The request.
   * @returns The answer, or a problem.
   */
  async lookup(request: ServiceRequest): Promise<Result<ServiceAnswer, Problem>> {
    const avoidedEndpoints = new Set<string>();
    // A refusal says that the call did not run; only other failures leave it unknown.
    let run = RunState.NotRun;
    for (let tries = 1; tries <= maxLookupTries; tries += 1) {
      const view = this.choose(request, avoidedEndpoints);
      if (view === undefined) {
        return Err(this.noEndpointProblem(request, run));
      }
      const outcome = await this.dispatch(request, `${request.id}.${tries}`, view, false);
      if (outcome.kind === RunOutcomeKind.Answered) {
        return Ok(outcome.value);
      }
      if (outcome.kind !== RunOutcomeKind.Refused) {
        run = RunState.Unknown;
      }
      if (this.clock.monotonicMs() >= request.deadlineMs) {
        const detail = 'the deadline passed during the call';
        return Err(problem(ProblemKind.DeadlineExceeded, run, detail));
      }
      avoidedEndpoints.add(view.id);
    }
    return Err(
      run === RunState.NotRun
        ? this.noEndpointProblem(request, run)
        : problem(ProblemKind.EndpointFailed, run, `${maxLookupTries} endpoints failed`),
    );
  }

  /**
   * Sends a call to an endpoint, once.
   *
   * @param request - The request.
   * @param attempt - Identifier of the attempt.
   * @param view - The endpoint.
   * @param submission - True if the call must not be repeated.
   * @returns Outcome of the attempt.
   */
  async dispatch(
    request: ServiceRequest,
    attempt: string,
    view: EndpointView,
    submission: boolean,
  ): Promise<RunOutcome<ServiceAnswer>> {
    const target = { endpoint: view.id, incarnation: view.incarnation };
    const outcome = this.registerCall(attempt, target, submission, request.deadlineMs);
    const sent = this.fleet.send(
      view.incarnation,
      this.buildCallMessage(request, attempt, view, submission),
    );
    if (!sent) {
      this.resolveCall(attempt, unresolvedOutcome); // clears the timer
      return { kind: RunOutcomeKind.Refused, reason: FailureReason.StageLost };
    }
    this.fleet.addActive(view.id, 1);
    const result = await outcome;
    this.fleet.addActive(view.id, -1);
    if (result.kind === RunOutcomeKind.Refused) {
      this.fleet.markFull(view.id);
    } else {
      this.outcomes.fire({ endpoint: view.id, failed: isFailure(result) });
    }
    return result;
  }

  /**
   * Fetches the answer of an attempt that a seal found admitted; waits for its end if necessary.
   *
   * @param attempt - Identifier of the attempt.
   * @param target - Its endpoint.
   * @param deadlineMs - Deadline of the wait, in monotonic milliseconds.
   * @returns The answer or a failure.
   */
  async fetchAnswer(
    attempt: string,
    target: ClaimTarget,
    deadlineMs: number,
  ): Promise<RunOutcome<ServiceAnswer>> {
    const outcome = this.registerCall(attempt, target, true, deadlineMs);
    this.sendSeal(attempt, target); // the agent sends the kept answer after the outcome of a seal
    return outcome;
  }

  /**
   * Asks the gate of an endpoint to seal an attempt.
   *
   * @param attempt - Identifier of the attempt.
   * @param target - Its endpoint.
   * @returns The outcome; undefined if the endpoint is not linked or does not answer.
   */
  seal(attempt: string, target: ClaimTarget): Promise<SealOutcome | undefined> {
    return new Promise((resolve) => {
      const cancel = this.timers.after(sealTimeoutMs, () => this.resolveSeal(attempt, undefined));
      this.seals.add(attempt, {
        target,
        resolve: (outcome) => {
          cancel();
          resolve(outcome);
        },
      });
      if (!this.sendSeal(attempt, target) && !this.isKnown(target)) {
        this.resolveSeal(attempt, undefined);
      }
    });
  }

  /**
   * Builds the problem for a service that no endpoint serves now.
   *
   * @param request - The request.
   * @param run - Whether the request ran.
   * @returns The problem.
   */
  noEndpointProblem(request: ServiceRequest, run: RunState): Problem {
    const detail = `no endpoint of service ${request.service} takes work now`;
    return problem(ProblemKind.NoEndpoint, run, detail, { retryAfterSeconds: 1 });
  }

  private buildCallMessage(
    request: ServiceRequest,
    attempt: string,
    view: EndpointView,
    submission: boolean,
  ): CallMessage {
    const { service, organisation, revision, method, path, headers, body } = request;
    return {
      kind: MessageKind.Call,
      attempt,
      incarnation: view.incarnation,
      service,
      organisation,
      revision,
      method,
      path,
      headers,
      body,
      submission,
      remainingMs: Math.max(1, request.deadlineMs - this.clock.monotonicMs()),
    };
  }

  private registerCall(
    attempt: string,
    target: ClaimTarget,
    submission: boolean,
    deadlineMs: number,
  ): Promise<RunOutcome<ServiceAnswer>> {
    return new Promise((resolve) => {
      const timeoutMs = Math.max(1, deadlineMs - this.clock.monotonicMs());
      const cancel = this.timers.after(timeoutMs, () => this.expire(attempt));
      this.calls.add(attempt, {
        target,
        submission,
        resolve: (outcome) => {
          cancel();
          resolve(outcome);
        },
      });
    });
  }

  private expire(attempt: string): void {
    for (const { submission, target } of this.calls.get(attempt)) {
      const cancel = { kind: MessageKind.Cancel, attempt, epoch: 1, submission } as const;
      this.fleet.send(target.incarnation, cancel);
    }
    const detail = 'the deadline passed during the call';
    this.resolveCall(attempt, {
      kind: RunOutcomeKind.Failed,
      problem: problem(ProblemKind.DeadlineExceeded, RunState.Unknown, detail),
    });
  }

  private receive(message: LinkMessage): void {
    if (message.kind === MessageKind.CallResult) {
      this.resolveCall(message.attempt, outcomeOf(message));
    } else if (message.kind === MessageKind.SealResult) {
      this.resolveSeal(message.attempt, message.outcome);
      this.resolveAfterReconnect(message.attempt, message.outcome);
    }
  }

  /** Ends a call if the seal after a reconnect shows that it never arrived or has no answer. */
  private resolveAfterReconnect(attempt: string, outcome: SealOutcome): void {
    if (outcome === SealOutcome.Sealed) {
      this.resolveCall(attempt, { kind: RunOutcomeKind.Refused, reason: FailureReason.Sealed });
    } else if (outcome === SealOutcome.RanForgotten || outcome === SealOutcome.IncarnationGone) {
      this.resolveCall(attempt, unresolvedOutcome);
    }
  }

  private resolveCall(attempt: string, outcome: RunOutcome<ServiceAnswer>): void {
    this.calls.deleteAll(attempt).forEach((pending) => pending.resolve(outcome));
  }

  private resolveSeal(attempt: string, outcome: SealOutcome | undefined): void {
    this.seals.deleteAll(attempt).forEach((pending) => pending.resolve(outcome));
  }

  private handleEndpointLost(lost: AgentIncarnation): void {
    for (const [attempt, { target }] of this.calls.entries()) {
      if (target.incarnation === lost.incarnation) {
        this.resolveCall(attempt, unresolvedOutcome);
      }
    }
    for (const [attempt, { target }] of this.seals.entries()) {
      if (target.incarnation === lost.incarnation) {
        this.resolveSeal(attempt, undefined);
      }
    }
  }

  private handleEndpointRestored(restored: AgentIncarnation): void {
    for (const [attempt, { target, submission }] of this.calls.entries()) {
      if (target.incarnation === restored.incarnation) {
        if (submission) {
          this.sendSeal(attempt, target);
        } else {
          this.resolveCall(attempt, unresolvedOutcome);
        }
      }
    }
    for (const [attempt, { target }] of this.seals.entries()) {
      if (target.incarnation === restored.incarnation) {
        this.sendSeal(attempt, target);
      }
    }
  }

  private sendSeal(attempt: string, target: ClaimTarget): boolean {
    const { incarnation } = target;
    return this.fleet.send(incarnation, { kind: MessageKind.Seal, attempt, incarnation });
  }

  private isKnown(target: ClaimTarget): boolean {
    return this.fleet.endpoints().some((view) => view.incarnation === target.incarnation);
  }
}

function isFailure(outcome: RunOutcome<ServiceAnswer>): boolean {
  return outcome.kind === RunOutcomeKind.Answered
    ? outcome.value.status >= minServerErrorStatus
    : outcome.kind === RunOutcomeKind.Failed;
}

function outcomeOf(message: CallResultMessage): RunOutcome<ServiceAnswer> {
  if (message.answer && isFinalStatus(message.answer.status)) {
    return { kind: RunOutcomeKind.Answered, value: message.answer };
  }
  if (message.run === RunState.NotRun) {
    return { kind: RunOutcomeKind.Refused, reason: message.reason ?? FailureReason.Busy };
  }
  const detail = 'the service failed before it gave a whole answer';
  return {
    kind: RunOutcomeKind.Failed,
    problem: problem(ProblemKind.OutcomeUnknown, message.run, detail),
  };
}
