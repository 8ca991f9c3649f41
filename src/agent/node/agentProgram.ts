import { randomUUID } from 'node:crypto';
import { sleep, type SystemClock } from '../../base/node/systemClock.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import type { IMetrics } from '../../base/node/metrics.js';
import { InstanceRole } from '../../services/instances/common/instance.js';
import { LinkServer } from '../../services/link/node/linkServer.js';
import type { Link } from '../../services/link/node/link.js';
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
import { LeaseTermSource, readLayerMiB } from './platformReads.js';
import { StageLinks } from './stageLinks.js';

const idleState: EngineState = {
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

/** Interval of the clean-up of expired records, in milliseconds. */
const expireIntervalMs = 1_000;

/** Longest wait for the work under way before other layers are loaded, in milliseconds. */
const reloadLimitMs = 60_000;

/** Interval at which a drain checks whether the work is finished, in milliseconds. */
const drainPollMs = 20;

/** What an agent is made of; created by the program's main. */
export interface AgentParts {
  readonly settings: AgentSettings;
  readonly clock: SystemClock;
  readonly logger: ILogger;
  readonly metrics: IMetrics;
  readonly store: HttpObjectStore;
}

/** The process beside an endpoint: runs its stage or its calls and guards what runs there. */
export class AgentProgram {
  private readonly incarnation = randomUUID();

  private readonly server: LinkServer;

  private readonly links: StageLinks;

  private readonly gate: AttemptGate;

  private readonly orders: OrderFence;

  private readonly stages: StageRunner | undefined;

  private readonly calls: CallRunner | undefined;

  private readonly engine: HttpStageEngine | undefined;

  private readonly service: HttpPlainService | undefined;

  private readonly intervals: NodeJS.Timeout[] = [];

  private state = idleState;

  private answering = false;

  private ready = false;

  private leaving = false;

  private revision = 0;

  private ordering = false;

  /** Revision that each linked entry has in force. */
  private readonly entryRevisions = new Map<Link, number>();

  private readonly usage = new UsageCounters();

  private readonly usageWriter: UsageWriter;

  /** @param parts - Settings and shared services; owned by the caller. */
  constructor(private readonly parts: AgentParts) {
    const { settings, clock, store } = parts;
    const timing = { heartbeatMs: settings.heartbeatMs, deadlineMs: settings.heartbeatDeadlineMs };
    const hello = () => this.hello();
    const heartbeat = () => this.heartbeat();
    this.server = new LinkServer(timing, hello, heartbeat);
    this.links = new StageLinks({ incarnation: this.incarnation, timing, hello, heartbeat });
    this.gate = new AttemptGate({
      answerMs: settings.keepAnswerMs,
      outcomeMs: settings.keepOutcomeMs,
    });
    this.orders = new OrderFence(new LeaseTermSource(store, settings.region));
    if (settings.engineUrl !== undefined) {
      const limits = { stepMs: settings.engineStepMs, stateMs: settings.engineStateMs };
      this.engine = new HttpStageEngine(this.incarnation, settings.engineUrl, limits);
      this.stages = this.createStages(this.engine);
    }
    if (settings.service !== undefined) {
      this.service = new HttpPlainService(settings.service.url);
      const options = { incarnation: this.incarnation, capacity: settings.service.capacity };
      this.calls = new CallRunner(options, this.service, this.gate, clock);
    }
    const owner = {
      side: UsageSide.Agent,
      instance: settings.instance,
      incarnation: this.incarnation,
    };
    this.usageWriter = new UsageWriter(owner, this.usage, store, settings.usageFlushMs);
    this.countUsage();
    this.server.onDidAccept((link) => this.accept(link));
    this.links.onDidReceiveLocal((message) => this.receive(message, undefined));
  }

  /** Starts to serve; resolves once links are accepted. */
  async start(): Promise<void> {
    const { settings, logger } = this.parts;
    await this.poll();
    const port = await this.server.listen(settings.host, settings.linkPort);
    this.every(settings.enginePollMs, () => this.poll());
    this.every(expireIntervalMs, () => this.expire());
    logger.log(LogLevel.Info, 'agent-started', { port, incarnation: this.incarnation });
  }

  /** Takes no new work, finishes what runs, within the drain time. */
  async drain(): Promise<void> {
    const { settings, logger } = this.parts;
    this.leaving = true;
    this.stages?.drain();
    this.calls?.drain();
    this.server.links.forEach((link) => link.send({ kind: MessageKind.Leaving }));
    logger.log(LogLevel.Info, 'drain-started', { active: this.active });
    await this.untilIdle(settings.drainMs);
    logger.log(LogLevel.Info, 'drain-ended', { active: this.active });
  }

  /** Closes links, connections and timers. */
  async close(): Promise<void> {
    this.intervals.forEach((interval) => clearInterval(interval));
    this.links.close();
    this.server.close();
    await this.usageWriter.close();
    await this.engine?.close();
    await this.service?.close();
  }

  private countUsage(): void {
    this.stages?.onDidUse(({ organisation, model, revision, layerTokens, tokens, micros }) => {
      this.usage.add({ organisation, subject: model, revision }, { layerTokens, tokens, micros });
    });
    this.calls?.onDidUse(({ organisation, service, revision, durationMs }) => {
      const amounts = { requests: 1, callMs: durationMs };
      this.usage.add({ organisation, subject: service, revision }, amounts);
    });
  }

  private get active(): number {
    return (this.stages?.active ?? 0) + (this.calls?.active ?? 0);
  }

  private createStages(engine: HttpStageEngine): StageRunner {
    const { settings, clock } = this.parts;
    const options = {
      endpoint: settings.instance,
      incarnation: this.incarnation,
      capacity: () => (engine.answering ? this.state.capacity : 0),
      accelerator: () => this.state.accelerator,
      keepMs: settings.keepAnswerMs,
    };
    const stages = new StageRunner(options, engine, this.links, this.gate, clock);
    engine.onDidFail(() => this.engineFailed());
    this.links.onDidLoseStage((incarnation) => stages.stageLost(incarnation));
    this.links.onDidRestoreStage((incarnation) => stages.stageRestored(incarnation));
    return stages;
  }

  private hello(): HelloMessage {
    const { instance, place, region } = this.parts.settings;
    return {
      kind: MessageKind.Hello,
      version: linkVersion,
      instance,
      incarnation: this.incarnation,
      role: InstanceRole.Agent,
      place,
      region,
      revision: this.revision,
      report: this.report(),
    };
  }

  private heartbeat(): HeartbeatMessage {
    const revisions = [...this.entryRevisions.values()];
    return {
      kind: MessageKind.Heartbeat,
      revision: this.revision,
      entries: revisions.length,
      lowestRevision: revisions.length === 0 ? 0 : Math.min(...revisions),
      report: this.report(),
    };
  }

  private report(): EndpointReport {
    const { service } = this.parts.settings;
    return {
      model: service?.name ?? this.state.model,
      range: this.state.range,
      service: service !== undefined,
      accelerator: this.state.accelerator,
      memoryMiB: this.state.memoryMiB,
      layerMicros: this.state.layerMicros,
      stepMicros: this.stages?.stepMicros ?? 0,
      active: this.active,
      capacity: service?.capacity ?? this.state.capacity,
      leaving: this.leaving,
      answering: this.answering,
      ready: this.ready && !this.ordering,
      term: this.orders.highestTerm,
    };
  }

  private accept(link: Link): void {
    const { peer } = link;
    if (peer?.role === InstanceRole.Entry) {
      this.links.addEntry(peer.instance, link);
      this.hearRevision(link, peer.revision);
      link.onDidEnd(() => {
        this.entryRevisions.delete(link);
        this.watchOrphans(peer.instance);
      });
    }
    link.onDidReceive((message) => this.receive(message, link));
  }

  private hearRevision(link: Link | undefined, revision: number): void {
    this.revision = Math.max(this.revision, revision);
    if (link?.peer?.role === InstanceRole.Entry) {
      this.entryRevisions.set(link, revision);
    }
  }

  private watchOrphans(entry: string): void {
    setTimeout(() => {
      if (!this.links.hasEntry(entry)) {
        this.stages?.entryLost(entry);
      }
    }, this.parts.settings.orphanMs).unref();
  }

  private receive(message: LinkMessage, link: Link | undefined): void {
    const send = (reply: LinkMessage) => link?.send(reply);
    switch (message.kind) {
      case MessageKind.Heartbeat:
        this.hearRevision(link, message.revision);
        break;
      case MessageKind.Start:
        this.stages?.start(message);
        break;
      case MessageKind.Step:
        this.stages?.step(message);
        break;
      case MessageKind.Resume:
        this.stages?.resume(message);
        break;
      case MessageKind.Cancel:
        this.stages?.cancel(message.attempt, message.epoch, message.relay);
        this.calls?.cancel(message.attempt, message.submission);
        break;
      case MessageKind.Call:
        this.calls?.call(message, send);
        break;
      case MessageKind.Seal:
        this.seal(message, send);
        break;
      case MessageKind.Suspects:
        this.links.toOtherEntries(link?.peer?.instance, message);
        break;
      case MessageKind.Order:
        void this.obey(message, send);
        break;
      default:
        break;
    }
  }

  private seal(message: SealMessage, send: (reply: LinkMessage) => void): void {
    if (this.calls) {
      this.calls.seal(message, send);
      return;
    }
    const outcome =
      message.incarnation === this.incarnation
        ? this.gate.seal(message.attempt, this.parts.clock.monotonicMs())
        : SealOutcome.IncarnationGone;
    send({ kind: MessageKind.SealResult, attempt: message.attempt, outcome });
  }

  private async obey(order: OrderMessage, send: (reply: LinkMessage) => void): Promise<void> {
    const { term } = order;
    const accepted = await this.orders.admit(order);
    const { highestTerm } = this.orders;
    send({ kind: MessageKind.OrderResult, term, accepted, highestTerm });
    if (this.ordering || (accepted && this.holds(order))) {
      return;
    }
    this.parts.logger.log(LogLevel.Info, 'order', {
      term,
      highestTerm,
      model: order.model,
      from: order.range.from,
      to: order.range.to,
      accepted,
    });
    if (accepted) {
      await this.load(order);
    }
  }

  private async load(order: OrderMessage): Promise<void> {
    this.ordering = true;
    this.stages?.pause(true);
    await this.untilIdle(reloadLimitMs);
    const layerMiB = await readLayerMiB(this.parts.store, order.model);
    if (layerMiB !== undefined) {
      await this.engine?.order(order, layerMiB);
    }
    await this.poll();
    this.ordering = false;
    this.stages?.pause(false);
  }

  /** Waits for the work under way, within a limit. */
  private async untilIdle(limitMs: number): Promise<void> {
    const { clock } = this.parts;
    const untilMs = clock.monotonicMs() + limitMs;
    while (this.active > 0 && clock.monotonicMs() < untilMs) {
      await sleep(drainPollMs);
    }
  }

  private holds(order: OrderMessage): boolean {
    const { model, range } = this.state;
    return model === order.model && range.from === order.range.from && range.to === order.range.to;
  }

  private async poll(): Promise<void> {
    const { settings } = this.parts;
    if (this.engine) {
      const state = await this.engine.state(0);
      this.answering = state !== undefined;
      this.ready = state !== undefined && state.model !== '';
      this.state = state ?? this.state;
    }
    if (this.service) {
      this.answering = await this.service.alive(settings.engineStateMs);
      this.ready = this.answering;
    }
  }

  /** Tells the entries at once that the engine does not answer. */
  private engineFailed(): void {
    if (this.ready) {
      this.answering = false;
      this.ready = false;
      this.server.links.forEach((link) => link.send(this.heartbeat()));
    }
  }

  private expire(): void {
    const dropped = this.gate.expire(this.parts.clock.monotonicMs());
    this.calls?.forget(dropped);
    this.stages?.expire();
    this.parts.metrics.gauge('agent.active', this.active);
    this.parts.metrics.gauge('agent.gate', this.gate.size);
  }

  private every(intervalMs: number, action: () => Promise<void> | void): void {
    this.intervals.push(setInterval(() => void action(), intervalMs));
  }
}
