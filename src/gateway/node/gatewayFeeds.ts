import type { IClock, ITimers } from '../../base/common/clock.js';
import type { ILogger } from '../../base/common/logger.js';
import type { IObjectStore, IStoreEra } from '../../services/objects/common/objects.js';
import type { SuspectRecord } from '../../services/suspects/common/suspectRecord.js';
import type { ConfigHolder } from '../config/common/configHolder.js';
import type { ConfigSnapshot } from '../config/common/configSnapshot.js';
import type { Endpoint } from '../directory/common/endpoint.js';
import type { EndpointDirectory } from '../directory/common/endpointDirectory.js';
import type { IFeedSource } from '../feeds/common/feedSource.js';
import {
  configTiming,
  endpointTiming,
  peerTiming,
  suspectTiming,
} from '../feeds/common/feedTiming.js';
import { StoreFeed } from '../feeds/node/storeFeed.js';
import { endpointUpdateCodec, peerUpdateCodec } from '../feeds/common/updateCodecs.js';
import type { FeedGossip } from '../feeds/node/feedGossip.js';
import type { PeerAddress } from '../peers/common/peerAddress.js';
import type { PeerExchange } from '../peers/node/peerExchange.js';
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

/** Parts of a gateway that the feeds keep up to date. */
export interface FeedTargets {
  readonly config: ConfigHolder;
  readonly directory: EndpointDirectory;
  readonly peers: PeerExchange;
  readonly crashProtection: CrashProtection;
  readonly feedGossip: FeedGossip;
}

/**
 * Creates the feeds for the kinds of objects that a gateway reads from the store, and adds them to the
 * gossip between gateways.
 *
 * @param platform - Adapters that provide the sources of the feeds.
 * @param targets - Receive what the feeds read.
 * @param clock - Source of time and timers.
 * @param logger - Receives store failures and objects that can't be decoded.
 * @returns The feeds, not yet started.
 */
export function createFeeds(
  platform: PlatformAdapters,
  { config, directory, peers, crashProtection, feedGossip }: FeedTargets,
  clock: IClock & ITimers,
  logger: ILogger,
): readonly StoreFeed<unknown>[] {
  const ignore = () => undefined;
  const configFeed = new StoreFeed<ConfigSnapshot>(
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
  );
  const endpointFeed = new StoreFeed<Endpoint>(
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
  );
  const peerFeed = new StoreFeed<PeerAddress>(
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
  );
  const suspectFeed = new StoreFeed<readonly SuspectRecord[]>(
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
  );
  // A configuration and the records of suspects don't fit into a datagram.
  feedGossip.add(configFeed);
  feedGossip.add(endpointFeed, endpointUpdateCodec);
  feedGossip.add(peerFeed, peerUpdateCodec);
  feedGossip.add(suspectFeed);
  return [configFeed, endpointFeed, peerFeed, suspectFeed];
}
