import {
  absentVersion,
  ObjectKind,
  type IObjectStore,
  type IStoreEra,
} from '../../objects/common/objects.js';
import type { UsageCounters, UsageRecord, UsageSide } from '../common/usage.js';

/** Process whose work is counted. */
export interface UsageOwner {
  readonly side: UsageSide;
  readonly instance: string;
  readonly incarnation: string;
}

/**
 * Writes the usage counters of this process run to one object that no other run writes.
 *
 * Each write replaces the whole record by cumulative counts, so that a repeated or late write does
 * not count any work twice.
 */
export class UsageWriter {
  private readonly timer: NodeJS.Timeout;

  private readonly sinceMs = Date.now();

  private writtenVersion = 0;

  private objectVersion = absentVersion;

  /** Whether the store may have forgotten the last write. */
  private mustRewrite = false;

  private writing: Promise<void> | undefined;

  /**
   * @param owner - Process whose work is counted.
   * @param counters - Counters to write.
   * @param store - Object store of the platform.
   * @param intervalMs - Time between writes, in milliseconds. If the process dies, the work counted
   *   since the last write is lost.
   */
  constructor(
    private readonly owner: UsageOwner,
    private readonly counters: UsageCounters,
    private readonly store: IObjectStore & IStoreEra,
    intervalMs: number,
  ) {
    store.onDidChangeEra(() => {
      this.mustRewrite = true;
    });
    this.timer = setInterval(() => void this.flush(), intervalMs);
  }

  /** Writes the counters if they changed since the last write, or if the store may have forgotten it. */
  async flush(): Promise<void> {
    await this.writing;
    if (this.counters.version !== this.writtenVersion || this.mustRewrite) {
      this.writing = this.write();
      await this.writing;
      this.writing = undefined;
    }
  }

  /** Stops the timer and writes the counters one last time. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    await this.flush();
  }

  private async write(): Promise<void> {
    const { version } = this.counters;
    const { era } = this.store;
    const record: UsageRecord = {
      ...this.owner,
      sinceMs: this.sinceMs,
      untilMs: Date.now(),
      rows: this.counters.snapshot(),
    };
    const name = this.owner.incarnation;
    const put = await this.store.put(ObjectKind.Usage, name, record, this.objectVersion);
    if (put.isOk()) {
      this.objectVersion = put.value;
      this.writtenVersion = version;
      this.mustRewrite &&= era !== this.store.era;
      return;
    }
    // No other process writes this object. A version conflict or a lost answer therefore only means
    // that the local version number is outdated, so it is read again.
    const read = await this.store.get<UsageRecord>(ObjectKind.Usage, name);
    if (read.isOk()) {
      this.objectVersion = read.value?.version ?? absentVersion;
    }
  }
}
