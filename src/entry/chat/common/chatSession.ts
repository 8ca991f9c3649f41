import type { FailureReason, SealOutcome } from '../../../services/link/common/messages.js';
import type { RunState } from '../../../services/problem/common/problem.js';
import type { Route } from '../../routing/common/chainRouter.js';
import type { SuspectWaiter } from '../../suspects/common/suspectGuard.js';
import type { AnswerAssembler } from './answerAssembler.js';
import type { ChainWaiter } from './chatAdmission.js';
import type { IChatSink } from './chatRequest.js';

/** Limits of chat sessions. */
export interface ChatRunnerOptions {
  /** Instance id of this entry. */
  readonly entry: string;
  /** Time without a token after which a chain is replaced, in milliseconds. */
  readonly stallMs: number;
  /** The same while one of the chain's engines does not answer its agent, in milliseconds. */
  readonly engineUnreachableStallMs: number;
  /** Most epochs of one answer. */
  readonly maxEpochs: number;
  /** Most refusals by full or leaving endpoints before a request is given up. */
  readonly maxRefusals: number;
}

/** Usage that the entry counted for a finished or broken answer. */
export interface ChatUsage {
  readonly organisation: string;
  readonly model: string;
  readonly revision: number;
  readonly tokens: number;
  /** Layers times positions, from the tokens received. */
  readonly layerTokens: number;
  /** Price of the work, in micro-units. */
  readonly micros: number;
}

/** Outcome of work at an endpoint. */
export interface EndpointOutcome {
  readonly endpoint: string;
  readonly failed: boolean;
}

/** Ends a session at the caller's wish. */
export interface ChatHandle {
  cancel(): void;
}

/** State of one answer under way. */
export interface Session extends ChainWaiter {
  readonly attempt: string;
  readonly sink: IChatSink;
  readonly submission: boolean;
  readonly assembler: AnswerAssembler;
  /** Endpoints that failed this request. */
  readonly failed: Set<string>;
  readonly suspectWaiter: SuspectWaiter;
  /** True while the request runs apart because an endpoint died with it. */
  apart: boolean;
  epoch: number;
  /** First step of the current epoch; its chain prefills everything before. */
  firstStep: number;
  refusals: number;
  /** For an attempt that was started elsewhere: what its gate said. */
  collecting: SealOutcome | undefined;
  /** Price of 1,000 layer-tokens at each stage of the current chain, in micro-units. */
  stagePrices: readonly number[];
  /** Work counted so far. */
  layerTokens: number;
  micros: number;
  /** True once a chain may have run a part of the request. */
  mayHaveRun: boolean;
  route: Route | undefined;
  /** Monotonic time of the last token or start, in milliseconds. */
  progressMs: number;
  done: boolean;
}

/** Outcome of a submission's attempt that is not an answer. */
export type AttemptRefused = (run: RunState, reason: FailureReason) => void;
