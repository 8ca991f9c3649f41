import type { RunState } from '../../../services/problem/common/problem.js';

/** Kinds of calls in the workload. */
export enum CallKind {
  Chat = 'chat',
  ChatSubmission = 'chat-submission',
  Lookup = 'lookup',
  Submission = 'submission',
}

/** How a call ended, as its caller saw it. */
export enum CallEnd {
  /** A whole answer that equals what a correct system gives. */
  Complete = 'whole',
  /** An answer that claims to be whole and is not, or is another caller's. */
  Wrong = 'wrong',
  /** A problem, before or instead of a whole answer. */
  Problem = 'problem',
  /** The connection broke without a word. */
  Broken = 'broken',
}

/** One call of the workload. Times are wall-clock, in milliseconds since 1970. */
export interface CallRecord {
  readonly kind: CallKind;
  readonly entry: string;
  /** Idempotency key of a submission. */
  readonly key: string | undefined;
  readonly startMs: number;
  readonly endMs: number;
  readonly end: CallEnd;
  readonly run: RunState | undefined;
  readonly status: number;
  readonly detail: string;
}

/** Kinds of faults. */
export enum FaultKind {
  KillStage = 'kill-stage',
  KillEngine = 'kill-engine',
  KillAgent = 'kill-agent',
  KillService = 'kill-service',
  KillEntry = 'kill-entry',
  FreezeAgent = 'freeze-agent',
  FreezeEngine = 'freeze-engine',
  FreezeEntry = 'freeze-entry',
  SilenceLink = 'silence-link',
  CutLink = 'cut-link',
  PlatformOutage = 'platform-outage',
  PlatformSlow = 'platform-slow',
  LostConfirmations = 'lost-confirmations',
  StaleReads = 'stale-reads',
  StopAgent = 'stop-agent',
  StopEntry = 'stop-entry',
  ListLeaving = 'list-leaving',
  OperatorRace = 'operator-race',
  CrashingRequest = 'crashing-request',
}

/** A fault that was brought about. Times are wall-clock, in milliseconds since 1970. */
export interface FaultRecord {
  readonly kind: FaultKind;
  /** Endpoint or entry. */
  readonly target: string;
  readonly startMs: number;
  readonly endMs: number;
}

/** Answer to a rule change. */
export interface RuleChangeRecord {
  readonly id: string;
  readonly status: number;
  readonly revision: number | undefined;
  readonly atMs: number;
  /** Time until every entry had it in force; undefined if not measured. */
  readonly inForceMs: number | undefined;
}

/** Revision that an entry said it has in force. */
export interface RevisionSample {
  readonly entry: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly atMs: number;
}

/** Everything that a run of faults recorded. */
export interface FaultHistory {
  readonly calls: readonly CallRecord[];
  readonly faults: readonly FaultRecord[];
  readonly changes: readonly RuleChangeRecord[];
  readonly samples: readonly RevisionSample[];
  /** Ids of the changes that the platform holds at the end. */
  readonly storedChanges: readonly string[];
  /** Processes that were stopped as planned and did not exit with status 0. */
  readonly driverViolations: readonly string[];
}
