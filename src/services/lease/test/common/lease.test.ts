import { expect } from 'chai';
import fc from 'fast-check';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { absentVersion, ObjectKind } from '../../../objects/common/objects.js';
import { FaultyStore, StoreFault } from '../../../objects/test/common/faultyStore.js';
import { LeaseCandidate } from '../../common/lease.js';

const durationMs = 1_000;

const faultLists = fc.array(fc.constantFrom(...Object.values(StoreFault)), { maxLength: 40 });

describe('LeaseCandidate', () => {
  it('never gives the same term to two candidates, whichever store calls fail', async () => {
    const plans = fc.array(
      fc.record({ candidateIndex: fc.nat(2), waitMs: fc.integer({ min: 0, max: 900 }) }),
      {
        maxLength: 30,
      },
    );
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), faultLists, plans, async (scheduler, storeFaults, plan) => {
        const store = new FaultyStore(scheduler, storeFaults);
        const clock = new FakeClock();
        const names = ['a', 'b', 'c'];
        const candidates = names.map(
          (candidate) => new LeaseCandidate({ name: 'l', candidate, durationMs }, store, clock),
        );
        const holders = new Map<number, string>();
        const running: Promise<void>[] = [];
        for (const { candidateIndex, waitMs } of plan) {
          clock.advance(waitMs);
          running.push(candidates[candidateIndex].acquireOrRenew());
          if (scheduler.count() > 0) {
            await scheduler.waitOne();
          }
          candidates.forEach((candidate, index) => {
            const term = candidate.term();
            if (term !== undefined) {
              expect(holders.get(term) ?? names[index]).to.equal(names[index]);
              holders.set(term, names[index]);
            }
          });
        }
        await scheduler.waitFor(Promise.all(running));
      }),
      { seed: 91, numRuns: 400 },
    );
  });

  it('treats its lease as expired before another candidate may take it', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), async (scheduler) => {
        const store = new FaultyStore(scheduler, []);
        const clock = new FakeClock();
        const first = new LeaseCandidate({ name: 'l', candidate: 'a', durationMs }, store, clock);
        const second = new LeaseCandidate({ name: 'l', candidate: 'b', durationMs }, store, clock);
        await scheduler.waitFor(first.acquireOrRenew());
        expect(first.term()).to.equal(1);
        await scheduler.waitFor(second.acquireOrRenew());
        expect(second.term()).to.equal(undefined);
        clock.advance(durationMs + 1);
        expect(first.term()).to.equal(undefined);
        await scheduler.waitFor(second.acquireOrRenew());
        expect(second.term()).to.equal(2);
      }),
      { seed: 92, numRuns: 20 },
    );
  });

  it('treats its lease as expired after a suspension that the monotonic clock does not count', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), async (scheduler) => {
        const clock = new FakeClock();
        const store = new FaultyStore(scheduler, []);
        const lease = new LeaseCandidate({ name: 'l', candidate: 'a', durationMs }, store, clock);
        await scheduler.waitFor(lease.acquireOrRenew());
        clock.suspend(durationMs);
        expect(lease.term()).to.equal(undefined);
        expect(lease.fencingToken()).to.equal(undefined);
        await scheduler.waitFor(lease.acquireOrRenew());
        expect(lease.term()).to.equal(1);
        // The wall clock may also step back; the monotonic clock still ends the lease.
        clock.suspend(-5 * durationMs);
        expect(lease.term()).to.equal(1);
        clock.advance(durationMs);
        expect(lease.term()).to.equal(undefined);
      }),
      { seed: 95, numRuns: 20 },
    );
  });

  // Guards against a fencing token that is no number, which endpoints would refuse or take for the highest.
  it('takes over a stored lease that cannot be read, under a usable term', async () => {
    const invalid = [{ holder: 5 }, { holder: 'x', term: 1e308, renewals: 1 }, 'lease', null];
    for (const record of invalid) {
      await fc.assert(
        fc.asyncProperty(fc.scheduler(), async (scheduler) => {
          const clock = new FakeClock();
          const store = new FaultyStore(scheduler, []);
          await scheduler.waitFor(store.put(ObjectKind.Leases, 'l', record, absentVersion));
          const lease = new LeaseCandidate({ name: 'l', candidate: 'a', durationMs }, store, clock);
          await scheduler.waitFor(lease.acquireOrRenew());
          expect(lease.term()).to.equal(undefined);
          clock.advance(durationMs + 1);
          await scheduler.waitFor(lease.acquireOrRenew());
          expect(lease.term()).to.equal(2);
        }),
        { seed: 96, numRuns: 5 },
      );
    }
  });

  it('lets only one candidate take an abandoned lease, and another take a released lease immediately', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), async (scheduler) => {
        const store = new FaultyStore(scheduler, []);
        const clock = new FakeClock();
        const [first, second, third] = ['a', 'b', 'c'].map(
          (candidate) => new LeaseCandidate({ name: 'l', candidate, durationMs }, store, clock),
        );
        await scheduler.waitFor(first.acquireOrRenew());
        await scheduler.waitFor(second.acquireOrRenew());
        await scheduler.waitFor(third.acquireOrRenew());
        await scheduler.waitFor(second.acquireOrRenew(true));
        await scheduler.waitFor(third.acquireOrRenew(true));
        expect([second.term(), third.term()]).to.deep.equal([2, undefined]);
        await scheduler.waitFor(second.release());
        await scheduler.waitFor(third.acquireOrRenew());
        expect([second.term(), third.term()]).to.deep.equal([undefined, 3]);
      }),
      { seed: 93, numRuns: 20 },
    );
  });
});
