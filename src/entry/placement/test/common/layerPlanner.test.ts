import { expect } from 'chai';
import fc from 'fast-check';
import { coversEveryLayerOnce } from '../../../../services/model/common/model.js';
import {
  layerCapacity,
  planPlacement,
  splitLayers,
  type PlacementCandidate,
  type PlannedChain,
} from '../../common/layerPlanner.js';

const model = { name: 'm', layers: 24, layerMiB: 100, contextTokens: 1, version: '1' };

const arbitraryCandidates = fc
  .array(
    fc.record({
      memoryMiB: fc.integer({ min: 100, max: 4_000 }),
      layerMicros: fc.integer({ min: 100, max: 2_000 }),
      dataCentre: fc.constantFrom('p', 'q'),
    }),
    { minLength: 1, maxLength: 12 },
  )
  .map((list) =>
    list.map((properties, index): PlacementCandidate => ({ id: `e${index}`, ...properties })),
  );

function coversModel(chain: PlannedChain): boolean {
  const stages = chain.map((stage) => ({ ...stage, incarnation: '', address: '' }));
  return coversEveryLayerOnce(stages, model.layers);
}

function slowestStageMicros(
  chain: PlannedChain,
  candidates: readonly PlacementCandidate[],
): number {
  return Math.max(
    ...chain.map(({ endpoint, range }) => {
      const candidate = candidates.find((other) => other.id === endpoint);
      return (range.to - range.from) * (candidate?.layerMicros ?? Infinity);
    }),
  );
}

/** Returns the minimum time of the slowest stage over all splits, by trying every stage time. */
function minSlowestStageMicros(candidates: readonly PlacementCandidate[]): number {
  const limitsMicros = candidates.flatMap((candidate) =>
    Array.from(
      { length: layerCapacity(candidate, model) },
      (_unused, index) => (index + 1) * candidate.layerMicros,
    ),
  );
  const feasibleLimitsMicros = limitsMicros.filter(
    (limitMicros) =>
      candidates.reduce(
        (sum, candidate) =>
          sum +
          Math.min(
            layerCapacity(candidate, model),
            Math.floor(limitMicros / candidate.layerMicros),
          ),
        0,
      ) >= model.layers,
  );
  return Math.min(...feasibleLimitsMicros);
}

describe('splitLayers', () => {
  it('covers every layer once within memory and minimises the time of the slowest stage', () => {
    fc.assert(
      fc.property(arbitraryCandidates, (candidates) => {
        const chain = splitLayers(candidates, model);
        const hasEnoughMemory =
          candidates.reduce((sum, candidate) => sum + layerCapacity(candidate, model), 0) >=
          model.layers;
        expect(chain !== undefined).to.equal(hasEnoughMemory);
        if (chain) {
          expect(coversModel(chain)).to.equal(true);
          chain.forEach(({ endpoint, range }) => {
            const endpointCandidate = candidates.find((candidate) => candidate.id === endpoint);
            expect(range.to - range.from).to.be.at.most(
              endpointCandidate ? layerCapacity(endpointCandidate, model) : 0,
            );
          });
          expect(slowestStageMicros(chain, candidates)).to.be.at.most(
            minSlowestStageMicros(candidates),
          );
        }
      }),
      { seed: 71, numRuns: 400 },
    );
  });
});

describe('planPlacement', () => {
  const demands = [{ model, replicas: 2 }];

  it('uses each endpoint at most once and keeps intact chains', () => {
    fc.assert(
      fc.property(arbitraryCandidates, (candidates) => {
        const first = planPlacement(demands, candidates, new Map());
        const again = planPlacement(demands, candidates, first);
        expect([...again]).to.deep.equal([...first]);
        const used = (first.get('m') ?? []).flat().map((stage) => stage.endpoint);
        expect(new Set(used).size).to.equal(used.length);
        expect((first.get('m') ?? []).every(coversModel)).to.equal(true);
      }),
      { seed: 72, numRuns: 300 },
    );
  });

  // Guards against a chain that is formed and given up in turn, since a number of replicas is a fraction.
  it('plans as many chains for a fraction as for the whole number below it', () => {
    fc.assert(
      fc.property(
        arbitraryCandidates,
        fc.double({ min: 0, max: 3, noNaN: true }),
        (candidates, replicas) => {
          const plan = (count: number) => [
            ...planPlacement([{ model, replicas: count }], candidates, new Map()),
          ];
          expect(plan(replicas)).to.deep.equal(plan(Math.floor(replicas)));
        },
      ),
      { seed: 59, numRuns: 300 },
    );
  });

  it('moves the layers of a lost stage to a spare endpoint and keeps the other stages', () => {
    const candidates = Array.from({ length: 4 }, (_unused, index) => ({
      id: `e${index}`,
      dataCentre: 'p',
      memoryMiB: 1_000,
      layerMicros: 100,
    }));
    const before = planPlacement([{ model, replicas: 1 }], candidates, new Map()).get('m') ?? [];
    const lost = before[0][1].endpoint;
    const remaining = candidates.filter((candidate) => candidate.id !== lost);
    const after =
      planPlacement([{ model, replicas: 1 }], remaining, new Map([['m', before]])).get('m') ?? [];
    expect(after[0].map((stage) => stage.range)).to.deep.equal(
      before[0].map((stage) => stage.range),
    );
    expect(after[0][0]).to.deep.equal(before[0][0]);
    expect(after[0][1].endpoint).not.to.equal(lost);
  });
});
