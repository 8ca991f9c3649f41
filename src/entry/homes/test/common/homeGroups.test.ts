import { expect } from 'chai';
import fc from 'fast-check';
import { callIntervalMs, homeGroup, homeGroupSize, relaysOf } from '../../common/homeGroups.js';

const regionCount = 3;

const dataCentreCount = 11;

/** Entries of a fleet of the size that the users expect in two years. */
const entries = Array.from({ length: 2_100 }, (_unused, index) => ({
  id: `entry-${index}`,
  dataCentre: `place-${index % dataCentreCount}`,
  region: `region-${(index % dataCentreCount) % regionCount}`,
}));

const models = Array.from({ length: 35 }, (_unused, index) => `model-${index}`);

function homePairsOf(all: typeof entries): ReadonlySet<string> {
  const pairs = models.flatMap((model) =>
    Array.from({ length: regionCount }, (_unused, region) =>
      homeGroup(model, `region-${region}`, all).map((id) => `${model} region-${region} ${id}`),
    ),
  );
  return new Set(pairs.flat());
}

describe('homeGroup at 2,100 entries', () => {
  it('gives every model a full home group in every region', () => {
    for (const model of models) {
      for (let region = 0; region < regionCount; region += 1) {
        const group = homeGroup(model, `region-${region}`, entries);
        expect(new Set(group).size).to.equal(homeGroupSize);
      }
    }
  });

  it('replaces only the homes on an entry that was removed', () => {
    const before = homePairsOf(entries);
    fc.assert(
      fc.property(fc.integer({ min: 0, max: entries.length - 1 }), (removedIndex) => {
        const after = homePairsOf(entries.filter((_entry, index) => index !== removedIndex));
        const lost = [...before].filter((pair) => !after.has(pair));
        expect(lost.every((pair) => pair.endsWith(` entry-${removedIndex}`))).to.equal(true);
      }),
      { seed: 61, numRuns: 3 },
    );
  });

  it('puts every entry of a region with fewer entries than the group size into the home group', () => {
    const fewEntries = entries.filter((entry) => entry.region === 'region-0').slice(0, 3);
    expect([...homeGroup('m', 'region-0', fewEntries)].sort()).to.deep.equal(
      fewEntries.map((entry) => entry.id).sort(),
    );
  });
});

describe('platform calls of the fleet', () => {
  it('come from a few relays in each data centre', () => {
    const relays = new Set(
      Array.from({ length: dataCentreCount }, (_unused, dataCentre) =>
        relaysOf(`place-${dataCentre}`, entries),
      ).flat(),
    );
    expect(relays.size).to.equal(3 * dataCentreCount);
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
