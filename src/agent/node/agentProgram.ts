import { randomUUID } from 'node:crypto';
import { sleep, type SystemClock } from '../../base/node/systemClock.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import type { IMetrics } from '../../base/node/metrics.js';
import { InstanceRole } from '../../services/instances/common/instance.js';
import { maxFrameBytesFor } from '../../services/link/common/linkBounds.js';
import { LinkServer } from '../../services/link/node/linkServer.js';
import type { Link } from '../../services/link/node/link.js';
import type { AnswerIntake } from '../../services/exchange/node/answerIntake.js';
import {
  createProgramAnswerIntake,
  reportAnswers,
} from '../../services/exchange/node/programAnswerIntake.js';
import type { CallerIntake } from '../../services/intake/node/callerIntake.js';
import { createProgramIntake, reportIntake } from '../../services/intake/node/programIntake.js';
import {
  linkVersion,
  MessageKind,
  SealOutcome,
  type EndpointReport,
  type HeartbeatMessage,
  type HelloMessage,
  type LinkMessage,
  type OrderMessage,
  type SealMessage,
} from '../../services/link/common/messages.js';
import { AcceleratorKind } from '../../services/model/common/model.js';
import type { HttpObjectStore } from '../../services/objects/node/httpObjectStore.js';
import type { AgentSettings } from '../../services/settings/common/settings.js';
import { UsageCounters, UsageSide } from '../../services/usage/common/usage.js';
import { UsageWriter } from '../../services/usage/node/usageWriter.js';
import { CallRunner } from '../calls/common/callRunner.js';
import { AttemptGate } from '../gate/common/attemptGate.js';
import { OrderFence } from '../order/common/orderFence.js';
import { StageRunner } from '../stage/common/stageRunner.js';
import { HttpPlainService } from './httpPlainService.js';
import { HttpStageEngine, type EngineState } from './httpStageEngine.js';
import { LeaseTokenSource, readLayerMiB } from './platformReads.js';
import { StageLinks } from './stageLinks.js';

/** Engine state that is assumed until the engine's state has been read. */
const initialEngineState: EngineState = {
  accelerator: AcceleratorKind.Medium,
  memoryMiB: 0,
  layerMicros: 0,
  capacity: 0,
  model: '',
  range: { from: 0, to: 0 },
  queued: 0,
  sequences: 0,
  cacheEvents: [],
};

/** Interval at which expired records are removed, in milliseconds. */
const expireIntervalMs = 1_000;

/** Longest wait for the attempts in progress before other layers are loaded, in milliseconds. */
const reloadDrainTimeoutMs = 60_000;

/** Interval at which a drain checks whether work is still in progress, in milliseconds. */
const drainPollIntervalMs = 20;

/**
 * Time for which a drain keeps links open at least, in milliseconds. Entries may have sent work before they
 * learn that the agent leaves; it is refused as not run.
 */
const leavingNoticeMs = 500;

/** Time before the end of a drain at which work in progress is stopped, in milliseconds. */
const stopMarginMs = 500;

/** Settings and shared services of an agent, created when the program starts. */
export interface AgentDependencies {
  readonly settings: AgentSettings;
  readonly clock: SystemClock;
  readonly logger: ILogger;
  readonly metrics: IMetrics;
  readonly store: HttpObjectStore;
}

/** Agent of an endpoint: admits attempts and runs its pipeline stage or its plain-service calls. */
export class AgentProgram {
  private readonly incarnation = randomUUID();

  private readonly server: LinkServer;

  private readonly links: StageLinks;

  private readonly gate: AttemptGate;

  private readonly orderFence: OrderFence;

  private readonly stageRunner: StageRunner | undefined;

  private readonly callRunner: CallRunner | undefined;

  private readonly engine: HttpStageEngine | undefined;

  private readonly plainService: HttpPlainService | undefined;

  private readonly intervals: NodeJS.Timeout[] = [];

  private engineState = initialEngineState;

  private isAnswering = false;

  private isReady = false;

  private isDraining = false;

  private highestRevision = 0;

  private isLoading = false;

  /** Rule revision that is in force at each linked entry. */
  private readonly entryRevisions = new Map<Link, number>();

  private readonly intake: CallerIntake;

  private readonly answers: AnswerIntake;

  private readonly usageCounters = new UsageCounters();

  private readonly usageWriter: UsageWriter;

  /** @param dependencies - Settings and shared services; owned by the caller. */
  constructor(private readonly dependencies: AgentDependencies) {
    const { settings, clock, store } = dependencies;
    const timing = { heartbeatMs: settings.heartbeatMs, deadlineMs: settings.heartbeatDeadlineMs };
    const createHello = () => this.createHello();
    const createHeartbeat = () => this.createHeartbeat();
    this.intake = createProgramIntake(settings, dependencies.metrics, clock, dependencies.logger);
    this.answers = createProgramAnswerIntake(
      settings,
      dependencies.metrics,
      clock,
      dependencies.logger,
    );
    this.server = new LinkServer(
      timing,
      createHello,
      createHeartbeat,
      this.intake,
      this.answers,
      maxFrameBytesFor(settings.maxCallBytes),
    );
    this.links = new StageLinks({
      incarnation: this.incarnation,
      timing,
      createHello,
      createHeartbeat,
      answers: this.answers,
    });
    this.gate = new AttemptGate({
      answerRetentionMs: settings.keepAnswerMs,
      outcomeRetentionMs: settings.keepOutcomeMs,
    });
    this.orderFence = new OrderFence(new LeaseTokenSource(store, settings.region));
    if (settings.engineUrl !== undefined) {
      const timeouts = { stepMs: settings.engineStepMs, stateMs: settings.engineStateMs };
      this.engine = new HttpStageEngine(
        this.incarnation,
        settings.engineUrl,
        timeouts,
        settings.maxAnswerBytes,
        this.answers,
        clock,
      );
      this.stageRunner = this.createStageRunner(this.engine);
    }
    if (settings.service !== undefined) {
      this.plainService = new HttpPlainService(
        settings.service.url,
        settings.maxAnswerBytes,
        this.answers,
        clock,
      );
      this.plainService.onDidFailCall(({ attempt, reason }) =>
        dependencies.logger.log(LogLevel.Warn, 'service-call-failed', { attempt, reason }),
      );
      const options = { incarnation: this.incarnation, capacity: settings.service.capacity };
      this.callRunner = new CallRunner(options, this.plainService, this.gate, clock);
    }
    const owner = {
      side: UsageSide.Agent,
      instance: settings.instance,
      incarnation: this.incarnation,
    };
    this.usageWriter = new UsageWriter(owner, this.usageCounters, store, settings.usageFlushMs);
    this.subscribeToUsage();
    this.server.onDidAccept((link) => this.acceptLink(link));
    this.links.onDidReceiveLocal((message) => this.handleMessage(message, undefined));
  }

  /** Reads the state of the engine or service and accepts links; resolves once the port is open. */
  async start(): Promise<void> {
    const { settings, logger } = this.dependencies;
    await this.pollEndpoint();
    const port = await this.server.listen(settings.host, settings.linkPort);
    this.startInterval(settings.enginePollMs, () => this.pollEndpoint());
    this.startInterval(expireIntervalMs, () => this.removeExpired());
    logger.log(LogLevel.Info, 'agent-started', { port, incarnation: this.incarnation });
  }

  /**
   * Refuses new work and waits until no work is in progress. Work that is in progress shortly before the end of
   * the drain time is stopped, and its entries are told.
   */
  async drain(): Promise<void> {
    const { settings, clock, logger } = this.dependencies;
    const endMs = clock.monotonicMs() + settings.drainMs;
    this.isDraining = true;
    this.stageRunner?.drain();
    this.callRunner?.drain();
    this.server.links.forEach((link) => link.send({ kind: MessageKind.Leaving }));
    logger.log(LogLevel.Info, 'drain-started', { active: this.activeCount });
    await sleep(Math.min(leavingNoticeMs, settings.drainMs / 4));
    const stopMs = endMs - Math.min(stopMarginMs, settings.drainMs / 4);
    await this.waitUntilIdle(stopMs - clock.monotonicMs());
    const stopped = this.activeCount;
    this.callRunner?.stop();
    this.stageRunner?.stop();
    await this.waitUntilIdle(endMs - clock.monotonicMs());
    logger.log(LogLevel.Info, 'drain-ended', { active: this.activeCount, stopped });
  }

  /** Stops timers, closes links, writes the remaining usage and closes connections. */
  async close(): Promise<void> {
    this.intervals.forEach((interval) => clearInterval(interval));
    this.links.close();
    await this.server.close();
    this.intake.close();
    this.answers.close();
    await this.usageWriter.close();
    await this.engine?.close();
    await this.plainService?.close();
  }

  private subscribeToUsage(): void {
    this.stageRunner?.onDidRecordUsage(
      ({ organisation, model, revision, layerTokens, tokens, micros }) => {
        this.usageCounters.add(
          { organisation, subject: model, revision },
          { layerTokens, tokens, micros },
        );
      },
    );
    this.callRunner?.onDidRecordUsage(({ organisation, service, revision, durationMs }) => {
      const amounts = { requests: 1, callMs: durationMs };
      this.usageCounters.add({ organisation, subject: service, revision }, amounts);
    });
  }

  private get activeCount(): number {
    return (this.stageRunner?.activeCount ?? 0) + (this.callRunner?.activeCount ?? 0);
  }

  private createStageRunner(engine: HttpStageEngine): StageRunner {
    const { settings, clock } = this.dependencies;
    const options = {
      endpoint: settings.instance,
      incarnation: this.incarnation,
      capacity: () => (engine.isAnswering ? this.engineState.capacity : 0),
      accelerator: () => this.engineState.accelerator,
      answerRetentionMs: settings.keepAnswerMs,
    };
    const stageRunner = new StageRunner(options, engine, this.links, this.gate, clock);
    engine.onDidFail(() => this.handleEngineFailure());
    this.links.onDidLoseStage((incarnation) => stageRunner.handleStageLost(incarnation));
    this.links.onDidRestoreStage((incarnation) => stageRunner.handleStageRestored(incarnation));
    return stageRunner;
  }

  private createHello(): HelloMessage {
    const { instance, place, region } = this.dependencies.settings;
    return {
      kind: MessageKind.Hello,
      version: linkVersion,
      instance,
      incarnation: this.incarnation,
      role: InstanceRole.Agent,
      place,
      region,
      revision: this.highestRevision,
      report: this.createReport(),
    };
  }

  private createHeartbeat(): HeartbeatMessage {
    const revisions = [...this.entryRevisions.values()];
    return {
      kind: MessageKind.Heartbeat,
      revision: this.highestRevision,
      entries: revisions.length,
      lowestRevision: revisions.length === 0 ? 0 : Math.min(...revisions),
      report: this.createReport(),
    };
  }

  private createReport(): EndpointReport {
    const { service } = this.dependencies.settings;
    return {
      model: service?.name ?? this.engineState.model,
      range: this.engineState.range,
      service: service !== undefined,
      accelerator: this.engineState.accelerator,
      memoryMiB: this.engineState.memoryMiB,
      layerMicros: this.engineState.layerMicros,
      stepMicros: this.stageRunner?.stepMicros ?? 0,
      active: this.activeCount,
      capacity: service?.capacity ?? this.engineState.capacity,
      leaving: this.isDraining,
      answering: this.isAnswering,
      ready: this.isReady && !this.isLoading,
      term: this.orderFence.highestToken,
    };
  }

  private acceptLink(link: Link): void {
    const { peer } = link;
    if (peer?.role === InstanceRole.Entry) {
      this.links.addEntry(peer.instance, link);
      this.recordRevision(link, peer.revision);
      link.onDidEnd(() => {
        this.entryRevisions.delete(link);
        this.scheduleOrphanCleanup(peer.instance);
      });
    }
    link.onDidReceive((message) => this.handleMessage(message, link));
  }

  private recordRevision(link: Link | undefined, revision: number): void {
    this.highestRevision = Math.max(this.highestRevision, revision);
    if (link?.peer?.role === InstanceRole.Entry) {
      this.entryRevisions.set(link, revision);
    }
  }

  private scheduleOrphanCleanup(entry: string): void {
    setTimeout(() => {
      if (!this.links.hasEntry(entry)) {
        this.stageRunner?.handleEntryLost(entry);
      }
    }, this.dependencies.settings.orphanMs).unref();
  }

  private handleMessage(message: LinkMessage, link: Link | undefined): void {
    const send = (reply: LinkMessage) => link?.send(reply);
    switch (message.kind) {
      case MessageKind.Heartbeat:
        this.recordRevision(link, message.revision);
        break;
      case MessageKind.Start:
        this.stageRunner?.start(message);
        break;
      case MessageKind.Step:
        this.stageRunner?.handleStep(message);
        break;
      case MessageKind.Resume:
        this.stageRunner?.resume(message);
        break;
      case MessageKind.Cancel:
        this.stageRunner?.cancel(message.attempt, message.epoch, message.relay);
        this.callRunner?.cancel(message.attempt, message.submission);
        break;
      case MessageKind.Call:
        this.callRunner?.call(message, send);
        break;
      case MessageKind.Seal:
        this.handleSeal(message, send);
        break;
      case MessageKind.Suspects:
        this.links.relayToOtherEntries(link?.peer?.instance, message);
        break;
      case MessageKind.Order:
        void this.handleOrder(message, send);
        break;
      default:
        break;
    }
  }

  private handleSeal(message: SealMessage, send: (reply: LinkMessage) => void): void {
    if (this.callRunner) {
      this.callRunner.seal(message, send);
      return;
    }
    const outcome =
      message.incarnation === this.incarnation
        ? this.gate.seal(message.attempt, this.dependencies.clock.monotonicMs())
        : SealOutcome.IncarnationGone;
    send({ kind: MessageKind.SealResult, attempt: message.attempt, outcome });
  }

  private async handleOrder(
    order: OrderMessage,
    send: (reply: LinkMessage) => void,
  ): Promise<void> {
    const { term } = order;
    const accepted = await this.orderFence.admit(order);
    const { highestToken: highestTerm } = this.orderFence;
    send({ kind: MessageKind.OrderResult, term, accepted, highestTerm });
    if (this.isLoading || (accepted && this.isLoaded(order))) {
      return;
    }
    this.dependencies.logger.log(LogLevel.Info, 'order', {
      term,
      highestTerm,
      model: order.model,
      from: order.range.from,
      to: order.range.to,
      accepted,
    });
    const refusedBy = accepted ? await this.loadLayers(order) : undefined;
    if (refusedBy !== undefined) {
      this.orderFence.record(refusedBy);
      send({ kind: MessageKind.OrderResult, term, accepted: false, highestTerm: refusedBy });
      this.dependencies.logger.log(LogLevel.Warn, 'order-refused-by-engine', {
        term,
        highestTerm: refusedBy,
      });
    }
  }

  /** Carries out an order; returns the higher fencing token of the engine if that refused it. */
  private async loadLayers(order: OrderMessage): Promise<number | undefined> {
    this.isLoading = true;
    this.stageRunner?.setPaused(true);
    await this.waitUntilIdle(reloadDrainTimeoutMs);
    const layerMiB = await readLayerMiB(this.dependencies.store, order.model);
    const refusedBy =
      layerMiB === undefined ? undefined : await this.engine?.loadLayers(order, layerMiB);
    await this.pollEndpoint();
    this.isLoading = false;
    this.stageRunner?.setPaused(false);
    return refusedBy;
  }

  /** Waits until no work is in progress or the timeout is over. */
  private async waitUntilIdle(timeoutMs: number): Promise<void> {
    const { clock } = this.dependencies;
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    while (this.activeCount > 0 && clock.monotonicMs() < deadlineMs) {
      await sleep(drainPollIntervalMs);
    }
  }

  private isLoaded(order: OrderMessage): boolean {
    const { model, range } = this.engineState;
    return model === order.model && range.from === order.range.from && range.to === order.range.to;
  }

  private async pollEndpoint(): Promise<void> {
    const { settings } = this.dependencies;
    if (this.engine) {
      const state = await this.engine.readState(0);
      this.isAnswering = state !== undefined;
      this.isReady = state !== undefined && state.model !== '';
      this.engineState = state ?? this.engineState;
    }
    if (this.plainService) {
      this.isAnswering = await this.plainService.isReachable(settings.engineStateMs);
      this.isReady = this.isAnswering;
    }
  }

  /** Sends a heartbeat at once, so that the entries learn that the engine does not answer. */
  private handleEngineFailure(): void {
    if (this.isReady) {
      this.isAnswering = false;
      this.isReady = false;
      this.server.links.forEach((link) => link.send(this.createHeartbeat()));
    }
  }

  private removeExpired(): void {
    const expiredAnswers = this.gate.expire(this.dependencies.clock.monotonicMs());
    this.callRunner?.dropAnswers(expiredAnswers);
    this.stageRunner?.removeExpired();
    reportIntake(this.intake, this.dependencies.metrics);
    reportAnswers(this.answers, this.dependencies.metrics);
    this.dependencies.metrics.gauge('agent.active', this.activeCount);
    this.dependencies.metrics.gauge('agent.gate', this.gate.size);
  }

  private startInterval(intervalMs: number, action: () => Promise<void> | void): void {
    this.intervals.push(setInterval(() => void action(), intervalMs));
  }
}
