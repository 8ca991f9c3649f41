import type { IClock, ITimers } from '../../../base/common/clock.js';
import { toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { HistoryLostError, type FeedItem, type IFeedSource } from '../common/feedSource.js';
import { maxRetryIntervalMs, minRetryIntervalMs, type FeedTiming } from '../common/feedTiming.js';

/** Receives the objects and changes that a feed reads. */
export interface IFeedSink<T> {
  /** Called when an object was added or changed. */
  onItem(value: T): void;
  /** Called when an object was deleted, or when its current content can't be decoded. */
  onRemoved(name: string): void;
  /** Called with the names of all objects after each complete list. */
  onListed(names: ReadonlySet<string>): void;
  /** Called when the store stops answering. */
  onLost(): void;
  /** Called when the store answers again after a failure. */
  onRecovered(): void;
}

/**
 * Keeps a sink up to date with the objects of one kind in the store: lists them once, then watches
 * for changes, and lists again after a failure or if the change history is lost.
 */
export class StoreFeed<T> {
  private readonly abortController = new AbortController();

  private readonly decodeErrors = new Map<string, string>();

  private isStoreUnavailable = false;

  /** Minimum interval between the start of a failed call and that of the next one, in milliseconds. */
  private retryIntervalMs = minRetryIntervalMs;

  private callStartedMs = 0;

  /** Monotonic time of the store's last answer to this feed, in milliseconds. */
  private lastAnswerMs: number;

  /** Whether a complete list has succeeded at least once. */
  hasListed = false;

  /**
   * @param name - Name of the feed in log lines.
   * @param source - Lists and watches the objects.
   * @param sink - Receives the objects and changes.
   * @param timing - How often the feed calls the store.
   * @param clock - Source of time and timers.
   * @param logger - Receives store failures and objects that can't be decoded.
   */
  constructor(
    private readonly name: string,
    private readonly source: IFeedSource<T>,
    private readonly sink: IFeedSink<T>,
    private readonly timing: FeedTiming,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {
    this.lastAnswerMs = clock.monotonicMs();
  }

  /** Starts the loop that lists and watches; it runs until the feed is closed. */
  start(): void {
    void this.run();
  }

  /** Aborts the call in progress and ends the loop. */
  close(): void {
    this.abortController.abort();
  }

  private async run(): Promise<void> {
    const { signal } = this.abortController;
    let revision: number | undefined;
    while (!signal.aborted) {
      this.callStartedMs = this.clock.monotonicMs();
      try {
        revision = revision === undefined ? await this.list() : await this.watch(revision);
      } catch (err) {
        this.logger.log(LogLevel.Error, 'feed-failed', {
          feed: this.name,
          reason: toErrorMessage(err),
        });
        revision = undefined;
        await this.wait(maxRetryIntervalMs);
      }
    }
  }

  private async list(): Promise<number | undefined> {
    const listed = await this.source.list(this.abortController.signal);
    if (listed.isErr()) {
      await this.handleFailure(listed.error.message);
      return undefined;
    }
    this.handleSuccess();
    const { items, revision } = listed.value;
    items.forEach((item) => this.applyItem(item));
    this.sink.onListed(new Set(items.map(({ name }) => name)));
    this.hasListed = true;
    return revision;
  }

  private async watch(after: number): Promise<number | undefined> {
    const changes = await this.source.watch(
      after,
      this.timing.watchWaitMs,
      this.abortController.signal,
    );
    if (changes.isErr()) {
      if (changes.error instanceof HistoryLostError) {
        this.logger.log(LogLevel.Info, 'feed-history-lost', { feed: this.name, after });
      } else {
        await this.handleFailure(changes.error.message);
      }
      return undefined;
    }
    this.handleSuccess();
    for (const { item, isDeleted } of changes.value.events) {
      if (isDeleted) {
        this.decodeErrors.delete(item.name);
        this.sink.onRemoved(item.name);
      } else {
        this.applyItem(item);
      }
    }
    if (changes.value.events.length > 0 && this.timing.batchDelayMs > 0) {
      await this.wait(this.timing.batchDelayMs);
    }
    return changes.value.revision;
  }

  private applyItem(item: FeedItem<T>): void {
    if (item.value !== undefined) {
      this.decodeErrors.delete(item.name);
      this.sink.onItem(item.value);
      return;
    }
    const decodeError = item.decodeError ?? 'unknown decoding error';
    if (this.decodeErrors.get(item.name) !== decodeError) {
      this.decodeErrors.set(item.name, decodeError);
      this.logger.log(LogLevel.Warn, 'feed-item-skipped', {
        feed: this.name,
        object: item.name,
        fault: decodeError,
      });
    }
    this.sink.onRemoved(item.name);
  }

  private async handleFailure(reason: string): Promise<void> {
    if (this.abortController.signal.aborted) {
      return;
    }
    if (!this.isStoreUnavailable) {
      this.isStoreUnavailable = true;
      this.logger.log(LogLevel.Warn, 'store-lost', { feed: this.name, reason });
      this.sink.onLost();
    }
    await this.wait(this.callStartedMs + this.retryIntervalMs - this.clock.monotonicMs());
    this.retryIntervalMs = Math.min(maxRetryIntervalMs, this.retryIntervalMs * 2);
  }

  /** Waits for a time in milliseconds, or until the feed is closed. */
  private wait(delayMs: number): Promise<void> {
    const { signal } = this.abortController;
    if (delayMs <= 0 || signal.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const cancel = this.clock.after(delayMs, finish);
      function finish(): void {
        cancel();
        signal.removeEventListener('abort', finish);
        resolve();
      }
      signal.addEventListener('abort', finish);
    });
  }

  private handleSuccess(): void {
    const nowMs = this.clock.monotonicMs();
    const awayMs = Math.round(nowMs - this.lastAnswerMs);
    this.lastAnswerMs = nowMs;
    this.retryIntervalMs = minRetryIntervalMs;
    if (this.isStoreUnavailable) {
      this.isStoreUnavailable = false;
      this.logger.log(LogLevel.Info, 'store-regained', { feed: this.name, awayMs });
      this.sink.onRecovered();
    }
  }
}
