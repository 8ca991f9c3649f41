import type { IClock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import {
  FailureReason,
  MessageKind,
  type AttemptFailedMessage,
  type AttemptSpec,
  type LinkMessage,
  type ResumeMessage,
  type StartMessage,
  type StepMessage,
  type TokenMessage,
} from '../../../services/link/common/messages.js';
import type { AcceleratorKind } from '../../../services/model/common/model.js';
import { RunState } from '../../../services/problem/common/problem.js';
import { AdmitOutcome, type AttemptGate } from '../../gate/common/attemptGate.js';
import type { EngineOutput, IStageEngine, IStageLinks } from './stageContracts.js';
import { StepDecision, StepSequencer, type ArrivedStep } from './stepSequencer.js';

interface StepInput {
  readonly prompt?: string;
  readonly data: readonly number[];
}

interface AttemptRecord {
  spec: AttemptSpec;
  /**
   * Entries that receive the tokens: the one that started the attempt, and those that resumed it
   * after the caller had reconnected.
   */
  readonly entries: Set<string>;
  stage: number;
  expiresMs: number;
  readonly sequencer: StepSequencer<StepInput>;
  /** Latest step message for the next stage; kept so that it can be resent. */
  lastSent?: StepMessage;
  /** Tokens generated in the current epoch; filled at the last stage only. */
  tokens: TokenMessage[];
  /** Number of steps completed in the current epoch. */
  stepsRun: number;
  hasEnded: boolean;
}

interface CancelledEpoch {
  readonly epoch: number;
  readonly expiresMs: number;
}

/** Usage of one step, for the cost records. */
export interface StageUsage {
  readonly organisation: string;
  readonly model: string;
  readonly revision: number;
  /** Number of layers times number of positions processed. */
  readonly layerTokens: number;
  /** Price of the work, in micro-units. */
  readonly micros: number;
  /** Number of tokens generated; non-zero at the last stage only. */
  readonly tokens: number;
}

/** Settings of a stage runner. */
export interface StageRunnerOptions {
  readonly endpoint: string;
  readonly incarnation: string;
  /** Returns the maximum number of attempts in progress. */
  readonly capacity: () => number;
  /** Returns the kind of the engine's accelerator. */
  readonly accelerator: () => AcceleratorKind;
  /**
   * Time for which the tokens of a finished attempt are kept, in milliseconds. Those of a lookup are
   * deleted earlier, when its entry cancels it.
   */
  readonly answerRetentionMs: number;
}

/** Retention time of a cancelled epoch, in milliseconds; longer than any request takes. */
const cancelledEpochRetentionMs = 180_000;

/**
 * Number of steps that a suspect request (one that may crash the engine) must complete before
 * another suspect is accepted. It exceeds the number of steps after which the entries clear a
 * suspect; otherwise a crash caused by the other request would still count against the first.
 */
const suspectIsolationSteps = 8;

/** Weight of the newest sample in the moving average of the step time. */
const stepTimeSmoothingFactor = 0.1;

/** Time from an attempt's deadline to the removal of its record, in milliseconds. */
const expiryGraceMs = 5_000;

/**
 * Runs this endpoint's pipeline stage for every attempt whose chain includes the endpoint.
 *
 * The public methods take the messages from other processes, and outputs are sent over the links.
 * Calls to the engine are the only asynchronous operations.
 */
export class StageRunner {
  private readonly attempts = new Map<string, AttemptRecord>();

  /** Cancelled epochs by attempt, so that steps that arrive late do not run. */
  private readonly cancelledEpochs = new Map<string, CancelledEpoch>();

  private readonly usageEmitter = new Emitter<StageUsage>();

  private smoothedStepMicros = 0;

  private isDraining = false;

  private isPaused = false;

  /** Fires with the usage of each step that the engine completed. */
  readonly onDidRecordUsage = this.usageEmitter.event;

  /**
   * @param options - Identity and limits.
   * @param engine - Model engine of this endpoint.
   * @param links - Links to other agents and to entries.
   * @param gate - Admits each submission at most once.
   * @param clock - Time source.
   */
  constructor(
    private readonly options: StageRunnerOptions,
    private readonly engine: IStageEngine,
    private readonly links: IStageLinks,
    private readonly gate: AttemptGate,
    private readonly clock: IClock,
  ) {}

  /** Number of attempts in progress at this stage. */
  get activeCount(): number {
    let count = 0;
    for (const record of this.attempts.values()) {
      count += record.hasEnded ? 0 : 1;
    }
    return count;
  }

  /** Moving average of the engine's time per decode step, in microseconds; 0 if unknown. */
  get stepMicros(): number {
    return Math.round(this.smoothedStepMicros);
  }

  /** Refuses new attempts from now on; attempts in progress continue. */
  drain(): void {
    this.isDraining = true;
  }

  /** Aborts the attempts in progress, so that their entries continue them elsewhere. */
  stop(): void {
    for (const record of [...this.attempts.values()]) {
      if (!record.hasEnded) {
        this.abortEpoch(record.spec, FailureReason.Leaving);
      }
    }
  }

  /**
   * Pauses or resumes the admission of new attempts, so that the engine can load other layers.
   * Attempts in progress continue.
   *
   * @param isPaused - True to refuse new attempts, false to accept them again.
   */
  setPaused(isPaused: boolean): void {
    this.isPaused = isPaused;
  }

  /**
   * Starts an attempt, or a new epoch of one, at the first stage.
   *
   * @param message - Attempt, its prompt, and the tokens that earlier epochs delivered.
   */
  start(message: StartMessage): void {
    const { spec } = message;
    if (this.isCancelled(spec.attempt, spec.epoch)) {
      return;
    }
    const refusal = this.refusalReasonOf(spec);
    if (refusal !== undefined) {
      this.reportFailure(spec, refusal, RunState.NotRun);
      return;
    }
    if (spec.submission && !this.admitSubmission(spec)) {
      return;
    }
    const record = this.ensureRecord(spec, 0);
    const input = { prompt: message.prompt, data: message.delivered };
    this.processStep(record, { epoch: spec.epoch, step: message.delivered.length, input }, true);
  }

  /**
   * Handles a step from the previous stage or, at the first stage, a token from the last stage.
   *
   * @param message - Step to run.
   */
  handleStep(message: StepMessage): void {
    if (this.isCancelled(message.attempt, message.epoch)) {
      return;
    }
    const existing = this.attempts.get(message.attempt);
    if (message.spec && this.hasOtherSuspect(message.spec)) {
      this.reportFailure(message.spec, FailureReason.Busy, RunState.Ran);
      return;
    }
    const record = message.spec ? this.ensureRecord(message.spec, message.stage) : existing;
    if (record === undefined || record.hasEnded) {
      return;
    }
    const arrived = { epoch: message.epoch, step: message.step, input: { data: message.data } };
    this.processStep(record, arrived, message.spec !== undefined);
  }

  /**
   * Resends the tokens of an attempt from a given step on, and sends later ones to the entry too.
   *
   * @param message - Attempt, first step to resend, and the entry that receives the tokens.
   */
  resume(message: ResumeMessage): void {
    const record = this.attempts.get(message.attempt);
    if (record === undefined) {
      this.links.sendToEntry(
        message.entry,
        this.createFailureMessage(message, FailureReason.UnknownAttempt),
      );
      return;
    }
    record.entries.add(message.entry);
    record.tokens
      .filter((token) => token.step >= message.fromStep)
      .forEach((token) => this.links.sendToEntry(message.entry, token));
  }

  /**
   * Cancels an epoch of an attempt and frees its sequence in the engine.
   *
   * @param attempt - Identifier of the attempt.
   * @param epoch - Epoch to cancel, with all before it; a newer epoch continues.
   * @param relay - True to relay the cancellation from stage to stage, so that it does not depend on
   *   an entry.
   */
  cancel(attempt: string, epoch: number, relay = false): void {
    const nowMs = this.clock.monotonicMs();
    if (!this.isCancelled(attempt, epoch)) {
      this.cancelledEpochs.set(attempt, { epoch, expiresMs: nowMs + cancelledEpochRetentionMs });
    }
    const record = this.attempts.get(attempt);
    if (record === undefined || record.spec.epoch > epoch) {
      return;
    }
    this.engine.freeSequence(sequenceIdOf(record.spec));
    this.gate.finish(attempt, nowMs);
    const isAnswerKept = record.spec.submission && record.hasEnded;
    if (!isAnswerKept) {
      this.attempts.delete(attempt);
    }
    if (relay && !record.hasEnded) {
      const { submission } = record.spec;
      const message = { kind: MessageKind.Cancel, attempt, epoch, submission, relay } as const;
      this.links.sendToStage(nextStageOf(record), message);
    }
  }

  /**
   * Handles the loss of an entry: cancels the lookups whose tokens no other entry receives.
   * Submissions continue, so that their answers are kept.
   *
   * @param entry - Instance id of the entry.
   */
  handleEntryLost(entry: string): void {
    for (const [attempt, record] of [...this.attempts]) {
      record.entries.delete(entry);
      if (record.entries.size === 0 && !record.spec.submission) {
        this.cancel(attempt, record.spec.epoch);
      }
    }
  }

  /**
   * Handles the loss of another agent: aborts the attempts whose next stage ran there and reports
   * the failure to their entries.
   *
   * @param incarnation - Incarnation of the lost agent.
   */
  handleStageLost(incarnation: string): void {
    for (const record of [...this.attempts.values()]) {
      if (!record.hasEnded && nextStageOf(record).incarnation === incarnation) {
        this.abortEpoch(record.spec, FailureReason.StageLost);
      }
    }
  }

  /**
   * Handles a new link to another agent: resends the latest outputs for the stages that it runs.
   *
   * @param incarnation - Incarnation of the agent.
   */
  handleStageRestored(incarnation: string): void {
    for (const record of this.attempts.values()) {
      const next = nextStageOf(record);
      if (!record.hasEnded && record.lastSent && next.incarnation === incarnation) {
        this.links.sendToStage(next, record.lastSent);
      }
    }
  }

  /** Removes the records of attempts and of cancelled epochs that have expired. */
  removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [attempt, record] of [...this.attempts]) {
      if (record.expiresMs < nowMs) {
        this.engine.freeSequence(sequenceIdOf(record.spec));
        this.attempts.delete(attempt);
      }
    }
    for (const [attempt, { expiresMs }] of this.cancelledEpochs) {
      if (expiresMs < nowMs) {
        this.cancelledEpochs.delete(attempt);
      }
    }
  }

  private isCancelled(attempt: string, epoch: number): boolean {
    return epoch <= (this.cancelledEpochs.get(attempt)?.epoch ?? 0);
  }

  private refusalReasonOf(spec: AttemptSpec): FailureReason | undefined {
    if (spec.chain[0]?.incarnation !== this.options.incarnation) {
      return FailureReason.WrongIncarnation;
    }
    if (this.hasOtherSuspect(spec)) {
      return FailureReason.Busy;
    }
    if (this.attempts.has(spec.attempt)) {
      return undefined;
    }
    if (this.isDraining) {
      return FailureReason.Leaving;
    }
    if (this.isPaused) {
      return FailureReason.NotLoaded;
    }
    return this.activeCount >= this.options.capacity() ? FailureReason.Busy : undefined;
  }

  /**
   * For a suspect request (one that may crash the engine), returns true if another suspect has
   * completed fewer than {@link suspectIsolationSteps} steps.
   */
  private hasOtherSuspect(spec: AttemptSpec): boolean {
    if (!spec.suspect) {
      return false;
    }
    return [...this.attempts.values()].some(
      (record) =>
        record.spec.suspect &&
        !record.hasEnded &&
        record.stepsRun < suspectIsolationSteps &&
        record.spec.attempt !== spec.attempt,
    );
  }

  private admitSubmission(spec: AttemptSpec): boolean {
    const outcome = this.gate.admit(spec.attempt, this.clock.monotonicMs());
    if (outcome === AdmitOutcome.Sealed) {
      this.reportFailure(spec, FailureReason.Sealed, RunState.NotRun);
    }
    return outcome === AdmitOutcome.Admitted;
  }

  private ensureRecord(spec: AttemptSpec, stage: number): AttemptRecord {
    const expiresMs = this.clock.monotonicMs() + spec.remainingMs + expiryGraceMs;
    const existing = this.attempts.get(spec.attempt);
    if (existing === undefined) {
      const sequencer = new StepSequencer<StepInput>();
      const record: AttemptRecord = {
        spec,
        stage,
        entries: new Set([spec.entry]),
        expiresMs,
        sequencer,
        tokens: [],
        stepsRun: 0,
        hasEnded: false,
      };
      this.attempts.set(spec.attempt, record);
      return record;
    }
    if (spec.epoch > existing.spec.epoch) {
      this.engine.freeSequence(sequenceIdOf(existing.spec));
      Object.assign(existing, {
        spec,
        stage,
        expiresMs,
        lastSent: undefined,
        tokens: [],
        stepsRun: 0,
        hasEnded: false,
      });
    }
    return existing;
  }

  private processStep(
    record: AttemptRecord,
    arrived: ArrivedStep<StepInput>,
    isFirstStep: boolean,
  ): void {
    const decision = record.sequencer.accept(arrived, isFirstStep);
    if (decision === StepDecision.Run) {
      void this.runStep(record, arrived, record.spec, isFirstStep);
    } else if (decision === StepDecision.Resend && record.lastSent) {
      this.links.sendToStage(nextStageOf(record), record.lastSent);
    }
  }

  private async runStep(
    record: AttemptRecord,
    arrived: ArrivedStep<StepInput>,
    spec: AttemptSpec,
    isFirstStep: boolean,
  ): Promise<void> {
    const startedMs = this.clock.monotonicMs();
    const result = await this.engine.run({
      sequence: sequenceIdOf(spec),
      model: spec.model,
      range: spec.chain[record.stage].range,
      step: arrived.step,
      first: isFirstStep,
      ...arrived.input,
      last: record.stage === spec.chain.length - 1,
      priority: spec.priority,
    });
    if (result.isOk() && !isFirstStep) {
      const sampleMicros = (this.clock.monotonicMs() - startedMs) * 1_000;
      this.smoothedStepMicros += (sampleMicros - this.smoothedStepMicros) * stepTimeSmoothingFactor;
    }
    const isCurrent = record.sequencer.finish(arrived.epoch, arrived.step);
    if (!isCurrent || this.isCancelled(spec.attempt, spec.epoch)) {
      return;
    }
    if (result.isErr()) {
      const { crash } = result.error;
      const reason = crash === undefined ? FailureReason.StepRefused : FailureReason.EngineFailed;
      this.abortEpoch(spec, reason, crash);
      return;
    }
    record.stepsRun += 1;
    this.recordUsage(record, arrived, result.value);
    this.forwardOutput(record, arrived.step, result.value);
    const held = record.sequencer.takeHeld();
    if (held) {
      this.processStep(record, held, false);
    }
  }

  private forwardOutput(record: AttemptRecord, step: number, output: EngineOutput): void {
    const { spec, stage } = record;
    const isLastStage = stage === spec.chain.length - 1;
    if (isLastStage && this.sendToken(record, step, output)) {
      return;
    }
    const message: StepMessage = {
      kind: MessageKind.Step,
      attempt: spec.attempt,
      epoch: spec.epoch,
      stage: isLastStage ? 0 : stage + 1,
      step: isLastStage ? step + 1 : step,
      data: isLastStage ? [output.token ?? 0] : output.data,
      spec: record.lastSent === undefined && !isLastStage ? spec : undefined,
    };
    record.lastSent = message;
    this.links.sendToStage(nextStageOf(record), message);
  }

  /** Sends a token to the entries; returns true if it is the last token of the answer. */
  private sendToken(record: AttemptRecord, step: number, output: EngineOutput): boolean {
    const { spec } = record;
    const isLastToken = output.end === true || step + 1 >= spec.maxTokens;
    const token: TokenMessage = {
      kind: MessageKind.Token,
      attempt: spec.attempt,
      epoch: spec.epoch,
      step,
      token: output.token ?? 0,
      text: output.text ?? '',
      end: isLastToken,
    };
    record.tokens.push(token);
    this.sendToEntries(record, token);
    if (isLastToken) {
      record.hasEnded = true;
      record.expiresMs = this.clock.monotonicMs() + this.options.answerRetentionMs;
      this.engine.freeSequence(sequenceIdOf(spec));
    }
    return isLastToken;
  }

  private recordUsage(
    record: AttemptRecord,
    arrived: ArrivedStep<StepInput>,
    output: EngineOutput,
  ): void {
    const { range } = record.spec.chain[record.stage];
    const positions = arrived.input.data.length + (arrived.input.prompt?.length ?? 0);
    const layerTokens = positions * (range.to - range.from);
    this.usageEmitter.fire({
      organisation: record.spec.organisation,
      model: record.spec.model,
      revision: record.spec.revision,
      layerTokens,
      micros: (layerTokens * record.spec.prices[this.options.accelerator()]) / 1_000,
      tokens: output.token === undefined ? 0 : 1,
    });
  }

  /**
   * Aborts an epoch that cannot continue. The cancellation is relayed from stage to stage, so that
   * the epoch ends at all of them even if its entry is gone.
   */
  private abortEpoch(spec: AttemptSpec, reason: FailureReason, crash?: string): void {
    this.reportFailure(spec, reason, RunState.Ran, crash);
    this.cancel(spec.attempt, spec.epoch, true);
  }

  private reportFailure(
    spec: AttemptSpec,
    reason: FailureReason,
    run: RunState,
    crash?: string,
  ): void {
    const message = { ...this.createFailureMessage(spec, reason), run, crash };
    const record = this.attempts.get(spec.attempt);
    if (record) {
      this.sendToEntries(record, message);
    } else {
      this.links.sendToEntry(spec.entry, message);
    }
  }

  private sendToEntries(record: AttemptRecord, message: LinkMessage): void {
    record.entries.forEach((entry) => this.links.sendToEntry(entry, message));
  }

  private createFailureMessage(
    epochKey: { readonly attempt: string; readonly epoch: number },
    reason: FailureReason,
  ): AttemptFailedMessage {
    return {
      kind: MessageKind.AttemptFailed,
      attempt: epochKey.attempt,
      epoch: epochKey.epoch,
      reason,
      run: RunState.Unknown,
      endpoint: this.options.endpoint,
    };
  }
}

function sequenceIdOf(spec: AttemptSpec): string {
  return `${spec.attempt}/${spec.epoch}`;
}

function nextStageOf(record: AttemptRecord) {
  const { chain } = record.spec;
  return chain[(record.stage + 1) % chain.length];
}
