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

/** What became of one attempt. */
export enum RunOutcomeKind {
  /** It ran and its answer is known. */
  Answered = 'answered',
  /** The endpoint refused it; it did not run there. */
  Refused = 'refused',
  /** It is not known whether it ran; the endpoint's gate can tell. */
  Unresolved = 'unresolved',
  /** It ended without an answer. */
  Failed = 'failed',
}

/** Outcome of an attempt. */
export type RunOutcome<R> =
  | { readonly kind: RunOutcomeKind.Answered; readonly value: R }
  | { readonly kind: RunOutcomeKind.Refused; readonly reason: FailureReason }
  | { readonly kind: RunOutcomeKind.Unresolved }
  | { readonly kind: RunOutcomeKind.Failed; readonly problem: Problem };

/** Endpoints chosen for an attempt. */
export interface PreparedRun {
  readonly target: ClaimTarget;
  readonly keeper: ClaimTarget;
}

/** Runs the attempts of one kind of submission. */
export interface ISubmissionRunner<R, P extends PreparedRun> {
  /** Chooses endpoints, waiting for room if need be. */
  prepare(): Promise<Result<P, Problem>>;
  /** Gives up what `prepare` reserved, if the attempt will not be run. */
  abandon(prepared: P): void;
  /** Sends the attempt to its endpoint, once. */
  run(attempt: string, prepared: P): Promise<RunOutcome<R>>;
  /** Fetches the answer of an attempt that was admitted, waiting for its end if need be. */
  collect(attempt: string, claim: Claim, sealed: SealOutcome): Promise<RunOutcome<R>>;
  /** Asks the gate of an endpoint; undefined if it does not answer. */
  seal(attempt: string, target: ClaimTarget): Promise<SealOutcome | undefined>;
}

/** A submission, as digests. */
export interface SubmissionIdentity {
  /** Digest of organisation and idempotency key. */
  readonly key: string;
  /** Digest of what is asked. */
  readonly request: string;
  /** For the log. */
  readonly id: string;
}

/**
 * Age up to which a claim's writer is given time to dispatch it before another process seals it,
 * in milliseconds.
 */
const dispatchGraceMs = 500;

/** Most attempts that one call of the flow claims. */
const maxAttempts = 16;

/** Seconds after which a caller may ask for an outcome that is not known yet. */
const retryAfterSeconds = 2;

type FlowResult<R> = Result<R, Problem>;

/** Without the platform nobody can tell whether an earlier call with the same key ran. */
function unavailable(): Problem {
  const detail = 'the platform is not available; this call did nothing, send it again with its key';
  const options = { retryAfterSeconds, thisCall: RunState.NotRun };
  return problem(ProblemKind.PlatformUnavailable, RunState.Unknown, detail, options);
}

function unknownOutcome(detail: string): Problem {
  return problem(ProblemKind.OutcomeUnknown, RunState.Unknown, detail);
}

/**
 * Runs a submission at most once, whichever entries its caller tries.
 *
 * An attempt is dispatched only by the process whose claim stands in the platform, and a further
 * attempt is claimed only after the endpoint's gate sealed the one before or refused it.
 */
export class SubmissionFlow<R, P extends PreparedRun> {
  private attempts = 0;

  /** True if another call with the same key was seen at work. */
  private hasRival = false;

  /**
   * @param identity - Digests of the submission.
   * @param ledger - The claims.
   * @param runner - Runs attempts.
   * @param nonce - Makes unique ids.
   * @param clock - Source of time.
   * @param timers - For waits.
   * @param logger - Receives the decisions.
   */
  constructor(
    private readonly identity: SubmissionIdentity,
    private readonly ledger: ClaimLedger,
    private readonly runner: ISubmissionRunner<R, P>,
    private readonly nonce: () => string,
    private readonly clock: IClock,
    private readonly timers: ITimers,
    private readonly logger: ILogger,
  ) {}

  /**
   * Runs the submission, or returns the answer of the time it ran.
   *
   * @returns The answer, or a problem whose `run` member is true to the facts.
   */
  run(): Promise<FlowResult<R>> {
    return this.claimNext(undefined);
  }

  /**
   * Refuses the submission before any work, or returns the answer of the time it ran.
   *
   * @param refusal - Why it cannot be run now.
   * @returns The refusal, with a `run` member that is proved.
   */
  refuseNow(refusal: Problem): Promise<FlowResult<R>> {
    return this.refuse(undefined, refusal);
  }

  /** Refuses as not run only if no other call claimed the key since `previous`. */
  private async refuse(previous: Claim | undefined, refusal: Problem): Promise<FlowResult<R>> {
    const { key } = this.identity;
    const proof = await this.ledger.change({ key, expected: previous?.nonce, next: undefined });
    if (proof.isErr()) {
      const options = { retryAfterSeconds, thisCall: RunState.NotRun };
      return Err({ ...refusal, run: RunState.Unknown, ...options });
    }
    return proof.value.applied ? Err(refusal) : this.resolveClaimed(proof.value.claim);
  }

  private exhausted(): Problem {
    if (this.hasRival) {
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
      return this.refuse(previous, this.exhausted());
    }
    this.attempts += 1;
    const prepared = await this.runner.prepare();
    if (prepared.isErr()) {
      return this.refuse(previous, prepared.error);
    }
    const claim = this.claimOf(previous, prepared.value);
    const outcome = await this.change(previous, claim);
    if (outcome.isErr() || !outcome.value.applied) {
      this.runner.abandon(prepared.value);
    }
    if (outcome.isErr()) {
      return Err(unavailable());
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
      nonce: this.nonce(),
      atMs: this.clock.wallMs(),
      state: ClaimState.Claimed,
    };
  }

  private change(
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
        this.hasRival ||= outcome.reason === FailureReason.Sealed;
        return this.claimNext(claim);
      case RunOutcomeKind.Unresolved:
        return this.askGate(claim);
      default:
        return this.conclude(claim, outcome);
    }
  }

  private conclude(claim: Claim, outcome: RunOutcome<R>): FlowResult<R> {
    switch (outcome.kind) {
      case RunOutcomeKind.Answered:
        this.settle(claim);
        return Ok(outcome.value);
      case RunOutcomeKind.Failed:
        return Err(outcome.problem);
      default:
        return Err(unknownOutcome('the endpoint did not tell what became of the request'));
    }
  }

  /** Records that the attempt ran; only a hint, so nobody waits for it. */
  private settle(claim: Claim): void {
    const next = { ...claim, state: ClaimState.Ran, nonce: this.nonce() };
    void this.ledger.change({ key: claim.key, expected: claim.nonce, next });
  }

  /** Finds out what became of a claim that stands. */
  private async resolveClaimed(claim: Claim | undefined): Promise<FlowResult<R>> {
    if (claim === undefined) {
      return Err(unavailable());
    }
    if (claim.request !== this.identity.request) {
      const detail = 'the Idempotency-Key was used for another request';
      return Err(problem(ProblemKind.KeyReused, RunState.NotRun, detail));
    }
    await this.giveTimeToDispatch(claim);
    return this.askGate(claim);
  }

  private async askGate(claim: Claim): Promise<FlowResult<R>> {
    const attempt = attemptIdOf(claim);
    const sealed = await this.runner.seal(attempt, claim.target);
    this.log('sealed', claim, sealed ?? 'unreachable');
    switch (sealed) {
      case SealOutcome.Sealed:
        return this.claimNext(claim);
      case SealOutcome.Running:
      case SealOutcome.Ran:
        return this.conclude(claim, await this.runner.collect(attempt, claim, sealed));
      case SealOutcome.RanForgotten:
        return Err(this.ranBefore());
      default:
        return Err(
          claim.state === ClaimState.Ran
            ? this.ranBefore()
            : unknownOutcome(`endpoint ${claim.target.endpoint} cannot tell whether it ran`),
        );
    }
  }

  private async giveTimeToDispatch(claim: Claim): Promise<void> {
    const ageMs = this.clock.wallMs() - claim.atMs;
    const waitMs = Math.min(dispatchGraceMs, dispatchGraceMs - ageMs);
    if (claim.state === ClaimState.Claimed && waitMs > 0) {
      await new Promise<void>((resolve) => {
        this.timers.after(waitMs, resolve);
      });
    }
  }

  private ranBefore(): Problem {
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
