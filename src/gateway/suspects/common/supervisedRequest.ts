import type { GuardedRequest } from '../../../services/suspects/common/suspectGuard.js';
import { partSubject, type GuardedSubjects } from '../../../services/suspects/common/subject.js';
import type { Endpoint } from '../../directory/common/endpoint.js';
import type { CallerRequest } from '../../relay/common/callerRequest.js';
import { fingerprintOf } from './requestFingerprint.js';

/**
 * Time after its start within which a run that makes progress is still suspected when it is lost, in
 * milliseconds. Requests that crash endpoints do so soon after they begin to run.
 */
const startPhaseMs = 500;

/**
 * The same after its first progress, which may come long after the start. It is short, since many other
 * runs are in this phase when an endpoint crashes.
 */
const firstProgressMs = 150;

/** Receives the decisions on whether a request may run. */
export interface IRunObserver {
  /** Called when a run may start; possibly before `requestRun` returns. */
  onAdmitted(): void;
  /**
   * Called when the request must not run because it crashes endpoints.
   *
   * @param remainingMs - Time until it may run again, in milliseconds.
   */
  onQuarantined(remainingMs: number): void;
}

/** What the supervision of a request needs of the supervisor of all requests. */
export interface IRunSupervision {
  /** Whether any request may be a suspect. */
  readonly hasSuspects: boolean;
  /** Returns the monotonic time in milliseconds. */
  nowMs(): number;
  /** Admits a request, now or later, or refuses it. */
  admit(request: GuardedRequest): void;
  /** Withdraws a request that waits for its admission. */
  withdraw(request: GuardedRequest): void;
  /** Logs a decision about a suspect, or about one of its runs. */
  logDecision(event: string, request: SupervisedRequest): void;
  /** Returns whether a request or one of its parts is isolated or quarantined. */
  isSuspected(subjects: GuardedSubjects): boolean;
  /** Returns the rest of the quarantine of a request and its parts, in milliseconds. */
  quarantineRemainingMs(subjects: GuardedSubjects): number;
  /** Records where a suspect runs. */
  startIsolatedRun(request: SupervisedRequest, addresses: readonly string[]): void;
  /** Lets the next copy of a suspect run. */
  endIsolatedRun(request: SupervisedRequest): void;
  /** Returns the addresses that run other suspects than the given one. */
  addressesOfOtherSuspects(request: SupervisedRequest): ReadonlySet<string>;
  /**
   * Finds out whether a lost run crashed one of its endpoints, and records it if so.
   *
   * @param request - Request whose run was lost.
   * @param run - The lost run.
   * @param onResolved - Called once this is known.
   */
  resolveLostRun(request: SupervisedRequest, run: LostRun, onResolved: () => void): void;
  /** Records that an endpoint ran a request to its end. */
  recordSurvival(request: SupervisedRequest): void;
  /** Records that a run of a request with these parts is past its start, or has ended with success. */
  recordPartSurvivals(parts: readonly string[]): void;
}

/** A run that ended without an answer. */
export interface LostRun {
  /** Endpoints that may have crashed. */
  readonly endpoints: readonly Endpoint[];
  /** Whether the run ended with its connection, rather than by a timeout. */
  readonly wasConnectionLost: boolean;
  /** Monotonic time at which the run started, in milliseconds. */
  readonly startedMs: number;
}

/** Supervision of the runs of one request, of which there is one at a time or a hedged pair. */
export class SupervisedRequest {
  private computedFingerprint: string | undefined;

  private guarded: GuardedRequest | undefined;

  /** Time of the first progress of the current run, in monotonic milliseconds. */
  private progressedMs: number | undefined;

  /** Whether the current run has counted as a survival of the request's parts. */
  private hasSurvived = false;

  /** Whether the endpoint has answered the current run itself, so that the run can't be lost any more. */
  private isAnswered = false;

  private startedMs = 0;

  private isIsolatedRun = false;

  /** Number of lost runs of which it isn't known yet whether they crashed an endpoint. */
  private unresolvedLosses = 0;

  /** Whether the isolated run has ended, so that the next one may start once its losses are resolved. */
  private isReleasePending = false;

  /**
   * @param req - Request of a caller.
   * @param observer - Receives the decisions.
   * @param supervisor - Supervisor of all requests.
   */
  constructor(
    private readonly req: CallerRequest,
    private readonly observer: IRunObserver,
    private readonly supervisor: IRunSupervision,
  ) {}

  /** Id of the request; empty if the caller gave none. */
  get requestId(): string {
    return this.req.metadata.requestId ?? '';
  }

  /** Ids of the parts of its prompt that other requests may share. */
  get sharedParts(): readonly string[] {
    return this.req.metadata.sharedParts;
  }

  /** What may be suspected of the request besides itself. */
  get partSubjects(): readonly string[] {
    return this.sharedParts.map(partSubject);
  }

  /** Digest of the request, the same each time that the caller sends it again. */
  get fingerprint(): string {
    this.computedFingerprint ??= fingerprintOf(this.req);
    return this.computedFingerprint;
  }

  /** Whether the current run is kept apart from those of other suspects, and must not be hedged. */
  get isIsolated(): boolean {
    return this.isIsolatedRun;
  }

  /** Whether the current run may move to other endpoints, rather than end so that the next is admitted anew. */
  get mayMove(): boolean {
    const { supervisor, partSubjects } = this;
    return (
      !supervisor.hasSuspects ||
      !supervisor.isSuspected({ fingerprint: this.fingerprint, parts: partSubjects })
    );
  }

  /** Whether the current run is past its start and must be the last one, since the request is quarantined. */
  get isLastRun(): boolean {
    const { supervisor, partSubjects } = this;
    return (
      supervisor.hasSuspects &&
      this.isPastStart &&
      supervisor.quarantineRemainingMs({ fingerprint: this.fingerprint, parts: partSubjects }) > 0
    );
  }

  /** Addresses that the next run must not use. */
  get avoidedAddresses(): ReadonlySet<string> {
    return this.isIsolatedRun ? this.supervisor.addressesOfOtherSuspects(this) : new Set();
  }

  /** Asks for a run; ends the current one. The observer receives the decision, now or later. */
  requestRun(): void {
    this.endRun();
    if (!this.supervisor.hasSuspects) {
      this.handleAdmission(false);
      return;
    }
    this.guarded = {
      fingerprint: this.fingerprint,
      parts: this.partSubjects,
      onAdmitted: (isIsolated) => this.handleAdmission(isIsolated),
      onRefused: () => this.handleRefusal(),
    };
    this.supervisor.admit(this.guarded);
  }

  /**
   * Called when an admitted run starts.
   *
   * @param endpoints - Endpoints of its path.
   */
  begin(endpoints: readonly Endpoint[]): void {
    this.progressedMs = undefined;
    this.hasSurvived = false;
    this.isAnswered = false;
    this.startedMs = this.supervisor.nowMs();
    this.move(endpoints);
  }

  /**
   * Called when the current run moved to another path.
   *
   * @param endpoints - Endpoints of the new path.
   */
  move(endpoints: readonly Endpoint[]): void {
    if (this.isIsolatedRun) {
      this.supervisor.startIsolatedRun(
        this,
        endpoints.map(({ address }) => address),
      );
    }
  }

  /** Called when the current run makes progress. Past its start, it need not be kept apart any more. */
  recordProgress(): void {
    this.progressedMs ??= this.supervisor.nowMs();
    if (this.isPastStart) {
      this.recordPartSurvivals();
      if (this.isIsolatedRun) {
        this.endRun();
      }
    }
  }

  /**
   * Called when the endpoint has run the request to its end and answered with success. Any other answer
   * may come from an endpoint that did not begin to run it.
   */
  recordSurvival(): void {
    this.recordPartSurvivals();
    this.supervisor.recordSurvival(this);
    this.endRun();
  }

  /** Called when the endpoint has answered the only current run completely, with whatever status. */
  recordAnswer(): void {
    this.isAnswered = true;
  }

  /**
   * Called when the current run ended without an answer. A run is not suspected if it has made progress
   * for longer than the start of a run takes.
   *
   * @param endpoints - Endpoints that may have crashed.
   * @param wasConnectionLost - Whether the run ended with its connection, rather than by a timeout.
   */
  recordLoss(endpoints: readonly Endpoint[], wasConnectionLost: boolean): void {
    if (this.isAnswered || endpoints.length === 0) {
      return;
    }
    if (this.isPastStart) {
      this.supervisor.logDecision('run-lost-after-progress', this);
      return;
    }
    this.unresolvedLosses += 1;
    const run = { endpoints, wasConnectionLost, startedMs: this.startedMs };
    this.supervisor.resolveLostRun(this, run, () => {
      this.unresolvedLosses -= 1;
      this.releaseIfResolved();
    });
  }

  /** Ends the current run and withdraws a request for another one. */
  close(): void {
    if (this.guarded) {
      this.supervisor.withdraw(this.guarded);
      this.guarded = undefined;
    }
    this.endRun();
  }

  private recordPartSurvivals(): void {
    if (!this.hasSurvived) {
      this.hasSurvived = true;
      this.supervisor.recordPartSurvivals(this.partSubjects);
    }
  }

  private get isPastStart(): boolean {
    const { progressedMs, startedMs } = this;
    const nowMs = this.supervisor.nowMs();
    return (
      progressedMs !== undefined &&
      nowMs - startedMs > startPhaseMs &&
      nowMs - progressedMs > firstProgressMs
    );
  }

  private handleAdmission(isIsolated: boolean): void {
    this.isIsolatedRun = isIsolated;
    if (isIsolated) {
      this.supervisor.logDecision('request-isolated', this);
    }
    this.observer.onAdmitted();
  }

  private handleRefusal(): void {
    this.supervisor.logDecision('request-quarantined', this);
    const remainingMs = this.guarded ? this.supervisor.quarantineRemainingMs(this.guarded) : 0;
    this.observer.onQuarantined(remainingMs);
  }

  private endRun(): void {
    if (this.isIsolatedRun) {
      this.isIsolatedRun = false;
      this.isReleasePending = true;
      this.releaseIfResolved();
    }
  }

  private releaseIfResolved(): void {
    if (this.isReleasePending && this.unresolvedLosses === 0) {
      this.isReleasePending = false;
      this.supervisor.endIsolatedRun(this);
    }
  }
}
