import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import type { Subscription } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { FeedUpdate, IUpdateCodec } from '../common/feedUpdate.js';
import { decodeUpdate, encodeUpdate, type FeedUpdateMessage } from '../common/feedUpdateWire.js';
import { FeedRole, WatcherElection } from '../common/watcherElection.js';
import type { StoreFeed } from './storeFeed.js';

/** Interval at which a watcher repeats its updates, and at which roles are chosen, in milliseconds. */
const repeatIntervalMs = 500;

/** Time since a confirmation of the store up to which an update of a watcher counts for its election, in ms. */
const maxUsableAgeMs = 2_000;

/** Name of the feed whose updates show whether a watcher still reaches the store. */
const referenceFeed = 'endpoints';

/** Feed whose updates are encoded. */
interface IGossipedFeed {
  /** Sets whether the feed watches the store or follows others that do. */
  setRole(role: FeedRole): void;
  /** Returns the update for the followers; undefined while there is none. */
  createUpdate(): FeedUpdate<unknown> | undefined;
  /** Applies the update of a watcher. */
  handleUpdate(update: FeedUpdate<unknown>): void;
}

/** A feed with the codec of its objects. */
class GossipedFeed<T> implements IGossipedFeed {
  /**
   * @param feed - Feed that creates and handles the updates.
   * @param codec - Encodes its objects; undefined if its updates only tell of revisions.
   */
  constructor(
    private readonly feed: StoreFeed<T>,
    private readonly codec: IUpdateCodec<T> | undefined,
  ) {}

  setRole(role: FeedRole): void {
    this.feed.setRole(role);
  }

  createUpdate(): FeedUpdate<unknown> | undefined {
    const update = this.feed.createUpdate();
    return update && encodeUpdate(update, this.codec);
  }

  handleUpdate(update: FeedUpdate<unknown>): void {
    this.feed.handleUpdate(decodeUpdate(update, this.codec));
  }
}

/** Sends updates of feeds to the other gateways. */
export interface IUpdateChannel {
  /** Instance names of the gateways that were heard recently. */
  readonly aliveInstances: readonly string[];
  /** Sends a message to all other gateways; it may be lost. */
  sendUpdate(message: FeedUpdateMessage): void;
}

/**
 * Spreads what a few gateways read from the store to all others, so that the number of calls doesn't
 * grow with the number of gateways.
 */
export class FeedGossip {
  private readonly feeds = new Map<string, IGossipedFeed>();

  private readonly subscriptions: Subscription[] = [];

  private readonly election: WatcherElection;

  private role = FeedRole.Primary;

  private cancelTimer: CancelTimer | undefined;

  /** Whether updates are about to be sent. */
  private isSendPending = false;

  /**
   * @param self - Instance name of this gateway.
   * @param channel - Reaches the other gateways.
   * @param clock - Source of time and timers.
   * @param logger - Receives changes of the role of this gateway.
   */
  constructor(
    private readonly self: string,
    private readonly channel: IUpdateChannel,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {
    this.election = new WatcherElection(self, clock);
  }

  /** How this gateway learns of changes in the store. */
  get currentRole(): FeedRole {
    return this.role;
  }

  /**
   * Adds a feed.
   *
   * @param feed - Feed that creates and handles the updates.
   * @param codec - Encodes its objects; undefined to tell followers only that they must read the store.
   */
  add<T>(feed: StoreFeed<T>, codec?: IUpdateCodec<T>): void {
    this.feeds.set(feed.name, new GossipedFeed(feed, codec));
    this.subscriptions.push(feed.onDidRead(() => this.scheduleSend()));
  }

  /** Starts to choose roles and to repeat the updates. */
  start(): void {
    this.schedule();
  }

  /** Stops sending. */
  close(): void {
    this.cancelTimer?.();
    this.subscriptions.forEach((subscription) => subscription.close());
  }

  /**
   * Applies the update of another gateway.
   *
   * @param message - Updates as received.
   */
  handleMessage({ sender, feeds }: FeedUpdateMessage): void {
    for (const [name, update] of feeds) {
      this.feeds.get(name)?.handleUpdate(update);
    }
    if ((feeds.get(referenceFeed)?.ageMs ?? Number.POSITIVE_INFINITY) <= maxUsableAgeMs) {
      this.election.recordUpdate(sender);
    }
  }

  private schedule(): void {
    this.cancelTimer = this.clock.after(repeatIntervalMs, () => {
      this.chooseRole();
      this.send();
      this.schedule();
    });
  }

  private chooseRole(): void {
    const role = this.election.roleAmong(this.channel.aliveInstances);
    if (role !== this.role) {
      this.logger.log(LogLevel.Info, 'feed-role-changed', {
        role,
        previous: this.role,
        peers: this.channel.aliveInstances.length,
      });
      this.role = role;
      this.feeds.forEach((feed) => feed.setRole(role));
    }
  }

  /** Sends one message for all feeds that read something in this turn of the event loop. */
  private scheduleSend(): void {
    if (!this.isSendPending) {
      this.isSendPending = true;
      queueMicrotask(() => this.send());
    }
  }

  private send(): void {
    this.isSendPending = false;
    if (this.role === FeedRole.Follower) {
      return;
    }
    const feeds = new Map<string, FeedUpdate<unknown>>();
    for (const [name, feed] of this.feeds) {
      const update = feed.createUpdate();
      if (update) {
        feeds.set(name, update);
      }
    }
    if (feeds.size > 0) {
      this.channel.sendUpdate({ sender: this.self, feeds });
    }
  }
}
