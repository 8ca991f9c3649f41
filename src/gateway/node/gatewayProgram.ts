import type { SystemClock } from '../../base/node/systemClock.js';
import { sleep } from '../../base/node/systemClock.js';
import type { CancelTimer } from '../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import type { IRandom } from '../../base/common/random.js';
import { LeaseCandidate } from '../../services/lease/common/lease.js';
import { EndpointHealth } from '../../services/ejection/common/endpointHealth.js';
import { SequentialTest } from '../../services/ejection/common/failureDetector.js';
import { absentVersion, ObjectKind } from '../../services/objects/common/objects.js';
import type { GatewaySettings } from '../../services/settings/common/settings.js';
import { ModelAdmission } from '../admission/common/modelAdmission.js';
import { ConfigHolder } from '../config/common/configHolder.js';
import type { EngineProfile } from '../config/common/configSnapshot.js';
import { incarnationOf, type Endpoint } from '../directory/common/endpoint.js';
import { EndpointDirectory, Suspicion } from '../directory/common/endpointDirectory.js';
import type { StoreFeed } from '../feeds/node/storeFeed.js';
import type { CallerConnection } from '../http/node/callerConnection.js';
import { Ingress } from '../http/node/ingress.js';
import { StatusServers } from '../http/node/statusServers.js';
import type { PeerMessage } from '../peers/common/peerMessage.js';
import { PeerExchange, type PeerAddress } from '../peers/node/peerExchange.js';
import { LeaseScheduler } from '../placement/common/leaseScheduler.js';
import { PlacementLoop } from '../placement/node/placementLoop.js';
import { RefusalStatus, type CallerRequest } from '../relay/common/callerRequest.js';
import { EndpointSender } from '../relay/node/endpointSender.js';
import { PlainRelay } from '../relay/node/plainRelay.js';
import type { RelayContext } from '../relay/node/relayContext.js';
import { StallMonitor } from '../relay/node/stallMonitor.js';
import { StreamRelay } from '../relay/node/streamRelay.js';
import { RetryBudget } from '../retries/common/retryBudget.js';
import { CrossDataCentreBudget } from '../routing/common/crossDataCentreBudget.js';
import { PathFinder } from '../routing/common/pathFinder.js';
import { PlainRouter } from '../routing/common/plainRouter.js';
import { ReservationLedger } from '../routing/common/reservationLedger.js';
import { EndpointProber } from './endpointProber.js';
import { createFeeds, type GatewayPorts } from './gatewayFeeds.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

/** What a gateway is given by its main. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly ports: GatewayPorts;
  readonly clock: SystemClock;
  readonly logger: ILogger;
  readonly metrics: GatewayMetrics;
  readonly random: IRandom;
}

/** Pause between looks whether the lease needs a step, in milliseconds. */
const leaseLookMs = 250;

/** Pause between sweeps of the directory, in milliseconds. */
const sweepMs = 300;

/** Pause before the gateway's own entry is written again after a failure, in milliseconds. */
const registerRetryMs = 1_000;

/** Connections to one endpoint; the rest of its bound is for the other gateways. */
const connectionsPerEndpoint = 128;

/** Gateways that are assumed to share a budget while none has been heard of. */
const assumedGateways = 5;

/** Longest wait of a request for the first reading of the store, in milliseconds. */
const syncWaitMs = 400;

/** Pause between looks whether the store was read, in milliseconds. */
const syncPollMs = 15;

/** Time after SIGTERM for which callers may still be sent here, in milliseconds. */
const balancerLagMs = 2_500;

/** Time before the end of the grace at which what is left is broken off, in milliseconds. */
const lastMomentMs = 500;

/** Time after SIGTERM for which streams are taken; the rest of the grace is for their end, in ms. */
const drainStreamsMs = 2_800;

/** Time before the end of the grace until which other requests are taken, in milliseconds. */
const drainPlainMs = 2_000;

/** When a caller that is sent away from a stopping gateway may try another, in milliseconds. */
const elsewhereMs = 50;

/** Failure rate that a sound plain endpoint may show; lookups fail one time in seven there. */
const baseFailureRate = 0.15;

interface Relay {
  start(): void;
  cancel(): void;
}

/** Serves callers, and places layers while it holds the lease. */
export class GatewayProgram {
  private readonly config: ConfigHolder;

  private readonly directory: EndpointDirectory;

  private readonly ledger: ReservationLedger;

  private readonly sender: EndpointSender;

  private readonly ingress: Ingress;

  private readonly peers: PeerExchange;

  private readonly lease: LeaseCandidate;

  private readonly placement: PlacementLoop;

  private readonly prober: EndpointProber;

  private readonly stalls: StallMonitor;

  private readonly health: EndpointHealth;

  private readonly plainRouter: PlainRouter;

  private readonly ejected = new Set<string>();

  private readonly admissions = new Map<string, ModelAdmission>();

  private readonly budgets = new Map<string, RetryBudget>();

  private readonly feeds: readonly StoreFeed<unknown>[];

  private readonly context: RelayContext;

  private readonly abort = new AbortController();

  private cancelSweep: CancelTimer | undefined;

  private readonly status: StatusServers;

  private readonly leaseScheduler: LeaseScheduler;

  /** Monotonic time of the order to stop. */
  private drainStartedMs: number | undefined;

  /** @param parts - Settings, ports and what is shared. */
  constructor(private readonly parts: GatewayParts) {
    const { settings, ports, clock, logger, metrics } = parts;
    this.config = new ConfigHolder(logger);
    this.directory = new EndpointDirectory(clock, logger);
    this.ledger = new ReservationLedger(clock);
    this.sender = new EndpointSender(connectionsPerEndpoint, clock);
    this.context = {
      clock,
      logger,
      metrics,
      dialect: ports.dialect,
      sender: this.sender,
      directory: this.directory,
      ledger: this.ledger,
      retryBudgetOf: (service) => this.retryBudgetOf(service),
    };
    this.lease = new LeaseCandidate(
      {
        name: 'placement',
        candidate: `${settings.instance}@${clock.wallMs()}`,
        durationMs: settings.leaseMs,
      },
      ports.store,
      clock,
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
      this.ledger,
      ports.control,
      clock,
      logger,
    );
    this.prober = new EndpointProber(this.directory, ports.control, clock);
    this.stalls = new StallMonitor(ports.control, this.context);
    this.health = this.createHealth();
    this.plainRouter = new PlainRouter(
      settings.place,
      this.directory,
      this.ledger,
      (incarnation) => this.ejected.has(incarnation),
      clock,
    );
    const { instance, host, peerPort: port } = settings;
    this.peers = new PeerExchange(
      { instance, host, port },
      () => this.composeMessage(),
      (message) => this.receiveMessage(message),
      clock,
      logger,
    );
    this.feeds = createFeeds(ports, this.config, this.directory, this.peers, logger);
    this.status = new StatusServers(() => this.isReady, metrics.registry);
    metrics.watchInFlight(() => this.ingress.inFlight);
    this.ingress = new Ingress(
      this.config,
      ports.dialect,
      parts.random,
      () => this.whenSynced(),
      (req, caller) => this.startRelay(req, caller),
      clock,
      logger,
    );
    this.config.onDidChange(({ config: { version } }) => metrics.configVersion.set(version));
    this.directory.onDidRemove((endpoint) => this.forget(endpoint));
  }

  /** Ports of the servers for the balancer and for metrics. */
  get statusPorts(): { readonly ready: number; readonly metrics: number } {
    return this.status.ports;
  }

  /** Port that callers connect to. */
  get callerPort(): number {
    return this.ingress.port;
  }

  /** Starts to serve. */
  async start(): Promise<void> {
    const { settings, logger } = this.parts;
    const [host, port] = splitAddress(settings.callerAddress);
    this.feeds.forEach((feed) => feed.start());
    await this.ingress.listen(host, port);
    this.status.listen(splitAddress(settings.readyAddress), [settings.host, settings.metricsPort]);
    const peerPort = await this.peers.start();
    this.placement.start();
    this.prober.start();
    this.repeat(sweepMs, () => {
      this.directory.removeExpired();
      this.health.endExpiredEjections();
    });
    void this.register(peerPort);
    void this.keepLease();
    logger.log(LogLevel.Info, 'started', {
      place: settings.place,
      region: settings.region,
      callers: `${host}:${this.callerPort}`,
      store: settings.storeAddress,
    });
  }

  /** Takes callers' connections off this gateway and finishes what runs, within the grace. */
  async drain(): Promise<void> {
    const { clock, settings, logger } = this.parts;
    const startedMs = clock.monotonicMs();
    this.drainStartedMs = startedMs;
    this.ingress.drain();
    logger.log(LogLevel.Info, 'draining', { inFlight: this.ingress.inFlight });
    const lastMs = startedMs + settings.drainMs - lastMomentMs;
    await sleep(Math.min(balancerLagMs, settings.drainMs / 2));
    void this.lease.release();
    while (this.ingress.inFlight > 0 && clock.monotonicMs() < lastMs) {
      await sleep(50);
    }
    this.ingress.closeIdle();
    while (this.ingress.inFlight > 0 && clock.monotonicMs() < lastMs) {
      await sleep(50);
    }
    logger.log(LogLevel.Info, 'drained', {
      cut: this.ingress.inFlight,
      tookMs: Math.round(clock.monotonicMs() - startedMs),
    });
  }

  /** Releases everything. */
  async close(): Promise<void> {
    this.abort.abort();
    this.cancelSweep?.();
    this.ingress.close();
    this.status.close();
    this.feeds.forEach((feed) => feed.close());
    this.peers.close();
    this.placement.close();
    this.prober.close();
    this.stalls.close();
    this.admissions.forEach((admission) => admission.close());
    this.directory.close();
    this.config.close();
    await this.sender.close();
  }

  private get isReady(): boolean {
    return this.drainStartedMs === undefined && this.isSynced;
  }

  private get isSynced(): boolean {
    return this.config.current !== undefined && this.feeds.every((feed) => feed.hasListed);
  }

  /** Spares callers that come right after a start a refusal, as the store usually answers at once. */
  private async whenSynced(): Promise<void> {
    const { clock } = this.parts;
    const untilMs = clock.monotonicMs() + syncWaitMs;
    while (!this.isSynced && clock.monotonicMs() < untilMs) {
      await sleep(syncPollMs, this.abort.signal);
    }
  }

  private createHealth(): EndpointHealth {
    const health = new EndpointHealth(
      { ejectMs: 2_000, maxEjectMs: 8_000, maxEjectedShare: 0.5 },
      () =>
        new SequentialTest({
          baseRate: baseFailureRate,
          minFailures: 4,
          criticalValue: 3,
          horizon: 6,
        }),
      (incarnation) => this.siblings(incarnation),
      this.parts.clock,
      this.parts.logger,
    );
    health.onDidChange(({ endpoint, ejected }) => {
      if (ejected) {
        this.ejected.add(endpoint);
      } else {
        this.ejected.delete(endpoint);
      }
    });
    return health;
  }

  private siblings(incarnation: string): readonly string[] {
    for (const service of this.config.current?.config.services.keys() ?? []) {
      const all = this.directory.ofService(service).map(incarnationOf);
      if (all.includes(incarnation)) {
        return all;
      }
    }
    return [incarnation];
  }

  private startRelay(req: CallerRequest, caller: CallerConnection): () => void {
    const service = this.config.current?.config.services.get(req.service);
    if (this.mustSendAway(service?.engine !== undefined)) {
      this.parts.metrics.refusals.inc({ reason: 'draining' });
      caller.refuse({
        status: RefusalStatus.Unavailable,
        detail: 'this gateway is stopping',
        retryAfterMs: elsewhereMs,
      });
      return () => undefined;
    }
    this.retryBudgetOf(req.service).countRequest();
    let relay: Relay;
    if (service?.engine) {
      const admission = this.admissionOf(req.service, service.engine);
      const stream = new StreamRelay(
        req,
        caller,
        admission,
        service.engine.meanOutputTokens,
        this.context,
        (over) => this.stalls.remove(over),
      );
      this.stalls.add(stream);
      relay = stream;
    } else {
      relay = new PlainRelay(req, caller, this.plainRouter, this.health, this.context, () => {});
    }
    relay.start();
    return () => relay.cancel();
  }

  /** Whether a stopping gateway could no longer finish a request. */
  private mustSendAway(isStream: boolean): boolean {
    if (this.drainStartedMs === undefined) {
      return false;
    }
    const takenMs = isStream ? drainStreamsMs : this.parts.settings.drainMs - drainPlainMs;
    return this.parts.clock.monotonicMs() - this.drainStartedMs > takenMs;
  }

  private admissionOf(service: string, engine: EngineProfile): ModelAdmission {
    const known = this.admissions.get(service);
    if (known) {
      return known;
    }
    const currentEngine = () => this.config.current?.config.services.get(service)?.engine ?? engine;
    const gateways = () => this.sharingGateways;
    const finder = new PathFinder(currentEngine, this.ledger);
    const crossing = new CrossDataCentreBudget(currentEngine, gateways, this.parts.clock);
    const created = new ModelAdmission(
      finder,
      () => this.directory.usable(service),
      this.ledger,
      crossing,
      this.parts.clock,
    );
    this.admissions.set(service, created);
    return created;
  }

  /** Gateways among which budgets are split; peers may be unheard for a while. */
  private get sharingGateways(): number {
    return Math.max(assumedGateways, this.peers.aliveCount);
  }

  private retryBudgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known) {
      return known;
    }
    const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = this.parts.settings;
    const created = new RetryBudget(
      { ratio, slack, windowMs },
      () => this.sharingGateways,
      this.parts.clock,
    );
    this.budgets.set(service, created);
    return created;
  }

  private composeMessage(): PeerMessage {
    return {
      sender: this.parts.settings.instance,
      configVersion: this.config.current?.config.version ?? 0,
      loads: this.ledger.ownLoads(),
      suspects: this.directory.silentAddresses(),
      leaving: this.directory.drainingAddresses(),
      full: this.ledger.recentlyFull(),
      placingTerm: this.lease.isConfirmed ? (this.lease.term() ?? 0) : 0,
    };
  }

  private receiveMessage(message: PeerMessage): void {
    const { sender, loads, suspects, leaving, placingTerm, full } = message;
    this.ledger.updatePeer(sender, loads);
    this.admissions.forEach((admission) =>
      full.forEach((address) => admission.recordRefusal(address, false)),
    );
    for (const address of [...suspects, ...leaving]) {
      this.directory.suspect(address, Suspicion.ReportedByPeer, `reported by ${sender}`);
    }
    if (placingTerm > 0) {
      this.leaseScheduler.recordPlacerHeartbeat();
    }
  }

  private forget(endpoint: Endpoint): void {
    this.sender.forget(endpoint.address);
    this.ledger.forget(endpoint.address);
    this.plainRouter.forget(endpoint);
    this.health.forget(incarnationOf(endpoint));
    this.ejected.delete(incarnationOf(endpoint));
  }

  /** Writes this gateway's own entry, from which its peers learn its address. */
  private async register(port: number): Promise<void> {
    const { settings, ports, logger } = this.parts;
    const { instance, host } = settings;
    const entry = { host, port };
    while (!this.abort.signal.aborted) {
      const stored = await ports.store.get<PeerAddress>(ObjectKind.Gateways, instance);
      if (stored.isOk()) {
        const isSame = stored.value?.value.host === host && stored.value.value.port === port;
        const version = stored.value?.version ?? absentVersion;
        if (
          isSame ||
          (await ports.store.put(ObjectKind.Gateways, instance, entry, version)).isOk()
        ) {
          logger.log(LogLevel.Info, 'registered', { host, port });
          return;
        }
      }
      await sleep(registerRetryMs, this.abort.signal);
    }
  }

  private async keepLease(): Promise<void> {
    let held: number | undefined;
    while (!this.abort.signal.aborted && this.drainStartedMs === undefined) {
      await this.leaseScheduler.step();
      const term = this.lease.term();
      if (term !== held) {
        this.parts.logger.log(LogLevel.Info, term === undefined ? 'lease-lost' : 'lease-held', {
          term: term ?? held,
        });
        held = term;
      }
      await sleep(leaseLookMs, this.abort.signal);
    }
  }

  private repeat(everyMs: number, action: () => void): void {
    this.cancelSweep = this.parts.clock.after(everyMs, () => {
      action();
      this.repeat(everyMs, action);
    });
  }
}

function splitAddress(address: string): [string, number] {
  const at = address.lastIndexOf(':');
  return [address.slice(0, at), Number(address.slice(at + 1))];
}
