import { expect } from 'chai';
import fc from 'fast-check';
import { Err } from 'ts-results-es';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { MessageKind } from '../../../../services/link/common/messages.js';
import { eraOf } from '../../../../services/objects/common/eraTracker.js';
import {
  PlatformUnavailableError,
  type IObjectStore,
} from '../../../../services/objects/common/objects.js';
import {
  DrillStore,
  type DrillStoreClient,
} from '../../../../services/objects/test/common/drillStore.js';
import type { PlacementRecord } from '../../node/placer.js';
import { FakeFleet, leaseDurationMs, PlacingEntry, region } from './placementFixtures.js';

/** What happens in one step of a run. */
enum Step {
  Place = 'place',
  Copy = 'copy',
  Drill = 'drill',
  Restart = 'restart',
}

const steps = fc.array(
  fc.record({
    step: fc.oneof(
      { weight: 12, arbitrary: fc.constant(Step.Place) },
      { weight: 1, arbitrary: fc.constantFrom(Step.Copy, Step.Drill, Step.Restart) },
    ),
    index: fc.nat(2),
    waitMs: fc.integer({ min: 0, max: 2_400 }),
  }),
  { minLength: 20, maxLength: 200 },
);

describe('Placer on a store that comes back from older copies', () => {
  it('lets one entry place at a time, with tokens that never repeat or fall', async () => {
    let drills = 0;
    let changesOfPlacer = 0;
    await fc.assert(
      fc.asyncProperty(steps, async (plan) => {
        const clock = new FakeClock();
        const store = new DrillStore();
        let copy = store.copy();
        let incarnations = 0;
        const start = () => {
          incarnations += 1;
          return new PlacingEntry(`e-${incarnations}`, store, clock);
        };
        const entries = [start(), start(), start()];
        const owners = new Map<number, PlacingEntry>();
        for (const { step, index, waitMs } of plan) {
          clock.advance(waitMs);
          if (step === Step.Copy) {
            copy = store.copy();
          } else if (step === Step.Drill) {
            store.comeBackFrom(copy);
            drills += 1;
          } else if (step === Step.Restart) {
            entries[index] = start();
          } else {
            const entry = entries[index];
            for (const token of await entry.step()) {
              const highest = Math.max(0, ...owners.keys());
              expect(token).to.be.at.least(highest);
              expect(owners.get(token) ?? entry).to.equal(entry);
              changesOfPlacer += owners.has(token) ? 0 : 1;
              owners.set(token, entry);
            }
          }
          const acting = entries.filter(({ lease }) => lease.fencingToken() !== undefined);
          expect(acting.length).to.be.at.most(1);
        }
      }),
      { seed: 19, numRuns: 400 },
    );
    expect(drills).to.be.greaterThan(200);
    expect(changesOfPlacer).to.be.greaterThan(400);
  });

  it('sends no orders once its lease has expired during a slow write', async () => {
    const clock = new FakeClock();
    const store = new DrillStore();
    const slowStore = (client: DrillStoreClient): IObjectStore => ({
      get: (kind, name) => client.get(kind, name),
      list: (kind) => client.list(kind),
      put: (kind, name, value, version) => {
        clock.advance(leaseDurationMs);
        return client.put(kind, name, value, version);
      },
      watch: () => client.watch(),
    });
    const slow = new PlacingEntry('e-1', store, clock, ['a', 'b'], slowStore);
    expect(await slow.step()).to.deep.equal([]);
    const prompt = new PlacingEntry('e-2', store, clock, ['a', 'b']);
    await prompt.step();
    clock.advance(leaseDurationMs + 1);
    expect(await prompt.step()).to.have.length(2);
    expect(await slow.step()).to.deep.equal([]);
  });

  it('writes the placement again that the copy lacks', async () => {
    const clock = new FakeClock();
    const store = new DrillStore();
    const entry = new PlacingEntry('e-1', store, clock, ['a', 'b']);
    const copy = store.copy();
    await entry.step();
    const readChains = () =>
      (store.read(`placements/m.${region}`)?.value as PlacementRecord | undefined)?.chains;
    const chains = readChains();
    expect(chains).to.have.length(1);
    store.comeBackFrom(copy);
    for (let step = 0; step < 3; step += 1) {
      clock.advance(500);
      await entry.step();
    }
    expect(readChains()).to.deep.equal(chains);
  });

  it('writes the newer placement again if the copy has an older one', async () => {
    const clock = new FakeClock();
    const store = new DrillStore();
    let failingWrites = 0;
    const failingStore = (client: DrillStoreClient): IObjectStore => ({
      get: (kind, name) => client.get(kind, name),
      list: (kind) => client.list(kind),
      put: (kind, name, value, version) => {
        const isFailing = failingWrites > 0 && eraOf(version) === store.era;
        failingWrites -= isFailing ? 1 : 0;
        return isFailing
          ? Promise.resolve(Err(new PlatformUnavailableError('unavailable')))
          : client.put(kind, name, value, version);
      },
      watch: () => client.watch(),
    });
    const entry = new PlacingEntry('e-1', store, clock, ['a', 'b', 'c'], failingStore);
    await entry.step();
    const copy = store.copy();
    entry.fleet.views = entry.fleet.views.filter(({ id }) => id !== 'a');
    clock.advance(3_000);
    await entry.step();
    const newest = JSON.stringify(store.read(`placements/m.${region}`)?.value);
    expect(newest).not.to.contain('"a"');
    entry.fleet.views = new FakeFleet(['a', 'b', 'c']).views;
    store.comeBackFrom(copy);
    failingWrites = 1;
    for (let step = 0; step < 4; step += 1) {
      clock.advance(500);
      await entry.step();
    }
    expect(failingWrites).to.equal(0);
    expect(JSON.stringify(store.read(`placements/m.${region}`)?.value)).not.to.contain('"a"');
  });

  it('sends no token again that an agent refused as too low, but higher ones', async () => {
    const clock = new FakeClock();
    const entry = new PlacingEntry('e-1', new DrillStore(), clock, ['a', 'b']);
    const [term] = await entry.step();
    const highestTerm = term + 2;
    const kind = MessageKind.OrderResult as const;
    const message = { kind, term, accepted: false, highestTerm };
    entry.fleet.received.fire({ endpoint: 'a', incarnation: 'a-1', message });
    for (let step = 0; step < 5; step += 1) {
      clock.advance(500);
      await entry.step();
    }
    const [first, ...later] = entry.fleet.tokensOf('a-1');
    expect(first).to.equal(term);
    expect(later.length).to.be.greaterThan(0);
    later.forEach((token) => expect(token).to.be.at.least(highestTerm));
    expect(entry.fleet.tokensOf('b-1')).to.include(term + 1);
  });

  it('sends no token that is lower than the one that an agent reports', async () => {
    const clock = new FakeClock();
    const entry = new PlacingEntry('e-1', new DrillStore(), clock, ['a', 'b']);
    const highest = 2 ** 32 + 3;
    entry.fleet.views = entry.fleet.views.map((view) =>
      view.id === 'a' ? { ...view, report: { ...view.report, term: highest } } : view,
    );
    for (let step = 0; step < 5; step += 1) {
      clock.advance(500);
      await entry.step();
    }
    expect(entry.fleet.tokensOf('a-1')[0]).to.be.at.least(highest);
  });
});
