import { expect } from 'chai';
import fc from 'fast-check';
import { callIntervalMs, homeGroup, homeGroupSize, relaysOf } from '../../common/homeGroups.js';

const regions = 3;

const dataCentres = 11;

/** Entries at the size that the users expect in two years. */
const entries = Array.from({ length: 2_100 }, (_unused, index) => ({
  id: `entry-${index}`,
  dataCentre: `place-${index % dataCentres}`,
  region: `region-${(index % dataCentres) % regions}`,
}));

const models = Array.from({ length: 35 }, (_unused, index) => `model-${index}`);

function linksOf(all: typeof entries): ReadonlySet<string> {
  const pairs = models.flatMap((model) =>
    Array.from({ length: regions }, (_unused, region) =>
      homeGroup(model, `region-${region}`, all).map((id) => `${model} region-${region} ${id}`),
    ),
  );
  return new Set(pairs.flat());
}

describe('homeGroup at 2,100 entries', () => {
  it('gives every model a full group of homes in every region', () => {
    for (const model of models) {
      for (let region = 0; region < regions; region += 1) {
        const group = homeGroup(model, `region-${region}`, entries);
        expect(new Set(group).size).to.equal(homeGroupSize);
      }
    }
  });

  it('moves only the homes of entries that leave', () => {
    const before = linksOf(entries);
    fc.assert(
      fc.property(fc.integer({ min: 0, max: entries.length - 1 }), (gone) => {
        const after = linksOf(entries.filter((_entry, index) => index !== gone));
        const lost = [...before].filter((pair) => !after.has(pair));
        expect(lost.every((pair) => pair.endsWith(` entry-${gone}`))).to.equal(true);
      }),
      { seed: 61, numRuns: 3 },
    );
  });

  it('has every entry of today at home everywhere', () => {
    const today = entries.filter((entry) => entry.region === 'region-0').slice(0, 3);
    expect([...homeGroup('m', 'region-0', today)].sort()).to.deep.equal(
      today.map((entry) => entry.id).sort(),
    );
  });
});

describe('platform calls of the fleet', () => {
  it('come from a few relays in each data centre', () => {
    const relays = new Set(
      Array.from({ length: dataCentres }, (_unused, dataCentre) =>
        relaysOf(`place-${dataCentre}`, entries),
      ).flat(),
    );
    expect(relays.size).to.equal(3 * dataCentres);
  });

  it('stay within the budget whatever the number of processes', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 20_000 }), (processes) => {
        const intervalMs = callIntervalMs(processes, 200, 5_000);
        expect((processes / intervalMs) * 1_000).to.be.at.most(200 + 1e-6);
        expect(intervalMs).to.be.at.least(5_000);
      }),
      { seed: 62, numRuns: 200 },
    );
  });
});
