import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock, ITimers } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import {
  attemptIdOf,
  ClaimState,
  type Claim,
  type ClaimTarget,
} from '../../../services/claims/common/claim.js';
import type {
  ClaimLedger,
  ClaimOutcome,
  ClaimsUnavailableError,
} from '../../../services/claims/common/claimLedger.js';
import { FailureReason, SealOutcome } from '../../../services/link/common/messages.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';

/** Kinds of outcomes of an attempt. */
export enum RunOutcomeKind {
  /** The attempt ran and its answer is known. */
  Answered = 'answered',
  /** The endpoint refused the attempt and did not run it. */
  Refused = 'refused',
  /** It is not known whether the attempt ran; sealing it at the endpoint's gate may tell. */
  Unresolved = 'unresolved',
  /** The attempt ended without an answer. */
  Failed = 'failed',
}

/** Outcome of an attempt, with its answer, reason or problem. */
export type RunOutcome<R> =
  | { readonly kind: RunOutcomeKind.Answered; readonly value: R }
  | { readonly kind: RunOutcomeKind.Refused; readonly reason: FailureReason }
  | { readonly kind: RunOutcomeKind.Unresolved }
  | { readonly kind: RunOutcomeKind.Failed; readonly problem: Problem };

/** Endpoints chosen for an attempt. */
export interface PreparedRun {
  readonly target: ClaimTarget;
  /** Endpoint that keeps the answer. */
  readonly keeper: ClaimTarget;
}

/** Runs the attempts of one kind of submission. */
export interface ISubmissionRunner<R, P extends PreparedRun> {
  /** Chooses endpoints; waits for free capacity if necessary. */
  prepare(): Promise<Result<P, Problem>>;
  /** Releases what `prepare` reserved if the attempt will not run. */
  releasePrepared(prepared: P): void;
  /** Sends the attempt to its endpoint, once. */
  run(attempt: string, prepared: P): Promise<RunOutcome<R>>;
  /** Fetches the answer of an admitted attempt; waits for its end if necessary. */
  fetchAnswer(attempt: string, claim: Claim, sealOutcome: SealOutcome): Promise<RunOutcome<R>>;
  /** Seals an attempt at the gate of its endpoint; undefined if the gate does not answer. */
  seal(attempt: string, target: ClaimTarget): Promise<SealOutcome | undefined>;
}

/** Digests that identify a submission, and its id. */
export interface SubmissionIdentity {
  /** Digest of organisation, service (for a service call only) and idempotency key. */
  readonly key: string;
  /** Digest of the request's content. */
  readonly request: string;
  /** Request id for the log. */
  readonly id: string;
}

/**
 * Minimum age of a claim at which another process seals it, in milliseconds. It gives the process
 * that wrote the claim time to dispatch the attempt.
 */
const dispatchGraceMs = 500;

/** Maximum number of attempts that one call claims. */
const maxAttempts = 16;

/** `Retry-After` of a refusal and of an outcome that is not known yet, in seconds. */
const retryAfterSeconds = 2;

type FlowResult<R> = Result<R, Problem>;

/**
 * Builds the problem for a claim that could not be stored or read. Its run state is unknown, because
 * without the platform an entry cannot tell whether an earlier call with the same key ran.
 */
function unavailableProblem(): Problem {
  const detail = 'the platform is not available; this call did nothing, send it again with its key';
  const options = { retryAfterSeconds, thisCall: RunState.NotRun };
  return problem(ProblemKind.PlatformUnavailable, RunState.Unknown, detail, options);
}

function unknownOutcomeProblem(detail: string): Problem {
  return problem(ProblemKind.OutcomeUnknown, RunState.Unknown, detail);
}

/**
 * Runs a submission at most once, whichever entries its caller tries.
 *
 * An attempt is dispatched only by the process whose claim the platform stored, and a further
 * attempt is claimed only after the endpoint's gate sealed or refused the previous one.
 */
export class SubmissionFlow<R, P extends PreparedRun> {
  private attempts = 0;

  /** True once an attempt was refused because another call with the same key sealed it. */
  private hasConcurrentCall = false;

  /**
   * @param identity - Digests of the submission.
   * @param ledger - Stores the claims.
   * @param runner - Runs attempts.
   * @param createNonce - Creates unique ids of claims.
   * @param clock - Source of time.
   * @param timers - Delays the seal of a new claim.
   * @param logger - Logs claims, refusals and seals.
   */
  constructor(
    private readonly identity: SubmissionIdentity,
    private readonly ledger: ClaimLedger,
    private readonly runner: ISubmissionRunner<R, P>,
    private readonly createNonce: () => string,
    private readonly clock: IClock,
    private readonly timers: ITimers,
    private readonly logger: ILogger,
  ) {}

  /**
   * Runs the submission, or returns the answer of its earlier run.
   *
   * @returns The answer, or a problem whose `run` member states only what is proved.
   */
  run(): Promise<FlowResult<R>> {
    return this.claimNext(undefined);
  }

  /**
   * Refuses the submission before any work, or returns the answer of its earlier run.
   *
   * @param refusal - The reason why it cannot run now.
   * @returns The refusal, whose `run` member states only what is proved, or the answer.
   */
  refuseNow(refusal: Problem): Promise<FlowResult<R>> {
    return this.refuse(undefined, refusal);
  }

  /**
   * Refuses the submission as not run if no other call has claimed its key since `previous`;
   * otherwise determines the outcome of that call's attempt.
   */
  private async refuse(previous: Claim | undefined, refusal: Problem): Promise<FlowResult<R>> {
    const { key } = this.identity;
    const outcome = await this.ledger.change({ key, expected: previous?.nonce, next: undefined });
    if (outcome.isErr()) {
      const options = { retryAfterSeconds, thisCall: RunState.NotRun };
      return Err({ ...refusal, run: RunState.Unknown, ...options });
    }
    return outcome.value.applied ? Err(refusal) : this.resolveClaimed(outcome.value.claim);
  }

  private exhaustedProblem(): Problem {
    if (this.hasConcurrentCall) {
      const detail = 'another call with the same Idempotency-Key is under way';
      const options = { retryAfterSeconds, thisCall: RunState.NotRun };
      return problem(ProblemKind.KeyInProgress, RunState.Unknown, detail, options);
    }
    const detail = `${this.attempts} endpoints refused the request`;
    return problem(ProblemKind.Overloaded, RunState.NotRun, detail, { retryAfterSeconds });
  }

  /** Claims the attempt after `previous` and runs it. */
  private async claimNext(previous: Claim | undefined): Promise<FlowResult<R>> {
    if (this.attempts >= maxAttempts) {
      return this.refuse(previous, this.exhaustedProblem());
    }
    this.attempts += 1;
    const prepared = await this.runner.prepare();
    if (prepared.isErr()) {
      return this.refuse(previous, prepared.error);
    }
    const claim = this.claimOf(previous, prepared.value);
    const outcome = await this.writeClaim(previous, claim);
    if (outcome.isErr() || !outcome.value.applied) {
      this.runner.releasePrepared(prepared.value);
    }
    if (outcome.isErr()) {
      return Err(unavailableProblem());
    }
    if (!outcome.value.applied) {
      return this.resolveClaimed(outcome.value.claim);
    }
    this.log('claimed', claim);
    return this.dispatch(claim, prepared.value);
  }

  private claimOf(previous: Claim | undefined, prepared: P): Claim {
    return {
      key: this.identity.key,
      request: this.identity.request,
      attempt: (previous?.attempt ?? 0) + 1,
      target: prepared.target,
      keeper: prepared.keeper,
      nonce: this.createNonce(),
      atMs: this.clock.wallMs(),
      state: ClaimState.Claimed,
    };
  }

  private writeClaim(
    previous: Claim | undefined,
    next: Claim,
  ): Promise<Result<ClaimOutcome, ClaimsUnavailableError>> {
    return this.ledger.change({ key: next.key, expected: previous?.nonce, next });
  }

  private async dispatch(claim: Claim, prepared: P): Promise<FlowResult<R>> {
    const outcome = await this.runner.run(attemptIdOf(claim), prepared);
    switch (outcome.kind) {
      case RunOutcomeKind.Refused:
        this.log('refused', claim, outcome.reason);
        this.hasConcurrentCall ||= outcome.reason === FailureReason.Sealed;
        return this.claimNext(claim);
      case RunOutcomeKind.Unresolved:
        return this.sealAndResolve(claim);
      default:
        return this.resultOf(claim, outcome);
    }
  }

  private resultOf(claim: Claim, outcome: RunOutcome<R>): FlowResult<R> {
    switch (outcome.kind) {
      case RunOutcomeKind.Answered:
        this.recordRan(claim);
        return Ok(outcome.value);
      case RunOutcomeKind.Failed:
        return Err(outcome.problem);
      default:
        return Err(unknownOutcomeProblem('the endpoint did not tell what became of the request'));
    }
  }

  /** Records that the attempt ran; the record is only a hint, so the call does not wait for it. */
  private recordRan(claim: Claim): void {
    const next = { ...claim, state: ClaimState.Ran, nonce: this.createNonce() };
    void this.ledger.change({ key: claim.key, expected: claim.nonce, next });
  }

  /** Determines the outcome of an attempt that another call claimed. */
  private async resolveClaimed(claim: Claim | undefined): Promise<FlowResult<R>> {
    if (claim === undefined) {
      return Err(unavailableProblem());
    }
    if (claim.request !== this.identity.request) {
      const detail = 'the Idempotency-Key was used for another request';
      return Err(problem(ProblemKind.KeyReused, RunState.NotRun, detail));
    }
    await this.waitForDispatch(claim);
    return this.sealAndResolve(claim);
  }

  private async sealAndResolve(claim: Claim): Promise<FlowResult<R>> {
    const attempt = attemptIdOf(claim);
    const sealOutcome = await this.runner.seal(attempt, claim.target);
    this.log('sealed', claim, sealOutcome ?? 'unreachable');
    switch (sealOutcome) {
      case SealOutcome.Sealed:
        return this.claimNext(claim);
      case SealOutcome.Running:
      case SealOutcome.Ran:
        return this.resultOf(claim, await this.runner.fetchAnswer(attempt, claim, sealOutcome));
      case SealOutcome.RanForgotten:
        return Err(this.ranBeforeProblem());
      default:
        return Err(
          claim.state === ClaimState.Ran
            ? this.ranBeforeProblem()
            : unknownOutcomeProblem(`endpoint ${claim.target.endpoint} cannot tell whether it ran`),
        );
    }
  }

  private async waitForDispatch(claim: Claim): Promise<void> {
    const ageMs = this.clock.wallMs() - claim.atMs;
    const waitMs = Math.min(dispatchGraceMs, dispatchGraceMs - ageMs);
    if (claim.state === ClaimState.Claimed && waitMs > 0) {
      await new Promise<void>((resolve) => {
        this.timers.after(waitMs, resolve);
      });
    }
  }

  private ranBeforeProblem(): Problem {
    const detail = 'the request ran before; its answer is no longer kept';
    return problem(ProblemKind.OutcomeUnknown, RunState.Ran, detail);
  }

  private log(event: string, claim: Claim, detail?: string): void {
    this.logger.log(LogLevel.Info, `submission-${event}`, {
      request: this.identity.id,
      attempt: attemptIdOf(claim),
      endpoint: claim.target.endpoint,
      detail,
    });
  }
}
