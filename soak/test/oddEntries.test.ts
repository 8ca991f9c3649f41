import { expect } from 'chai';
import { call, type CallerAnswer } from '../../platform/test/gatewayFleet.js';
import { promptHeaders } from '../../platform/test/wireViews.js';
import { permanentKey, sleep, SoakFleet } from '../node/soakFleet.js';

/** Enough gateways that some follow the watchers of the store. */
const gatewayCount = 4;

const pollMs = 20;

// Guards against entries of another writer that end gateways, keep them from starting, or let them miss
// later changes.
describe('Gateway processes beside entries that no replica writes', () => {
  let fleet: SoakFleet;

  const callAll = (path: string, key: string): Promise<readonly CallerAnswer[]> =>
    Promise.all(
      fleet.gateways.map(({ callerProxy }) =>
        call(callerProxy.port, path, {
          key,
          method: path.startsWith('/stream') ? 'POST' : 'GET',
          body: path.startsWith('/stream') ? '{}' : undefined,
          headers: path.startsWith('/stream') ? promptHeaders(['aa', 'bb']) : {},
        }),
      ),
    );

  async function waitUntilAllAnswer(path: string, key: string, status: number): Promise<void> {
    for (;;) {
      const answers = await callAll(path, key);
      expect(fleet.incidents).to.deep.equal([]);
      if (answers.every((answer) => answer.status === status)) {
        return;
      }
      await sleep(pollMs);
    }
  }

  /** Starts the fleet; stand-ins of replicas write their entries first. */
  beforeEach(() => {
    fleet = new SoakFleet();
  });

  afterEach(() => fleet.close());

  it('start, serve, and follow later changes', async () => {
    fleet.writeOddEntries('first');
    await fleet.start(gatewayCount);
    await waitUntilAllAnswer('/look/a', permanentKey, 200);
    await waitUntilAllAnswer('/stream/a', permanentKey, 200);
    for (const prefix of ['first', 'second']) {
      fleet.writeOddEntries(prefix);
      fleet.addKey();
      const { key } = fleet.keys[fleet.keys.length - 1];
      await waitUntilAllAnswer('/look/a', key, 200);
      fleet.revokeKey();
      await waitUntilAllAnswer('/look/a', key, 401);
    }
    await waitUntilAllAnswer('/stream/a', permanentKey, 200);
    expect(fleet.gateways.every(({ process }) => process.isRunning)).to.equal(true);
  });
});
