import type { Prices } from '../../../services/link/common/messages.js';
import type { ModelSpec } from '../../../services/model/common/model.js';
import type { Problem } from '../../../services/problem/common/problem.js';
import type { AnswerSummary } from './answerAssembler.js';

/** A validated chat request. */
export interface ChatRequest {
  readonly id: string;
  readonly organisation: string;
  readonly model: ModelSpec;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Priority at engines, from 0 (lowest) to 9. */
  readonly priority: number;
  /** Rule revision that admitted the request. */
  readonly revision: number;
  /** Price of 1,000 layer-tokens by accelerator under that revision, in micro-units. */
  readonly prices: Prices;
  /** Digest of model and prompt; a repeated request has the same one. */
  readonly fingerprint: string;
  /** Deadline of the caller, in monotonic milliseconds. */
  readonly deadlineMs: number;
}

/** Receives an answer; exactly one of `end` and `fail` is called, as the last call. */
export interface IChatSink {
  /** Called for each token's text, in order. */
  token(text: string): void;
  /** Called once the answer is complete. */
  end(summary: AnswerSummary): void;
  /** Called if the answer cannot be started or completed. */
  fail(problem: Problem): void;
}
