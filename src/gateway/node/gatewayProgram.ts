import { getHeapStatistics } from 'node:v8';
import type { SystemClock } from '../../base/node/systemClock.js';
import { sleep } from '../../base/node/systemClock.js';
import type { CancelTimer } from '../../base/common/clock.js';
import { toErrorMessage } from '../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import type { IRandom } from '../../base/common/random.js';
import { LeaseCandidate } from '../../services/lease/common/lease.js';
import type { SequentialTestOptions } from '../../services/ejection/common/failureDetector.js';
import { AnswerIntake, createAnswerIntake } from '../../services/exchange/node/answerIntake.js';
import { EndpointSender } from '../../services/exchange/node/endpointSender.js';
import type { EraChange } from '../../services/objects/common/objects.js';
import { deriveBounds } from '../../services/intake/common/intakeBounds.js';
import { CallerIntake } from '../../services/intake/node/callerIntake.js';
import type { GatewaySettings } from '../../services/settings/common/settings.js';
import { ModelAdmissions } from '../admission/common/modelAdmissions.js';
import { ConfigHolder } from '../config/common/configHolder.js';
import { incarnationOf, type Endpoint } from '../directory/common/endpoint.js';
import { LayerCheck } from '../directory/common/layerCheck.js';
import { EndpointDirectory, Suspicion } from '../directory/common/endpointDirectory.js';
import { RefusalStreaks } from '../directory/common/refusalStreaks.js';
import { FeedRole } from '../feeds/common/watcherElection.js';
import { FeedGossip } from '../feeds/node/feedGossip.js';
import type { StoreFeed } from '../feeds/node/storeFeed.js';
import type { CallerResponse } from '../http/node/callerResponse.js';
import { Ingress } from '../http/node/ingress.js';
import { StatusServers } from '../http/node/statusServers.js';
import { EndpointLimits } from '../limits/common/endpointLimits.js';
import type { PeerMessage } from '../peers/common/peerMessage.js';
import { PeerExchange } from '../peers/node/peerExchange.js';
import { PeerRegistration } from '../peers/node/peerRegistration.js';
import { LeaseScheduler } from '../placement/common/leaseScheduler.js';
import { PlacementLoop } from '../placement/node/placementLoop.js';
import type { LeavingNotice } from '../relay/common/endpointControl.js';
import { RefusalStatus, type CallerRequest, type IRelay } from '../relay/common/callerRequest.js';
import { AnswerOrder } from '../relay/common/answerOrder.js';
import { PlainRelay } from '../relay/node/plainRelay.js';
import type { RelayContext } from '../relay/node/relayContext.js';
import { StallMonitor } from '../relay/node/stallMonitor.js';
import { StreamRelay } from '../relay/node/streamRelay.js';
import { RetryBudgets } from '../retries/common/retryBudgets.js';
import { EndpointSignals } from '../signals/common/endpointSignals.js';
import { PauseAwareProbes } from '../signals/common/pauseAwareProbes.js';
import {
  EndpointEjections,
  engineFailureTest,
  plainFailureTest,
} from '../routing/common/endpointEjections.js';
import { PlainRouter } from '../routing/common/plainRouter.js';
import { ReservationLedger } from '../routing/common/reservationLedger.js';
import { ConfiguredRanks } from '../scheduling/common/requestRank.js';
import { CrashProtection } from '../suspects/common/crashProtection.js';
import { DrainSequence } from './drainSequence.js';
import { EndpointProber } from './endpointProber.js';
import { createFeeds, type PlatformAdapters } from './gatewayFeeds.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import { SchedulingReporter } from './schedulingReporter.js';

/** Settings and shared objects that the main program passes to a gateway. */
export interface GatewayDependencies {
  readonly settings: GatewaySettings;
  readonly platform: PlatformAdapters;
  readonly clock: SystemClock;
  readonly logger: ILogger;
  readonly metrics: GatewayMetrics;
  readonly random: IRandom;
}

/** Interval between steps of the lease scheduler, in milliseconds. */
const leaseCheckIntervalMs = 250;

/** Interval at which expired directory entries and ejections are removed, in milliseconds. */
const expiryIntervalMs = 300;

/**
 * Maximum number of connections to one endpoint. The rest of the connections that the endpoint
 * accepts is left to the other gateways.
 */
const maxConnectionsPerEndpoint = 128;

/** Delay of a timer from which it is logged, in milliseconds. */
const loggedTimerDelayMs = 200;

/** Longest time that a request waits for the first complete read of the store, in milliseconds. */
const syncWaitMs = 400;

/** Interval between checks whether the store has been read, in milliseconds. */
const syncPollMs = 15;

/**
 * Delay after which a caller refused by a draining gateway may try another one, in milliseconds.
 */
const drainingRetryAfterMs = 50;

/** Delay after which a caller may try a service again whose engine profile is invalid, in milliseconds. */
const invalidEngineRetryAfterMs = 4_000;

/**
 * Longest delay before this gateway writes again what the store has forgotten, in milliseconds. Spreads
 * the writes of all gateways.
 */
const maxRewriteDelayMs = 1_000;

/** Gateway process: relays requests of callers, and places layers while it holds the lease. */
export class GatewayProgram {
  private readonly config: ConfigHolder;

  private readonly directory: EndpointDirectory;

  private readonly ledger: ReservationLedger;

  private readonly limits: EndpointLimits;

  private readonly signals: EndpointSignals;

  private readonly answers: AnswerIntake;

  private readonly sender: EndpointSender;

  private readonly intake: CallerIntake;

  private readonly ingress: Ingress;

  private readonly peers: PeerExchange;

  private readonly feedGossip: FeedGossip;

  private readonly registration: PeerRegistration;

  private readonly lease: LeaseCandidate;

  private readonly placement: PlacementLoop;

  private readonly prober: EndpointProber;

  private readonly stallMonitor: StallMonitor;

  private readonly plainEjections: EndpointEjections;

  private readonly engineEjections: EndpointEjections;

  private readonly plainRouter: PlainRouter;

  private readonly admissions: ModelAdmissions;

  private readonly retryBudgets: RetryBudgets;

  private readonly feeds: readonly StoreFeed<unknown>[];

  private readonly relayContext: RelayContext;

  private readonly crashProtection: CrashProtection;

  private readonly abortController = new AbortController();

  private cancelExpiryTimer: CancelTimer | undefined;

  private readonly status: StatusServers;

  private readonly leaseScheduler: LeaseScheduler;

  /** Port on which peers send their messages; known once the socket is bound. */
  private peerPort = 0;

  private readonly drainSequence: DrainSequence;

  /** @param dependencies - Settings and shared objects. */
  constructor(private readonly dependencies: GatewayDependencies) {
    const { settings, platform, clock, logger, metrics } = dependencies;
    this.config = new ConfigHolder(logger);
    this.directory = new EndpointDirectory(clock, logger);
    this.ledger = new ReservationLedger(clock, dependencies.random);
    this.limits = new EndpointLimits({
      findIncarnation: (incarnation) => this.directory.findIncarnation(incarnation),
      peerCount: () => this.peers.possibleCount,
      random: dependencies.random,
      clock,
      logger,
    });
    const createEjections = (test: SequentialTestOptions) =>
      new EndpointEjections(test, this.config, this.directory, clock, logger);
    this.plainEjections = createEjections(plainFailureTest);
    this.engineEjections = createEjections(engineFailureTest);
    this.retryBudgets = new RetryBudgets(settings, () => this.peers, clock);
    this.signals = new EndpointSignals({
      limits: this.limits,
      directory: this.directory,
      random: dependencies.random,
      clock,
      logger,
    });
    const isPaused = (endpoint: Endpoint) => this.signals.isPaused(endpoint);
    this.answers = createAnswerIntake(
      settings,
      (reason) => metrics.brokenAnswers.inc({ reason }),
      clock,
      logger,
    );
    metrics.observeAnswers(this.answers);
    const maxConnections = maxConnectionsPerEndpoint;
    this.sender = new EndpointSender({ maxConnections, intake: this.answers }, clock);
    const gatewayIncarnation = `${settings.instance}@${clock.wallMs()}`;
    this.crashProtection = new CrashProtection({
      incarnation: gatewayIncarnation,
      store: platform.store,
      directory: this.directory,
      control: new PauseAwareProbes(platform.control, isPaused),
      lastHeardMs: (address) => this.sender.lastHeardMs(address),
      onDidCrash: () => metrics.endpointCrashes.inc(),
      random: dependencies.random,
      clock,
      logger,
    });
    this.relayContext = {
      clock,
      logger,
      metrics,
      dialect: platform.dialect,
      sender: this.sender,
      directory: this.directory,
      ledger: this.ledger,
      signals: this.signals,
      ranks: new ConfiguredRanks(() => this.config.current?.config),
      supervisor: this.crashProtection.supervisor,
      engineHealth: this.engineEjections.health,
      refusalStreaks: new RefusalStreaks(),
      answerOrder: new AnswerOrder(),
      maxAnswerBytes: settings.maxAnswerBytes,
      retryBudgetOf: (service) => this.retryBudgets.of(service),
    };
    const schedulingReporter = new SchedulingReporter(metrics, logger, clock);
    const layerCheck = new LayerCheck(logger);
    this.admissions = new ModelAdmissions({
      config: this.config,
      directory: this.directory,
      layerCheck,
      permission: this.signals,
      ejections: this.engineEjections,
      ledger: this.ledger,
      gatewayCount: () => this.retryBudgets.assumedGatewayCount,
      random: dependencies.random,
      onDidDecide: (decision) => schedulingReporter.report(decision),
      pacingMode: settings.promptPacing,
      onDidHoldPrompt: ({ heldMs }) => metrics.promptHolds.observe(heldMs),
      clock,
      logger,
    });
    this.lease = new LeaseCandidate(
      {
        name: 'placement',
        candidate: gatewayIncarnation,
        durationMs: settings.leaseMs,
        mustWaitIfAbsent: !settings.isFirstStart,
      },
      platform.store,
      clock,
      () => platform.store.era,
      logger,
    );
    this.leaseScheduler = new LeaseScheduler(
      this.lease,
      settings.leaseMs,
      () => this.peers.aliveCount > 1,
      clock,
    );
    this.placement = new PlacementLoop(
      this.lease,
      this.config,
      this.directory,
      layerCheck,
      this.ledger,
      platform.control,
      isPaused,
      clock,
      logger,
    );
    this.prober = new EndpointProber(this.directory, platform.control, isPaused, clock);
    this.stallMonitor = new StallMonitor(platform.control, this.relayContext);
    this.plainRouter = new PlainRouter(
      settings.place,
      this.directory,
      this.ledger,
      (incarnation) => this.plainEjections.isEjected(incarnation),
      this.signals,
      clock,
    );
    const { instance, host, peerPort: port } = settings;
    this.peers = new PeerExchange(
      { instance, host, port },
      () => this.createPeerMessage(),
      (message) => this.handlePeerMessage(message),
      (message) => this.feedGossip.handleMessage(message),
      clock,
      logger,
    );
    this.feedGossip = new FeedGossip(instance, this.peers, clock, logger);
    this.registration = new PeerRegistration(platform.store, logger);
    this.feeds = createFeeds(
      platform,
      {
        config: this.config,
        directory: this.directory,
        peers: this.peers,
        crashProtection: this.crashProtection,
        feedGossip: this.feedGossip,
      },
      clock,
      logger,
    );
    this.intake = new CallerIntake(
      deriveBounds(settings, getHeapStatistics().heap_size_limit),
      (reason) => metrics.callerCuts.inc({ reason }),
      clock,
      logger,
    );
    // Answers that callers don't read stay in the account of answers, where others wait for room.
    this.intake.yieldAnswers(() => this.answers.account.wantedBytes);
    metrics.observeIntake(this.intake);
    this.status = new StatusServers(() => this.isReady, metrics.registry, this.intake);
    metrics.observeSuspects(() => this.crashProtection.suspectCount);
    metrics.observeQuarantinedParts(() => this.crashProtection.quarantinedPartCount);
    metrics.observeLimitedEndpoints(() => this.limits.count);
    metrics.observePausedEndpoints(() => this.signals.pausedCount);
    this.feeds.forEach((feed) => {
      metrics.observeFeedAge(feed.name, () => feed.ageMs);
      feed.onDidCatchUp((read) => metrics.feedCatchUps.inc({ feed: feed.name, read }));
    });
    metrics.observeFeedWatcher(() => this.feedGossip.currentRole !== FeedRole.Follower);
    metrics.observeDemand(() => this.admissions.ownDemand());
    metrics.observeInFlight(() => this.ingress.inFlight);
    this.ingress = new Ingress(
      this.config,
      platform.dialect,
      dependencies.random,
      () => this.whenSynced(),
      (req, caller) => this.startRelay(req, caller),
      this.intake,
      metrics,
      clock,
      logger,
    );
    this.drainSequence = new DrainSequence(
      settings.drainMs,
      this.ingress,
      this.lease,
      clock,
      logger,
    );
    platform.control.onDidHearLeaving((notice) => this.handleLeaving(notice));
    platform.store.onDidChangeEra((change) => this.handleEraChange(change));
    this.config.onDidChange(({ config: { version } }) => metrics.configVersion.set(version));
    this.directory.onDidRemove((endpoint) => this.releaseEndpoint(endpoint));
    this.directory.onDidRemove((endpoint) => this.crashProtection.handleRemoval(endpoint));
    this.directory.onDidRemove((endpoint) => layerCheck.remove(endpoint));
  }

  /** Ports of the load balancer's readiness check and of the metrics. */
  get statusPorts(): { readonly ready: number; readonly metrics: number } {
    return this.status.ports;
  }

  /** Port that callers connect to; known once {@link start} has resolved. */
  get callerPort(): number {
    return this.ingress.port;
  }

  /** Starts the servers, the feeds and the background tasks; resolves once callers can connect. */
  async start(): Promise<void> {
    const { settings, logger } = this.dependencies;
    const [host, port] = splitAddress(settings.callerAddress);
    if (!settings.isFirstStart) {
      this.directory.expectCopy();
    }
    this.feeds.forEach((feed) => feed.start());
    await this.ingress.listen(host, port);
    const readyAddress = splitAddress(settings.readyAddress);
    await this.status.listen(readyAddress, [settings.host, settings.metricsPort]);
    const peerPort = await this.peers.start();
    this.placement.start();
    this.prober.start();
    this.scheduleRepeatedly(expiryIntervalMs, (delayMs) => {
      this.recordTimerDelay(delayMs);
      this.directory.removeExpired();
      this.plainEjections.endExpired();
      this.engineEjections.endExpired();
    });
    this.feedGossip.start();
    this.peerPort = peerPort;
    this.registerAsPeer();
    void this.keepLease();
    logger.log(LogLevel.Info, 'started', {
      place: settings.place,
      region: settings.region,
      callers: `${host}:${this.callerPort}`,
      ready: `${readyAddress[0]}:${this.statusPorts.ready}`,
      metrics: this.statusPorts.metrics,
      store: settings.storeAddress,
    });
  }

  /**
   * Moves callers to other gateways and lets the requests in flight finish within the grace period.
   */
  async drain(): Promise<void> {
    await this.drainSequence.run();
  }

  /** Aborts what still runs and releases all connections, servers and timers. */
  async close(): Promise<void> {
    this.abortController.abort();
    this.cancelExpiryTimer?.();
    this.ingress.close();
    this.status.close();
    this.intake.close();
    this.answers.close();
    this.feeds.forEach((feed) => feed.close());
    this.feedGossip.close();
    this.peers.close();
    this.registration.close();
    this.placement.close();
    this.prober.close();
    this.stallMonitor.close();
    this.crashProtection.close();
    this.admissions.close();
    this.directory.close();
    this.config.close();
    await this.sender.close();
  }

  private get isReady(): boolean {
    return !this.drainSequence.hasStarted && this.isSynced;
  }

  private get isSynced(): boolean {
    return this.config.current !== undefined && this.feeds.every((feed) => feed.hasListed);
  }

  /**
   * Waits until the store has been read, but only for a short time. The store usually answers at once,
   * so requests that arrive right after a start need not be refused.
   */
  private async whenSynced(): Promise<void> {
    const { clock } = this.dependencies;
    const deadlineMs = clock.monotonicMs() + syncWaitMs;
    while (!this.isSynced && clock.monotonicMs() < deadlineMs) {
      await sleep(syncPollMs, this.abortController.signal);
    }
  }

  private startRelay(req: CallerRequest, caller: CallerResponse): IRelay | undefined {
    const service = this.config.current?.config.services.get(req.service);
    if (this.drainSequence.mustRefuse(service?.engine !== undefined, req)) {
      this.dependencies.metrics.refusals.inc({ reason: 'draining' });
      caller.refuse({
        status: RefusalStatus.Unavailable,
        detail: 'this gateway is stopping',
        retryAfterMs: drainingRetryAfterMs,
      });
      return undefined;
    }
    if (service?.engineFault !== undefined) {
      this.dependencies.metrics.refusals.inc({ reason: 'engine-invalid' });
      caller.refuse({
        status: RefusalStatus.Unavailable,
        detail: `the engine profile of ${service.name} is invalid`,
        retryAfterMs: invalidEngineRetryAfterMs,
      });
      return undefined;
    }
    this.retryBudgets.of(req.service).countRequest();
    this.limits.countRequest(req.service);
    let relay: IRelay;
    if (service?.engine) {
      const admission = this.admissions.of(req.service, service.engine);
      const stream = new StreamRelay(
        req,
        caller,
        admission,
        this.admissions.pacedOf(req.service, service.engine),
        service.engine.meanOutputTokens,
        this.relayContext,
        (ended) => this.stallMonitor.remove(ended),
      );
      this.stallMonitor.add(stream);
      relay = stream;
    } else {
      relay = new PlainRelay(
        req,
        caller,
        this.plainRouter,
        this.plainEjections.health,
        this.relayContext,
        () => {},
      );
    }
    try {
      relay.start();
    } catch (err) {
      const fields = { request: req.metadata.requestId, reason: toErrorMessage(err) };
      this.dependencies.logger.log(LogLevel.Error, 'request-failed', fields);
      relay.stop('the gateway failed');
    }
    return relay;
  }

  private createPeerMessage(): PeerMessage {
    return {
      sender: this.dependencies.settings.instance,
      configVersion: this.config.current?.config.version ?? 0,
      loads: this.ledger.ownLoads(),
      suspects: this.directory.silentEndpoints(),
      draining: this.directory.drainingEndpoints(),
      rejecting: this.directory.rejectingEndpoints(),
      departed: this.directory.nextDepartures(),
      limits: this.limits.createReport(),
      full: this.ledger.recentlyFull(),
      demand: this.admissions.createSummaries(),
      placingTerm: this.lease.isConfirmed ? (this.lease.term() ?? 0) : 0,
      ...this.crashProtection.createReport(),
    };
  }

  private handlePeerMessage(message: PeerMessage): void {
    const { sender, loads, suspects, draining, departed, placingTerm, full } = message;
    this.ledger.updatePeer(sender, loads);
    this.admissions.recordPeerRefusals(full);
    this.admissions.handleSummaries(sender, message.demand);
    const reason = `reported by ${sender}`;
    suspects.forEach(({ address, startedMs }) =>
      this.directory.suspect(address, Suspicion.ReportedByPeer, reason, startedMs),
    );
    message.rejecting.forEach(({ address, startedMs }) =>
      this.directory.suspect(address, Suspicion.RejectingAtPeer, reason, startedMs),
    );
    draining.forEach(({ address, startedMs }) =>
      this.directory.suspect(address, Suspicion.DrainingAtPeer, reason, startedMs),
    );
    if (departed.length > 0) {
      this.directory.handleDepartures(sender, departed);
    }
    this.limits.handleReport(sender, message.limits);
    this.crashProtection.handleReport(sender, message);
    if (placingTerm > 0) {
      this.leaseScheduler.recordPlacerHeartbeat();
    }
  }

  private handleLeaving({ address, startedMs }: LeavingNotice): void {
    const endpoint = this.directory.findByAddress(address);
    if (endpoint && (startedMs === undefined || startedMs === endpoint.startedMs)) {
      this.directory.recordLeaving(endpoint);
    }
  }

  private releaseEndpoint(endpoint: Endpoint): void {
    this.sender.closeConnectionsTo(endpoint.address);
    this.ledger.clearLearnedLimit(endpoint.address);
    this.plainRouter.removeEndpoint(endpoint);
    this.signals.removeEndpoint(endpoint);
    this.plainEjections.forget(endpoint);
    this.engineEjections.forget(endpoint);
    this.relayContext.answerOrder.forget(incarnationOf(endpoint));
    this.relayContext.refusalStreaks.forget(incarnationOf(endpoint));
  }

  /**
   * Writes again what the store may have forgotten, and distrusts what it may show of the past. The feeds
   * list their objects anew by themselves.
   */
  private handleEraChange({ previousEra, era }: EraChange): void {
    const { logger, metrics, random, clock } = this.dependencies;
    const delayMs = random.float() * maxRewriteDelayMs;
    metrics.eraChanges.inc();
    logger.log(LogLevel.Warn, 'store-era-changed', {
      previousEra,
      era,
      listsAnew: this.feeds.length,
      suspects: this.crashProtection.suspectCount,
      wasPlacer: this.lease.term() !== undefined,
      registersInMs: Math.round(delayMs),
    });
    this.lease.handleEraChange();
    this.directory.recordStoreCopy();
    clock.after(delayMs, () => {
      this.registerAsPeer();
      this.crashProtection.publish();
    });
  }

  private registerAsPeer(): void {
    const { instance, host } = this.dependencies.settings;
    void this.registration.register({ instance, host, port: this.peerPort });
  }

  private async keepLease(): Promise<void> {
    let loggedTerm: number | undefined;
    while (!this.abortController.signal.aborted && !this.drainSequence.hasStarted) {
      await this.leaseScheduler.step();
      const term = this.lease.term();
      if (term !== loggedTerm) {
        this.dependencies.logger.log(
          LogLevel.Info,
          term === undefined ? 'lease-lost' : 'lease-held',
          {
            term: term ?? loggedTerm,
          },
        );
        loggedTerm = term;
      }
      await sleep(leaseCheckIntervalMs, this.abortController.signal);
    }
  }

  /** Records how late a timer is: as late are deadlines, hedges and ejections. */
  private recordTimerDelay(delayMs: number): void {
    const { metrics, logger } = this.dependencies;
    metrics.timerDelay.observe(delayMs);
    if (delayMs >= loggedTimerDelayMs) {
      logger.log(LogLevel.Warn, 'event-loop-late', {
        delayMs: Math.round(delayMs),
        inFlight: this.ingress.inFlight,
        ...this.answers.use,
      });
    }
  }

  /** Repeats an action, which is told by how much it is late, in milliseconds. */
  private scheduleRepeatedly(intervalMs: number, action: (delayMs: number) => void): void {
    const { clock } = this.dependencies;
    const dueMs = clock.monotonicMs() + intervalMs;
    this.cancelExpiryTimer = clock.after(intervalMs, () => {
      action(Math.max(0, clock.monotonicMs() - dueMs));
      this.scheduleRepeatedly(intervalMs, action);
    });
  }
}

function splitAddress(address: string): [string, number] {
  const separator = address.lastIndexOf(':');
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
