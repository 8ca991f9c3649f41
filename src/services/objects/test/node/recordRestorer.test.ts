import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { Err, Ok, type Result } from 'ts-results-es';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { ObjectKind, PlatformUnavailableError, type WatchBatch } from '../../common/objects.js';
import { restoreMs, RestorePeriod } from '../../common/restorePeriod.js';
import { ObjectCache } from '../../node/objectCache.js';
import { RecordRestorer } from '../../node/recordRestorer.js';
import { DrillStore, DrillStoreClient } from '../common/drillStore.js';

interface Organisation {
  readonly keys: string;
}

const kind = ObjectKind.Organisations;

const key = `${kind}/coop`;

/** Client that hears of a change every few milliseconds, unless it is cut off. */
class Client extends DrillStoreClient {
  isCut = false;

  override async watch(): Promise<Result<WatchBatch, PlatformUnavailableError>> {
    await pause(5);
    return this.isCut
      ? Err(new PlatformUnavailableError('cut off'))
      : Ok({ sequence: 0, names: ['coop'] });
  }
}

describe('records of entries on a store that comes back from an older copy', () => {
  let store: DrillStore;
  let clock: FakeClock;
  let entries: Entry[];

  class Entry {
    readonly client = new Client(store);

    readonly cache: ObjectCache<Organisation>;

    /** All values that were in force, in order. */
    readonly seen: string[] = [];

    constructor() {
      const period = new RestorePeriod(this.client, clock);
      const restorer = new RecordRestorer<Organisation>(this.client, kind, period);
      this.cache = new ObjectCache(this.client, kind, restorer);
      this.cache.onDidChange(() => {
        if (this.keys !== undefined && this.keys !== this.seen.at(-1)) {
          this.seen.push(this.keys);
        }
      });
      this.cache.start();
      entries.push(this);
    }

    get keys(): string | undefined {
      return this.cache.get('coop')?.keys;
    }
  }

  const until = async (condition: () => boolean) => {
    while (!condition()) {
      await pause(2);
    }
  };

  const storedKeys = () => (store.read(key)?.value as Organisation | undefined)?.keys;

  /** Writes a record as an operator does, and waits until entries have it in force. */
  const write = async (keys: string, observers: readonly Entry[]) => {
    store.write(key, { keys }, store.read(key)?.revision ?? 0);
    await until(() => observers.every((entry) => entry.keys === keys));
  };

  beforeEach(() => {
    store = new DrillStore();
    clock = new FakeClock();
    entries = [];
  });

  afterEach(() => entries.forEach(({ cache }) => cache.close()));

  it('stay in force and are written again, also for an entry that starts later', async () => {
    const entry = new Entry();
    await write('old', [entry]);
    const copy = store.copy();
    await write('new', [entry]);
    store.comeBackFrom(copy);
    await until(() => storedKeys() === 'new');
    const started = new Entry();
    await until(() => started.keys !== undefined);
    expect(started.keys).to.equal('new');
    expect(entry.seen).to.deep.equal(['old', 'new']);
  });

  it('are written again if the copy lacks them', async () => {
    const entry = new Entry();
    const copy = store.copy();
    await write('first', [entry]);
    store.comeBackFrom(copy);
    await until(() => storedKeys() === 'first');
    expect(entry.keys).to.equal('first');
  });

  it('give way to a change that an operator made on the copy', async () => {
    const entry = new Entry();
    await write('old', [entry]);
    const copy = store.copy();
    await write('new', [entry]);
    store.comeBackFrom(copy);
    await write('newest', [entry]);
    expect(storedKeys()).to.equal('newest');
    expect(entry.seen).to.deep.equal(['old', 'new', 'newest']);
  });

  it('give way to an earlier value that an operator writes once all is restored', async () => {
    const entry = new Entry();
    await write('old', [entry]);
    await write('new', [entry]);
    store.comeBackFrom(store.copy());
    const { listings } = entry.cache;
    await until(() => entry.cache.listings > listings + 1);
    clock.advance(restoreMs);
    await write('old', [entry]);
    expect(storedKeys()).to.equal('old');
  });

  it('end on the newest one although an entry that was cut off writes its own', async () => {
    const entry = new Entry();
    const late = new Entry();
    await write('old', [entry, late]);
    const copy = store.copy();
    await write('new', [entry, late]);
    late.client.isCut = true;
    await pause(20);
    await write('newest', [entry]);
    entry.client.isCut = true;
    await pause(20);
    store.comeBackFrom(copy);
    late.client.isCut = false;
    await until(() => storedKeys() === 'new');
    entry.client.isCut = false;
    await until(() => storedKeys() === 'newest' && late.keys === 'newest');
    expect(entry.seen).to.deep.equal(['old', 'new', 'newest']);
  });
});
