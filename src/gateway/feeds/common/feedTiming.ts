/** How often a feed calls the store: a trade-off between the cost of calls and late updates. */
export interface FeedTiming {
  /**
   * Longest wait of one watch call, in milliseconds. It bounds the time for which a connection that
   * no longer delivers data goes unnoticed.
   */
  readonly watchWaitMs: number;
  /** Delay after changes, so that further ones arrive in one batch, in milliseconds. */
  readonly batchDelayMs: number;
}

/** Initial and maximum interval between the starts of failing calls, in milliseconds; doubled each time. */
export const minRetryIntervalMs = 100;
export const maxRetryIntervalMs = 800;

/**
 * Maximum interval between the starts of a follower's failing calls, in milliseconds. The update of a
 * watcher that reaches the store again end its wait.
 */
export const maxFollowerRetryIntervalMs = 2_000;

/**
 * Delay after changes that a backup watcher reads, in milliseconds. It matters only after the primary
 * watcher has failed, until another one has taken over.
 */
export const backupBatchDelayMs = 1_000;

/**
 * Longest wait of the feeds whose changes are urgent, in milliseconds. If all watchers lose the store without
 * notice, their followers read it themselves when the last answer is that old.
 */
const urgentWatchWaitMs = 1_200;

/** A configuration must be applied within two seconds of its write to the store. */
export const configTiming: FeedTiming = { watchWaitMs: urgentWatchWaitMs, batchDelayMs: 0 };

/**
 * A draining endpoint must get no new requests later than two seconds after the store has recorded its
 * state.
 */
export const endpointTiming: FeedTiming = { watchWaitMs: urgentWatchWaitMs, batchDelayMs: 250 };

/**
 * Wait of the feeds of kinds that rarely change, in milliseconds. The store keeps its history for 20
 * seconds; a longer wait would end after the history of its start, and cost another list.
 */
const longWatchWaitMs = 19_000;

/** The peers change only when instances are replaced, so their feed may wait longer. */
export const peerTiming: FeedTiming = { watchWaitMs: longWatchWaitMs, batchDelayMs: 500 };

/** Peers tell each other of crashes at once; this feed serves those that can't hear each other. */
export const suspectTiming: FeedTiming = { watchWaitMs: longWatchWaitMs, batchDelayMs: 100 };
