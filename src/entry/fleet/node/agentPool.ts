import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { AnswerIntake } from '../../../services/exchange/node/answerIntake.js';
import {
  InstanceRole,
  InstanceState,
  type IInstanceList,
  type InstanceRecord,
} from '../../../services/instances/common/instance.js';
import {
  MessageKind,
  type EndpointReport,
  type HeartbeatMessage,
  type HelloMessage,
  type LinkMessage,
} from '../../../services/link/common/messages.js';
import { connect } from '../../../services/link/node/connect.js';
import { LinkEndReason, type Link, type LinkTiming } from '../../../services/link/node/link.js';
import type { EndpointView } from '../common/endpointView.js';
import type { AgentIncarnation, FleetLoss, FleetMessage, IFleet } from '../common/fleet.js';

interface Member {
  readonly record: InstanceRecord;
  /** Undefined before the agent's first hello and after the incarnation was lost. */
  incarnation: string | undefined;
  report: EndpointReport | undefined;
  link: Link | undefined;
  /** Why the last link ended. */
  lastEndReason: LinkEndReason | undefined;
  isConnecting: boolean;
  hasAnnouncedLeaving: boolean;
  isListedLeaving: boolean;
  isEjected: boolean;
  ownActive: number;
  othersActive: number;
  entries: number;
  revision: number;
  lowestRevision: number;
}

/** Timing and messages of the links to agents. */
export interface AgentPoolOptions {
  readonly timing: LinkTiming;
  readonly pollMs: number;
  readonly createHello: () => HelloMessage;
  readonly createHeartbeat: () => HeartbeatMessage;
  /** Bounds what links make the process hold; not bounded if undefined. */
  readonly answers?: AnswerIntake;
  /** Size of the largest answer of a service, in bytes. */
  readonly maxAnswerBytes?: number;
}

/** Timeout for opening a link to an agent, in milliseconds. */
const connectTimeoutMs = 500;

/**
 * Number of agents that are asked to relay a message to the other entries. More than one, because
 * an agent may crash or freeze before it sends the message.
 */
const relayAgentCount = 3;

/** Keeps links open from this entry to the agents in the instance list. */
export class AgentPool implements IFleet {
  private readonly members = new Map<string, Member>();

  private readonly byIncarnation = new Map<string, Member>();

  private readonly messages = new Emitter<FleetMessage>();

  private readonly lost = new Emitter<FleetLoss>();

  private readonly restored = new Emitter<AgentIncarnation>();

  private readonly changes = new Emitter<void>();

  private timer: NodeJS.Timeout | undefined;

  private isPolling = false;

  private hasPolled = false;

  /** True once the instance list was read and each agent in it was tried. */
  hasTriedAll = false;

  readonly onDidReceive = this.messages.event;

  readonly onDidLose = this.lost.event;

  readonly onDidRestore = this.restored.event;

  readonly onDidChange = this.changes.event;

  /**
   * @param options - Timing of the links and the messages that describe this entry.
   * @param list - The platform's instance list.
   * @param logger - Receives changes of endpoints and links.
   */
  constructor(
    private readonly options: AgentPoolOptions,
    private readonly list: IInstanceList,
    private readonly logger: ILogger,
  ) {}

  /** Highest rule revision that any agent knows of, as reported in heartbeats; 0 if none. */
  get highestRevision(): number {
    return Math.max(0, ...[...this.members.values()].map((member) => member.revision));
  }

  /**
   * Lowest rule revision that any entry has in force, as reported by the connected agents; undefined
   * if no agent is connected.
   */
  get lowestEntryRevision(): number | undefined {
    const connected = [...this.members.values()].filter((member) => member.link !== undefined);
    return connected.length === 0
      ? undefined
      : Math.min(...connected.map((member) => member.lowestRevision));
  }

  /** Starts to poll the instance list and to open links. */
  start(): void {
    this.timer = setInterval(() => void this.poll(), this.options.pollMs);
    void this.poll();
  }

  /** Stops polling and closes all links. */
  close(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.changes.close();
    this.lost.close();
    this.restored.close();
    this.members.forEach((member) => member.link?.close());
  }

  endpoints(): readonly EndpointView[] {
    return [...this.byIncarnation.values()].flatMap((member): EndpointView[] => {
      const { record, report, incarnation } = member;
      if (report === undefined || incarnation === undefined) {
        return [];
      }
      return [
        {
          id: record.id,
          incarnation,
          address: record.address,
          place: record.place,
          region: record.region,
          report,
          connected: member.link !== undefined,
          leaving: member.hasAnnouncedLeaving || member.isListedLeaving || report.leaving,
          ejected: member.isEjected,
          ownActive: member.ownActive,
          othersActive: member.othersActive,
          entries: member.entries,
        },
      ];
    });
  }

  send(incarnation: string, message: LinkMessage): boolean {
    const link = this.byIncarnation.get(incarnation)?.link;
    link?.send(message);
    return link !== undefined;
  }

  /**
   * Sends a message to several agents, each of which relays it to the other entries.
   *
   * @param message - The message to relay.
   */
  relayToEntries(message: LinkMessage): void {
    const links = [...this.members.values()].flatMap(({ link }) => link ?? []);
    links.slice(-relayAgentCount).forEach((link) => link.send(message));
  }

  addActive(endpoint: string, change: 1 | -1): void {
    const member = this.members.get(endpoint);
    if (member) {
      member.ownActive = Math.max(0, member.ownActive + change);
    }
  }

  markFull(endpoint: string): void {
    const member = this.members.get(endpoint);
    if (member?.report) {
      member.othersActive = member.report.capacity;
    }
  }

  /**
   * Marks an endpoint as ejected or as available again.
   *
   * @param endpoint - Id of the endpoint.
   * @param ejected - Whether the endpoint must not be given new work.
   */
  setEjected(endpoint: string, ejected: boolean): void {
    const member = this.members.get(endpoint);
    if (member) {
      member.isEjected = ejected;
      this.changes.fire();
    }
  }

  private async poll(): Promise<void> {
    if (this.isPolling) {
      return;
    }
    this.isPolling = true;
    const records = await this.list.read();
    this.isPolling = false;
    if (records !== undefined && this.timer !== undefined) {
      this.updateMembers(records.filter((record) => record.role === InstanceRole.Agent));
      this.hasPolled = true;
      this.noteTried();
    }
  }

  private noteTried(): void {
    this.hasTriedAll ||=
      this.hasPolled && [...this.members.values()].every((member) => !member.isConnecting);
  }

  private updateMembers(records: readonly InstanceRecord[]): void {
    const listedIds = new Set(records.map((record) => record.id));
    for (const record of records) {
      const member = this.getOrCreateMember(record);
      member.isListedLeaving = record.state === InstanceState.Leaving;
      if (member.link === undefined && !member.isConnecting) {
        void this.openLink(member);
      }
    }
    for (const [id, member] of this.members) {
      if (!listedIds.has(id) && member.link === undefined && !member.isConnecting) {
        this.removeMember(id, member);
      }
    }
  }

  private getOrCreateMember(record: InstanceRecord): Member {
    const existing = this.members.get(record.id);
    if (existing && existing.record.address === record.address) {
      return existing;
    }
    if (existing) {
      existing.link?.close();
      this.removeMember(record.id, existing);
    }
    const member: Member = {
      record,
      incarnation: undefined,
      report: undefined,
      link: undefined,
      lastEndReason: undefined,
      isConnecting: false,
      hasAnnouncedLeaving: false,
      isListedLeaving: false,
      isEjected: false,
      ownActive: 0,
      othersActive: 0,
      entries: 1,
      revision: 0,
      lowestRevision: 0,
    };
    this.members.set(record.id, member);
    return member;
  }

  private removeMember(id: string, member: Member): void {
    this.removeIncarnation(member);
    if (this.members.get(id) === member) {
      this.members.delete(id);
    }
    this.changes.fire();
  }

  private removeIncarnation(member: Member): void {
    const { incarnation } = member;
    if (incarnation !== undefined) {
      this.byIncarnation.delete(incarnation);
      Object.assign(member, { incarnation: undefined, report: undefined });
      const endpoint = member.record.id;
      const died = member.lastEndReason !== LinkEndReason.HeartbeatTimeout;
      this.logger.log(LogLevel.Warn, 'endpoint-lost', { endpoint, incarnation, died });
      this.lost.fire({ endpoint, incarnation, died });
    }
  }

  private async openLink(member: Member): Promise<void> {
    Object.assign(member, { isConnecting: true });
    const result = await connect({
      address: member.record.address,
      timing: this.options.timing,
      hello: this.options.createHello(),
      createHeartbeat: this.options.createHeartbeat,
      timeoutMs: connectTimeoutMs,
      answers: this.options.answers,
      maxBodyBytes: this.options.maxAnswerBytes,
    });
    Object.assign(member, { isConnecting: false });
    if (result.isErr() || this.timer === undefined) {
      this.removeIncarnation(member);
      if (result.isOk()) {
        result.value.close();
      }
    } else {
      this.attachLink(member, result.value);
    }
    this.noteTried();
  }

  private attachLink(member: Member, link: Link): void {
    const { peer } = link;
    const endpoint = member.record.id;
    if (peer === undefined || peer.instance !== endpoint) {
      this.logger.log(LogLevel.Error, 'endpoint-mismatch', { endpoint, peer: peer?.instance });
      link.close();
      return;
    }
    const { incarnation } = peer;
    const isRestored = member.incarnation === incarnation;
    if (!isRestored) {
      this.removeIncarnation(member);
      Object.assign(member, {
        hasAnnouncedLeaving: false,
        ownActive: 0,
        othersActive: 0,
        incarnation,
      });
      this.logger.log(LogLevel.Info, 'endpoint-joined', { endpoint, incarnation });
    }
    Object.assign(member, { link, report: peer.report });
    this.byIncarnation.set(incarnation, member);
    link.onDidReceive((message) => this.handleMessage(member, incarnation, message));
    link.onDidEnd((reason) => {
      Object.assign(member, { link: undefined, lastEndReason: reason });
      this.logger.log(LogLevel.Warn, 'link-ended', { endpoint, reason });
      this.changes.fire();
      if (this.timer !== undefined && !member.isConnecting) {
        void this.openLink(member);
      }
    });
    if (isRestored) {
      this.restored.fire({ endpoint, incarnation });
    }
    this.changes.fire();
  }

  private handleMessage(member: Member, incarnation: string, message: LinkMessage): void {
    switch (message.kind) {
      case MessageKind.Heartbeat:
        this.handleHeartbeat(member, message);
        break;
      case MessageKind.Leaving:
        Object.assign(member, { hasAnnouncedLeaving: true });
        this.logger.log(LogLevel.Info, 'endpoint-leaving', { endpoint: member.record.id });
        this.changes.fire();
        break;
      default:
        this.messages.fire({ endpoint: member.record.id, incarnation, message });
    }
  }

  private handleHeartbeat(member: Member, heartbeat: HeartbeatMessage): void {
    const before = member.report;
    Object.assign(member, {
      report: heartbeat.report ?? before,
      revision: Math.max(member.revision, heartbeat.revision),
      lowestRevision: heartbeat.lowestRevision ?? 0,
      entries: Math.max(1, heartbeat.entries ?? 1),
    });
    const after = member.report;
    member.othersActive = Math.max(0, (after?.active ?? 0) - member.ownActive);
    const hasChanged =
      before?.ready !== after?.ready ||
      before?.model !== after?.model ||
      before?.range.from !== after?.range.from ||
      before?.range.to !== after?.range.to ||
      (after !== undefined && after.active < (before?.active ?? 0));
    if (hasChanged) {
      this.changes.fire();
    }
  }
}
