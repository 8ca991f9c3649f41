import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { Verdict } from '../../../services/suspects/common/crashSuspects.js';
import type { GuardedSubjects } from '../../../services/suspects/common/subject.js';
import type {
  GuardedRequest,
  SuspectGuard,
} from '../../../services/suspects/common/suspectGuard.js';
import type { CallerRequest } from '../../relay/common/callerRequest.js';
import type { CrashDetector } from './crashDetector.js';
import {
  SupervisedRequest,
  type IRunObserver,
  type IRunSupervision,
  type LostRun,
} from './supervisedRequest.js';

/**
 * Time for which the isolated runs that a peer reported are avoided, in milliseconds. Peers repeat their
 * reports several times a second.
 */
const peerReportMs = 600;

/**
 * Time before the start of a run within which a sign of life shows that the endpoint was alive when the
 * run started, in milliseconds.
 */
const recentSignMs = 300;

/** Time after an endpoint ended unplanned within which others may crash of the same cause, in milliseconds. */
const watchfulMs = 60_000;

interface PeerReport {
  readonly addresses: readonly string[];
  readonly receivedMs: number;
}

/**
 * Keeps requests that crash endpoints away from them: learns from lost runs which requests these are, runs
 * suspects apart from each other, and refuses those under which too many endpoints crashed.
 */
export class RunSupervisor implements IRunSupervision {
  /** Addresses that run a suspect of this gateway. */
  private readonly isolatedRuns = new Map<SupervisedRequest, readonly string[]>();

  private readonly peerReports = new Map<string, PeerReport>();

  /** Monotonic time at which an endpoint of each service last ended unplanned. */
  private readonly lastEndMs = new Map<string, number>();

  /**
   * @param guard - Records crashes for each fingerprint and admits requests.
   * @param detector - Tells crashes of endpoints from other losses.
   * @param lastHeardMs - Returns the monotonic time at which an address last gave a sign of life.
   * @param onDidRecordCrash - Called after a crash was recorded, with the request and its parts.
   * @param clock - Source of time.
   * @param logger - Receives the lost runs, and the requests that are isolated or refused.
   */
  constructor(
    private readonly guard: SuspectGuard,
    private readonly detector: CrashDetector,
    private readonly lastHeardMs: (address: string) => number | undefined,
    private readonly onDidRecordCrash: (subjects: readonly string[]) => void,
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {}

  /**
   * Starts to supervise a request.
   *
   * @param req - Request of a caller.
   * @param observer - Receives the decisions.
   * @returns Supervision of its runs, to be closed when the request is over.
   */
  supervise(req: CallerRequest, observer: IRunObserver): SupervisedRequest {
    return new SupervisedRequest(req, observer, this);
  }

  /** Returns the addresses that run a suspect of this gateway, to be reported to peers. */
  isolatedAddresses(): readonly string[] {
    return [...new Set([...this.isolatedRuns.values()].flat())];
  }

  /**
   * Replaces the addresses that run a suspect of a peer.
   *
   * @param peer - Instance name of the peer.
   * @param addresses - Addresses as it reported them.
   */
  updatePeer(peer: string, addresses: readonly string[]): void {
    if (addresses.length > 0) {
      this.peerReports.set(peer, { addresses, receivedMs: this.clock.monotonicMs() });
    } else {
      this.peerReports.delete(peer);
    }
  }

  /**
   * Records that an endpoint ended without having announced it.
   *
   * @param service - Service of the endpoint.
   */
  recordUnplannedEnd(service: string): void {
    this.lastEndMs.set(service, this.clock.monotonicMs());
  }

  /**
   * Returns whether requests to a service should use only connections that were just used. A request that
   * is lost on an idle one may have been sent to a machine that was silent already, so that its loss shows
   * nothing about it.
   *
   * @param service - Service of the request.
   */
  isWatchful(service: string): boolean {
    const endMs = this.lastEndMs.get(service);
    return endMs !== undefined && this.clock.monotonicMs() - endMs < watchfulMs;
  }

  nowMs(): number {
    return this.clock.monotonicMs();
  }

  get hasSuspects(): boolean {
    return this.guard.hasRecords;
  }

  admit(request: GuardedRequest): void {
    this.guard.admit(request);
  }

  withdraw(request: GuardedRequest): void {
    this.guard.remove(request);
  }

  logDecision(event: string, { requestId, fingerprint, sharedParts }: SupervisedRequest): void {
    const parts = sharedParts.join(',') || undefined;
    this.logger.log(LogLevel.Warn, event, { request: requestId, fingerprint, parts });
  }

  isSuspected(subjects: GuardedSubjects): boolean {
    return this.guard.verdict(subjects) !== Verdict.Clear;
  }

  quarantineRemainingMs(subjects: GuardedSubjects): number {
    return this.guard.quarantineRemainingMs(subjects);
  }

  startIsolatedRun(request: SupervisedRequest, addresses: readonly string[]): void {
    this.isolatedRuns.set(request, addresses);
  }

  endIsolatedRun(request: SupervisedRequest): void {
    this.isolatedRuns.delete(request);
    [request.fingerprint, ...request.partSubjects].forEach((subject) =>
      this.guard.releaseToOthers(subject),
    );
  }

  addressesOfOtherSuspects(request: SupervisedRequest): ReadonlySet<string> {
    const own = [...this.isolatedRuns].filter(([other]) => other !== request);
    const oldestMs = this.clock.monotonicMs() - peerReportMs;
    const reports = [...this.peerReports.values()].filter(
      ({ receivedMs }) => receivedMs >= oldestMs,
    );
    return new Set([
      ...own.flatMap(([, addresses]) => addresses),
      ...reports.flatMap(({ addresses }) => addresses),
    ]);
  }

  resolveLostRun(request: SupervisedRequest, run: LostRun, onResolved: () => void): void {
    const { endpoints, wasConnectionLost, startedMs } = run;
    const { requestId, fingerprint } = request;
    this.logger.log(LogLevel.Info, 'run-lost', {
      request: requestId,
      fingerprint,
      parts: request.sharedParts.join(',') || undefined,
      endpoints: endpoints.map(({ id }) => id).join(','),
    });
    const lostEndpoints = endpoints.map((endpoint) => {
      const heardMs = this.lastHeardMs(endpoint.address) ?? Number.NEGATIVE_INFINITY;
      return { endpoint, wasAlive: heardMs >= startedMs - recentSignMs, wasConnectionLost };
    });
    this.detector.resolve(lostEndpoints, (crash) => {
      if (crash !== undefined) {
        this.guard.recordCrash(crash, fingerprint, request.partSubjects);
        this.onDidRecordCrash([fingerprint, ...request.partSubjects]);
      }
      onResolved();
    });
  }

  recordSurvival(request: SupervisedRequest): void {
    if (this.hasSuspects) {
      this.guard.recordSurvival(request.fingerprint);
    }
  }

  recordPartSurvivals(parts: readonly string[]): void {
    this.guard.recordPartSurvivals(parts);
  }
}
