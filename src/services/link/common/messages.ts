import type { RunState } from '../../problem/common/problem.js';
import type { AcceleratorKind, ChainSpec, LayerRange } from '../../model/common/model.js';

/** Version of the messages; both ends of a link must have the same. */
export const linkVersion = 1;

/** Kinds of messages between the system's processes. */
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

/** What an endpoint holds and how busy it is; rides on heartbeats. */
export interface EndpointReport {
  /** Model whose layers are loaded, or the service's name; empty if none. */
  readonly model: string;
  readonly range: LayerRange;
  readonly service: boolean;
  readonly accelerator: AcceleratorKind;
  readonly memoryMiB: number;
  /** Time that one layer takes for one token, in microseconds. */
  readonly layerMicros: number;
  /** Smoothed time that the engine took for one token lately, in microseconds; 0 if unknown. */
  readonly stepMicros: number;
  /** Attempts that are running. */
  readonly active: number;
  /** Most attempts that may run at once. */
  readonly capacity: number;
  /** True once the endpoint takes no new work. */
  readonly leaving: boolean;
  /** True while the engine or service answers its agent. */
  readonly answering: boolean;
  /** True while it also holds layers, so that it can run steps. */
  readonly ready: boolean;
  /** Highest lease term seen in an order. */
  readonly term: number;
}

/** First message of each side of a link. */
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
  /** Highest rule revision that the sender has in force, or has heard of if it is an agent. */
  readonly revision: number;
  /** From agents: number of linked entries. */
  readonly entries?: number;
  /** From agents: lowest revision that one of the linked entries has in force. */
  readonly lowestRevision?: number;
  readonly report?: EndpointReport;
}

/** Price of 1,000 layer-tokens by kind of accelerator, in micro-units. */
export type Prices = Readonly<Record<AcceleratorKind, number>>;

/** What every stage of a chain needs to know of an attempt. */
export interface AttemptSpec {
  readonly attempt: string;
  /** Grows with each repair of the attempt. */
  readonly epoch: number;
  readonly chain: ChainSpec;
  readonly model: string;
  readonly organisation: string;
  /** Rule revision that admitted the request. */
  readonly revision: number;
  /** Price of 1,000 layer-tokens by accelerator under that revision, in micro-units. */
  readonly prices: Prices;
  /** Instance id of the entry that receives the tokens. */
  readonly entry: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** True if the attempt must not run twice. */
  readonly submission: boolean;
  /** True if an endpoint died while it ran the same request; it then runs apart from others. */
  readonly suspect: boolean;
  /** Time left to the request's deadline when the message was sent, in milliseconds. */
  readonly remainingMs: number;
}

/** Starts an attempt at the first stage of its chain. */
export interface StartMessage {
  readonly kind: MessageKind.Start;
  readonly spec: AttemptSpec;
  readonly prompt: string;
  /** Tokens that earlier epochs delivered; they are prefilled after the prompt. */
  readonly delivered: readonly number[];
}

/** Passes the output of one stage to the next, or a token back to the first. */
export interface StepMessage {
  readonly kind: MessageKind.Step;
  readonly attempt: string;
  readonly epoch: number;
  /** Stage of the chain that shall run the step. */
  readonly stage: number;
  /** Position of the token that the step produces. */
  readonly step: number;
  readonly data: readonly number[];
  /** Only on a chain's first step, for stages that do not know the attempt yet. */
  readonly spec?: AttemptSpec;
}

/** One generated token, from the last stage to the entry. */
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

/** Why an attempt stopped short. */
export enum FailureReason {
  Busy = 'busy',
  Leaving = 'leaving',
  Sealed = 'sealed',
  WrongIncarnation = 'wrong-incarnation',
  NotLoaded = 'not-loaded',
  /** The engine did not answer or died. */
  EngineFailed = 'engine-failed',
  /** The engine answered that it cannot run the step. */
  StepRefused = 'step-refused',
  StageLost = 'stage-lost',
  DeadlineExceeded = 'deadline-exceeded',
  UnknownAttempt = 'unknown-attempt',
}

/** Tells the entry that an attempt's epoch cannot go on. */
export interface AttemptFailedMessage {
  readonly kind: MessageKind.AttemptFailed;
  readonly attempt: string;
  readonly epoch: number;
  readonly reason: FailureReason;
  readonly run: RunState;
  /** Endpoint at which it failed. */
  readonly endpoint: string;
  /** If the engine died: id of that crash. */
  readonly crash?: string;
}

/** Ends an attempt and frees what it holds. */
export interface CancelMessage {
  readonly kind: MessageKind.Cancel;
  readonly attempt: string;
  /** Epoch that ends, with all before it; later epochs may still run. */
  readonly epoch: number;
  /** True if the attempt is a submission, which runs to its end once admitted. */
  readonly submission: boolean;
  /** True if each stage shall pass the message on to the next, because the chain is broken. */
  readonly relay?: boolean;
}

/** Asks the last stage to send again from a step on, after a link was replaced. */
export interface ResumeMessage {
  readonly kind: MessageKind.Resume;
  readonly attempt: string;
  readonly epoch: number;
  readonly fromStep: number;
  /** Entry that shall receive the tokens from now on. */
  readonly entry: string;
}

/** Asks an agent to make sure that an attempt never runs there, or to say that it did. */
export interface SealMessage {
  readonly kind: MessageKind.Seal;
  readonly attempt: string;
  readonly incarnation: string;
}

/** Outcome of a seal. */
export enum SealOutcome {
  /** The attempt did not run here and never will. */
  Sealed = 'sealed',
  /** The attempt is running. */
  Running = 'running',
  /** The attempt ran; its answer is kept. */
  Ran = 'ran',
  /** The attempt ran; its answer is no longer kept. */
  RanForgotten = 'ran-forgotten',
  /** The asked incarnation is gone, so that nobody can tell. */
  IncarnationGone = 'incarnation-gone',
}

/** Answer to a seal. */
export interface SealResultMessage {
  readonly kind: MessageKind.SealResult;
  readonly attempt: string;
  readonly outcome: SealOutcome;
}

/** A header of a plain-service call or answer. */
export type Header = readonly [name: string, value: string];

/** Plain-service call. */
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

/** Answer to a call, or the reason why there is none. */
export interface CallResultMessage {
  readonly kind: MessageKind.CallResult;
  readonly attempt: string;
  readonly answer?: ServiceAnswer;
  readonly reason?: FailureReason;
  readonly run: RunState;
}

/** Tells an agent what its engine shall hold; a higher term replaces a lower one. */
export interface OrderMessage {
  readonly kind: MessageKind.Order;
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
  /** Highest term that the agent has seen. */
  readonly highestTerm: number;
}

/** The sender takes no new work from now on. */
export interface LeavingMessage {
  readonly kind: MessageKind.Leaving;
}

/** What is known of a request that was running when an endpoint died. */
export interface SuspectRecord {
  readonly fingerprint: string;
  /** Ids of the crashes during which the request ran. */
  readonly crashes: readonly string[];
  /** Entry that may run the request again; empty if none does. */
  readonly runner: string;
  /** Wall-clock time of the newest change, in milliseconds since 1970. */
  readonly atMs: number;
}

/** Suspicions of an entry; an agent passes them on to the other entries. */
export interface SuspectsMessage {
  readonly kind: MessageKind.Suspects;
  readonly records: readonly SuspectRecord[];
}

/** Any message between the system's processes. */
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
