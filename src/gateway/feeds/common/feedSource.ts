import type { Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import type { ReadError } from '../../../services/objects/common/objects.js';

/** An object of the store with the outcome of decoding it. */
export interface FeedItem<T> {
  readonly name: string;
  /** The decoded value; undefined if decoding failed. */
  readonly value: T | undefined;
  /** Why decoding failed; undefined if it succeeded. */
  readonly decodeError: string | undefined;
}

/** All objects of one kind, with every change up to a revision of the store. */
export interface FeedList<T> {
  readonly revision: number;
  /**
   * Revision of the latest page. A list of several pages may show some later changes, but not all of those
   * between the two revisions.
   */
  readonly newestRevision: number;
  readonly items: readonly FeedItem<T>[];
}

/** A write or deletion of one object. */
export interface FeedEvent<T> {
  readonly item: FeedItem<T>;
  readonly isDeleted: boolean;
}

/** Changes of one kind of object up to a revision of the store. */
export interface FeedChanges<T> {
  readonly revision: number;
  readonly events: readonly FeedEvent<T>[];
}

/** The store no longer keeps the changes since the requested revision; a new list is needed. */
export class HistoryLostError extends IbissparError {
  readonly code = 'history-lost';
}

/** Which state of the store a list may show. */
export enum ReadConsistency {
  /** The latest one. */
  Latest = 'latest',
  /** One that may be seconds old, at a lower price; its revision tells which. */
  MayLag = 'may-lag',
}

/** Lists and watches the objects of one kind. */
export interface IFeedSource<T> {
  /**
   * Reads all objects of the kind.
   *
   * @param signal - Aborts the call.
   * @param consistency - Which state of the store is read.
   */
  list(signal: AbortSignal, consistency: ReadConsistency): Promise<Result<FeedList<T>, ReadError>>;
  /**
   * Waits for changes and returns them; the list of events is empty if there were none.
   *
   * @param revision - Revision after which changes are returned.
   * @param waitMs - Longest time to wait for a change, in milliseconds.
   * @param signal - Aborts the wait.
   */
  watch(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<FeedChanges<T>, ReadError | HistoryLostError>>;
}
