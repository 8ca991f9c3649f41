import { Emitter } from '../../base/common/event.js';
import { connect } from '../../services/link/node/connect.js';
import type { Link, LinkTiming } from '../../services/link/node/link.js';
import type {
  HeartbeatMessage,
  HelloMessage,
  LinkMessage,
} from '../../services/link/common/messages.js';
import type { StageSpec } from '../../services/model/common/model.js';
import type { IStageLinks } from '../stage/common/stageContracts.js';

/** What the links of an agent say of it. */
export interface LinkIdentity {
  readonly incarnation: string;
  readonly timing: LinkTiming;
  readonly hello: () => HelloMessage;
  readonly heartbeat: () => HeartbeatMessage;
}

/** Time to open a link to another agent, in milliseconds. */
const connectLimitMs = 1_000;

/** Links from an agent to the agents of other stages and to entries. */
export class StageLinks implements IStageLinks {
  private readonly entries = new Map<string, Link>();

  private readonly stages = new Map<string, Link | undefined>();

  private readonly lost = new Emitter<string>();

  private readonly restored = new Emitter<string>();

  private readonly local = new Emitter<LinkMessage>();

  /** Fires with the incarnation of an agent that is gone. */
  readonly onDidLoseStage = this.lost.event;

  /** Fires with the incarnation of an agent once a link to it is open. */
  readonly onDidRestoreStage = this.restored.event;

  /** Fires for messages that this agent sent to itself. */
  readonly onDidReceiveLocal = this.local.event;

  private closed = false;

  /** @param identity - Who this agent is. */
  constructor(private readonly identity: LinkIdentity) {}

  /**
   * Registers the link that an entry opened.
   *
   * @param entry - Instance id of the entry.
   * @param link - Its link; the newest one is used.
   */
  addEntry(entry: string, link: Link): void {
    this.entries.set(entry, link);
    link.onDidEnd(() => {
      if (this.entries.get(entry) === link) {
        this.entries.delete(entry);
      }
    });
  }

  /**
   * Tells whether an entry has a link.
   *
   * @param entry - Instance id of the entry.
   * @returns True if a link is open.
   */
  hasEntry(entry: string): boolean {
    return this.entries.has(entry);
  }

  toEntry(entry: string, message: LinkMessage): void {
    this.entries.get(entry)?.send(message);
  }

  /**
   * Passes a message of an entry on to the others.
   *
   * @param sender - Instance id of the entry that sent it.
   * @param message - The message.
   */
  toOtherEntries(sender: string | undefined, message: LinkMessage): void {
    this.entries.forEach((link, entry) => {
      if (entry !== sender) {
        link.send(message);
      }
    });
  }

  toStage(stage: StageSpec, message: LinkMessage): void {
    if (stage.incarnation === this.identity.incarnation) {
      setImmediate(() => this.local.fire(message));
      return;
    }
    const link = this.stages.get(stage.incarnation);
    if (link) {
      link.send(message);
    } else if (!this.stages.has(stage.incarnation)) {
      void this.open(stage);
    }
    // While the link is being opened nothing is queued: the newest output is sent on its opening.
  }

  /** Closes the links to other agents. */
  close(): void {
    this.closed = true;
    this.stages.forEach((link) => link?.close());
  }

  private async open(stage: StageSpec): Promise<void> {
    this.stages.set(stage.incarnation, undefined);
    const result = await connect({
      address: stage.address,
      timing: this.identity.timing,
      hello: this.identity.hello(),
      heartbeat: this.identity.heartbeat,
      timeoutMs: connectLimitMs,
    });
    const link = result.isOk() ? result.value : undefined;
    if (link === undefined || link.peer?.incarnation !== stage.incarnation || this.closed) {
      link?.close();
      this.stages.delete(stage.incarnation);
      this.lost.fire(stage.incarnation);
      return;
    }
    this.stages.set(stage.incarnation, link);
    link.onDidEnd(() => {
      this.stages.delete(stage.incarnation);
      if (!this.closed) {
        void this.open(stage);
      }
    });
    this.restored.fire(stage.incarnation);
  }
}
