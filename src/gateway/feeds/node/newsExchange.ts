import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import type { Subscription } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { FeedNews, INewsCodec } from '../common/feedNews.js';
import { decodeNews, encodeNews, type FeedNewsMessage } from '../common/feedNewsWire.js';
import { FeedRole, WatcherElection } from '../common/watcherElection.js';
import type { StoreFeed } from './storeFeed.js';

/** Interval at which a watcher repeats its news, and at which roles are chosen, in milliseconds. */
const repeatIntervalMs = 500;

/** Time since a confirmation of the store up to which news of a watcher count for its election, in ms. */
const maxUsableAgeMs = 2_000;

/** Name of the feed whose news show whether a watcher still reaches the store. */
const referenceFeed = 'endpoints';

/** Feed whose news are encoded. */
interface INewsFeed {
  /** Sets whether the feed watches the store or follows others that do. */
  setRole(role: FeedRole): void;
  /** Returns the news for the followers; undefined while there are none. */
  createNews(): FeedNews<unknown> | undefined;
  /** Applies the news of a watcher. */
  handleNews(news: FeedNews<unknown>): void;
}

/** A feed with the codec of its objects. */
class NewsFeed<T> implements INewsFeed {
  /**
   * @param feed - Feed that creates and handles the news.
   * @param codec - Encodes its objects; undefined if its news only tell of revisions.
   */
  constructor(
    private readonly feed: StoreFeed<T>,
    private readonly codec: INewsCodec<T> | undefined,
  ) {}

  setRole(role: FeedRole): void {
    this.feed.setRole(role);
  }

  createNews(): FeedNews<unknown> | undefined {
    const news = this.feed.createNews();
    return news && encodeNews(news, this.codec);
  }

  handleNews(news: FeedNews<unknown>): void {
    this.feed.handleNews(decodeNews(news, this.codec));
  }
}

/** Sends news of the store to the other gateways. */
export interface INewsChannel {
  /** Instance names of the gateways that were heard recently. */
  readonly aliveInstances: readonly string[];
  /** Sends a message to all other gateways; it may be lost. */
  sendNews(message: FeedNewsMessage): void;
}

/**
 * Spreads what a few gateways read from the store to all others, so that the number of calls doesn't
 * grow with the number of gateways.
 */
export class NewsExchange {
  private readonly feeds = new Map<string, INewsFeed>();

  private readonly subscriptions: Subscription[] = [];

  private readonly election: WatcherElection;

  private role = FeedRole.Primary;

  private cancelTimer: CancelTimer | undefined;

  /** Whether news are about to be sent. */
  private isSendPending = false;

  /**
   * @param self - Instance name of this gateway.
   * @param channel - Reaches the other gateways.
   * @param clock - Source of time and timers.
   * @param logger - Receives changes of the role of this gateway.
   */
  constructor(
    private readonly self: string,
    private readonly channel: INewsChannel,
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
   * @param feed - Feed that creates and handles the news.
   * @param codec - Encodes its objects; undefined to tell followers only that they must read the store.
   */
  add<T>(feed: StoreFeed<T>, codec?: INewsCodec<T>): void {
    this.feeds.set(feed.name, new NewsFeed(feed, codec));
    this.subscriptions.push(feed.onDidRead(() => this.scheduleSend()));
  }

  /** Starts to choose roles and to repeat the news. */
  start(): void {
    this.schedule();
  }

  /** Stops sending. */
  close(): void {
    this.cancelTimer?.();
    this.subscriptions.forEach((subscription) => subscription.close());
  }

  /**
   * Applies the news of another gateway.
   *
   * @param message - News as received.
   */
  handleMessage({ sender, feeds }: FeedNewsMessage): void {
    for (const [name, news] of feeds) {
      this.feeds.get(name)?.handleNews(news);
    }
    if ((feeds.get(referenceFeed)?.ageMs ?? Number.POSITIVE_INFINITY) <= maxUsableAgeMs) {
      this.election.recordNews(sender);
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

  /** Sends the news once for all feeds that read something in this turn of the event loop. */
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
    const feeds = new Map<string, FeedNews<unknown>>();
    for (const [name, feed] of this.feeds) {
      const news = feed.createNews();
      if (news) {
        feeds.set(name, news);
      }
    }
    if (feeds.size > 0) {
      this.channel.sendNews({ sender: this.self, feeds });
    }
  }
}
