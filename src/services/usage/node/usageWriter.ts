import { absentVersion, ObjectKind, type IObjectStore } from '../../objects/common/objects.js';
import type { UsageCounters, UsageRecord, UsageSide } from '../common/usage.js';

/** Who counts. */
export interface UsageOwner {
  readonly side: UsageSide;
  readonly instance: string;
  readonly incarnation: string;
}

/**
 * Writes the counters of this run of the process to its own object.
 *
 * Each write replaces the whole record with higher counts, so that a repeated or late write counts
 * nothing twice.
 */
export class UsageWriter {
  private readonly timer: NodeJS.Timeout;

  private readonly sinceMs = Date.now();

  private writtenVersion = 0;

  private objectVersion = absentVersion;

  private writing: Promise<void> | undefined;

  /**
   * @param owner - Who counts.
   * @param counters - The counters.
   * @param store - The platform's objects.
   * @param intervalMs - Time between writes, in milliseconds; work since the last write is lost if
   * the process dies.
   */
  constructor(
    private readonly owner: UsageOwner,
    private readonly counters: UsageCounters,
    private readonly store: IObjectStore,
    intervalMs: number,
  ) {
    this.timer = setInterval(() => void this.flush(), intervalMs);
  }

  /** Writes the counters if they changed since the last write. */
  async flush(): Promise<void> {
    await this.writing;
    if (this.counters.version !== this.writtenVersion) {
      this.writing = this.write();
      await this.writing;
      this.writing = undefined;
    }
  }

  /** Stops the timer and writes a last time. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    await this.flush();
  }

  private async write(): Promise<void> {
    const { version } = this.counters;
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
      return;
    }
    // Nobody else writes this object: after a conflict or a lost answer its version is read again.
    const read = await this.store.get<UsageRecord>(ObjectKind.Usage, name);
    if (read.isOk()) {
      this.objectVersion = read.value?.version ?? absentVersion;
    }
  }
}
