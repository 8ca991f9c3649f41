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

/** Failure of a call to the plain service before its complete answer arrived. */
export class ServiceCallError extends IbissparError {
  readonly code = 'service-call-failed';

  /**
   * @param message - Description of the failure.
   * @param run - Whether the call ran; `NotRun` only if the request never reached the service.
   */
  constructor(
    message: string,
    readonly run: RunState,
  ) {
    super(message);
  }
}

/** Plain service of an endpoint. */
export interface IPlainService {
  /** Sends one call; never retries it. */
  call(message: CallMessage, signal: AbortSignal): Promise<Result<ServiceAnswer, ServiceCallError>>;
}

/** Sends a reply over the link on which the entry's message arrived. */
export type SendToEntry = (message: LinkMessage) => void;

/** Usage of one call, for the cost records. */
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
  readonly abortController: AbortController;
}

/** Runs plain-service calls. Each submission runs at most once, and its answer is kept. */
export class CallRunner {
  private readonly runningCalls = new Map<string, RunningCall>();

  private readonly keptAnswers = new Map<string, CallResultMessage>();

  private readonly usageEmitter = new Emitter<CallUsage>();

  private isDraining = false;

  /** Fires with the usage of each call that has ended. */
  readonly onDidRecordUsage = this.usageEmitter.event;

  /**
   * @param options - Identity and limits.
   * @param service - Plain service of this endpoint.
   * @param gate - Admits each submission at most once.
   * @param clock - Time source.
   */
  constructor(
    private readonly options: CallRunnerOptions,
    private readonly service: IPlainService,
    private readonly gate: AttemptGate,
    private readonly clock: IClock,
  ) {}

  /** Number of calls in progress. */
  get activeCount(): number {
    return this.runningCalls.size;
  }

  /** Refuses new calls from now on; calls in progress continue. */
  drain(): void {
    this.isDraining = true;
  }

  /** Gives up the calls in progress; each is answered as one that may have run. */
  stop(): void {
    this.runningCalls.forEach(({ abortController }) => abortController.abort());
  }

  /**
   * Runs a call, or refuses it. A submission that was admitted before does not run again; its
   * answer is sent once it is known.
   *
   * @param message - Call to run.
   * @param send - Receives the answer or the refusal.
   */
  call(message: CallMessage, send: SendToEntry): void {
    const refusal = this.refusalReasonOf(message);
    if (refusal !== undefined) {
      send(createRefusalMessage(message.attempt, refusal));
      return;
    }
    if (message.submission) {
      const outcome = this.gate.admit(message.attempt, this.clock.monotonicMs());
      if (outcome === AdmitOutcome.Sealed) {
        send(createRefusalMessage(message.attempt, FailureReason.Sealed));
        return;
      }
      if (outcome === AdmitOutcome.Repeated) {
        this.sendAnswerWhenReady(message.attempt, send);
        return;
      }
    }
    void this.runCall(message, send);
  }

  /**
   * Seals an attempt, so that it can no longer start here. If it is running or has run, its answer
   * is sent after the outcome, at once or when the call ends.
   *
   * @param message - Attempt, and the incarnation of the agent to which it was sent.
   * @param send - Receives the outcome, and the answer if there is one.
   */
  seal(message: SealMessage, send: SendToEntry): void {
    const outcome =
      message.incarnation === this.options.incarnation
        ? this.gate.seal(message.attempt, this.clock.monotonicMs())
        : SealOutcome.IncarnationGone;
    send({ kind: MessageKind.SealResult, attempt: message.attempt, outcome });
    if (outcome === SealOutcome.Running || outcome === SealOutcome.Ran) {
      this.sendAnswerWhenReady(message.attempt, send);
    }
  }

  /**
   * Cancels a lookup; an admitted submission continues to its end.
   *
   * @param attempt - Identifier of the attempt.
   * @param submission - True if the attempt is a submission.
   */
  cancel(attempt: string, submission: boolean): void {
    if (!submission) {
      this.runningCalls.get(attempt)?.abortController.abort();
    }
  }

  /**
   * Deletes kept answers.
   *
   * @param attempts - Attempts whose answers are no longer needed.
   */
  dropAnswers(attempts: readonly string[]): void {
    attempts.forEach((attempt) => this.keptAnswers.delete(attempt));
  }

  private refusalReasonOf(message: CallMessage): FailureReason | undefined {
    if (message.incarnation !== this.options.incarnation) {
      return FailureReason.WrongIncarnation;
    }
    if (this.runningCalls.has(message.attempt) || this.keptAnswers.has(message.attempt)) {
      return undefined;
    }
    if (this.isDraining) {
      return FailureReason.Leaving;
    }
    return this.runningCalls.size >= this.options.capacity ? FailureReason.Busy : undefined;
  }

  private sendAnswerWhenReady(attempt: string, send: SendToEntry): void {
    const answer = this.keptAnswers.get(attempt);
    if (answer) {
      send(answer);
    } else {
      this.runningCalls.get(attempt)?.recipients.add(send);
    }
  }

  private async runCall(message: CallMessage, send: SendToEntry): Promise<void> {
    const call = { recipients: new Set([send]), abortController: new AbortController() };
    this.runningCalls.set(message.attempt, call);
    const startedMs = this.clock.monotonicMs();
    const result = await this.service.call(message, call.abortController.signal);
    const endedMs = this.clock.monotonicMs();
    this.runningCalls.delete(message.attempt);
    const reply = createResultMessage(message.attempt, result);
    if (message.submission) {
      this.gate.finish(message.attempt, endedMs);
      this.keptAnswers.set(message.attempt, reply);
    }
    this.usageEmitter.fire({
      organisation: message.organisation,
      service: message.service,
      revision: message.revision,
      durationMs: endedMs - startedMs,
    });
    call.recipients.forEach((recipient) => recipient(reply));
  }
}

function createRefusalMessage(attempt: string, reason: FailureReason): CallResultMessage {
  return { kind: MessageKind.CallResult, attempt, reason, run: RunState.NotRun };
}

function createResultMessage(
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
