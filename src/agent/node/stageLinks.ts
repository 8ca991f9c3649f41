import { Emitter } from '../../base/common/event.js';
import type { AnswerIntake } from '../../services/exchange/node/answerIntake.js';
import { connect } from '../../services/link/node/connect.js';
import type { Link, LinkTiming } from '../../services/link/node/link.js';
import type {
  HeartbeatMessage,
  HelloMessage,
  LinkMessage,
} from '../../services/link/common/messages.js';
import type { StageSpec } from '../../services/model/common/model.js';
import type { IStageLinks } from '../stage/common/stageContracts.js';

/** Identity and timing of an agent's links. */
export interface StageLinkOptions {
  readonly incarnation: string;
  readonly timing: LinkTiming;
  readonly createHello: () => HelloMessage;
  readonly createHeartbeat: () => HeartbeatMessage;
  /** Bounds what links make the process hold; not bounded if undefined. */
  readonly answers?: AnswerIntake;
}

/** Timeout of opening a link to another agent, in milliseconds. */
const connectTimeoutMs = 1_000;

/** Links from an agent to the agents of other stages and to entries. */
export class StageLinks implements IStageLinks {
  private readonly entryLinks = new Map<string, Link>();

  private readonly stageLinks = new Map<string, Link | undefined>();

  private readonly lostEmitter = new Emitter<string>();

  private readonly restoredEmitter = new Emitter<string>();

  private readonly localEmitter = new Emitter<LinkMessage>();

  /** Fires with the incarnation of an agent to which no link could be opened. */
  readonly onDidLoseStage = this.lostEmitter.event;

  /** Fires with the incarnation of an agent when a link to it has been opened. */
  readonly onDidRestoreStage = this.restoredEmitter.event;

  /** Fires for messages that this agent sends to itself. */
  readonly onDidReceiveLocal = this.localEmitter.event;

  private isClosed = false;

  /** @param options - Identity and timing of the links. */
  constructor(private readonly options: StageLinkOptions) {}

  /**
   * Registers a link that an entry opened.
   *
   * @param entry - Instance id of the entry.
   * @param link - Link to the entry; replaces an earlier one.
   */
  addEntry(entry: string, link: Link): void {
    this.entryLinks.set(entry, link);
    link.onDidEnd(() => {
      if (this.entryLinks.get(entry) === link) {
        this.entryLinks.delete(entry);
      }
    });
  }

  /**
   * Checks whether an entry is linked.
   *
   * @param entry - Instance id of the entry.
   * @returns True if a link from the entry is open.
   */
  hasEntry(entry: string): boolean {
    return this.entryLinks.has(entry);
  }

  sendToEntry(entry: string, message: LinkMessage): void {
    this.entryLinks.get(entry)?.send(message);
  }

  /**
   * Relays a message from one entry to the others.
   *
   * @param sender - Instance id of the entry that sent it.
   * @param message - Message to relay.
   */
  relayToOtherEntries(sender: string | undefined, message: LinkMessage): void {
    this.entryLinks.forEach((link, entry) => {
      if (entry !== sender) {
        link.send(message);
      }
    });
  }

  sendToStage(stage: StageSpec, message: LinkMessage): void {
    if (stage.incarnation === this.options.incarnation) {
      setImmediate(() => this.localEmitter.fire(message));
      return;
    }
    const link = this.stageLinks.get(stage.incarnation);
    if (link) {
      link.send(message);
    } else if (!this.stageLinks.has(stage.incarnation)) {
      void this.openLink(stage);
    }
    // Nothing is queued while a link is being opened. Listeners of `onDidRestoreStage` resend the
    // latest output once it is open.
  }

  /** Closes the links to other agents. */
  close(): void {
    this.isClosed = true;
    this.stageLinks.forEach((link) => link?.close());
  }

  private async openLink(stage: StageSpec): Promise<void> {
    this.stageLinks.set(stage.incarnation, undefined);
    const result = await connect({
      address: stage.address,
      timing: this.options.timing,
      hello: this.options.createHello(),
      createHeartbeat: this.options.createHeartbeat,
      timeoutMs: connectTimeoutMs,
      answers: this.options.answers,
    });
    const link = result.isOk() ? result.value : undefined;
    if (link === undefined || link.peer?.incarnation !== stage.incarnation || this.isClosed) {
      link?.close();
      this.stageLinks.delete(stage.incarnation);
      this.lostEmitter.fire(stage.incarnation);
      return;
    }
    this.stageLinks.set(stage.incarnation, link);
    link.onDidEnd(() => {
      this.stageLinks.delete(stage.incarnation);
      if (!this.isClosed) {
        void this.openLink(stage);
      }
    });
    this.restoredEmitter.fire(stage.incarnation);
  }
}
