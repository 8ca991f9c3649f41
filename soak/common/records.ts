import type { ObservedRun } from '../../platform/test/wireViews.js';

/** Kinds of requests that the callers send. */
export enum RequestKind {
  Stream = 'stream',
  Lookup = 'look',
  Submission = 'book',
}

/** How a call ended, as its caller saw it. */
export enum CallOutcome {
  /** The whole answer to this very request. */
  Whole = 'whole',
  /** An answer that claims to be whole and isn't, or belongs to another request. */
  Wrong = 'wrong',
  /** A status that isn't a success. */
  Failure = 'failure',
  /** The connection ended within the answer. */
  Partial = 'partial',
  /** The connection ended, or the caller gave up, without a status. */
  None = 'none',
}

/** One call. Times are wall-clock, in milliseconds since 1970. */
export interface CallRecord {
  readonly id: string;
  readonly kind: RequestKind;
  readonly gateway: string;
  /** Process id of the gateway when the call began. */
  readonly process: number;
  readonly key: string;
  readonly target: string;
  readonly body: string;
  readonly startMs: number;
  readonly endMs: number;
  readonly status: number;
  readonly outcome: CallOutcome;
  /** Whether a refusal said when to come back. */
  readonly hasRetryAfter: boolean;
  readonly detail: string;
}

/** An order to hold layers. */
export interface OrderRecord {
  readonly endpoint: string;
  readonly layers: number;
  /** Most layers that the endpoint's memory holds. */
  readonly maxLayers: number;
}

/** A key and when the configurations held it. */
export interface KeyRecord {
  readonly key: string;
  readonly organisation: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Kinds of faults, each brought about from outside the gateways. */
export enum FaultKind {
  KillGateway = 'kill-gateway',
  StopGateway = 'stop-gateway',
  FreezeGateway = 'freeze-gateway',
  ReloadGateway = 'reload-gateway',
  ResetCallers = 'reset-callers',
  SilenceCallers = 'silence-callers',
  DelayCallers = 'delay-callers',
  CutStore = 'cut-store',
  SilenceStore = 'silence-store',
  OneWayStore = 'one-way-store',
  StoreBusy = 'store-busy',
  StoreSilent = 'store-silent',
  StoreLosesAnswers = 'store-loses-answers',
  StoreActsLate = 'store-acts-late',
  StoreSlow = 'store-slow',
  StoreForgets = 'store-forgets',
  CrashEndpoint = 'crash-endpoint',
  FreezeEndpoint = 'freeze-endpoint',
  SilenceEndpoint = 'silence-endpoint',
  OneWayEndpoint = 'one-way-endpoint',
  ResetEndpoint = 'reset-endpoint',
  DelayEndpoint = 'delay-endpoint',
  DrainEndpoint = 'drain-endpoint',
  Shedding = 'shedding',
  Failing = 'failing',
  LosingAnswers = 'losing-answers',
  CuttingAnswers = 'cutting-answers',
  ResettingAnswers = 'resetting-answers',
  Hanging = 'hanging',
  Misanswering = 'misanswering',
  AddKey = 'add-key',
  RevokeKey = 'revoke-key',
  GrowConfig = 'grow-config',
}

/** A fault that is to come. Times are in milliseconds from the start of the run. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Number from 0 to 1 that chooses among what the fault can hit. */
  readonly choice: number;
  readonly atMs: number;
  readonly forMs: number;
}

/** A fault that was brought about. Times are wall-clock, in milliseconds since 1970. */
export interface FaultRecord {
  readonly kind: FaultKind;
  readonly target: string;
  readonly startMs: number;
  endMs: number;
}

/** Everything that a run recorded. */
export interface SoakHistory {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly ObservedRun[];
  readonly orders: readonly OrderRecord[];
  readonly keys: readonly KeyRecord[];
  readonly faults: readonly FaultRecord[];
  /** What gateways did that they must not, such as ending by themselves. */
  readonly incidents: readonly string[];
  /** When the last fault was over, in milliseconds since 1970; undefined before. */
  readonly calmFromMs: number | undefined;
}
