import { expect } from 'chai';
import fc from 'fast-check';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { addLoad, emptyLoad, type EndpointLoad } from '../../common/endpointLoad.js';
import { peerLoadTimeoutMs, PeerLoads } from '../../common/peerLoads.js';

const addresses = ['a', 'b', 'c'];

const load = fc.record({
  tokenLayers: fc.nat(1_000_000),
  requests: fc.integer({ min: 1, max: 9 }),
  firstStageRequests: fc.nat(9),
  prefillMs: fc.nat(5_000),
});

const step = fc.record({
  waitMs: fc.nat(700),
  peer: fc.constantFrom('p', 'q', 'r'),
  loads: fc.array(fc.tuple(fc.constantFrom(...addresses), load), { maxLength: 3 }),
});

describe('PeerLoads', () => {
  it('equals the sum of the last reports of all peers that were heard recently', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const clock = new FakeClock();
        const peerLoads = new PeerLoads(clock);
        const reports = new Map<string, { atMs: number; loads: Map<string, EndpointLoad> }>();
        for (const { waitMs, peer, loads } of steps) {
          clock.advance(waitMs);
          peerLoads.update(peer, new Map(loads));
          reports.set(peer, { atMs: clock.monotonicMs(), loads: new Map(loads) });
          const oldestMs = clock.monotonicMs() - peerLoadTimeoutMs;
          for (const address of addresses) {
            const expected = emptyLoad();
            [...reports.values()]
              .filter(({ atMs }) => atMs >= oldestMs)
              .forEach((report) => addLoad(expected, report.loads.get(address) ?? emptyLoad()));
            expect(peerLoads.at(address) ?? emptyLoad()).to.deep.equal(expected);
          }
        }
      }),
      { seed: 3701, numRuns: 300 },
    );
  });
});
