import { expect } from 'chai';
import { call, type CallerAnswer } from '../../platform/test/gatewayFleet.js';
import { promptHeaders } from '../../platform/test/wireViews.js';
import { permanentKey, sleep, SoakFleet } from '../node/soakFleet.js';

/** Enough gateways that some follow the watchers of the store. */
const gatewayCount = 4;

const pollMs = 20;

/** Nesting of a field, in arrays; what the stand-in can still write. */
const nesting = 2_000;

function nested(depth: number): unknown {
  let value: unknown = [];
  for (let level = 0; level < depth; level += 1) {
    value = [value];
  }
  return value;
}

/** Entries of a replica that doesn't exist, each with something that no replica says. */
function oddEntries(): readonly object[] {
  const entry = {
    service: 'model',
    addr: '127.0.0.1:9',
    zone: 'a',
    slots: 8,
    state: 'ready',
    seq: 1,
    born: 1_700_000_000_000,
    kind: 'small',
    layers: { from: 2, target: 5 },
  };
  return [
    { ...entry, layers: { from: 2, target: 3e9 } },
    { ...entry, layers: { from: 0, target: 1e15 } },
    { ...entry, layers: { from: 0, target: 1e308 } },
    { ...entry, layers: { from: 0, target: 2e7 } },
    { ...entry, layers: { from: -3, target: 2 } },
    { ...entry, layers: { from: 6, target: 12 } },
    { ...entry, layers: { from: 0, target: 8 } },
    { ...entry, layers: nested(nesting) },
    { ...entry, born: 1e300, slots: 0.5 },
    { ...entry, addr: '127.0.0.1:70000' },
    { ...entry, addr: '127.0.0.1:0' },
    { ...entry, zone: nested(nesting) },
    { service: 7 },
  ];
}

// Guards against entries of another writer that end gateways, keep them from starting, or let them miss
// later changes.
describe('Gateway processes beside entries that no replica writes', () => {
  let fleet: SoakFleet;

  const writeOddEntries = (prefix: string) =>
    oddEntries().forEach((entry, index) => {
      fleet.store.put('servers', `${prefix}-${index}`, entry);
    });

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
    writeOddEntries('first');
    await fleet.start(gatewayCount);
    await waitUntilAllAnswer('/look/a', permanentKey, 200);
    await waitUntilAllAnswer('/stream/a', permanentKey, 200);
    for (const prefix of ['first', 'second']) {
      writeOddEntries(prefix);
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
