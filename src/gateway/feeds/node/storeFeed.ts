import type { IClock, ITimers } from '../../../base/common/clock.js';
import { toErrorMessage } from '../../../base/common/errors.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { BatchLog } from '../common/batchLog.js';
import {
  lastEvents,
  type FeedBatch,
  type FeedUpdate,
  type StoreOutage,
} from '../common/feedUpdate.js';
import { FeedPosition } from '../common/feedPosition.js';
import type { IFeedSink } from '../common/feedSink.js';
import {
  HistoryLostError,
  ReadConsistency,
  type FeedList,
  type IFeedSource,
} from '../common/feedSource.js';
import {
  backupBatchDelayMs,
  maxFollowerRetryIntervalMs,
  maxRetryIntervalMs,
  minRetryIntervalMs,
  type FeedTiming,
} from '../common/feedTiming.js';
import { ItemApplier } from '../common/itemApplier.js';
import { FeedRole } from '../common/watcherElection.js';

/** Time for which a watcher reports an outage of the store to its followers, in milliseconds. */
const outageReportedForMs = 5_000;

/**
 * Keeps a sink up to date with the objects of one kind in the store.
 *
 * A watcher lists them once, then watches for changes, and lists again after a failure or if the change
 * history is lost. A follower takes the changes from the updates of watchers. It reads the store itself when
 * it lacks a change that a watcher reported, and watches like one while no update confirms its copy.
 */
export class StoreFeed<T> {
  private readonly abortController = new AbortController();

  private readonly items: ItemApplier<T>;

  private isStoreUnavailable = false;

  /** Minimum interval between the start of a failed call and that of the next one, in milliseconds. */
  private retryIntervalMs = minRetryIntervalMs;

  private callStartedMs = 0;

  /** Monotonic time of the store's last answer to this feed, in milliseconds. */
  private lastAnswerMs: number;

  /** Monotonic time of the first failed call of the last outage, in milliseconds. */
  private lostAtMs = Number.NEGATIVE_INFINITY;

  /** Monotonic time at which the store last answered again after an outage, in milliseconds. */
  private recoveredAtMs = Number.NEGATIVE_INFINITY;

  private role = FeedRole.Primary;

  private isFollowing = false;

  private readonly position: FeedPosition;

  private readonly batches: BatchLog<T>;

  /** Ends the wait of the loop. */
  private wake: () => void = () => undefined;

  private readonly catchUps = new Emitter<ReadConsistency>();

  /** Fires when the feed has read changes that the updates lacked, with the read that held them. */
  readonly onDidCatchUp = this.catchUps.event;

  private readonly answers = new Emitter<void>();

  /** Fires when the store has answered a watcher, so that it has an update for its followers. */
  readonly onDidRead = this.answers.event;

  /** Whether a complete list has succeeded at least once. */
  hasListed = false;

  /**
   * @param name - Name of the feed in log lines and in updates.
   * @param source - Lists and watches the objects.
   * @param sink - Receives the objects and changes.
   * @param timing - How often the feed calls the store.
   * @param clock - Source of time and timers.
   * @param logger - Receives store failures and objects that can't be decoded.
   */
  constructor(
    readonly name: string,
    private readonly source: IFeedSource<T>,
    private readonly sink: IFeedSink<T>,
    private readonly timing: FeedTiming,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {
    this.lastAnswerMs = clock.monotonicMs();
    this.position = new FeedPosition(timing, clock);
    this.batches = new BatchLog(clock);
    this.items = new ItemApplier(name, sink, logger);
  }

  /** Time since the copy was confirmed to be current, in milliseconds. */
  get ageMs(): number {
    return this.position.ageMs;
  }

  /** Starts the loop that reads the store; it runs until the feed is closed. */
  start(): void {
    void this.run();
  }

  /** Aborts the call in progress and ends the loop. */
  close(): void {
    this.abortController.abort();
    this.answers.close();
    this.catchUps.close();
  }

  /** Sets whether this feed watches the store or follows others that do. */
  setRole(role: FeedRole): void {
    if (role !== this.role) {
      this.role = role;
      this.wake();
    }
  }

  /** Returns the update for the followers; undefined while the store hasn't been read. */
  createUpdate(): FeedUpdate<T> | undefined {
    const { revision, changedAt, ageMs } = this.position;
    const endedAgoMs = this.clock.monotonicMs() - this.recoveredAtMs;
    const lastedMs = this.recoveredAtMs - this.lostAtMs;
    return revision === undefined || this.isStoreUnavailable
      ? undefined
      : {
          changedAt,
          knownTo: revision,
          ageMs,
          outage: endedAgoMs < outageReportedForMs ? { lastedMs, endedAgoMs } : undefined,
          batches: this.batches.recent(),
        };
  }

  /**
   * Applies the changes in the update of a watcher, as far as they follow this copy without a gap. If one
   * can't be applied, the objects are listed anew.
   *
   * @param update - Update of a gateway that watches the store.
   */
  handleUpdate(update: FeedUpdate<T>): void {
    try {
      this.applyUpdate(update);
    } catch (err) {
      this.handleError(err);
      this.wake();
    }
  }

  private applyUpdate(update: FeedUpdate<T>): void {
    if (this.position.revision === undefined) {
      return;
    }
    if (update.outage) {
      this.recordReportedOutage(update.outage);
    }
    update.batches.forEach((batch) => this.applyBatch(batch));
    if (this.position.recordUpdate(update) && this.role === FeedRole.Follower) {
      if (this.isStoreUnavailable) {
        this.wake();
      }
      this.markAvailable();
    }
    if (this.position.isBehind) {
      this.wake();
    }
  }

  private async run(): Promise<void> {
    const { signal } = this.abortController;
    while (!signal.aborted) {
      this.callStartedMs = this.clock.monotonicMs();
      try {
        await this.step();
      } catch (err) {
        this.handleError(err);
        await this.wait(maxRetryIntervalMs);
      }
    }
  }

  /** Lets the objects be listed anew, because some may not have been applied. */
  private handleError(err: unknown): void {
    this.logger.log(LogLevel.Error, 'feed-failed', {
      feed: this.name,
      reason: toErrorMessage(err),
    });
    this.position.reset();
  }

  private async step(): Promise<void> {
    const { revision, freshForMs } = this.position;
    const isFollowing = this.role === FeedRole.Follower && freshForMs > 0;
    if (isFollowing !== this.isFollowing) {
      this.isFollowing = isFollowing;
      this.logger.log(LogLevel.Info, 'feed-mode-changed', {
        feed: this.name,
        follows: isFollowing,
        role: this.role,
        ageMs: Math.round(this.position.ageMs),
      });
    }
    if (revision === undefined) {
      await this.list();
    } else if (!isFollowing) {
      await this.watch(revision);
    } else if (this.position.isBehind) {
      await this.catchUp();
    } else {
      await this.wait(freshForMs);
    }
  }

  private async list(): Promise<void> {
    const listed = await this.source.list(this.abortController.signal, ReadConsistency.Latest);
    if (listed.isErr()) {
      await this.handleFailure(listed.error.message);
      return;
    }
    this.recordStoreAnswer();
    this.applyList(listed.value);
    this.position.recordAnswer(listed.value.revision, true);
    this.hasListed = true;
    this.answers.fire();
  }

  /** Reads what the updates lacked, at the lower price if the answer turns out to be recent enough. */
  private async catchUp(): Promise<void> {
    const { reportedRevision } = this.position;
    const listed = await this.source.list(this.abortController.signal, ReadConsistency.MayLag);
    if (listed.isOk()) {
      const { revision, newestRevision } = listed.value;
      this.logger.log(LogLevel.Info, 'feed-lagging-list', {
        feed: this.name,
        revision,
        newestRevision,
        reportedRevision,
      });
      this.applyList(listed.value);
      this.position.recordChanges(revision);
    }
    if (listed.isErr() || this.position.isBehind) {
      await this.list();
      this.catchUps.fire(ReadConsistency.Latest);
    } else {
      this.catchUps.fire(ReadConsistency.MayLag);
    }
  }

  private async watch(after: number): Promise<void> {
    const changes = await this.source.watch(
      after,
      this.timing.watchWaitMs,
      this.abortController.signal,
    );
    if (changes.isErr()) {
      if (changes.error instanceof HistoryLostError) {
        this.position.reset();
        this.logger.log(LogLevel.Info, 'feed-history-lost', { feed: this.name, after });
      } else {
        await this.handleFailure(changes.error.message);
      }
      return;
    }
    this.recordStoreAnswer();
    const { events, revision } = changes.value;
    if (events.length > 0) {
      this.applyBatch({ from: this.position.changedAt, to: revision, events: lastEvents(events) });
    }
    this.position.recordAnswer(revision, false);
    this.answers.fire();
    if (events.length > 0 && this.batchDelayMs > 0) {
      await this.delay(this.batchDelayMs);
    }
  }

  private get batchDelayMs(): number {
    return this.role === FeedRole.Backup
      ? Math.max(this.timing.batchDelayMs, backupBatchDelayMs)
      : this.timing.batchDelayMs;
  }

  /** Applies a complete list unless the copy is already at a later revision. */
  private applyList({ items, revision }: FeedList<T>): void {
    if (revision < (this.position.revision ?? 0)) {
      return;
    }
    this.batches.clear();
    const failure = this.items.apply(items.map((item) => ({ item, isDeleted: false })));
    this.sink.onListed(new Set(items.map(({ name }) => name)));
    if (failure) {
      throw failure;
    }
  }

  /** Applies changes unless the copy includes all of them, or lacks changes before them. */
  private applyBatch(batch: FeedBatch<T>): void {
    const { revision } = this.position;
    if (revision === undefined || revision < batch.from || revision >= batch.to) {
      return;
    }
    const failure = this.items.apply(batch.events);
    this.batches.add(batch);
    this.position.recordChanges(batch.to);
    if (failure) {
      throw failure;
    }
  }

  private async handleFailure(reason: string): Promise<void> {
    if (this.abortController.signal.aborted) {
      return;
    }
    if (!this.isStoreUnavailable) {
      this.isStoreUnavailable = true;
      this.lostAtMs = this.clock.monotonicMs();
      this.logger.log(LogLevel.Warn, 'store-lost', { feed: this.name, reason });
      this.sink.onLost();
    }
    await this.wait(this.callStartedMs + this.retryIntervalMs - this.clock.monotonicMs());
    const maxIntervalMs =
      this.role === FeedRole.Follower ? maxFollowerRetryIntervalMs : maxRetryIntervalMs;
    this.retryIntervalMs = Math.min(maxIntervalMs, this.retryIntervalMs * 2);
  }

  /** Waits for a time in milliseconds, until the feed is closed or until it is woken. */
  private async wait(delayMs: number): Promise<void> {
    const wakeController = new AbortController();
    this.wake = () => wakeController.abort();
    await this.delay(delayMs, wakeController.signal);
    this.wake = () => undefined;
  }

  /** Waits for a time in milliseconds, or until the feed is closed or a signal is aborted. */
  private delay(delayMs: number, signal = this.abortController.signal): Promise<void> {
    const closed = this.abortController.signal;
    if (delayMs <= 0 || signal.aborted || closed.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const cancel = this.clock.after(delayMs, finish);
      function finish(): void {
        cancel();
        signal.removeEventListener('abort', finish);
        closed.removeEventListener('abort', finish);
        resolve();
      }
      signal.addEventListener('abort', finish);
      closed.addEventListener('abort', finish);
    });
  }

  private recordStoreAnswer(): void {
    if (this.isStoreUnavailable) {
      this.recoveredAtMs = this.clock.monotonicMs();
    }
    this.markAvailable();
  }

  /** Ends the outage because this process, or a watcher that it follows, reaches the store. */
  private markAvailable(): void {
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

  /**
   * Takes over from a watcher that the store was away for a moment, which a follower need not notice.
   * The watcher alone was cut off if the store confirmed this copy to another gateway meanwhile.
   */
  private recordReportedOutage({ lastedMs, endedAgoMs }: StoreOutage): void {
    const endedAtMs = this.clock.monotonicMs() - endedAgoMs;
    const isKnown = endedAtMs < this.recoveredAtMs + outageReportedForMs;
    if (isKnown || this.position.wasConfirmedBetween(endedAtMs - lastedMs, endedAtMs)) {
      return;
    }
    this.recoveredAtMs = endedAtMs;
    this.lostAtMs = endedAtMs - lastedMs;
    this.logger.log(LogLevel.Info, 'store-outage-reported', {
      feed: this.name,
      lastedMs: Math.round(lastedMs),
      endedAgoMs: Math.round(endedAgoMs),
    });
    this.sink.onRecovered();
  }
}
