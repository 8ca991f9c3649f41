import { expect } from 'chai';
import {
  ObjectKind,
  VersionConflictError,
  type EraChange,
} from '../../../services/objects/common/objects.js';
import { createTestIntake } from '../../../services/exchange/test/node/answerFixtures.js';
import { HttpObjectStore } from '../../../services/objects/node/httpObjectStore.js';
import {
  UsageCounters,
  UsageSide,
  type UsageRecord,
} from '../../../services/usage/common/usage.js';
import { UsageWriter } from '../../../services/usage/node/usageWriter.js';
import { PlatformServer } from '../../node/platformServer.js';

describe('clients of a platform that comes back from an older copy', () => {
  let server: PlatformServer;
  let address: string;
  let store: HttpObjectStore;

  beforeEach(async () => {
    server = new PlatformServer(1, 0, 1);
    address = await server.listen('127.0.0.1', 0);
    store = new HttpObjectStore(address, 2_000, createTestIntake());
  });

  afterEach(async () => {
    await store.close();
    await server.close();
  });

  const control = (path: string) => fetch(`${address}/control/${path}`, { method: 'POST' });

  it('refuse a conditional write whose version was given out again for other content', async () => {
    const first = (await store.put(ObjectKind.Claims, '0', 'first', 0)).unwrap();
    await control('copy');
    const second = (await store.put(ObjectKind.Claims, '0', 'second', first)).unwrap();
    await control('come-back');
    const other = new HttpObjectStore(address, 2_000, createTestIntake());
    const read = (await other.get<string>(ObjectKind.Claims, '0')).unwrap();
    expect(read?.value).to.equal('first');
    (await other.put(ObjectKind.Claims, '0', 'of another process', read?.version ?? 0)).unwrap();
    const unaware = await store.put(ObjectKind.Claims, '0', 'stale', second);
    expect(unaware.isErr()).to.equal(true);
    const stale = await store.put(ObjectKind.Claims, '0', 'stale', second);
    expect(stale.isErr() && stale.error).to.be.instanceOf(VersionConflictError);
    await other.close();
  });

  it('tell of a change of era once, and name all objects in the watch after it', async () => {
    const changes: EraChange[] = [];
    store.onDidChangeEra((change) => changes.push(change));
    (await store.put(ObjectKind.Models, 'm', 1, 0)).unwrap();
    await control('copy');
    const { signal } = new AbortController();
    const { sequence } = (await store.watch(ObjectKind.Models, 0, 10, signal)).unwrap();
    const pending = store.watch(ObjectKind.Models, sequence, 2_000, signal);
    (await store.put(ObjectKind.Services, 's', 1, 0)).unwrap();
    await control('come-back');
    await store.get(ObjectKind.Models, 'm');
    const resumed = (await pending).unwrap().sequence;
    const { names } = (await store.watch(ObjectKind.Models, resumed, 10, signal)).unwrap();
    expect(names).to.deep.equal(['m']);
    expect(changes).to.deep.equal([{ previousEra: 1, era: 2 }]);
  });

  it('write the cost record again that the platform has forgotten', async () => {
    const counters = new UsageCounters();
    const owner = { side: UsageSide.Entry, instance: 'i', incarnation: 'i-1' };
    const writer = new UsageWriter(owner, counters, store, 60_000);
    await control('copy');
    counters.add({ organisation: 'o', subject: 's', revision: 1 }, { requests: 7 });
    await writer.flush();
    await control('come-back');
    await store.list(ObjectKind.Usage);
    await writer.flush();
    await writer.close();
    const records = (await store.list<UsageRecord>(ObjectKind.Usage)).unwrap();
    expect(records.map(({ value }) => value.rows[0].requests)).to.deep.equal([7]);
  });
});
