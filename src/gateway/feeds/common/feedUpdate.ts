import type { FeedEvent } from './feedSource.js';

/** Consecutive changes of one kind of object. */
export interface FeedBatch<T> {
  /** Revision of the change before the first one; a copy at this revision or later misses nothing. */
  readonly from: number;
  /** Revision up to which the changes are complete. */
  readonly to: number;
  /** The last change of each object. */
  readonly events: readonly FeedEvent<T>[];
}

/** Time during which the store didn't answer a gateway. */
export interface StoreOutage {
  /** Time from the first failed call to the next answer, in milliseconds. */
  readonly lastedMs: number;
  /** Time since that answer, in milliseconds. */
  readonly endedAgoMs: number;
}

/** What a gateway that watches the store tells the others about one kind of object. */
export interface FeedUpdate<T> {
  /** Revision of the last change that the sender knows of. */
  readonly changedAt: number;
  /** Revision up to which the sender knows all changes. */
  readonly knownTo: number;
  /** Time since the store confirmed that to the sender, in milliseconds. */
  readonly ageMs: number;
  /** Recent outage of the store, as the sender saw it; undefined if there was none. */
  readonly outage: StoreOutage | undefined;
  /** The latest changes, oldest first; they need not reach back to the receiver's copy. */
  readonly batches: readonly FeedBatch<T>[];
}

/** Encodes the objects of one kind for the updates that gateways send to each other. */
export interface IUpdateCodec<T> {
  /** Returns a value that can be packed. */
  encode(value: T): unknown;
  /** Returns the object, or undefined if the value isn't a valid one. */
  decode(wire: unknown): T | undefined;
}

/**
 * Reduces changes to the last one of each object, so that they can be applied to a copy that already
 * includes some of them without undoing those.
 *
 * @param events - Changes, oldest first.
 * @returns The last change of each object, in their order.
 */
export function lastEvents<T>(events: readonly FeedEvent<T>[]): readonly FeedEvent<T>[] {
  const byName = new Map<string, FeedEvent<T>>();
  for (const event of events) {
    byName.delete(event.item.name);
    byName.set(event.item.name, event);
  }
  return [...byName.values()];
}
