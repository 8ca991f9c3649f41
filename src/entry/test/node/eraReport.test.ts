import { expect } from 'chai';
import type { LogFields } from '../../../base/common/logger.js';
import { FakeClock } from '../../../base/test/common/fakeClock.js';
import { ObjectKind } from '../../../services/objects/common/objects.js';
import { DrillStore, DrillStoreClient } from '../../../services/objects/test/common/drillStore.js';
import { EraReport } from '../../node/eraReport.js';

describe('EraReport', () => {
  it('writes one line for each return of the store, with what was done since', async () => {
    const clock = new FakeClock();
    const store = new DrillStore();
    const client = new DrillStoreClient(store);
    const lines: LogFields[] = [];
    const log = (_level: unknown, event: string, fields: LogFields = {}) =>
      lines.push({ event, ...fields });
    let done = 0;
    const counts = () => ({
      listed: done,
      claimsWrittenAgain: done * 2,
      rulesWrittenAgain: 0,
      recordsWrittenAgain: done * 3,
      placementsWrittenAgain: 0,
      rulesGivenUp: 0,
    });
    const report = new EraReport(client, counts, clock, { log });
    const comeBack = async () => {
      store.comeBackFrom(store.copy());
      await client.get(ObjectKind.Models, 'm');
    };
    await client.get(ObjectKind.Models, 'm');
    done = 3;
    await comeBack();
    done = 5;
    clock.advance(60_000);
    await comeBack();
    await comeBack();
    done = 6;
    report.close();
    clock.advance(60_000);
    expect(
      lines.map(({ event, era, listed, claimsWrittenAgain, recordsWrittenAgain }) => [
        event,
        era,
        listed,
        claimsWrittenAgain,
        recordsWrittenAgain,
      ]),
    ).to.deep.equal([
      ['store-restored', 2, 2, 4, 6],
      ['store-restored', 3, 0, 0, 0],
      ['store-restored', 4, 1, 2, 3],
    ]);
  });
});
