import type { RunState } from '../../problem/common/problem.js';
import type { SuspectRecord } from '../../suspects/common/suspectRecord.js';
import type { AcceleratorKind, ChainSpec, LayerRange } from '../../model/common/model.js';

/** Version of the link protocol; both ends of a link must use the same. */
export const linkVersion = 2;

/** Kinds of link messages; the numbers are sent on the wire. */
export enum MessageKind {
  Hello = 1,
  Heartbeat,
  Start,
  Step,
  Token,
  AttemptFailed,
  Cancel,
  Resume,
  Seal,
  SealResult,
  Call,
  CallResult,
  Order,
  OrderResult,
  Leaving,
  Suspects,
}

/** Loaded layers and load of an endpoint; part of its hellos and heartbeats. */
export interface EndpointReport {
  /** Name of the model whose layers are loaded, or of the service; empty if there is neither. */
  readonly model: string;
  readonly range: LayerRange;
  readonly service: boolean;
  readonly accelerator: AcceleratorKind;
  readonly memoryMiB: number;
  /** Time that the engine needs to run one layer for one token, in microseconds. */
  readonly layerMicros: number;
  /** Smoothed time of the engine's recent steps for one token, in microseconds; 0 if unknown. */
  readonly stepMicros: number;
  /** Number of running attempts. */
  readonly active: number;
  /** Maximum number of attempts that may run at the same time. */
  readonly capacity: number;
  /** True once the endpoint drains and accepts no new work. */
  readonly leaving: boolean;
  /** True while the engine or service responds to its agent. */
  readonly answering: boolean;
  /** True while the engine also has layers loaded, so that it can run steps. */
  readonly ready: boolean;
  /** Highest fencing token that the agent knows. */
  readonly term: number;
}

/** First message that each side of a link sends. */
export interface HelloMessage {
  readonly kind: MessageKind.Hello;
  readonly version: number;
  readonly instance: string;
  readonly incarnation: string;
  readonly role: string;
  readonly place: string;
  readonly region: string;
  /** Highest rule revision that the sender knows. */
  readonly revision: number;
  readonly report?: EndpointReport;
}

/** Sent at a fixed interval on every link, in both directions. */
export interface HeartbeatMessage {
  readonly kind: MessageKind.Heartbeat;
  /** Highest rule revision that an entry has in force, or that an agent knows of. */
  readonly revision: number;
  /** Sent by agents only: number of linked entries. */
  readonly entries?: number;
  /** Sent by agents only: lowest rule revision in force at any of the linked entries. */
  readonly lowestRevision?: number;
  readonly report?: EndpointReport;
}

/** Price of 1,000 layer-tokens for each kind of accelerator, in micro-units. */
export type Prices = Readonly<Record<AcceleratorKind, number>>;

/** Description of an attempt, sent to every stage of its chain. */
export interface AttemptSpec {
  readonly attempt: string;
  /** Number that increases with each repair of the attempt. */
  readonly epoch: number;
  readonly chain: ChainSpec;
  readonly model: string;
  readonly organisation: string;
  /** Rule revision that admitted the request. */
  readonly revision: number;
  /** Price of 1,000 layer-tokens for each accelerator under that revision, in micro-units. */
  readonly prices: Prices;
  /** Instance id of the entry that receives the tokens. */
  readonly entry: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** True if the attempt must not run twice. */
  readonly submission: boolean;
  /**
   * True if an endpoint crashed while running a request with the same model and prompt. An endpoint
   * accepts such an attempt only once its other suspect attempts have completed their first steps.
   */
  readonly suspect: boolean;
  /** Time that was left until the request's deadline when the message was sent, in milliseconds. */
  readonly remainingMs: number;
}

/** Starts an attempt at the first stage of its chain. */
export interface StartMessage {
  readonly kind: MessageKind.Start;
  readonly spec: AttemptSpec;
  readonly prompt: string;
  /** Tokens that earlier epochs have delivered; they are prefilled after the prompt. */
  readonly delivered: readonly number[];
}

/** Passes the output of one stage to the next, or a new token back to the first stage. */
export interface StepMessage {
  readonly kind: MessageKind.Step;
  readonly attempt: string;
  readonly epoch: number;
  /** Index of the stage that runs the step. */
  readonly stage: number;
  /** Position of the token that the step produces. */
  readonly step: number;
  readonly data: readonly number[];
  /** Present only on the first step of a chain, for stages that do not know the attempt yet. */
  readonly spec?: AttemptSpec;
}

/** Carries one generated token from the last stage to the entry. */
export interface TokenMessage {
  readonly kind: MessageKind.Token;
  readonly attempt: string;
  readonly epoch: number;
  readonly step: number;
  readonly token: number;
  readonly text: string;
  /** True on the last token of the answer. */
  readonly end: boolean;
}

/** Reason why an attempt failed. */
export enum FailureReason {
  Busy = 'busy',
  Leaving = 'leaving',
  Sealed = 'sealed',
  WrongIncarnation = 'wrong-incarnation',
  NotLoaded = 'not-loaded',
  /** The engine did not answer or crashed. */
  EngineFailed = 'engine-failed',
  /** The engine answered that it cannot run the step. */
  StepRefused = 'step-refused',
  StageLost = 'stage-lost',
  DeadlineExceeded = 'deadline-exceeded',
  UnknownAttempt = 'unknown-attempt',
}

/** Tells the entry that an epoch of an attempt failed. */
export interface AttemptFailedMessage {
  readonly kind: MessageKind.AttemptFailed;
  readonly attempt: string;
  readonly epoch: number;
  readonly reason: FailureReason;
  readonly run: RunState;
  /** Endpoint at which the epoch failed. */
  readonly endpoint: string;
  /** Id of the engine's crash, if the engine crashed. */
  readonly crash?: string;
}

/** Cancels an attempt and frees its resources. */
export interface CancelMessage {
  readonly kind: MessageKind.Cancel;
  readonly attempt: string;
  /** Last epoch to cancel; earlier epochs are cancelled too, later ones may still run. */
  readonly epoch: number;
  /** True if the attempt is a submission, which runs to completion once admitted. */
  readonly submission: boolean;
  /** True if each stage must forward the message to the next, because the chain is broken. */
  readonly relay?: boolean;
}

/** Asks the last stage to resend all tokens from a step on, after a link was replaced. */
export interface ResumeMessage {
  readonly kind: MessageKind.Resume;
  readonly attempt: string;
  readonly epoch: number;
  readonly fromStep: number;
  /** Instance id of the entry that receives the tokens from now on. */
  readonly entry: string;
}

/** Asks an agent to prevent an attempt from ever running there, or to report that it has run. */
export interface SealMessage {
  readonly kind: MessageKind.Seal;
  readonly attempt: string;
  readonly incarnation: string;
}

/** Outcome of a seal request. */
export enum SealOutcome {
  /** The attempt has not run at this agent and never will. */
  Sealed = 'sealed',
  /** The attempt is running. */
  Running = 'running',
  /** The attempt has run, and its answer is still stored. */
  Ran = 'ran',
  /** The attempt has run, but its answer is no longer stored. */
  RanForgotten = 'ran-forgotten',
  /** The requested incarnation has ended, so whether the attempt ran is unknown. */
  IncarnationGone = 'incarnation-gone',
}

/** Reply to a seal request. */
export interface SealResultMessage {
  readonly kind: MessageKind.SealResult;
  readonly attempt: string;
  readonly outcome: SealOutcome;
}

/** Header of a plain-service call or answer. */
export type Header = readonly [name: string, value: string];

/** Asks an agent to call its plain service. */
export interface CallMessage {
  readonly kind: MessageKind.Call;
  readonly attempt: string;
  readonly incarnation: string;
  readonly service: string;
  readonly organisation: string;
  readonly revision: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly submission: boolean;
  readonly remainingMs: number;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** Reply to a call: the service's answer, or the reason why there is none. */
export interface CallResultMessage {
  readonly kind: MessageKind.CallResult;
  readonly attempt: string;
  readonly answer?: ServiceAnswer;
  readonly reason?: FailureReason;
  readonly run: RunState;
}

/** Tells an agent which layers its engine must load. */
export interface OrderMessage {
  readonly kind: MessageKind.Order;
  /** Fencing token of the placer; an order with a higher one overrides those with lower ones. */
  readonly term: number;
  readonly model: string;
  readonly version: string;
  readonly range: LayerRange;
}

/** Outcome of an order. */
export interface OrderResultMessage {
  readonly kind: MessageKind.OrderResult;
  readonly term: number;
  readonly accepted: boolean;
  /** Highest fencing token that the agent knows. */
  readonly highestTerm: number;
}

/** Announces that the sender accepts no new work from now on. */
export interface LeavingMessage {
  readonly kind: MessageKind.Leaving;
}

/** Suspect records of an entry; agents forward them to the other entries. */
export interface SuspectsMessage {
  readonly kind: MessageKind.Suspects;
  readonly records: readonly SuspectRecord[];
}

/** Any message that is sent over a link. */
export type LinkMessage =
  | HelloMessage
  | HeartbeatMessage
  | StartMessage
  | StepMessage
  | TokenMessage
  | AttemptFailedMessage
  | CancelMessage
  | ResumeMessage
  | SealMessage
  | SealResultMessage
  | CallMessage
  | CallResultMessage
  | OrderMessage
  | OrderResultMessage
  | LeavingMessage
  | SuspectsMessage;
