import type { IClock } from '../../base/common/clock.js';
import type { ILogger } from '../../base/common/logger.js';
import type { IObjectStore, IStoreEra } from '../../services/objects/common/objects.js';
import type { SuspectRecord } from '../../services/suspects/common/suspectRecord.js';
import type { ConfigHolder } from '../config/common/configHolder.js';
import type { ConfigSnapshot } from '../config/common/configSnapshot.js';
import type { Endpoint } from '../directory/common/endpoint.js';
import type { EndpointDirectory } from '../directory/common/endpointDirectory.js';
import type { IFeedSource } from '../feeds/common/feedSource.js';
import { StoreFeed, type FeedTiming } from '../feeds/node/storeFeed.js';
import type { PeerAddress, PeerExchange } from '../peers/node/peerExchange.js';
import type { IDialect } from '../relay/common/dialect.js';
import type { IEndpointControl } from '../relay/common/endpointControl.js';
import type { CrashProtection } from '../suspects/common/crashProtection.js';

/** Adapters between a gateway and the platform that it runs on. */
export interface PlatformAdapters {
  readonly store: IObjectStore & IStoreEra;
  readonly configFeed: IFeedSource<ConfigSnapshot>;
  readonly endpointFeed: IFeedSource<Endpoint>;
  readonly peerFeed: IFeedSource<PeerAddress>;
  readonly suspectFeed: IFeedSource<readonly SuspectRecord[]>;
  readonly control: IEndpointControl;
  readonly dialect: IDialect;
}

/** A configuration must be applied within two seconds of its write to the store. */
const configTiming: FeedTiming = { watchWaitMs: 4_000, batchDelayMs: 0 };

/**
 * A draining endpoint must get no new requests later than two seconds after the store has recorded its
 * state.
 */
const endpointTiming: FeedTiming = { watchWaitMs: 4_000, batchDelayMs: 250 };

/** The peers change only when instances are replaced, so their feed may wait longer. */
const peerTiming: FeedTiming = { watchWaitMs: 20_000, batchDelayMs: 500 };

/** Peers tell each other of crashes at once; this feed serves those that can't hear each other. */
const suspectTiming: FeedTiming = { watchWaitMs: 20_000, batchDelayMs: 100 };

/** Parts of a gateway that the feeds keep up to date. */
export interface FeedTargets {
  readonly config: ConfigHolder;
  readonly directory: EndpointDirectory;
  readonly peers: PeerExchange;
  readonly crashProtection: CrashProtection;
}

/**
 * Creates the feeds for the kinds of objects that a gateway watches in the store.
 *
 * @param platform - Adapters that provide the sources of the feeds.
 * @param targets - Receive what the feeds read.
 * @param clock - Source of time.
 * @param logger - Receives store failures and objects that can't be decoded.
 * @returns The feeds, not yet started.
 */
export function createFeeds(
  platform: PlatformAdapters,
  { config, directory, peers, crashProtection }: FeedTargets,
  clock: IClock,
  logger: ILogger,
): readonly StoreFeed<unknown>[] {
  const ignore = () => undefined;
  return [
    new StoreFeed<ConfigSnapshot>(
      'config',
      platform.configFeed,
      {
        onItem: (snapshot) => config.applyIfNewer(snapshot),
        onRemoved: ignore,
        onListed: ignore,
        onLost: ignore,
        onRecovered: ignore,
      },
      configTiming,
      clock,
      logger,
    ),
    new StoreFeed<Endpoint>(
      'endpoints',
      platform.endpointFeed,
      {
        onItem: (endpoint) => directory.update(endpoint),
        onRemoved: (id) => directory.remove(id),
        onListed: (ids) => directory.retainOnly(ids),
        onLost: () => directory.recordStoreLoss(),
        onRecovered: () => directory.recordStoreRecovery(),
      },
      endpointTiming,
      clock,
      logger,
    ),
    new StoreFeed<PeerAddress>(
      'gateways',
      platform.peerFeed,
      {
        onItem: (peer) => peers.add(peer),
        onRemoved: (instance) => peers.remove(instance),
        onListed: ignore,
        onLost: ignore,
        onRecovered: ignore,
      },
      peerTiming,
      clock,
      logger,
    ),
    new StoreFeed<readonly SuspectRecord[]>(
      'suspects',
      platform.suspectFeed,
      {
        onItem: (records) => crashProtection.handleStored(records),
        onRemoved: ignore,
        onListed: ignore,
        onLost: ignore,
        onRecovered: () => crashProtection.publish(),
      },
      suspectTiming,
      clock,
      logger,
    ),
  ];
}
