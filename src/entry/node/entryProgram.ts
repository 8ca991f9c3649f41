import { randomUUID } from 'node:crypto';
import type { FastifyInstance } from 'fastify';
import { sha256Hex } from '../../base/common/digest.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import { SeededRandom, type IRandom } from '../../base/common/random.js';
import type { IMetrics } from '../../base/node/metrics.js';
import type { SystemClock } from '../../base/node/systemClock.js';
import { ClaimLedger } from '../../services/claims/common/claimLedger.js';
import { InstanceRole } from '../../services/instances/common/instance.js';
import type { AnswerIntake } from '../../services/exchange/node/answerIntake.js';
import {
  createProgramAnswerIntake,
  reportAnswers,
} from '../../services/exchange/node/programAnswerIntake.js';
import type { CallerIntake } from '../../services/intake/node/callerIntake.js';
import { createProgramIntake, reportIntake } from '../../services/intake/node/programIntake.js';
import { PlatformInstanceList } from '../../services/instances/node/platformInstanceList.js';
import type { LeaseCandidate } from '../../services/lease/common/lease.js';
import {
  linkVersion,
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
} from '../../services/link/common/messages.js';
import { ObjectKind } from '../../services/objects/common/objects.js';
import type { HttpObjectStore } from '../../services/objects/node/httpObjectStore.js';
import { ObjectCache } from '../../services/objects/node/objectCache.js';
import { RecordRestorer } from '../../services/objects/node/recordRestorer.js';
import { RestorePeriod } from '../../services/objects/common/restorePeriod.js';
import { RuleHistory } from '../../services/rules/common/ruleHistory.js';
import { RuleStore } from '../../services/rules/common/ruleStore.js';
import {
  QueueingPolicy,
  RoutingPolicy,
  type EntrySettings,
} from '../../services/settings/common/settings.js';
import { UsageCounters, UsageSide, type UsageRecord } from '../../services/usage/common/usage.js';
import { UsageWriter } from '../../services/usage/node/usageWriter.js';
import { ChatAdmission } from '../chat/common/chatAdmission.js';
import { ChatRunner } from '../chat/common/chatRunner.js';
import { costReport } from '../costs/common/costReport.js';
import { EndpointHealth } from '../../services/ejection/common/endpointHealth.js';
import { SequentialTest } from '../../services/ejection/common/failureDetector.js';
import { interchangeableEndpoints } from '../fleet/common/endpointView.js';
import { AgentPool } from '../fleet/node/agentPool.js';
import { CallerDirectory, type OrganisationRecord } from '../http/common/callerDirectory.js';
import { DecisionLog } from '../http/common/decisionLog.js';
import { CallerConnections } from '../http/node/callerConnections.js';
import { addAdminRoutes, type EntryStatus } from '../http/node/adminRoutes.js';
import { addChatRoutes } from '../http/node/chatRoutes.js';
import { createEntryServer } from '../http/node/entryServer.js';
import { RequestGuard, type ChatSubmissionStarter } from '../http/node/requestGuard.js';
import { addServiceRoutes, type ServiceSubmissionStarter } from '../http/node/serviceRoutes.js';
import { createPlacementLease } from '../placement/node/placementLease.js';
import { Placer, type ModelRecord } from '../placement/node/placer.js';
import { RandomRouter, RoundRobinRouter } from '../routing/common/baselineRouters.js';
import { FastestChainRouter, type IChainRouter } from '../routing/common/chainRouter.js';
import { dataCentreLatency } from '../routing/common/dataCentreLatency.js';
import { PrefixDirectory } from '../routing/common/prefixDirectory.js';
import { RuleFeed } from '../rules/node/ruleFeed.js';
import { ServiceCaller } from '../services/common/serviceCaller.js';
import { CrashSuspects } from '../../services/suspects/common/crashSuspects.js';
import { SuspectGuard } from '../../services/suspects/common/suspectGuard.js';
import { parseSuspectRecords } from '../../services/suspects/common/suspectRecord.js';
import { SuspectStore } from '../../services/suspects/common/suspectStore.js';
import { ChatSubmission } from '../submission/common/chatSubmission.js';
import { ServiceSubmission } from '../submission/common/serviceSubmission.js';
import {
  SubmissionFlow,
  type ISubmissionRunner,
  type PreparedRun,
  type SubmissionIdentity,
} from '../submission/common/submissionFlow.js';
import { EntryDrain } from './entryDrain.js';
import { EraReport } from './eraReport.js';
import {
  claimTimeoutMs,
  ejectionLimits,
  ejectionTestOptions,
  healthReportIntervalMs,
  maxEpochs,
  maxHeadClaims,
  maxRefusals,
  engineUnreachableStallMs,
  unservedTimeoutMs,
  placementIntervalMs,
  restoreCheckIntervalMs,
  timeoutCheckIntervalMs,
} from './entryLimits.js';

/** Service as stored in the platform. */
interface ServiceRecord {
  readonly name: string;
}

/** Settings and shared services of an entry, created when the program starts. */
export interface EntryDependencies {
  readonly settings: EntrySettings;
  readonly clock: SystemClock;
  readonly logger: ILogger;
  readonly metrics: IMetrics;
  readonly store: HttpObjectStore;
}

function createRouter(settings: EntrySettings, random: IRandom): IChainRouter {
  switch (settings.routing) {
    case RoutingPolicy.Random:
      return new RandomRouter(random);
    case RoutingPolicy.RoundRobin:
      return new RoundRobinRouter();
    default:
      return new FastestChainRouter(dataCentreLatency(settings.latencies), random);
  }
}

/** Entry process, which serves the HTTP interfaces for callers and operators. */
export class EntryProgram {
  private readonly incarnation = randomUUID();

  private readonly logger: DecisionLog;

  private readonly app: FastifyInstance;

  private readonly intake: CallerIntake;

  private readonly answers: AnswerIntake;

  private readonly pool: AgentPool;

  private readonly rules: RuleFeed;

  private readonly ruleStore: RuleStore;

  private readonly restorePeriod: RestorePeriod;

  private readonly eraReport: EraReport;

  private readonly models: ObjectCache<ModelRecord>;

  private readonly services: ObjectCache<ServiceRecord>;

  private readonly organisations: ObjectCache<OrganisationRecord>;

  private readonly callers = new CallerDirectory();

  private readonly prefixes = new PrefixDirectory();

  private readonly admission: ChatAdmission;

  private readonly runner: ChatRunner;

  private readonly quarantine: ObjectCache<unknown>;

  private readonly suspectGuard: SuspectGuard;

  private readonly endpointHealth: EndpointHealth;

  private readonly serviceCaller: ServiceCaller;

  private readonly claimLedger: ClaimLedger;

  private readonly lease: LeaseCandidate;

  private readonly placer: Placer;

  private readonly usage = new UsageCounters();

  private readonly usageWriter: UsageWriter;

  private readonly intervals: NodeJS.Timeout[] = [];

  private activeSubmissions = 0;

  private readonly connections = new CallerConnections();

  private readonly entryDrain: EntryDrain;

  /** @param dependencies - Settings and shared services; owned by the caller. */
  constructor(private readonly dependencies: EntryDependencies) {
    const { settings, clock, store } = dependencies;
    this.logger = new DecisionLog(dependencies.logger);
    this.answers = createProgramAnswerIntake(settings, dependencies.metrics, clock, this.logger);
    const random = new SeededRandom(Number.parseInt(sha256Hex(this.incarnation).slice(0, 8), 16));
    this.pool = this.createPool();
    this.eraReport = this.createEraReport();
    this.restorePeriod = new RestorePeriod(store, clock);
    const history = new RuleHistory(this.restorePeriod, () =>
      Math.max(this.pool.highestRevision, this.rules.current.revision),
    );
    this.ruleStore = new RuleStore(store, sha256Hex, history);
    this.rules = new RuleFeed(this.ruleStore, store, history, this.logger);
    this.models = this.createRecordCache(ObjectKind.Models);
    this.services = this.createRecordCache(ObjectKind.Services);
    this.organisations = this.createRecordCache(ObjectKind.Organisations);
    this.quarantine = new ObjectCache(store, ObjectKind.Quarantine);
    this.organisations.onDidChange(() => this.callers.update(this.organisations.values()));
    this.admission = new ChatAdmission(
      {
        dataCentre: settings.place,
        queueLimit: settings.queueLimit,
        unservedTimeoutMs,
        fair: settings.queueing === QueueingPolicy.Fair,
      },
      this.pool,
      createRouter(settings, random),
      this.prefixes,
      () => this.rules.current.agreement,
      clock,
      this.logger,
    );
    const { instance, stallMs } = settings;
    this.suspectGuard = this.createSuspectGuard();
    this.runner = new ChatRunner(
      { entry: instance, stallMs, engineUnreachableStallMs, maxEpochs, maxRefusals },
      this.pool,
      this.admission,
      this.suspectGuard,
      clock,
      this.logger,
    );
    this.endpointHealth = this.createEndpointHealth();
    this.serviceCaller = new ServiceCaller(this.pool, clock, clock, random, this.logger);
    this.claimLedger = new ClaimLedger(
      {
        shards: settings.claimShards,
        maxHeadClaims,
        retentionMs: settings.claimRetentionMs,
        timeoutMs: claimTimeoutMs,
      },
      store,
      clock,
      this.restorePeriod,
    );
    this.lease = this.createLease();
    this.placer = this.createPlacer();
    const owner = { side: UsageSide.Entry, instance, incarnation: this.incarnation };
    this.usageWriter = new UsageWriter(owner, this.usage, store, settings.usageFlushMs);
    this.subscribeToUsage();
    this.subscribeToOutcomes();
    const { metrics, logger } = dependencies;
    this.intake = createProgramIntake(settings, metrics, clock, logger);
    this.app = this.createApp();
    this.entryDrain = this.createDrain();
  }

  /** Starts all components; resolves once HTTP requests are accepted. */
  async start(): Promise<void> {
    const { settings, clock } = this.dependencies;
    this.pool.start();
    this.rules.start();
    this.models.start();
    this.services.start();
    this.organisations.start();
    this.quarantine.start();
    this.startInterval(healthReportIntervalMs, () => this.reportHealth());
    this.startInterval(restoreCheckIntervalMs, () => this.restorePeriod.step());
    this.startInterval(timeoutCheckIntervalMs, () => this.runner.checkTimeouts());
    this.startInterval(placementIntervalMs, () => this.placer.step(clock.monotonicMs()));
    const address = await this.app.listen({ host: settings.host, port: settings.httpPort });
    this.logger.log(LogLevel.Info, 'entry-started', { address, incarnation: this.incarnation });
  }

  /**
   * Fails the health check, then refuses new requests and waits for active ones to end, at most for
   * the configured drain time. Those that haven't ended by then get a final answer.
   */
  drain(): Promise<void> {
    return this.entryDrain.run();
  }

  /**
   * Stops timers, closes the HTTP server, writes the remaining usage, releases the lease and closes
   * watches and links.
   */
  async close(): Promise<void> {
    this.intervals.forEach((interval) => clearInterval(interval));
    await this.entryDrain.close();
    this.intake.close();
    await this.usageWriter.close();
    await this.lease.release();
    this.eraReport.close();
    this.rules.close();
    this.models.close();
    this.services.close();
    this.organisations.close();
    this.quarantine.close();
    this.suspectGuard.close();
    this.pool.close();
    this.answers.close();
  }

  private get activeCount(): number {
    return this.runner.active + this.serviceCaller.active + this.activeSubmissions;
  }

  private createDrain(): EntryDrain {
    const { settings, clock } = this.dependencies;
    const activeCount = () => this.activeCount;
    const work = {
      get active() {
        return activeCount();
      },
      stop: () => this.runner.stop(),
    };
    return new EntryDrain(settings.drainMs, this.app, this.connections, work, clock, this.logger);
  }

  private get isReady(): boolean {
    return (
      this.rules.isReady &&
      this.models.isReady &&
      this.services.isReady &&
      this.organisations.isReady &&
      this.restorePeriod.isKnown &&
      this.pool.hasTriedAll
    );
  }

  private createPool(): AgentPool {
    const { settings, store } = this.dependencies;
    const options = {
      timing: { heartbeatMs: settings.heartbeatMs, deadlineMs: settings.heartbeatDeadlineMs },
      pollMs: settings.instancePollMs,
      createHello: () => this.createHello(),
      createHeartbeat: () => this.createHeartbeat(),
      answers: this.answers,
      maxAnswerBytes: settings.maxAnswerBytes,
    };
    return new AgentPool(options, new PlatformInstanceList(store), this.logger);
  }

  private createEraReport(): EraReport {
    const { store, clock, logger } = this.dependencies;
    const counts = () => {
      const caches = [this.models, this.services, this.organisations, this.quarantine];
      return {
        listed: caches.reduce((sum, { listings }) => sum + listings, 0),
        claimsWrittenAgain: this.claimLedger.restored,
        rulesWrittenAgain: this.rules.restored,
        recordsWrittenAgain:
          this.models.restored + this.services.restored + this.organisations.restored,
        placementsWrittenAgain: this.placer.restored,
        rulesGivenUp: this.rules.givenUp,
      };
    };
    return new EraReport(store, counts, clock, logger);
  }

  private createRecordCache<T>(kind: ObjectKind): ObjectCache<T> {
    const { store } = this.dependencies;
    return new ObjectCache(store, kind, new RecordRestorer<T>(store, kind, this.restorePeriod));
  }

  private createSuspectGuard(): SuspectGuard {
    const { clock, store } = this.dependencies;
    const suspects = new CrashSuspects(this.incarnation);
    const sharing = new SuspectStore(suspects, store, clock);
    const guard = new SuspectGuard(suspects, sharing, clock, clock, this.logger);
    this.quarantine.onDidChange(() => {
      this.quarantine.values().forEach((value) => guard.merge(parseSuspectRecords(value) ?? []));
    });
    // Agents relay suspicions faster than the platform does, and also during its outages.
    guard.onDidSuspect((records) =>
      this.pool.relayToEntries({ kind: MessageKind.Suspects, records }),
    );
    this.pool.onDidReceive(({ message }) => {
      if (message.kind === MessageKind.Suspects) {
        guard.merge(message.records);
      }
    });
    return guard;
  }

  private createEndpointHealth(): EndpointHealth {
    const { clock } = this.dependencies;
    const createDetector = () => new SequentialTest(ejectionTestOptions);
    const groupOf = (endpoint: string) => interchangeableEndpoints(this.pool.endpoints(), endpoint);
    return new EndpointHealth(ejectionLimits, createDetector, groupOf, clock, this.logger);
  }

  private reportHealth(): void {
    const { metrics } = this.dependencies;
    this.endpointHealth.endExpiredEjections();
    reportIntake(this.intake, metrics);
    reportAnswers(this.answers, metrics);
    metrics.gauge('entry.active', this.activeCount);
    metrics.gauge('entry.waiting', this.admission.waiting);
    metrics.gauge('entry.revision', this.rules.current.revision);
  }

  private subscribeToOutcomes(): void {
    this.endpointHealth.onDidChange(({ endpoint, ejected }) =>
      this.pool.setEjected(endpoint, ejected),
    );
    this.runner.onDidReportOutcome(({ endpoint, failed }) =>
      this.endpointHealth.record(endpoint, failed),
    );
    this.serviceCaller.onDidReportOutcome(({ endpoint, failed }) =>
      this.endpointHealth.record(endpoint, failed),
    );
    this.pool.onDidLose(({ endpoint }) => {
      this.endpointHealth.forget(endpoint);
      this.prefixes.removeEndpoint(endpoint);
    });
  }

  private createLease(): LeaseCandidate {
    const { settings, store, clock } = this.dependencies;
    const { region, leaseMs: durationMs } = settings;
    return createPlacementLease(
      { region, incarnation: this.incarnation, durationMs },
      store,
      clock,
    );
  }

  private createPlacer(): Placer {
    const { settings, store } = this.dependencies;
    const models = () => this.models.values();
    return new Placer(settings.region, this.lease, store, this.pool, models, this.logger);
  }

  private createHello(): HelloMessage {
    const { instance, place, region } = this.dependencies.settings;
    return {
      kind: MessageKind.Hello,
      version: linkVersion,
      instance,
      incarnation: this.incarnation,
      role: InstanceRole.Entry,
      place,
      region,
      revision: this.rules.current.revision,
    };
  }

  private createHeartbeat(): HeartbeatMessage {
    return { kind: MessageKind.Heartbeat, revision: this.rules.current.revision };
  }

  private subscribeToUsage(): void {
    this.runner.onDidRecordUsage(
      ({ organisation, model, revision, tokens, layerTokens, micros }) => {
        const amounts = { requests: 1, tokens, layerTokens, micros };
        this.usage.add({ organisation, subject: model, revision }, amounts);
      },
    );
  }

  private createApp(): FastifyInstance {
    const { settings, clock, store } = this.dependencies;
    const app = createEntryServer(settings, this.intake, this.connections);
    app.get('/healthz', (_req, reply) => {
      const leaving = this.entryDrain.isLeaving;
      const healthy = this.isReady && !leaving;
      return reply.code(healthy ? 200 : 503).send({ ready: this.isReady, leaving });
    });
    const guard = new RequestGuard({
      callers: this.callers,
      rules: () => this.rules.current,
      isReady: () => this.isReady,
      isDraining: () => this.entryDrain.isRefusing,
      dataCentre: settings.place,
      requestMs: settings.requestMs,
      clock,
    });
    addChatRoutes(app, {
      guard,
      runner: this.runner,
      model: (name) => this.models.get(name),
      models: () => this.models.values(),
      startSubmission: this.startChatSubmission,
    });
    addServiceRoutes(app, {
      guard,
      serviceCaller: this.serviceCaller,
      hasService: (name) => this.services.get(name) !== undefined,
      startSubmission: this.startServiceSubmission,
    });
    addAdminRoutes(app, {
      keyHashes: new Set(settings.adminKeyHashes),
      status: () => this.status(),
      endpoints: () => this.pool.endpoints(),
      rules: () => this.rules.current,
      ruleStore: this.ruleStore,
      refreshRules: () => this.rules.refresh(),
      decisionLog: this.logger,
      dataCentre: settings.place,
      costs: async (fromMs, toMs) => {
        const list = await store.list<UsageRecord>(ObjectKind.Usage);
        const records = list.isOk() ? list.value.map((object) => object.value) : [];
        return { complete: list.isOk(), lines: costReport(records, fromMs, toMs) };
      },
    });
    return app;
  }

  private readonly startChatSubmission: ChatSubmissionStarter = (
    request,
    idempotencyKey,
    requestDigest,
    onToken,
  ) => {
    const submission = new ChatSubmission(
      request,
      onToken,
      this.admission,
      this.runner,
      this.serviceCaller,
      this.suspectGuard,
    );
    const identity = {
      key: sha256Hex(`${request.organisation}\n${idempotencyKey}`).slice(0, 32),
      request: requestDigest,
      id: request.id,
    };
    return this.trackSubmission(this.createFlow(identity, submission).run());
  };

  private readonly startServiceSubmission: ServiceSubmissionStarter = async (
    request,
    idempotencyKey,
    requestDigest,
  ) => {
    const submission = new ServiceSubmission(request, this.serviceCaller);
    const identity = {
      key: sha256Hex(`${request.organisation}\n${request.service}\n${idempotencyKey}`).slice(0, 32),
      request: requestDigest,
      id: request.id,
    };
    const startedMs = this.dependencies.clock.monotonicMs();
    const result = await this.trackSubmission(this.createFlow(identity, submission).run());
    const { organisation, service: subject, revision } = request;
    const callMs = this.dependencies.clock.monotonicMs() - startedMs;
    this.usage.add({ organisation, subject, revision }, { requests: 1, callMs });
    return result;
  };

  private createFlow<R, P extends PreparedRun>(
    identity: SubmissionIdentity,
    runner: ISubmissionRunner<R, P>,
  ): SubmissionFlow<R, P> {
    const { clock } = this.dependencies;
    return new SubmissionFlow(
      identity,
      this.claimLedger,
      runner,
      randomUUID,
      clock,
      clock,
      this.logger,
    );
  }

  private async trackSubmission<T>(work: Promise<T>): Promise<T> {
    this.activeSubmissions += 1;
    try {
      return await work;
    } finally {
      this.activeSubmissions -= 1;
    }
  }

  private status(): EntryStatus {
    const { instance, place } = this.dependencies.settings;
    return {
      instance,
      incarnation: this.incarnation,
      place,
      draining: this.entryDrain.isRefusing,
      ready: this.isReady,
      revision: this.rules.current.revision,
      lowestRevision: this.pool.lowestEntryRevision,
      activeChats: this.runner.active,
      activeCalls: this.serviceCaller.active,
      waiting: this.admission.waiting,
      leaseTerm: this.lease.term(),
    };
  }

  private startInterval(intervalMs: number, action: () => Promise<void> | void): void {
    this.intervals.push(setInterval(() => void action(), intervalMs));
  }
}
