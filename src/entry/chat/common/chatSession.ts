import type { FailureReason, SealOutcome } from '../../../services/link/common/messages.js';
import type { RunState } from '../../../services/problem/common/problem.js';
import type { Route } from '../../routing/common/chainRouter.js';
import type { GuardedRequest } from '../../../services/suspects/common/suspectGuard.js';
import type { AnswerAssembler } from './answerAssembler.js';
import type { QueuedRequest } from './chatAdmission.js';
import type { IChatSink } from './chatRequest.js';

/** Limits of chat sessions. */
export interface ChatRunnerOptions {
  /** Instance id of this entry. */
  readonly entry: string;
  /** Time without a token after which a chain is replaced, in milliseconds. */
  readonly stallMs: number;
  /**
   * Time without a token after which a chain is replaced while one of its engines does not answer
   * its agent, in milliseconds.
   */
  readonly engineUnreachableStallMs: number;
  /** Maximum number of epochs of one answer; each epoch uses one chain. */
  readonly maxEpochs: number;
  /** Maximum number of refusals by full or draining endpoints before a request fails. */
  readonly maxRefusals: number;
}

/** Usage that the entry counted for a complete or incomplete answer. */
export interface ChatUsage {
  readonly organisation: string;
  readonly model: string;
  readonly revision: number;
  readonly tokens: number;
  /** Layers times positions, derived from the received tokens. */
  readonly layerTokens: number;
  /** Price of the work, in micro-units. */
  readonly micros: number;
}

/** Outcome of work at an endpoint. */
export interface EndpointOutcome {
  readonly endpoint: string;
  readonly failed: boolean;
}

/** Handle that cancels a session at the caller's request. */
export interface ChatHandle {
  cancel(): void;
}

/** State of one answer in progress. */
export interface Session extends QueuedRequest {
  readonly attempt: string;
  readonly sink: IChatSink;
  readonly submission: boolean;
  readonly assembler: AnswerAssembler;
  /** Endpoints that failed while they ran this request. */
  readonly failedEndpoints: Set<string>;
  readonly guardedRequest: GuardedRequest;
  /**
   * True while the request avoids the chains of other suspects, because an endpoint died while it
   * ran this request.
   */
  isIsolated: boolean;
  epoch: number;
  /** First step of the current epoch; its chain prefills all earlier positions. */
  firstStep: number;
  refusals: number;
  /** Outcome of the seal of an attempt that another call started; otherwise undefined. */
  sealOutcome: SealOutcome | undefined;
  /** Price of 1,000 layer-tokens at each stage of the current chain, in micro-units. */
  stagePrices: readonly number[];
  /** Layers times positions, counted so far. */
  layerTokens: number;
  /** Price of the counted work, in micro-units. */
  micros: number;
  /** True once a chain may have run a part of the request. */
  mayHaveRun: boolean;
  route: Route | undefined;
  /** Monotonic time of the last token or start, in milliseconds. */
  lastProgressMs: number;
  isDone: boolean;
}

/** Called with the run state and the reason if an endpoint refused a submission's attempt. */
export type AttemptRefusedHandler = (run: RunState, reason: FailureReason) => void;
