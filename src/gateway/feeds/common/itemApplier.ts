import { toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { IFeedSink } from './feedSink.js';
import type { FeedEvent, FeedItem } from './feedSource.js';

/** Number of times that an object which can't be applied makes the feed read all of them again. */
const maxItemTries = 3;

/** Passes changes on to a sink. What is wrong with one object keeps none of the others from it. */
export class ItemApplier<T> {
  /** Why the present content of an object can't be decoded, by its name. */
  private readonly decodeErrors = new Map<string, string>();

  /** How often in a row an object couldn't be applied, by its name. */
  private readonly failedTries = new Map<string, number>();

  /**
   * @param feed - Name of the feed in log lines.
   * @param sink - Receives the changes.
   * @param logger - Receives objects that can't be decoded or applied.
   */
  constructor(
    private readonly feed: string,
    private readonly sink: Pick<IFeedSink<T>, 'onItem' | 'onRemoved'>,
    private readonly logger: ILogger,
  ) {}

  /**
   * Applies changes.
   *
   * @param events - Changes, oldest first.
   * @returns The last error of an object that may be applied once it is read again; undefined if there is none.
   */
  apply(events: readonly FeedEvent<T>[]): Error | undefined {
    let failure: Error | undefined;
    for (const { item, isDeleted } of events) {
      try {
        this.applyEvent(item, isDeleted);
        this.failedTries.delete(item.name);
      } catch (err) {
        failure = this.recordFailure(item.name, err) ?? failure;
      }
    }
    return failure;
  }

  private applyEvent(item: FeedItem<T>, isDeleted: boolean): void {
    if (isDeleted) {
      this.decodeErrors.delete(item.name);
      this.sink.onRemoved(item.name);
    } else if (item.value !== undefined) {
      this.decodeErrors.delete(item.name);
      this.sink.onItem(item.value);
    } else {
      this.recordDecodeError(item);
      this.sink.onRemoved(item.name);
    }
  }

  private recordDecodeError({ name, decodeError = 'unknown decoding error' }: FeedItem<T>): void {
    if (this.decodeErrors.get(name) !== decodeError) {
      this.decodeErrors.set(name, decodeError);
      this.logger.log(LogLevel.Warn, 'feed-item-skipped', {
        feed: this.feed,
        object: name,
        fault: decodeError,
      });
    }
  }

  private recordFailure(name: string, err: unknown): Error | undefined {
    const tries = (this.failedTries.get(name) ?? 0) + 1;
    const reason = toErrorMessage(err);
    this.failedTries.set(name, tries);
    this.logger.log(LogLevel.Error, 'feed-item-failed', {
      feed: this.feed,
      object: name,
      tries,
      reason,
    });
    return tries <= maxItemTries ? new Error(`${name}: ${reason}`, { cause: err }) : undefined;
  }
}
