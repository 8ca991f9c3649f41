import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { PlatformUnavailableError } from '../../../../services/objects/common/objects.js';
import type { IFeedSink } from '../../common/feedSink.js';
import type { IFeedSource } from '../../common/feedSource.js';
import { maxRetryIntervalMs, minRetryIntervalMs } from '../../common/feedTiming.js';
import { StoreFeed } from '../../node/storeFeed.js';

const ignore = () => undefined;

/** Sink that ignores all but the objects. */
const sinkOf = (onItem: (value: string) => void): IFeedSink<string> => ({
  onItem,
  onRemoved: ignore,
  onListed: ignore,
  onLost: ignore,
  onRecovered: ignore,
});

/** Lets all promises that can settle do so. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('StoreFeed', () => {
  let clock: FakeClock;
  let startedAtMs: number[];
  let feed: StoreFeed<string>;

  /** Starts a feed whose calls fail after a time; `startedAtMs` receives when each call began. */
  function startFailingFeed(callMs: number): void {
    const fail = async () => {
      startedAtMs.push(clock.monotonicMs());
      await new Promise<void>((resolve) => {
        clock.after(callMs, resolve);
      });
      return Err(new PlatformUnavailableError('no answer'));
    };
    const source: IFeedSource<string> = { list: fail, watch: fail };
    feed = new StoreFeed<string>(
      'test',
      source,
      sinkOf(ignore),
      { watchWaitMs: 1_000, batchDelayMs: 0 },
      clock,
      { log: ignore },
    );
    feed.start();
  }

  async function advance(byMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < byMs; elapsedMs += 10) {
      clock.advance(10);
      await settle();
    }
  }

  beforeEach(() => {
    clock = new FakeClock();
    startedAtMs = [];
  });

  afterEach(() => feed.close());

  it('calls again at once after a call that took longer than the retry interval', async () => {
    startFailingFeed(900);
    await advance(3_600);
    expect(startedAtMs).to.deep.equal([0, 900, 1_800, 2_700, 3_600]);
  });

  it('doubles the interval between calls that fail fast, up to its maximum', async () => {
    startFailingFeed(10);
    await advance(4_000);
    const intervalsMs = startedAtMs.slice(1).map((atMs, index) => atMs - startedAtMs[index]);
    expect(intervalsMs.slice(0, 3)).to.deep.equal([
      minRetryIntervalMs,
      2 * minRetryIntervalMs,
      4 * minRetryIntervalMs,
    ]);
    expect(Math.max(...intervalsMs)).to.equal(maxRetryIntervalMs);
  });

  it('ends its wait when it is closed', async () => {
    startFailingFeed(10);
    await advance(20);
    feed.close();
    await advance(4_000);
    expect(startedAtMs).to.have.length(1);
  });
});

describe('StoreFeed with a store that answers', () => {
  it('lists once and then watches from the revision of each answer', async () => {
    const calls: string[] = [];
    const noAnswer = new Promise<void>(() => {});
    const source: IFeedSource<string> = {
      list: async () => {
        calls.push('list');
        return Ok({ revision: 3, newestRevision: 3, items: [] });
      },
      watch: async (revision) => {
        calls.push(`watch ${revision}`);
        await (revision === 3 ? undefined : noAnswer);
        return Ok({ revision: 5, events: [] });
      },
    };
    const feed = new StoreFeed<string>(
      'test',
      source,
      sinkOf(ignore),
      { watchWaitMs: 1_000, batchDelayMs: 0 },
      new FakeClock(),
      { log: ignore },
    );
    feed.start();
    await settle();
    expect(calls).to.deep.equal(['list', 'watch 3', 'watch 5']);
    feed.close();
  });

  it('lists anew after an error while a change was applied', async () => {
    const applied: string[] = [];
    const noAnswer = new Promise<void>(() => {});
    const clock = new FakeClock();
    const source: IFeedSource<string> = {
      list: async () =>
        Ok({
          revision: 3,
          newestRevision: 3,
          items: [{ name: 'a', value: `v${applied.length}`, decodeError: undefined }],
        }),
      watch: async () => {
        await noAnswer;
        return Ok({ revision: 3, events: [] });
      },
    };
    const feed = new StoreFeed<string>(
      'test',
      source,
      sinkOf((value) => {
        applied.push(value);
        if (applied.length === 1) {
          throw new Error('cannot be applied');
        }
      }),
      { watchWaitMs: 1_000, batchDelayMs: 0 },
      clock,
      { log: ignore },
    );
    feed.start();
    await settle();
    clock.advance(maxRetryIntervalMs);
    await settle();
    expect(applied).to.deep.equal(['v0', 'v1']);
    feed.close();
  });

  // Guards against one object that keeps a feed from applying the others, or from following changes.
  it('applies the other objects beside one that can never be applied, and watches them', async () => {
    const copy = new Map<string, string>();
    const clock = new FakeClock();
    const watches: number[] = [];
    const noAnswer = new Promise<void>(() => {});
    const item = (name: string) => ({ name, value: `${name}=1`, decodeError: undefined });
    const source: IFeedSource<string> = {
      list: async () => Ok({ revision: 3, newestRevision: 3, items: ['a', 'odd', 'z'].map(item) }),
      watch: async (revision) => {
        watches.push(revision);
        await (revision === 3 ? undefined : noAnswer);
        return Ok({
          revision: 4,
          events: ['odd', 'b'].map((name) => ({ item: item(name), isDeleted: false })),
        });
      },
    };
    const feed = new StoreFeed<string>(
      'test',
      source,
      sinkOf((value) => {
        if (value.startsWith('odd')) {
          throw new Error('cannot be applied');
        }
        copy.set(value.split('=')[0], value);
      }),
      { watchWaitMs: 1_000, batchDelayMs: 0 },
      clock,
      { log: ignore },
    );
    feed.start();
    await settle();
    expect([...copy.keys()]).to.deep.equal(['a', 'z']);
    for (let round = 0; round < 10; round += 1) {
      clock.advance(maxRetryIntervalMs);
      await settle();
    }
    expect([...copy.keys()]).to.deep.equal(['a', 'z', 'b']);
    expect(watches).to.deep.equal([3, 4]);
    feed.close();
  });
});
