import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { sleep } from '../../../base/node/systemClock.js';
import { HistoryLostError, type FeedItem, type IFeedSource } from '../common/feedSource.js';

/** How often a feed calls the store; calls cost, and so does news that comes late. */
export interface FeedTiming {
  /** Longest wait of one watch, in milliseconds; bounds how long a silent connection goes unseen. */
  readonly watchWaitMs: number;
  /** Pause after changes in which further ones gather, in milliseconds. */
  readonly batchDelayMs: number;
}

/** First and longest pause after a failed call, in milliseconds. */
const minPauseMs = 100;
const maxPauseMs = 800;

/** Receives what a feed reads. */
export interface IFeedSink<T> {
  /** An object is new or has changed. */
  onItem(value: T): void;
  onRemoved(name: string): void;
  /** All names that there are, after the whole kind was read. */
  onListed(names: ReadonlySet<string>): void;
  /** The store answers again after it didn't. */
  onRecovered(): void;
}

/** Follows the objects of one kind in the store by a list and watches. */
export class StoreFeed<T> {
  private readonly abort = new AbortController();

  private readonly faults = new Map<string, string>();

  private isLost = false;

  private pauseMs = minPauseMs;

  /** Whether the kind was read at least once. */
  hasListed = false;

  /**
   * @param name - Name of the feed, for log lines.
   * @param source - Reads the kind.
   * @param sink - Receives what is read.
   * @param pace - How often it calls the store.
   * @param logger - Receives losses and objects that can't be read.
   */
  constructor(
    private readonly name: string,
    private readonly source: IFeedSource<T>,
    private readonly sink: IFeedSink<T>,
    private readonly pace: FeedTiming,
    private readonly logger: ILogger,
  ) {}

  /** Starts to read and to watch. */
  start(): void {
    void this.run();
  }

  /** Ends the watch. */
  close(): void {
    this.abort.abort();
  }

  private async run(): Promise<void> {
    const { signal } = this.abort;
    let revision: number | undefined;
    while (!signal.aborted) {
      revision = revision === undefined ? await this.list() : await this.watch(revision);
    }
  }

  private async list(): Promise<number | undefined> {
    const listed = await this.source.list(this.abort.signal);
    if (listed.isErr()) {
      await this.lost(listed.error.message);
      return undefined;
    }
    this.regained();
    const { items, revision } = listed.value;
    items.forEach((item) => this.accept(item));
    this.sink.onListed(new Set(items.map(({ name }) => name)));
    this.hasListed = true;
    return revision;
  }

  private async watch(after: number): Promise<number | undefined> {
    const changes = await this.source.watch(after, this.pace.watchWaitMs, this.abort.signal);
    if (changes.isErr()) {
      if (changes.error instanceof HistoryLostError) {
        this.logger.log(LogLevel.Info, 'feed-history-lost', { feed: this.name, after });
      } else {
        await this.lost(changes.error.message);
      }
      return undefined;
    }
    this.regained();
    for (const { item, isDeleted } of changes.value.events) {
      if (isDeleted) {
        this.faults.delete(item.name);
        this.sink.onRemoved(item.name);
      } else {
        this.accept(item);
      }
    }
    if (changes.value.events.length > 0 && this.pace.batchDelayMs > 0) {
      await sleep(this.pace.batchDelayMs, this.abort.signal);
    }
    return changes.value.revision;
  }

  private accept(item: FeedItem<T>): void {
    if (item.value !== undefined) {
      this.faults.delete(item.name);
      this.sink.onItem(item.value);
      return;
    }
    const fault = item.decodeError ?? 'unknown fault';
    if (this.faults.get(item.name) !== fault) {
      this.faults.set(item.name, fault);
      this.logger.log(LogLevel.Warn, 'feed-item-skipped', {
        feed: this.name,
        object: item.name,
        fault,
      });
    }
    this.sink.onRemoved(item.name);
  }

  private async lost(reason: string): Promise<void> {
    if (this.abort.signal.aborted) {
      return;
    }
    if (!this.isLost) {
      this.isLost = true;
      this.logger.log(LogLevel.Warn, 'store-lost', { feed: this.name, reason });
    }
    await sleep(this.pauseMs, this.abort.signal);
    this.pauseMs = Math.min(maxPauseMs, this.pauseMs * 2);
  }

  private regained(): void {
    this.pauseMs = minPauseMs;
    if (this.isLost) {
      this.isLost = false;
      this.logger.log(LogLevel.Info, 'store-regained', { feed: this.name });
      this.sink.onRecovered();
    }
  }
}
