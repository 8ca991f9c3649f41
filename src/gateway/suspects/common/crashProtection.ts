import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import type { ILogger } from '../../../base/common/logger.js';
import type { IRandom } from '../../../base/common/random.js';
import { RepeatLimitedLogger } from '../../../base/common/repeatLimitedLogger.js';
import type { IObjectStore } from '../../../services/objects/common/objects.js';
import {
  CrashSuspects,
  Verdict,
  type SuspicionPolicy,
} from '../../../services/suspects/common/crashSuspects.js';
import { SuspectGuard } from '../../../services/suspects/common/suspectGuard.js';
import {
  holdsCrashes,
  type SuspectRecord,
} from '../../../services/suspects/common/suspectRecord.js';
import { SuspectStore } from '../../../services/suspects/common/suspectStore.js';
import { EndpointState, type Endpoint } from '../../directory/common/endpoint.js';
import type { EndpointDirectory } from '../../directory/common/endpointDirectory.js';
import type { IEndpointProbes } from '../../relay/common/endpointControl.js';
import { CrashDetector } from './crashDetector.js';
import { RunSupervisor } from './runSupervisor.js';
import { SuspicionGossip } from './suspicionGossip.js';

/**
 * Endpoints don't keep suspects apart here, and callers share them. One crash therefore says little, and
 * two may be a coincidence.
 */
const suspicionPolicy: SuspicionPolicy = {
  isolationCrashes: 2,
  quarantineCrashes: 3,
  runnerTimeoutMs: 5_000,
  maxBankedSurvivals: 6,
};

/**
 * Bounds on the delay before a suspicion is stored that restricts no request yet, in milliseconds. The
 * delay is random, so that one gateway stores what all have told each other, and the others need not.
 */
const minStoreDelayMs = 1_000;
const maxStoreDelayMs = 4_000;

/** A lookup that hangs is watched for seconds without a result; an endpoint may have many of them. */
const undecidedLineLimit = {
  event: 'crash-undecided',
  subjectField: 'endpoint',
  intervalMs: 60_000,
};

/** What the protection of a gateway's endpoints depends on. */
export interface CrashProtectionDependencies {
  /** Incarnation of this gateway. */
  readonly incarnation: string;
  readonly store: IObjectStore;
  readonly directory: EndpointDirectory;
  readonly control: IEndpointProbes;
  /** Returns the monotonic time at which an address last gave a sign of life, in milliseconds. */
  readonly lastHeardMs: (address: string) => number | undefined;
  /** Called for each crash of an endpoint that lost runs of this gateway. */
  readonly onDidCrash: () => void;
  /** Spreads the writes of the gateways. */
  readonly random: IRandom;
  readonly clock: IClock & ITimers;
  readonly logger: ILogger;
}

/** What gateways tell each other several times a second about requests that crash endpoints. */
export interface SuspicionReport {
  /** Some of the requests under which endpoints crashed, as far as the sender knows. */
  readonly suspectRequests: readonly SuspectRecord[];
  /** Addresses of endpoints on which the sender runs a suspect request. */
  readonly isolated: readonly string[];
}

/**
 * Protects endpoints from requests that crash each endpoint that runs them, together with the other
 * gateways.
 */
export class CrashProtection {
  /** Supervises the runs of requests. */
  readonly supervisor: RunSupervisor;

  private readonly suspects: CrashSuspects;

  private readonly guard: SuspectGuard;

  private readonly detector: CrashDetector;

  private readonly gossip: SuspicionGossip;

  /** Records that the store held when it was last seen. */
  private stored: readonly SuspectRecord[] = [];

  private cancelStoring: CancelTimer | undefined;

  /** @param dependencies - Incarnation of the gateway and shared objects. */
  constructor(private readonly dependencies: CrashProtectionDependencies) {
    const { incarnation, store, directory, control, clock, logger } = dependencies;
    this.suspects = new CrashSuspects(incarnation, suspicionPolicy);
    const sharing = new SuspectStore(this.suspects, store, clock);
    this.guard = new SuspectGuard(this.suspects, sharing, clock, clock, logger);
    this.gossip = new SuspicionGossip(this.suspects);
    this.guard.onDidSuspect((records) => this.gossip.prioritise(records));
    this.detector = new CrashDetector(
      directory,
      control,
      () => dependencies.onDidCrash(),
      clock,
      new RepeatLimitedLogger(logger, undecidedLineLimit, clock),
    );
    this.supervisor = new RunSupervisor(
      this.guard,
      this.detector,
      dependencies.lastHeardMs,
      (subjects) => this.storeCrash(subjects),
      clock,
      logger,
    );
  }

  /**
   * Called when an endpoint was removed or replaced.
   *
   * @param endpoint - The endpoint as it was last known.
   */
  handleRemoval({ service, state }: Endpoint): void {
    if (state === EndpointState.Ready) {
      this.supervisor.recordUnplannedEnd(service);
    }
  }

  /** Number of requests and parts of prompts under which an endpoint crashed. */
  get suspectCount(): number {
    return this.suspects.size;
  }

  /** Number of parts of prompts that are quarantined. */
  get quarantinedPartCount(): number {
    return this.suspects.quarantinedParts().length;
  }

  /** Returns what to tell the peers next. */
  createReport(): SuspicionReport {
    return {
      suspectRequests: this.gossip.next(),
      isolated: this.supervisor.isolatedAddresses(),
    };
  }

  /**
   * Learns from the report of a peer.
   *
   * @param peer - Instance name of the peer.
   * @param report - Its report.
   */
  handleReport(peer: string, { suspectRequests, isolated }: SuspicionReport): void {
    this.supervisor.updatePeer(peer, isolated);
    if (suspectRequests.length > 0) {
      this.guard.merge(suspectRequests);
    }
  }

  /**
   * Merges the suspicions that the store holds.
   *
   * @param records - All records of the store.
   */
  handleStored(records: readonly SuspectRecord[]): void {
    this.stored = records;
    this.guard.merge(records);
  }

  /** Stores the suspicions of this gateway unless the store has them. */
  publish(): void {
    this.guard.publish();
  }

  /** Cancels all timers; waiting requests are neither admitted nor refused. */
  close(): void {
    this.cancelStoring?.();
    this.detector.close();
    this.guard.close();
  }

  /** Stores a crash: at once if one of its subjects is now restricted, later and only if still needed otherwise. */
  private storeCrash(subjects: readonly string[]): void {
    if (subjects.some((subject) => this.suspects.verdict(subject) !== Verdict.Clear)) {
      this.guard.publish();
      return;
    }
    const { clock, random } = this.dependencies;
    const delayMs = minStoreDelayMs + random.float() * (maxStoreDelayMs - minStoreDelayMs);
    this.cancelStoring ??= clock.after(delayMs, () => {
      this.cancelStoring = undefined;
      if (!holdsCrashes(this.stored, this.suspects.snapshot())) {
        this.guard.publish();
      }
    });
  }
}
