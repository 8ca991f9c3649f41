import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { sleep } from '../../../base/node/systemClock.js';
import { ObjectKind, type IObjectStore } from '../../../services/objects/common/objects.js';
import { Agreement } from '../../../services/rules/common/agreement.js';
import type { RuleFile, RuleStore } from '../../../services/rules/common/ruleStore.js';

/** Longest wait of one watch call, in milliseconds; bounds how long a silent watch goes unseen. */
const maxWatchWaitMs = 3_000;

/** Pause between reads while the platform fails or answers with an old revision, in milliseconds. */
const retryDelayMs = 300;

const emptyRuleFile: RuleFile = {
  revision: 0,
  text: '',
  agreement: new Agreement(0, []),
  changes: [],
};

/** Keeps the newest rules in force; the revision never goes down. */
export class RuleFeed {
  private readonly changes = new Emitter<RuleFile>();

  private readonly abortController = new AbortController();

  private file = emptyRuleFile;

  private hasRead = false;

  /** Fires when a new revision is in force. */
  readonly onDidChange = this.changes.event;

  /**
   * @param store - Rule files in the platform.
   * @param objects - The platform's objects, for the watch.
   * @param knownRevision - Highest revision that any peer is known to have.
   * @param logger - Receives changes.
   */
  constructor(
    private readonly store: RuleStore,
    private readonly objects: IObjectStore,
    private readonly knownRevision: () => number,
    private readonly logger: ILogger,
  ) {}

  /** The rules in force. */
  get current(): RuleFile {
    return this.file;
  }

  /** True once the rules are as new as any peer's. */
  get ready(): boolean {
    return this.hasRead && this.file.revision >= this.knownRevision();
  }

  /** Starts to follow the rules. */
  start(): void {
    void this.followChanges();
  }

  /** Ends the watch. */
  close(): void {
    this.abortController.abort();
    this.changes.close();
  }

  /** Reads the rules now, for example after a change of this entry's own. */
  async refresh(): Promise<boolean> {
    const read = await this.store.read();
    if (read.isErr()) {
      return false;
    }
    this.hasRead = true;
    if (read.value.revision > this.file.revision) {
      this.file = read.value;
      this.logger.log(LogLevel.Info, 'rules-in-force', { revision: this.file.revision });
      this.changes.fire(this.file);
    }
    return this.file.revision >= this.knownRevision();
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
