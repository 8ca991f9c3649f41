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
  /** Entries that receive the tokens: the first, and those through which the caller came back. */
  readonly entries: Set<string>;
  stage: number;
  expiresMs: number;
  readonly sequencer: StepSequencer<StepInput>;
  /** Newest output for the next stage, kept in case it must be sent again. */
  lastSent?: StepMessage;
  /** Tokens of the current epoch; only at the last stage. */
  tokens: TokenMessage[];
  /** Steps that ran in the current epoch. */
  stepsRun: number;
  ended: boolean;
}

interface CancelledEpoch {
  readonly epoch: number;
  readonly expiresMs: number;
}

/** Work that the agent counted for the cost record. */
export interface StageUsage {
  readonly organisation: string;
  readonly model: string;
  readonly revision: number;
  /** Layers times positions that ran. */
  readonly layerTokens: number;
  /** Price of the work, in micro-units. */
  readonly micros: number;
  /** Tokens generated; non-zero at the last stage only. */
  readonly tokens: number;
}

/** Settings of a stage runner. */
export interface StageRunnerOptions {
  readonly endpoint: string;
  readonly incarnation: string;
  /** Returns the most attempts that may be active at once. */
  readonly capacity: () => number;
  /** Returns the kind of the engine's accelerator. */
  readonly accelerator: () => AcceleratorKind;
  /** Time for which a submission's tokens are kept after its end, in milliseconds. */
  readonly keepMs: number;
}

/** Time for which a cancelled epoch is remembered; longer than any request, in milliseconds. */
const cancelMemoryMs = 180_000;

/**
 * Steps after which a request that may crash the engine no longer keeps others away; more than the
 * entries need to clear it, or a crash would still count against it.
 */
const suspectSteps = 8;

/** Weight of the newest sample in the smoothed time of a step. */
const stepSmoothing = 0.1;

/** Grace after an attempt's deadline before its record is dropped, in milliseconds. */
const expiryGraceMs = 5_000;

/**
 * Runs this endpoint's stage of every attempt that comes through it.
 *
 * Input arrives as messages; output leaves through the links. The engine's answers are the only
 * waits.
 */
export class StageRunner {
  private readonly attempts = new Map<string, AttemptRecord>();

  /** Epochs that were cancelled, so that steps that come late do not run again. */
  private readonly cancelled = new Map<string, CancelledEpoch>();

  private readonly usages = new Emitter<StageUsage>();

  private smoothedStepMicros = 0;

  private leaving = false;

  private paused = false;

  /** Fires when the engine ran a step. */
  readonly onDidUse = this.usages.event;

  /**
   * @param options - Identity and limits.
   * @param engine - The engine beside the agent.
   * @param links - Links to other agents and to entries.
   * @param gate - Decides which submissions run.
   * @param clock - Source of time.
   */
  constructor(
    private readonly options: StageRunnerOptions,
    private readonly engine: IStageEngine,
    private readonly links: IStageLinks,
    private readonly gate: AttemptGate,
    private readonly clock: IClock,
  ) {}

  /** Number of attempts that are running through this stage. */
  get active(): number {
    let count = 0;
    for (const record of this.attempts.values()) {
      count += record.ended ? 0 : 1;
    }
    return count;
  }

  /** Smoothed time that the engine took for one token lately, in microseconds; 0 if unknown. */
  get stepMicros(): number {
    return Math.round(this.smoothedStepMicros);
  }

  /** Refuses attempts that arrive from now on; those under way go on. */
  drain(): void {
    this.leaving = true;
  }

  /**
   * Refuses new attempts for a while, so that the engine can load other layers.
   *
   * @param paused - True to refuse, false to take attempts again.
   */
  pause(paused: boolean): void {
    this.paused = paused;
  }

  /**
   * Starts an attempt, or a new epoch of one, at the first stage.
   *
   * @param message - The start.
   */
  start(message: StartMessage): void {
    const { spec } = message;
    if (this.isCancelled(spec.attempt, spec.epoch)) {
      return;
    }
    const refusal = this.refusalOf(spec);
    if (refusal !== undefined) {
      this.fail(spec, refusal, RunState.NotRun);
      return;
    }
    if (spec.submission && !this.admitSubmission(spec)) {
      return;
    }
    const record = this.recordOf(spec, 0);
    const input = { prompt: message.prompt, data: message.delivered };
    this.arrive(record, { epoch: spec.epoch, step: message.delivered.length, input }, true);
  }

  /**
   * Takes a step from the stage before, or a token from the last stage.
   *
   * @param message - The step.
   */
  step(message: StepMessage): void {
    if (this.isCancelled(message.attempt, message.epoch)) {
      return;
    }
    const known = this.attempts.get(message.attempt);
    if (message.spec && this.hasOtherSuspect(message.spec)) {
      this.fail(message.spec, FailureReason.Busy, RunState.Ran);
      return;
    }
    const record = message.spec ? this.recordOf(message.spec, message.stage) : known;
    if (record === undefined || record.ended) {
      return;
    }
    const arrived = { epoch: message.epoch, step: message.step, input: { data: message.data } };
    this.arrive(record, arrived, message.spec !== undefined);
  }

  /**
   * Sends the tokens of an attempt again from a step on.
   *
   * @param message - From where, and to which entry.
   */
  resume(message: ResumeMessage): void {
    const record = this.attempts.get(message.attempt);
    if (record === undefined) {
      this.links.toEntry(message.entry, this.failure(message, FailureReason.UnknownAttempt));
      return;
    }
    record.entries.add(message.entry);
    record.tokens
      .filter((token) => token.step >= message.fromStep)
      .forEach((token) => this.links.toEntry(message.entry, token));
  }

  /**
   * Ends an attempt's epoch and frees its sequence.
   *
   * @param attempt - Identifier of the attempt.
   * @param epoch - Epoch that ends; a newer one goes on.
   * @param relay - True to tell the next stage, whether or not an entry does.
   */
  cancel(attempt: string, epoch: number, relay = false): void {
    const nowMs = this.clock.monotonicMs();
    if (!this.isCancelled(attempt, epoch)) {
      this.cancelled.set(attempt, { epoch, expiresMs: nowMs + cancelMemoryMs });
    }
    const record = this.attempts.get(attempt);
    if (record === undefined || record.spec.epoch > epoch) {
      return;
    }
    this.engine.drop(sequenceOf(record.spec));
    this.gate.finish(attempt, nowMs);
    const keepsAnswer = record.spec.submission && record.ended;
    if (!keepsAnswer) {
      this.attempts.delete(attempt);
    }
    if (relay && !record.ended) {
      const { submission } = record.spec;
      const message = { kind: MessageKind.Cancel, attempt, epoch, submission, relay } as const;
      this.links.toStage(nextStageOf(record), message);
    }
  }

  /**
   * Cancels the lookups of an entry that is gone; submissions run on so that their answers are kept.
   *
   * @param entry - Instance id of the entry.
   */
  entryLost(entry: string): void {
    for (const [attempt, record] of [...this.attempts]) {
      record.entries.delete(entry);
      if (record.entries.size === 0 && !record.spec.submission) {
        this.cancel(attempt, record.spec.epoch);
      }
    }
  }

  /**
   * Tells the entries that the next stage of their attempts is gone.
   *
   * @param incarnation - Incarnation of the lost agent.
   */
  stageLost(incarnation: string): void {
    for (const record of [...this.attempts.values()]) {
      if (!record.ended && nextStageOf(record).incarnation === incarnation) {
        this.abort(record.spec, FailureReason.StageLost);
      }
    }
  }

  /**
   * Sends the newest outputs again to an agent whose link was replaced.
   *
   * @param incarnation - Incarnation of the agent.
   */
  stageRestored(incarnation: string): void {
    for (const record of this.attempts.values()) {
      const next = nextStageOf(record);
      if (!record.ended && record.lastSent && next.incarnation === incarnation) {
        this.links.toStage(next, record.lastSent);
      }
    }
  }

  /** Drops the records of attempts that are past their deadline. */
  expire(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [attempt, record] of [...this.attempts]) {
      if (record.expiresMs < nowMs) {
        this.engine.drop(sequenceOf(record.spec));
        this.attempts.delete(attempt);
      }
    }
    for (const [attempt, { expiresMs }] of this.cancelled) {
      if (expiresMs < nowMs) {
        this.cancelled.delete(attempt);
      }
    }
  }

  private isCancelled(attempt: string, epoch: number): boolean {
    return epoch <= (this.cancelled.get(attempt)?.epoch ?? 0);
  }

  private refusalOf(spec: AttemptSpec): FailureReason | undefined {
    if (spec.chain[0]?.incarnation !== this.options.incarnation) {
      return FailureReason.WrongIncarnation;
    }
    if (this.hasOtherSuspect(spec)) {
      return FailureReason.Busy;
    }
    if (this.attempts.has(spec.attempt)) {
      return undefined;
    }
    if (this.leaving) {
      return FailureReason.Leaving;
    }
    if (this.paused) {
      return FailureReason.NotLoaded;
    }
    return this.active >= this.options.capacity() ? FailureReason.Busy : undefined;
  }

  /** Tells whether another request that may crash the engine has not yet got past its first steps. */
  private hasOtherSuspect(spec: AttemptSpec): boolean {
    if (!spec.suspect) {
      return false;
    }
    return [...this.attempts.values()].some(
      (record) =>
        record.spec.suspect &&
        !record.ended &&
        record.stepsRun < suspectSteps &&
        record.spec.attempt !== spec.attempt,
    );
  }

  private admitSubmission(spec: AttemptSpec): boolean {
    const outcome = this.gate.admit(spec.attempt, this.clock.monotonicMs());
    if (outcome === AdmitOutcome.Sealed) {
      this.fail(spec, FailureReason.Sealed, RunState.NotRun);
    }
    return outcome === AdmitOutcome.Admitted;
  }

  private recordOf(spec: AttemptSpec, stage: number): AttemptRecord {
    const expiresMs = this.clock.monotonicMs() + spec.remainingMs + expiryGraceMs;
    const known = this.attempts.get(spec.attempt);
    if (known === undefined) {
      const sequencer = new StepSequencer<StepInput>();
      const record: AttemptRecord = {
        spec,
        stage,
        entries: new Set([spec.entry]),
        expiresMs,
        sequencer,
        tokens: [],
        stepsRun: 0,
        ended: false,
      };
      this.attempts.set(spec.attempt, record);
      return record;
    }
    if (spec.epoch > known.spec.epoch) {
      this.engine.drop(sequenceOf(known.spec));
      Object.assign(known, {
        spec,
        stage,
        expiresMs,
        lastSent: undefined,
        tokens: [],
        stepsRun: 0,
        ended: false,
      });
    }
    return known;
  }

  private arrive(record: AttemptRecord, arrived: ArrivedStep<StepInput>, first: boolean): void {
    const decision = record.sequencer.accept(arrived, first);
    if (decision === StepDecision.Run) {
      void this.run(record, arrived, record.spec, first);
    } else if (decision === StepDecision.Resend && record.lastSent) {
      this.links.toStage(nextStageOf(record), record.lastSent);
    }
  }

  private async run(
    record: AttemptRecord,
    arrived: ArrivedStep<StepInput>,
    spec: AttemptSpec,
    first: boolean,
  ): Promise<void> {
    const startedMs = this.clock.monotonicMs();
    const result = await this.engine.run({
      sequence: sequenceOf(spec),
      model: spec.model,
      range: spec.chain[record.stage].range,
      step: arrived.step,
      first,
      ...arrived.input,
      last: record.stage === spec.chain.length - 1,
      priority: spec.priority,
    });
    if (result.isOk() && !first) {
      const sampleMicros = (this.clock.monotonicMs() - startedMs) * 1_000;
      this.smoothedStepMicros += (sampleMicros - this.smoothedStepMicros) * stepSmoothing;
    }
    const isCurrent = record.sequencer.finish(arrived.epoch, arrived.step);
    if (!isCurrent || this.isCancelled(spec.attempt, spec.epoch)) {
      return;
    }
    if (result.isErr()) {
      const { crash } = result.error;
      const reason = crash === undefined ? FailureReason.StepRefused : FailureReason.EngineFailed;
      this.abort(spec, reason, crash);
      return;
    }
    record.stepsRun += 1;
    this.countUsage(record, arrived, result.value);
    this.forward(record, arrived.step, result.value);
    const held = record.sequencer.takeHeld();
    if (held) {
      this.arrive(record, held, false);
    }
  }

  private forward(record: AttemptRecord, step: number, output: EngineOutput): void {
    const { spec, stage } = record;
    const last = stage === spec.chain.length - 1;
    if (last && this.deliver(record, step, output)) {
      return;
    }
    const message: StepMessage = {
      kind: MessageKind.Step,
      attempt: spec.attempt,
      epoch: spec.epoch,
      stage: last ? 0 : stage + 1,
      step: last ? step + 1 : step,
      data: last ? [output.token ?? 0] : output.data,
      spec: record.lastSent === undefined && !last ? spec : undefined,
    };
    record.lastSent = message;
    this.links.toStage(nextStageOf(record), message);
  }

  /** Sends a token to the entry; returns true if it ended the answer. */
  private deliver(record: AttemptRecord, step: number, output: EngineOutput): boolean {
    const { spec } = record;
    const end = output.end === true || step + 1 >= spec.maxTokens;
    const token: TokenMessage = {
      kind: MessageKind.Token,
      attempt: spec.attempt,
      epoch: spec.epoch,
      step,
      token: output.token ?? 0,
      text: output.text ?? '',
      end,
    };
    record.tokens.push(token);
    this.toEntries(record, token);
    if (end) {
      record.ended = true;
      record.expiresMs = this.clock.monotonicMs() + this.options.keepMs;
      this.engine.drop(sequenceOf(spec));
    }
    return end;
  }

  private countUsage(
    record: AttemptRecord,
    arrived: ArrivedStep<StepInput>,
    output: EngineOutput,
  ): void {
    const { range } = record.spec.chain[record.stage];
    const positions = arrived.input.data.length + (arrived.input.prompt?.length ?? 0);
    const layerTokens = positions * (range.to - range.from);
    this.usages.fire({
      organisation: record.spec.organisation,
      model: record.spec.model,
      revision: record.spec.revision,
      layerTokens,
      micros: (layerTokens * record.spec.prices[this.options.accelerator()]) / 1_000,
      tokens: output.token === undefined ? 0 : 1,
    });
  }

  /** Ends an epoch that cannot go on, here and at the other stages, even if its entry is gone. */
  private abort(spec: AttemptSpec, reason: FailureReason, crash?: string): void {
    this.fail(spec, reason, RunState.Ran, crash);
    this.cancel(spec.attempt, spec.epoch, true);
  }

  private fail(spec: AttemptSpec, reason: FailureReason, run: RunState, crash?: string): void {
    const message = { ...this.failure(spec, reason), run, crash };
    const record = this.attempts.get(spec.attempt);
    if (record) {
      this.toEntries(record, message);
    } else {
      this.links.toEntry(spec.entry, message);
    }
  }

  private toEntries(record: AttemptRecord, message: LinkMessage): void {
    record.entries.forEach((entry) => this.links.toEntry(entry, message));
  }

  private failure(
    of: { readonly attempt: string; readonly epoch: number },
    reason: FailureReason,
  ): AttemptFailedMessage {
    return {
      kind: MessageKind.AttemptFailed,
      attempt: of.attempt,
      epoch: of.epoch,
      reason,
      run: RunState.Unknown,
      endpoint: this.options.endpoint,
    };
  }
}

function sequenceOf(spec: AttemptSpec): string {
  return `${spec.attempt}/${spec.epoch}`;
}

function nextStageOf(record: AttemptRecord) {
  const { chain } = record.spec;
  return chain[(record.stage + 1) % chain.length];
}
