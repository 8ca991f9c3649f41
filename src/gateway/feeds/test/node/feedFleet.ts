import { Err, Ok } from 'ts-results-es';
import type { SeededRandom } from '../../../../base/common/random.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { PlatformUnavailableError } from '../../../../services/objects/common/objects.js';
import { PagedList } from '../../../../services/objects/common/pagedList.js';
import type { IUpdateCodec } from '../../common/feedUpdate.js';
import type { FeedUpdateMessage } from '../../common/feedUpdateWire.js';
import {
  HistoryLostError,
  ReadConsistency,
  type FeedEvent,
  type FeedItem,
  type IFeedSource,
} from '../../common/feedSource.js';
import { endpointTiming } from '../../common/feedTiming.js';
import { FeedGossip } from '../../node/feedGossip.js';
import { StoreFeed } from '../../node/storeFeed.js';

/** Step of the simulated time, in milliseconds. */
const stepMs = 20;

/** Time of one datagram, in milliseconds. */
const transitMs = 20;

/** Times by which the pages of a read that may lag show an older state, in milliseconds. */
const pageLagsMs = [0, 2_000, 500];

/** First names after which a page of a list ends; the last page has no end. */
const pageEnds = ['e1', 'e3', '\uffff'];

/** Store calls that ended in a test. */
export interface CallCounts {
  watches: number;
  lists: number;
  laggingLists: number;
}

interface Change {
  readonly revision: number;
  readonly atMs: number;
  readonly event: FeedEvent<string>;
}

/** Lets all promises that can settle do so. */
export function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

const textCodec: IUpdateCodec<string> = {
  encode: (value) => value,
  decode: (wire) => (typeof wire === 'string' ? wire : undefined),
};

/** Objects of one kind with their history, which gateways read over links that can be cut. */
class SimulatedStore {
  revision = 1;

  readonly changes: Change[] = [];

  readonly calls: CallCounts = { watches: 0, lists: 0, laggingLists: 0 };

  isAway = false;

  private historyStart = 0;

  private wakes = new Set<() => void>();

  constructor(private readonly clock: FakeClock) {}

  /** Returns the objects at a time, and the revision then. */
  stateAt(atMs: number): { readonly objects: Map<string, string>; readonly revision: number } {
    const objects = new Map<string, string>();
    let revision = 1;
    for (const { atMs: changedMs, event, revision: changeRevision } of this.changes) {
      if (changedMs > atMs) {
        break;
      }
      revision = changeRevision;
      if (event.isDeleted || event.item.value === undefined) {
        objects.delete(event.item.name);
      } else {
        objects.set(event.item.name, event.item.value);
      }
    }
    return { objects, revision };
  }

  /** Writes an object, or deletes it if the value is undefined. */
  write(name: string, value: string | undefined): void {
    const last = this.stateAt(this.clock.monotonicMs()).objects.get(name);
    const item = { name, value: value ?? last, decodeError: undefined };
    this.record({ item, isDeleted: value === undefined });
  }

  /** Replaces the content of an object by one that can't be decoded. */
  writeInvalid(name: string): void {
    const item = { name, value: undefined, decodeError: 'invalid' };
    this.record({ item, isDeleted: false });
  }

  private record(event: FeedEvent<string>): void {
    this.revision += 1;
    this.changes.push({ revision: this.revision, atMs: this.clock.monotonicMs(), event });
    this.wakeAll();
  }

  /** Raises the revision by a change of another kind of object. */
  writeElsewhere(): void {
    this.revision += 1;
  }

  forgetHistory(): void {
    this.historyStart = this.revision;
    this.wakeAll();
  }

  wakeAll(): void {
    const wakes = [...this.wakes];
    this.wakes.clear();
    wakes.forEach((wake) => wake());
  }

  /** Returns the source of a gateway whose path to the store `isCut` describes. */
  source(isCut: () => boolean): IFeedSource<string> {
    const failure = () => Err(new PlatformUnavailableError('no answer'));
    return {
      list: async (_signal, consistency) => {
        const isLagging = consistency === ReadConsistency.MayLag;
        this.calls[isLagging ? 'laggingLists' : 'lists'] += 1;
        if (isCut() || this.isAway) {
          await this.delay(isCut() ? 500 : 0);
          return failure();
        }
        const { items, revision, newestRevision } = this.readPages(isLagging);
        return Ok({ items, revision, newestRevision });
      },
      watch: async (revision, waitMs) => {
        this.calls.watches += 1;
        const deadlineMs = this.clock.monotonicMs() + waitMs;
        for (;;) {
          if (isCut()) {
            await this.delay(deadlineMs + 700 - this.clock.monotonicMs());
            return failure();
          }
          if (this.isAway) {
            return failure();
          }
          if (revision < this.historyStart) {
            return Err(new HistoryLostError('gone'));
          }
          const events = this.changes.filter((change) => change.revision > revision);
          if (events.length > 0 || this.clock.monotonicMs() >= deadlineMs) {
            return Ok({ revision: this.revision, events: events.map(({ event }) => event) });
          }
          await this.nextWake(deadlineMs);
        }
      },
    };
  }

  /** Reads a list page by page; pages that may lag show states of different ages. */
  private readPages(isLagging: boolean): PagedList<FeedItem<string>> {
    const nowMs = this.clock.monotonicMs();
    const list = new PagedList<FeedItem<string>>();
    pageEnds.forEach((end, page) => {
      const state = this.stateAt(isLagging ? nowMs - pageLagsMs[page] : nowMs);
      const start = page === 0 ? '' : pageEnds[page - 1];
      const items = [...state.objects]
        .filter(([name]) => name > start && name <= end)
        .map(([name, value]) => ({ name, value, decodeError: undefined }));
      list.add(items, isLagging ? state.revision : this.revision);
    });
    return list;
  }

  private delay(ms: number): Promise<void> {
    return ms <= 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          this.clock.after(ms, resolve);
        });
  }

  private nextWake(deadlineMs: number): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.clock.after(deadlineMs - this.clock.monotonicMs(), resolve);
      this.wakes.add(() => {
        cancel();
        resolve();
      });
    });
  }
}

/** Gateway of the simulation: its copy, and what is wrong with it. */
export class SimulatedGateway {
  readonly copy = new Map<string, string>();

  isStoreCut = false;

  isPeersCut = false;

  isStopped = false;

  /** Object that can't be applied the next time; undefined if all can. */
  failsOnce: string | undefined;

  /** Monotonic time of the last change of what is wrong with it, in milliseconds. */
  disturbedMs = 0;

  /** Times at which the feed reported that the store is back, in milliseconds. */
  readonly recoveriesMs: number[] = [];

  readonly feed: StoreFeed<string>;

  readonly gossip: FeedGossip;

  constructor(
    readonly instance: string,
    fleet: FeedFleet,
  ) {
    const { clock, store } = fleet;
    const logger = { log: () => undefined };
    this.feed = new StoreFeed<string>(
      'endpoints',
      store.source(() => this.isStoreCut),
      {
        onItem: (value) => {
          if (value === this.failsOnce) {
            this.failsOnce = undefined;
            throw new Error(`${value} cannot be applied`);
          }
          this.copy.set(value.split('=')[0], value);
        },
        onRemoved: (name) => this.copy.delete(name),
        onListed: (names) =>
          [...this.copy.keys()]
            .filter((name) => !names.has(name))
            .forEach((name) => {
              this.copy.delete(name);
            }),
        onLost: () => undefined,
        onRecovered: () => this.recoveriesMs.push(clock.monotonicMs()),
      },
      endpointTiming,
      clock,
      logger,
    );
    const channel = {
      aliveInstances: () => fleet.heardBy(this),
      sendUpdate: (message: FeedUpdateMessage) => fleet.deliver(this, message),
    };
    this.gossip = new FeedGossip(
      instance,
      {
        get aliveInstances() {
          return channel.aliveInstances();
        },
        sendUpdate: channel.sendUpdate,
      },
      clock,
      logger,
    );
    this.gossip.add(this.feed, textCodec);
    this.feed.start();
    this.gossip.start();
  }

  close(): void {
    this.isStopped = true;
    this.feed.close();
    this.gossip.close();
  }
}

/** Gateways before one store, with simulated time, lost datagrams and cuts. */
export class FeedFleet {
  readonly clock = new FakeClock();

  readonly store = new SimulatedStore(this.clock);

  gateways: SimulatedGateway[] = [];

  /** Monotonic time of the last change of the store's condition, in milliseconds. */
  storeDisturbedMs = 0;

  /**
   * @param size - Number of gateways.
   * @param lossRate - Share of the datagrams that are lost.
   * @param random - Chooses the datagrams that are lost.
   */
  constructor(
    size: number,
    private readonly lossRate: number,
    private readonly random: SeededRandom,
  ) {
    for (let index = 0; index < size; index += 1) {
      this.gateways.push(new SimulatedGateway(`gateway-${index}`, this));
    }
  }

  /** Instance names of the gateways whose messages reach a gateway; a stopped one is heard for a while. */
  heardBy(gateway: SimulatedGateway): readonly string[] {
    const oldestMs = this.clock.monotonicMs() - 2_000;
    return gateway.isPeersCut
      ? []
      : this.gateways
          .filter((other) => other !== gateway)
          .filter((other) => !(other.isStopped || other.isPeersCut) || other.disturbedMs > oldestMs)
          .map(({ instance }) => instance);
  }

  /** Delivers updates to all gateways that the sender reaches, but for lost datagrams. */
  deliver(sender: SimulatedGateway, message: FeedUpdateMessage): void {
    for (const receiver of this.gateways) {
      const isReached = receiver !== sender && !receiver.isPeersCut && !sender.isPeersCut;
      if (isReached && !receiver.isStopped && this.random.float() >= this.lossRate) {
        this.clock.after(transitMs, () => {
          if (!receiver.isStopped) {
            receiver.gossip.handleMessage(message);
          }
        });
      }
    }
  }

  /**
   * Advances the time.
   *
   * @param byMs - Time to pass, in milliseconds.
   * @param check - Called after each step.
   */
  async advance(byMs: number, check: () => void = () => undefined): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < byMs; elapsedMs += stepMs) {
      this.clock.advance(stepMs);
      await settle();
      check();
    }
  }

  /** Stops a gateway and starts another one in its place. */
  replace(gateway: SimulatedGateway): void {
    gateway.close();
    const replacement = new SimulatedGateway(gateway.instance, this);
    replacement.disturbedMs = this.clock.monotonicMs();
    this.gateways = this.gateways.map((other) => (other === gateway ? replacement : other));
  }

  close(): void {
    this.gateways.forEach((gateway) => gateway.close());
  }
}
