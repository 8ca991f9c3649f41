import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { EndpointState, incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import { Suspicion, type EndpointDirectory } from '../../directory/common/endpointDirectory.js';
import {
  ProbeOutcome,
  type EndpointProbe,
  type IEndpointProbes,
} from '../../relay/common/endpointControl.js';

/** Delays between the probes of an endpoint, in milliseconds; the last one repeats. */
const probeDelaysMs = [250, 500, 1_000];

/**
 * Time after a lost run within which its endpoint must be seen to have crashed, in milliseconds. Covers
 * a restart and the time until the store lists the next incarnation.
 */
const decisionTimeoutMs = 10_000;

/**
 * Time after a lost run within which no next incarnation can listen at the address yet, in milliseconds.
 * An answer without a start time then comes from the incarnation that lost the run.
 */
const minRestartMs = 200;

/** Time after which the store lists an incarnation that has started, in milliseconds. */
const listingDelayMs = 4_000;

/** How a crash was detected. */
enum CrashEvidence {
  /** No process listens at the address. */
  Refused = 'refused',
  /** Another incarnation answers at the address or is listed with it. */
  Replaced = 'replaced',
  /** Nothing answers, and the store no longer lists the endpoint. */
  Gone = 'gone',
}

/** An endpoint of a lost run. */
export interface LostEndpoint {
  readonly endpoint: Endpoint;
  /** Whether the endpoint gave a sign of life about when the run started, so that it died after that. */
  readonly wasAlive: boolean;
  /** Whether the run ended with its connection, rather than by a timeout. */
  readonly wasConnectionLost: boolean;
}

/** A run without an answer, until it is known whether one of its endpoints crashed. */
interface LostRun {
  /** Number of its endpoints about which nothing is known yet. */
  undecidedEndpoints: number;
  isResolved: boolean;
  readonly lostAtMs: number;
  readonly onResolved: (crash: string | undefined) => void;
}

/** A lost run, as far as one of its endpoints is concerned. */
interface WatchedRun {
  readonly run: LostRun;
  readonly wasAlive: boolean;
}

/** Endpoint that lost runs and may have crashed. */
interface Watch {
  readonly endpoint: Endpoint;
  runs: WatchedRun[];
  readonly startedMs: number;
  probeCount: number;
  hasLostConnection: boolean;
  /** Whether no probe was answered or refused; the machine may have died before the runs started. */
  isSilent: boolean;
  cancelTimer: CancelTimer | undefined;
}

/**
 * Tells crashes of endpoints from other losses of runs, such as resets, cuts and timeouts: an endpoint
 * crashed if its address refuses connections, if another incarnation has taken its place, or if it is
 * silent and no longer listed.
 */
export class CrashDetector {
  private readonly watches = new Map<string, Watch>();

  /**
   * @param directory - Knows the incarnations at each address.
   * @param control - Probes endpoints.
   * @param onDidCrash - Called once for each crash that was detected.
   * @param clock - Source of time and timers.
   * @param logger - Receives the outcome for each endpoint.
   */
  constructor(
    private readonly directory: EndpointDirectory,
    private readonly control: IEndpointProbes,
    private readonly onDidCrash: () => void,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {}

  /**
   * Finds out whether a run was lost because an endpoint crashed under it. Endpoints that are known to
   * leave are disregarded, since their end is planned, and so are machines that fell silent and may have
   * done so before the run started.
   *
   * @param endpoints - Endpoints of the run's path.
   * @param onResolved - Called once, possibly at once: with the id of the crash, which is the same at
   *   all gateways, or with undefined if no endpoint was seen to crash.
   */
  resolve(
    endpoints: readonly LostEndpoint[],
    onResolved: (crash: string | undefined) => void,
  ): void {
    const watched = endpoints.filter(({ endpoint }) => this.isExpectedToLive(endpoint));
    if (watched.length === 0) {
      this.logger.log(LogLevel.Info, 'crash-not-examined', {
        endpoints: endpoints.map(({ endpoint }) => endpoint.id).join(','),
        reason: 'leaving',
      });
      onResolved(undefined);
      return;
    }
    const lostAtMs = this.clock.monotonicMs();
    const run: LostRun = {
      undecidedEndpoints: watched.length,
      isResolved: false,
      lostAtMs,
      onResolved,
    };
    watched.forEach((lost) => this.watch(lost, { run, wasAlive: lost.wasAlive }));
  }

  /** Cancels all timers; runs that are not resolved remain so. */
  close(): void {
    this.watches.forEach(({ cancelTimer }) => cancelTimer?.());
    this.watches.clear();
  }

  private isExpectedToLive(endpoint: Endpoint): boolean {
    const listed = this.directory.findByAddress(endpoint.address);
    return listed?.state === EndpointState.Ready;
  }

  private watch({ endpoint, wasConnectionLost }: LostEndpoint, watchedRun: WatchedRun): void {
    const incarnation = incarnationOf(endpoint);
    const existing = this.watches.get(incarnation);
    if (existing) {
      existing.runs.push(watchedRun);
      existing.hasLostConnection ||= wasConnectionLost;
      return;
    }
    const created: Watch = {
      endpoint,
      runs: [watchedRun],
      startedMs: watchedRun.run.lostAtMs,
      probeCount: 0,
      hasLostConnection: wasConnectionLost,
      isSilent: true,
      cancelTimer: undefined,
    };
    this.watches.set(incarnation, created);
    void this.probe(created);
  }

  private async probe(watch: Watch): Promise<void> {
    const { endpoint } = watch;
    const probedAtMs = this.clock.monotonicMs();
    const { outcome, startedMs } = await this.check(watch);
    if (this.watches.get(incarnationOf(endpoint)) !== watch) {
      return;
    }
    watch.isSilent &&= outcome === ProbeOutcome.Silent || outcome === ProbeOutcome.HeldBack;
    const evidence = this.findEvidence(endpoint, outcome, startedMs);
    if (evidence !== undefined) {
      this.resolveAsCrash(watch, evidence);
    } else if (outcome === ProbeOutcome.Answered) {
      this.resolveAsAlive(watch, probedAtMs, startedMs !== undefined);
    } else if (this.clock.monotonicMs() - watch.startedMs > decisionTimeoutMs) {
      this.resolveAsUnknown(watch);
    }
    if (watch.runs.length > 0) {
      const delayMs = probeDelaysMs[Math.min(watch.probeCount, probeDelaysMs.length - 1)];
      watch.probeCount += 1;
      watch.cancelTimer = this.clock.after(delayMs, () => void this.probe(watch));
    } else {
      this.watches.delete(incarnationOf(endpoint));
    }
  }

  /**
   * Probes an endpoint. Endpoints of plain services are left alone unless they lost a connection, since
   * each connection takes one of their slots for a moment, and most timeouts are not crashes.
   */
  private async check({ endpoint, hasLostConnection }: Watch): Promise<EndpointProbe> {
    return endpoint.card !== undefined || hasLostConnection
      ? this.control.probe(endpoint)
      : { outcome: ProbeOutcome.Silent, startedMs: undefined };
  }

  private findEvidence(
    endpoint: Endpoint,
    outcome: ProbeOutcome,
    startedMs: number | undefined,
  ): CrashEvidence | undefined {
    const listed = this.directory.findByAddress(endpoint.address);
    const isRestarted =
      startedMs !== undefined && endpoint.startedMs > 0 && startedMs !== endpoint.startedMs;
    if (isRestarted || (listed && incarnationOf(listed) !== incarnationOf(endpoint))) {
      return CrashEvidence.Replaced;
    }
    if (outcome === ProbeOutcome.Refused) {
      return CrashEvidence.Refused;
    }
    return outcome === ProbeOutcome.Silent && listed === undefined ? CrashEvidence.Gone : undefined;
  }

  private resolveAsCrash(watch: Watch, evidence: CrashEvidence): void {
    const { endpoint, runs, startedMs, isSilent } = watch;
    watch.runs = [];
    this.onDidCrash();
    if (evidence === CrashEvidence.Refused) {
      this.directory.suspect(endpoint.address, Suspicion.Silent, 'crashed', endpoint.startedMs);
    }
    this.logger.log(LogLevel.Warn, 'endpoint-crashed', {
      endpoint: endpoint.id,
      address: endpoint.address,
      evidence,
      lostRuns: runs.length,
      tookMs: Math.round(this.clock.monotonicMs() - startedMs),
    });
    const incarnation = incarnationOf(endpoint);
    const mayHaveCrashedIt = ({ wasAlive }: WatchedRun) => !isSilent || wasAlive;
    runs.filter(mayHaveCrashedIt).forEach(({ run }) => resolveRun(run, incarnation));
    const excused = runs.filter((run) => !mayHaveCrashedIt(run));
    if (excused.length > 0) {
      this.resolveWithoutCrash('crash-before-run', endpoint, excused);
    }
  }

  /**
   * Resolves the runs that were lost before the probe was sent; the endpoint outlived them. An answer
   * that doesn't tell the incarnation counts unless it may be the next one, which isn't listed yet.
   */
  private resolveAsAlive(watch: Watch, probedAtMs: number, isIncarnationKnown: boolean): void {
    const isOutlived = ({ run }: WatchedRun) => {
      const sinceLossMs = probedAtMs - run.lostAtMs;
      const isSameIncarnation =
        isIncarnationKnown || sinceLossMs <= minRestartMs || sinceLossMs >= listingDelayMs;
      return sinceLossMs >= 0 && isSameIncarnation;
    };
    const outlived = watch.runs.filter(isOutlived);
    watch.runs = watch.runs.filter((run) => !isOutlived(run));
    if (outlived.length > 0) {
      this.resolveWithoutCrash('crash-ruled-out', watch.endpoint, outlived);
    }
  }

  private resolveAsUnknown(watch: Watch): void {
    const { runs } = watch;
    watch.runs = [];
    this.resolveWithoutCrash('crash-undecided', watch.endpoint, runs);
  }

  private resolveWithoutCrash(
    event: string,
    endpoint: Endpoint,
    runs: readonly WatchedRun[],
  ): void {
    this.logger.log(LogLevel.Info, event, {
      endpoint: endpoint.id,
      address: endpoint.address,
      lostRuns: runs.length,
    });
    runs.forEach(({ run }) => excludeEndpoint(run));
  }
}

function resolveRun(run: LostRun, crash: string | undefined): void {
  if (!run.isResolved) {
    run.isResolved = true;
    run.onResolved(crash);
  }
}

/** Records that one endpoint of a run did not crash under it. */
function excludeEndpoint(run: LostRun): void {
  run.undecidedEndpoints -= 1;
  if (run.undecidedEndpoints === 0) {
    resolveRun(run, undefined);
  }
}
