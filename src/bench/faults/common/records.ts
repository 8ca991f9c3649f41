import type { RunState } from '../../../services/problem/common/problem.js';

/** Kinds of calls in the workload. */
export enum CallKind {
  Chat = 'chat',
  ChatSubmission = 'chat-submission',
  Lookup = 'lookup',
  Submission = 'submission',
}

/** Outcome of a call from its caller's point of view. */
export enum CallEnd {
  /** Complete answer, equal to the reference answer. */
  Complete = 'whole',
  /** Answer that was marked as complete but was not, or that belongs to another caller. */
  Wrong = 'wrong',
  /** Problem report, instead of an answer or after a part of it. */
  Problem = 'problem',
  /** Connection that ended without a complete answer or a problem report. */
  Broken = 'broken',
}

/** One call of the workload. Times are wall-clock, in milliseconds since 1970. */
export interface CallRecord {
  readonly kind: CallKind;
  readonly entry: string;
  /** Idempotency key of a submission; undefined for a lookup. */
  readonly key: string | undefined;
  readonly startMs: number;
  readonly endMs: number;
  readonly end: CallEnd;
  readonly run: RunState | undefined;
  readonly status: number;
  readonly detail: string;
}

/** Kinds of faults that the driver injects. */
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
  ResetLink = 'cut-link',
  PlatformOutage = 'platform-outage',
  PlatformSlow = 'platform-slow',
  LostConfirmations = 'lost-confirmations',
  StaleReads = 'stale-reads',
  StoreDrill = 'store-drill',
  StopAgent = 'stop-agent',
  StopEntry = 'stop-entry',
  ListLeaving = 'list-leaving',
  OperatorRace = 'operator-race',
  CrashingRequest = 'crashing-request',
}

/** An injected fault. Times are wall-clock, in milliseconds since 1970. */
export interface FaultRecord {
  readonly kind: FaultKind;
  /** Name of the endpoint or entry; `platform`, `rules` or `request` for other faults. */
  readonly target: string;
  readonly startMs: number;
  readonly endMs: number;
}

/** Answer to a rule change. The status is 0 if no answer came. */
export interface RuleChangeRecord {
  readonly id: string;
  readonly status: number;
  readonly revision: number | undefined;
  readonly atMs: number;
  /**
   * Time until the change was in force on every entry, in milliseconds; undefined if not measured.
   */
  readonly inForceMs: number | undefined;
}

/** Revision of the rules that an entry reported as in force. */
export interface RevisionSample {
  readonly entry: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly atMs: number;
}

/** Records of a fault run. */
export interface FaultHistory {
  readonly calls: readonly CallRecord[];
  readonly faults: readonly FaultRecord[];
  readonly changes: readonly RuleChangeRecord[];
  readonly samples: readonly RevisionSample[];
  /** Ids of the rule changes that are stored in the platform at the end of the run. */
  readonly storedChanges: readonly string[];
  /**
   * Violations that the fault driver detected itself: processes that exited with a status other
   * than 0 after a planned stop, and crashing requests that were answered or killed too many
   * endpoints.
   */
  readonly badExits: readonly string[];
}
