import type { ILogger } from '../../base/common/logger.js';
import type { IObjectStore } from '../../services/objects/common/objects.js';
import type { ConfigHolder } from '../config/common/configHolder.js';
import type { ConfigSnapshot } from '../config/common/configSnapshot.js';
import type { Endpoint } from '../directory/common/endpoint.js';
import type { EndpointDirectory } from '../directory/common/endpointDirectory.js';
import type { IFeedSource } from '../feeds/common/feedSource.js';
import { StoreFeed, type FeedTiming } from '../feeds/node/storeFeed.js';
import type { PeerAddress, PeerExchange } from '../peers/node/peerExchange.js';
import type { IDialect } from '../relay/common/dialect.js';
import type { IEndpointControl } from '../relay/common/endpointControl.js';

/** What a gateway needs of the system that it runs on. */
export interface GatewayPorts {
  readonly store: IObjectStore;
  readonly configFeed: IFeedSource<ConfigSnapshot>;
  readonly endpointFeed: IFeedSource<Endpoint>;
  readonly peerFeed: IFeedSource<PeerAddress>;
  readonly control: IEndpointControl;
  readonly dialect: IDialect;
}

/** A configuration has to be in force two seconds after the store took it. */
const configPace: FeedTiming = { watchWaitMs: 4_000, batchDelayMs: 0 };

/** An endpoint that leaves must get no new work two seconds after the store took note of it. */
const endpointPace: FeedTiming = { watchWaitMs: 4_000, batchDelayMs: 250 };

/** Peers change when instances are replaced. */
const peerPace: FeedTiming = { watchWaitMs: 20_000, batchDelayMs: 500 };

/**
 * Feeds of what a gateway follows in the store.
 *
 * @param ports - Sources of the feeds.
 * @param config - Takes configurations.
 * @param directory - Takes endpoints.
 * @param peers - Takes the addresses of peers.
 * @param logger - Receives losses and objects that can't be read.
 * @returns The feeds, not started.
 */
export function createFeeds(
  ports: GatewayPorts,
  config: ConfigHolder,
  directory: EndpointDirectory,
  peers: PeerExchange,
  logger: ILogger,
): readonly StoreFeed<unknown>[] {
  const none = () => undefined;
  return [
    new StoreFeed<ConfigSnapshot>(
      'config',
      ports.configFeed,
      {
        onItem: (snapshot) => config.applyIfNewer(snapshot),
        onRemoved: none,
        onListed: none,
        onRecovered: none,
      },
      configPace,
      logger,
    ),
    new StoreFeed<Endpoint>(
      'endpoints',
      ports.endpointFeed,
      {
        onItem: (endpoint) => directory.update(endpoint),
        onRemoved: (id) => directory.remove(id),
        onListed: (ids) => directory.retainOnly(ids),
        onRecovered: () => directory.recordStoreRecovery(),
      },
      endpointPace,
      logger,
    ),
    new StoreFeed<PeerAddress>(
      'gateways',
      ports.peerFeed,
      {
        onItem: (peer) => peers.add(peer),
        onRemoved: (instance) => peers.remove(instance),
        onListed: none,
        onRecovered: none,
      },
      peerPace,
      logger,
    ),
  ];
}
