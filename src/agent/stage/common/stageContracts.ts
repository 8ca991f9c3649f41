import type { Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import type { LinkMessage } from '../../../services/link/common/messages.js';
import type { LayerRange, StageSpec } from '../../../services/model/common/model.js';

/** The engine beside the agent failed or refused a step. */
export class EngineError extends IbissparError {
  readonly code = 'engine-failed';

  /**
   * @param message - What went wrong.
   * @param crash - Id of the engine's crash; undefined if it answered and refused.
   */
  constructor(
    message: string,
    readonly crash?: string,
  ) {
    super(message);
  }
}

/** Step for the engine. */
export interface EngineStep {
  readonly sequence: string;
  readonly model: string;
  /** Layers that the engine must hold; it refuses the step if it holds others. */
  readonly range: LayerRange;
  readonly step: number;
  /** True on the sequence's first step; on any other the engine must know the sequence. */
  readonly first: boolean;
  /** Prompt; only on the first step at the first stage. */
  readonly prompt?: string;
  readonly data: readonly number[];
  /** True if this engine holds the model's last layer. */
  readonly last: boolean;
  readonly priority: number;
}

/** What the engine made of a step. */
export interface EngineOutput {
  /** Input of the next stage; empty at the last stage. */
  readonly data: readonly number[];
  /** Generated token; only at the last stage. */
  readonly token?: number;
  readonly text?: string;
  /** True if the model ended its answer with this token. */
  readonly end?: boolean;
}

/** The engine beside an agent. */
export interface IStageEngine {
  /** Runs one step of a sequence over the loaded layers. */
  run(step: EngineStep): Promise<Result<EngineOutput, EngineError>>;
  /** Frees a sequence and cancels its queued steps. */
  drop(sequence: string): void;
}

/** Links from an agent to other processes. */
export interface IStageLinks {
  /** Sends to the agent of another stage, opening a link if there is none. */
  toStage(stage: StageSpec, message: LinkMessage): void;
  /** Sends to an entry over the link that the entry opened; lost if there is none. */
  toEntry(entry: string, message: LinkMessage): void;
}
