import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { ObjectKind } from '../../common/objects.js';
import { restoreMs, RestorePeriod } from '../../common/restorePeriod.js';
import { DrillStore, DrillStoreClient } from './drillStore.js';

describe('RestorePeriod', () => {
  const clock = new FakeClock();
  let store: DrillStore;

  beforeEach(() => {
    store = new DrillStore();
  });

  /** Starts a process that has read the store once. */
  const start = async () => {
    const client = new DrillStoreClient(store);
    const period = new RestorePeriod(client, clock);
    await client.get(ObjectKind.Models, 'm');
    return { client, period };
  };

  it('does not begin again in a process that starts long after the return of the store', async () => {
    const { client, period } = await start();
    store.comeBackFrom(store.copy());
    await client.get(ObjectKind.Models, 'm');
    expect(period.isOver).to.equal(false);
    clock.advance(restoreMs);
    await period.step();
    const started = await start();
    expect(started.period.isKnown).to.equal(false);
    await started.period.step();
    expect(started.period.isOver).to.equal(true);
  });

  it('lasts in a process that starts right after the return of the store', async () => {
    const { client, period } = await start();
    store.comeBackFrom(store.copy());
    await client.get(ObjectKind.Models, 'm');
    clock.advance(restoreMs - 1);
    await period.step();
    const started = await start();
    await started.period.step();
    expect(started.period.isKnown).to.equal(true);
    expect(started.period.isOver).to.equal(false);
    clock.advance(restoreMs);
    expect(started.period.isOver).to.equal(true);
  });

  it('begins again in each era, although the store has kept that an earlier one was restored', async () => {
    const { client, period } = await start();
    store.comeBackFrom(store.copy());
    await client.get(ObjectKind.Models, 'm');
    clock.advance(restoreMs);
    await period.step();
    store.comeBackFrom(store.copy());
    const started = await start();
    await started.period.step();
    expect(started.period.isOver).to.equal(false);
    await client.get(ObjectKind.Models, 'm');
    expect(period.isOver).to.equal(false);
  });
});
