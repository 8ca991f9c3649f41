import type { Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import type { LinkMessage } from '../../../services/link/common/messages.js';
import type { LayerRange, StageSpec } from '../../../services/model/common/model.js';

/** Failure or refusal of a step by the model engine. */
export class EngineError extends IbissparError {
  readonly code = 'engine-failed';

  /**
   * @param message - Description of the failure.
   * @param crash - Id of the engine crash during which the step ran; undefined if the engine
   *   refused the step or was already known to be down.
   */
  constructor(
    message: string,
    readonly crash?: string,
  ) {
    super(message);
  }
}

/** Request to run one step of a sequence. */
export interface EngineStep {
  readonly sequence: string;
  readonly model: string;
  /** Layers to run; the engine refuses the step if it has loaded others. */
  readonly range: LayerRange;
  readonly step: number;
  /** True on the first step of a sequence; on later steps the engine must know the sequence. */
  readonly first: boolean;
  /** Prompt; set only on the first step at the first stage. */
  readonly prompt?: string;
  readonly data: readonly number[];
  /** True if this engine holds the model's last layer. */
  readonly last: boolean;
  readonly priority: number;
}

/** Output of one step. */
export interface EngineOutput {
  /** Input for the next stage; empty at the last stage. */
  readonly data: readonly number[];
  /** Generated token; set only at the last stage. */
  readonly token?: number;
  readonly text?: string;
  /** True if this token ends the model's answer. */
  readonly end?: boolean;
}

/** Model engine of an endpoint. */
export interface IStageEngine {
  /** Runs one step of a sequence over the loaded layers. */
  run(step: EngineStep): Promise<Result<EngineOutput, EngineError>>;
  /** Frees a sequence and cancels its queued steps. */
  freeSequence(sequence: string): void;
}

/** Links from an agent to other processes. */
export interface IStageLinks {
  /** Sends a message to the agent of another stage; opens a link if there is none. */
  sendToStage(stage: StageSpec, message: LinkMessage): void;
  /** Sends a message over the link that an entry opened; discards it if there is none. */
  sendToEntry(entry: string, message: LinkMessage): void;
}
