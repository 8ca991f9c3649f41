import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { sleep } from '../../../base/node/systemClock.js';
import {
  firstEra,
  ObjectKind,
  type IObjectStore,
  type IStoreEra,
} from '../../../services/objects/common/objects.js';
import { Agreement } from '../../../services/rules/common/agreement.js';
import {
  includesChanges,
  latestChange,
  type IRuleHistory,
} from '../../../services/rules/common/ruleHistory.js';
import {
  RuleRestoration,
  type RuleFile,
  type RuleStore,
} from '../../../services/rules/common/ruleStore.js';

/**
 * Maximum wait of one watch call, in milliseconds. It bounds how long a watch that delivers nothing
 * can go unnoticed.
 */
const maxWatchWaitMs = 3_000;

/** Delay before a retry if the platform fails or returns an old revision, in milliseconds. */
const retryDelayMs = 300;

const emptyRuleFile: RuleFile = {
  revision: 0,
  text: '',
  agreement: new Agreement(0, []),
  changes: [],
};

/** Watches the platform and keeps the newest rules in force; the revision never decreases. */
export class RuleFeed {
  private readonly changes = new Emitter<RuleFile>();

  private readonly abortController = new AbortController();

  private ruleFile = emptyRuleFile;

  private hasRead = false;

  /** Number of times that the rules were written again because the store had forgotten them. */
  restored = 0;

  /** Number of accepted changes and revisions that nobody can write again. */
  givenUp = 0;

  /** Highest revision that the store lacks and no process has written again in time. */
  private lostRevision = 0;

  /** Ends the current watch call. */
  private watchController = new AbortController();

  /** Fires when a new revision comes into force. */
  readonly onDidChange = this.changes.event;

  /**
   * @param store - Reads the rules from the platform.
   * @param objects - Object store that is watched for changes of the rules.
   * @param history - What else is known of the rules.
   * @param logger - Receives an event for each new revision.
   */
  constructor(
    private readonly store: RuleStore,
    private readonly objects: IObjectStore & IStoreEra,
    private readonly history: IRuleHistory,
    private readonly logger: ILogger,
  ) {}

  /** The rules in force. */
  get current(): RuleFile {
    return this.ruleFile;
  }

  /** True once the rules were read and are at least as new as those of any known peer. */
  get isReady(): boolean {
    return this.hasRead && this.isAsNewAsPeers;
  }

  /** Starts to watch the rules. */
  start(): void {
    this.objects.onDidChangeEra(() => this.watchController.abort());
    void this.followChanges();
  }

  /** Stops the watch. */
  close(): void {
    this.abortController.abort();
    this.watchController.abort();
    this.changes.close();
  }

  /**
   * Reads the rules now, for example after this entry has changed them.
   *
   * @returns True if the rules were read and are at least as new as those of any known peer.
   */
  async refresh(): Promise<boolean> {
    const read = await this.store.read();
    if (read.isErr()) {
      await this.restore(undefined);
      return false;
    }
    this.hasRead = true;
    if (!(await this.restore(read.value))) {
      return false;
    }
    if (read.value.revision > this.ruleFile.revision) {
      this.ruleFile = read.value;
      this.logger.log(LogLevel.Info, 'rules-in-force', { revision: this.ruleFile.revision });
      this.changes.fire(this.ruleFile);
    }
    this.noteLostRevision();
    return this.isAsNewAsPeers;
  }

  private get isAsNewAsPeers(): boolean {
    const { highestRevision } = this.history;
    return highestRevision <= Math.max(this.ruleFile.revision, this.lostRevision);
  }

  /**
   * Writes the rules in force again if the store came back without them.
   *
   * @param stored - Rules that the store has; undefined if they can't be read.
   * @returns True if the stored rules may be applied.
   */
  private async restore(stored: RuleFile | undefined): Promise<boolean> {
    const known = this.ruleFile;
    const mayLackKnown = this.objects.era > firstEra && known.revision > 0;
    if (!mayLackKnown || (stored !== undefined && includesChanges(stored, known))) {
      return true;
    }
    const restored = await this.store.restore(known);
    if (restored.isErr()) {
      return false;
    }
    const { revision } = known;
    const change = latestChange(known);
    switch (restored.value) {
      case RuleRestoration.WrittenAgain:
        this.restored += 1;
        this.logger.log(LogLevel.Warn, 'rules-written-again', { revision, change: change?.id });
        return true;
      case RuleRestoration.Superseded:
      case RuleRestoration.Renumbered:
        this.givenUp += 1;
        this.logger.log(LogLevel.Error, 'rules-change-lost', {
          revision,
          change: change?.id,
          by: change?.by,
          renumbered: restored.value === RuleRestoration.Renumbered,
        });
        // The rules are read again under the revision that they have now.
        return restored.value === RuleRestoration.Superseded;
      default:
        return true;
    }
  }

  /** Gives up a revision that nobody has written again, so that this entry serves with what the store has. */
  private noteLostRevision(): void {
    const isRestored = this.objects.era > firstEra && !this.history.isIncomplete;
    if (isRestored && !this.isAsNewAsPeers) {
      const { revision } = this.ruleFile;
      this.lostRevision = this.history.highestRevision;
      this.givenUp += 1;
      this.logger.log(LogLevel.Error, 'rules-revision-lost', { revision, lost: this.lostRevision });
    }
  }

  private async followChanges(): Promise<void> {
    const { signal } = this.abortController;
    let sequence = 0;
    while (!signal.aborted) {
      this.watchController = new AbortController();
      if (!(await this.refresh())) {
        await sleep(retryDelayMs, signal);
        continue;
      }
      const batch = await this.objects.watch(
        ObjectKind.RuleManifest,
        sequence,
        maxWatchWaitMs,
        this.watchController.signal,
      );
      if (batch.isOk()) {
        sequence = batch.value.sequence;
      } else {
        await sleep(retryDelayMs, signal);
      }
    }
  }
}
