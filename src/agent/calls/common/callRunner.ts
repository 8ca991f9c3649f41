import type { Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import type { IClock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import {
  FailureReason,
  MessageKind,
  SealOutcome,
  type CallMessage,
  type CallResultMessage,
  type LinkMessage,
  type SealMessage,
  type ServiceAnswer,
} from '../../../services/link/common/messages.js';
import { RunState } from '../../../services/problem/common/problem.js';
import { AdmitOutcome, type AttemptGate } from '../../gate/common/attemptGate.js';

/** A call to the plain service failed before a whole answer arrived. */
export class ServiceCallError extends IbissparError {
  readonly code = 'service-call-failed';

  /**
   * @param message - What went wrong.
   * @param run - `NotRun` only if the service was never reached.
   */
  constructor(
    message: string,
    readonly run: RunState,
  ) {
    super(message);
  }
}

/** The plain service beside an agent. */
export interface IPlainService {
  /** Makes one call; never repeats it. */
  call(message: CallMessage, signal: AbortSignal): Promise<Result<ServiceAnswer, ServiceCallError>>;
}

/** Sends a message to whoever asked; an agent's view of an entry's link. */
export type SendToEntry = (message: LinkMessage) => void;

/** Work that the agent counted for the cost record. */
export interface CallUsage {
  readonly organisation: string;
  readonly service: string;
  readonly revision: number;
  readonly durationMs: number;
}

/** Identity and limits of a call runner. */
export interface CallRunnerOptions {
  readonly incarnation: string;
  readonly capacity: number;
}

interface RunningCall {
  readonly recipients: Set<SendToEntry>;
  readonly abort: AbortController;
}

/** Runs plain-service calls: submissions at most once, and with their answers kept. */
export class CallRunner {
  private readonly running = new Map<string, RunningCall>();

  private readonly answers = new Map<string, CallResultMessage>();

  private readonly usages = new Emitter<CallUsage>();

  private leaving = false;

  /** Fires when a call ended. */
  readonly onDidUse = this.usages.event;

  /**
   * @param options - Identity and limits.
   * @param service - The service beside the agent.
   * @param gate - Decides which submissions run.
   * @param clock - Source of time.
   */
  constructor(
    private readonly options: CallRunnerOptions,
    private readonly service: IPlainService,
    private readonly gate: AttemptGate,
    private readonly clock: IClock,
  ) {}

  /** Number of calls that are running. */
  get active(): number {
    return this.running.size;
  }

  /** Refuses calls that arrive from now on; those under way go on. */
  drain(): void {
    this.leaving = true;
  }

  /**
   * Takes a call.
   *
   * @param message - The call.
   * @param send - Receives the answer.
   */
  call(message: CallMessage, send: SendToEntry): void {
    const refusal = this.refusalOf(message);
    if (refusal !== undefined) {
      send(refused(message.attempt, refusal));
      return;
    }
    if (message.submission) {
      const outcome = this.gate.admit(message.attempt, this.clock.monotonicMs());
      if (outcome === AdmitOutcome.Sealed) {
        send(refused(message.attempt, FailureReason.Sealed));
        return;
      }
      if (outcome === AdmitOutcome.Repeated) {
        this.join(message.attempt, send);
        return;
      }
    }
    void this.run(message, send);
  }

  /**
   * Seals an attempt; if it ran, its answer follows the outcome, now or when it ends.
   *
   * @param message - Which attempt of which incarnation.
   * @param send - Receives the outcome.
   */
  seal(message: SealMessage, send: SendToEntry): void {
    const outcome =
      message.incarnation === this.options.incarnation
        ? this.gate.seal(message.attempt, this.clock.monotonicMs())
        : SealOutcome.IncarnationGone;
    send({ kind: MessageKind.SealResult, attempt: message.attempt, outcome });
    if (outcome === SealOutcome.Running || outcome === SealOutcome.Ran) {
      this.join(message.attempt, send);
    }
  }

  /**
   * Cancels a lookup; a submission that was admitted runs to its end.
   *
   * @param attempt - Identifier of the attempt.
   * @param submission - True if the attempt is a submission.
   */
  cancel(attempt: string, submission: boolean): void {
    if (!submission) {
      this.running.get(attempt)?.abort.abort();
    }
  }

  /**
   * Drops kept answers.
   *
   * @param attempts - Attempts whose answers are no longer needed.
   */
  forget(attempts: readonly string[]): void {
    attempts.forEach((attempt) => this.answers.delete(attempt));
  }

  private refusalOf(message: CallMessage): FailureReason | undefined {
    if (message.incarnation !== this.options.incarnation) {
      return FailureReason.WrongIncarnation;
    }
    if (this.running.has(message.attempt) || this.answers.has(message.attempt)) {
      return undefined;
    }
    if (this.leaving) {
      return FailureReason.Leaving;
    }
    return this.running.size >= this.options.capacity ? FailureReason.Busy : undefined;
  }

  private join(attempt: string, send: SendToEntry): void {
    const answer = this.answers.get(attempt);
    if (answer) {
      send(answer);
    } else {
      this.running.get(attempt)?.recipients.add(send);
    }
  }

  private async run(message: CallMessage, send: SendToEntry): Promise<void> {
    const call = { recipients: new Set([send]), abort: new AbortController() };
    this.running.set(message.attempt, call);
    const startedMs = this.clock.monotonicMs();
    const result = await this.service.call(message, call.abort.signal);
    const endedMs = this.clock.monotonicMs();
    this.running.delete(message.attempt);
    const reply = resultMessage(message.attempt, result);
    if (message.submission) {
      this.gate.finish(message.attempt, endedMs);
      this.answers.set(message.attempt, reply);
    }
    this.usages.fire({
      organisation: message.organisation,
      service: message.service,
      revision: message.revision,
      durationMs: endedMs - startedMs,
    });
    call.recipients.forEach((recipient) => recipient(reply));
  }
}

function refused(attempt: string, reason: FailureReason): CallResultMessage {
  return { kind: MessageKind.CallResult, attempt, reason, run: RunState.NotRun };
}

function resultMessage(
  attempt: string,
  result: Result<ServiceAnswer, ServiceCallError>,
): CallResultMessage {
  return result.isOk()
    ? { kind: MessageKind.CallResult, attempt, answer: result.value, run: RunState.Ran }
    : {
        kind: MessageKind.CallResult,
        attempt,
        reason: FailureReason.EngineFailed,
        run: result.error.run,
      };
}
