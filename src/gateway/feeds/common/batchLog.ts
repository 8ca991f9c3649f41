import type { IClock } from '../../../base/common/clock.js';
import type { FeedBatch } from './feedUpdate.js';

/** Time for which a change is sent again, so that it survives a few lost datagrams, in milliseconds. */
const repeatForMs = 1_000;

/** Maximum number of changes in one message; a gateway that lacks more of them reads the store. */
export const maxEventsPerMessage = 40;

/** The latest changes of one kind of object that a watcher read, for its updates. */
export class BatchLog<T> {
  private entries: { readonly atMs: number; readonly batch: FeedBatch<T> }[] = [];

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /** Adds changes that follow those added before. */
  add(batch: FeedBatch<T>): void {
    this.entries.push({ atMs: this.clock.monotonicMs(), batch });
  }

  /** Forgets all changes, because some after them are unknown. */
  clear(): void {
    this.entries = [];
  }

  /** Returns the latest changes, oldest first, as many as fit into a message. */
  recent(): readonly FeedBatch<T>[] {
    const oldestMs = this.clock.monotonicMs() - repeatForMs;
    this.entries = this.entries.filter(({ atMs }) => atMs >= oldestMs);
    const batches: FeedBatch<T>[] = [];
    let eventCount = 0;
    for (const { batch } of [...this.entries].reverse()) {
      eventCount += batch.events.length;
      if (eventCount > maxEventsPerMessage) {
        break;
      }
      batches.unshift(batch);
    }
    return batches;
  }
}
