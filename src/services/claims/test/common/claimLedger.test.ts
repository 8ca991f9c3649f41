import { expect } from 'chai';
import fc from 'fast-check';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { FaultyStore, StoreFault } from '../../../objects/test/common/faultyStore.js';
import { ClaimState, type Claim } from '../../common/claim.js';
import { ClaimLedger } from '../../common/claimLedger.js';

const options = { shards: 1, maxHeadClaims: 4, retentionMs: 1_000_000, timeoutMs: 1_000_000 };

const target = { endpoint: 'e', incarnation: 'e-1' };

function createClaim(key: string, nonce: string): Claim {
  const request = 'r';
  const state = ClaimState.Claimed;
  return { key, request, attempt: 1, target, keeper: target, nonce, atMs: 0, state };
}

const faultLists = fc.array(fc.constantFrom(...Object.values(StoreFault)), { maxLength: 30 });

describe('ClaimLedger', () => {
  it('lets at most one of several racing processes claim a key, whichever store calls fail', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), faultLists, async (scheduler, storeFaults) => {
        const store = new FaultyStore(scheduler, storeFaults);
        const clock = new FakeClock();
        const changes = ['x', 'y', 'z'].flatMap((process) => {
          const ledger = new ClaimLedger(options, store, clock);
          return ['00000001', '00000002', '00000001'].map((key, index) =>
            ledger.change({
              key,
              expected: undefined,
              next: createClaim(key, `${process}${index}`),
            }),
          );
        });
        await scheduler.waitFor(Promise.all(changes));
        const results = await Promise.all(changes);
        for (const key of ['00000001', '00000002']) {
          const outcomes = results
            .filter((_result, index) => (index % 3 === 1) === (key === '00000002'))
            .flatMap((result) => (result.isOk() ? [result.value] : []));
          const winners = outcomes.filter((outcome) => outcome.applied);
          expect(winners.length, 'winners').to.be.at.most(1);
          const nonces = new Set(outcomes.map((outcome) => outcome.claim?.nonce));
          expect(nonces.size, 'claims seen as current').to.be.at.most(1);
        }
      }),
      { seed: 21, numRuns: 400 },
    );
  });

  it('finds claims that were moved to segments to keep the head small', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), faultLists, async (scheduler, storeFaults) => {
        const store = new FaultyStore(scheduler, storeFaults);
        const clock = new FakeClock();
        const writer = new ClaimLedger(options, store, clock);
        const claimed: string[] = [];
        for (let index = 0; index < 12; index += 1) {
          const key = `0000000${index.toString(16)}`;
          const change = writer.change({ key, expected: undefined, next: createClaim(key, key) });
          const result = await scheduler.waitFor(change);
          if (result.isOk()) {
            claimed.push(key);
          }
        }
        const reader = new ClaimLedger(options, store, clock);
        for (const key of claimed) {
          const change = reader.change({
            key,
            expected: undefined,
            next: createClaim(key, `late-${key}`),
          });
          const result = await scheduler.waitFor(change);
          if (result.isOk()) {
            expect(result.value.applied).to.equal(false);
            expect(result.value.claim?.nonce).to.equal(key);
          }
        }
      }),
      { seed: 22, numRuns: 200 },
    );
  });

  it('does not report a claimed key as unclaimed when reads are stale', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), faultLists, async (scheduler, storeFaults) => {
        const store = new FaultyStore(scheduler, storeFaults);
        const clock = new FakeClock();
        const key = '00000001';
        const writer = new ClaimLedger(options, store, clock);
        const write = await scheduler.waitFor(
          writer.change({ key, expected: undefined, next: createClaim(key, 'n') }),
        );
        const reader = new ClaimLedger(options, store, clock);
        const verification = await scheduler.waitFor(
          reader.change({ key, expected: undefined, next: undefined }),
        );
        if (write.isOk() && verification.isOk()) {
          expect(verification.value.applied).to.equal(false);
        }
      }),
      { seed: 23, numRuns: 300 },
    );
  });
});
