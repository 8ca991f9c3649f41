import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { sleep } from '../../../base/node/systemClock.js';
import {
  ObjectKind,
  type IObjectStore,
  type IStoreEra,
} from '../../../services/objects/common/objects.js';
import { Agreement } from '../../../services/rules/common/agreement.js';
import type { IRuleHistory } from '../../../services/rules/common/ruleHistory.js';
import type { RuleFile, RuleStore } from '../../../services/rules/common/ruleStore.js';

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
    return this.hasRead && this.ruleFile.revision >= this.history.highestRevision;
  }

  /** Starts to watch the rules. */
  start(): void {
    void this.followChanges();
  }

  /** Stops the watch. */
  close(): void {
    this.abortController.abort();
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
      return false;
    }
    this.hasRead = true;
    if (read.value.revision > this.ruleFile.revision) {
      this.ruleFile = read.value;
      this.logger.log(LogLevel.Info, 'rules-in-force', { revision: this.ruleFile.revision });
      this.changes.fire(this.ruleFile);
    }
    return this.ruleFile.revision >= this.history.highestRevision;
  }

  private async followChanges(): Promise<void> {
    const { signal } = this.abortController;
    let sequence = 0;
    while (!signal.aborted) {
      if (!(await this.refresh())) {
        await sleep(retryDelayMs, signal);
        continue;
      }
      const batch = await this.objects.watch(
        ObjectKind.RuleManifest,
        sequence,
        maxWatchWaitMs,
        signal,
      );
      if (batch.isOk()) {
        sequence = batch.value.sequence;
      } else {
        await sleep(retryDelayMs, signal);
      }
    }
  }
}
