import { expect } from 'chai';
import fc from 'fast-check';
import { engine } from '../../../config/test/common/fixtures.js';
import { RangePlanner, type PlacedEndpoint } from '../../common/rangePlanner.js';

const planner = new RangePlanner(engine);

function cards(dataCentre: string, kinds: Record<string, number>): PlacedEndpoint[] {
  return Object.entries(kinds).flatMap(([kind, count]) => {
    const { memoryMb, stepFactor } = engine.cards.get(kind) ?? { memoryMb: 0, stepFactor: 0 };
    return Array.from({ length: count }, (_each, index) => ({
      address: `${dataCentre}-${kind}-${index}`,
      dataCentre,
      memoryMb,
      stepFactor,
      layers: undefined,
      isSettled: true,
      requests: 0,
      emptyMs: 60_000,
    }));
  });
}

/** Carries assignments out, as far as `isDone` says. */
function applyPlan(
  endpoints: readonly PlacedEndpoint[],
  isDone: (index: number) => boolean = () => true,
): PlacedEndpoint[] {
  const plan = new Map(
    planner
      .plan(endpoints)
      .filter((_each, index) => isDone(index))
      .map(({ address, layers }) => [address, layers]),
  );
  return endpoints.map((each) => ({ ...each, layers: plan.get(each.address) ?? each.layers }));
}

function holders(endpoints: readonly PlacedEndpoint[], layer: number): number {
  return endpoints.filter(({ layers }) => layers && layers.from <= layer && layer < layers.to)
    .length;
}

function fewestHolders(endpoints: readonly PlacedEndpoint[]): number {
  return Math.min(...Array.from({ length: 80 }, (_each, layer) => holders(endpoints, layer)));
}

const firstSite = [
  ...cards('ragusa', { large: 1, middle: 6, small: 5 }),
  ...cards('siracusa', { large: 2, middle: 2, small: 5 }),
  ...cards('catania', { large: 1, middle: 3, small: 8 }),
];

/** Memory beside the weights for each layer, summed over its holders, where it is least, in MB. */
function leastRoom(endpoints: readonly PlacedEndpoint[]): number {
  const rooms = Array.from({ length: 80 }, (_each, layer) => {
    const there = endpoints.filter(
      ({ layers }) => layers && layers.from <= layer && layer < layers.to,
    );
    return there.reduce((total, { memoryMb, layers }) => {
      const count = (layers?.to ?? 0) - (layers?.from ?? 0);
      return total + memoryMb / count - engine.layerMb;
    }, 0);
  });
  return Math.min(...rooms);
}

/** What two chains of the fast cards of `ragusa` have beside the weights of a layer, in MB. */
const ragusaRoomOfFastChains = (72_000 + 6 * 43_200) / 80 - 2 * engine.layerMb;

describe('RangePlanner', () => {
  it('forms two chains of all cards where they have room, else chains of the fast cards alone', () => {
    const placed = applyPlan(firstSite);
    for (const dataCentre of ['siracusa', 'catania']) {
      const fast = placed.filter((each) => each.dataCentre === dataCentre && each.stepFactor < 16);
      expect(fewestHolders(fast)).to.be.at.least(1);
    }
    const ragusa = placed.filter(({ dataCentre }) => dataCentre === 'ragusa');
    expect(fewestHolders(ragusa)).to.be.at.least(2);
    expect(leastRoom(ragusa)).to.be.greaterThan(1.5 * ragusaRoomOfFastChains);
  });

  it('gives the parts of a chain like room for requests', () => {
    const placed = applyPlan(firstSite).filter(
      ({ dataCentre, stepFactor }) => dataCentre === 'catania' && stepFactor < 16,
    );
    const rooms = placed.map(({ memoryMb, layers }) => {
      const count = (layers?.to ?? 0) - (layers?.from ?? 0);
      return (memoryMb - count * engine.layerMb) / count;
    });
    expect(Math.max(...rooms) / Math.min(...rooms)).to.be.lessThan(1.5);
  });

  it('comes to the same plan however the orders are spread over time', () => {
    const atOnce = applyPlan(firstSite);
    let inSteps = firstSite;
    for (let step = 0; step < 20; step += 1) {
      inSteps = applyPlan(inSteps, (index) => index < 5);
    }
    expect(inSteps).to.deep.equal(atOnce);
  });

  it('never orders more layers than a card holds, what it still gives up included', () => {
    const anyCards = fc.record({
      large: fc.integer({ min: 0, max: 3 }),
      middle: fc.integer({ min: 0, max: 4 }),
      small: fc.integer({ min: 0, max: 9 }),
    });
    fc.assert(
      fc.property(anyCards, anyCards, fc.integer({ min: 0, max: 30 }), (one, other, lost) => {
        const placed = applyPlan([...cards('a', one), ...cards('b', other)]);
        let now = placed.filter((_each, index) => index !== lost);
        for (let step = 0; step < 4; step += 1) {
          const next = applyPlan(now);
          for (const [index, { layers, memoryMb }] of next.entries()) {
            const before = now[index].layers;
            const isMove = before !== undefined && layers !== before;
            const isShrink =
              before && layers && layers.from >= before.from && layers.to <= before.to;
            const held = isMove && !isShrink ? before.to - before.from : 0;
            const ordered = layers ? layers.to - layers.from : 0;
            expect((held + ordered) * engine.layerMb).to.be.at.most(memoryMb * 0.95);
            expect(layers?.from ?? 0).to.be.at.least(0);
            expect(layers?.to ?? 0).to.be.at.most(80);
          }
          now = next;
        }
      }),
      { seed: 11, numRuns: 200 },
    );
  });

  it('gives a card that comes back the layers that are missing', () => {
    const placed = applyPlan(firstSite);
    const lost = placed.findIndex(({ address }) => address === 'siracusa-large-1');
    const emptied = placed.map((each, index) =>
      index === lost ? { ...each, layers: undefined } : each,
    );
    expect(applyPlan(emptied)[lost].layers).to.deep.equal(placed[lost].layers);
  });

  it('mends a data centre that lost a part of its only chain with spares, in a few steps', () => {
    for (const lost of ['siracusa-large-0', 'siracusa-large-1', 'siracusa-middle-1']) {
      let placed = applyPlan(firstSite).filter(({ address }) => address !== lost);
      const there = () => placed.filter(({ dataCentre }) => dataCentre === 'siracusa');
      expect(fewestHolders(there()), lost).to.be.at.most(1);
      placed = applyPlan(applyPlan(placed));
      expect(fewestHolders(there()), lost).to.be.at.least(1);
    }
  });

  it('lets a fast card that replaces another take over its layers', () => {
    for (const lost of ['siracusa-large-1', 'ragusa-middle-3', 'catania-middle-0']) {
      const placed = applyPlan(firstSite);
      const old = placed.find(({ address }) => address === lost);
      const fresh = { ...old!, address: `${lost}-new`, layers: undefined, emptyMs: 800 };
      const beside = applyPlan([...placed, fresh]);
      expect(beside[beside.length - 1].layers, lost).to.equal(undefined);
      const after = applyPlan(beside.filter(({ address }) => address !== lost));
      expect(after[after.length - 1].layers, lost).to.deep.equal(old?.layers);
    }
  });

  it('uses a fast card that comes in addition after a while', () => {
    const placed = applyPlan(firstSite);
    const fresh = { ...placed[0], address: 'more', layers: undefined, emptyMs: 5_000 };
    expect(applyPlan([...placed, fresh]).pop()?.layers).to.not.equal(undefined);
  });

  it('bridges the time for which a fast card loads with spares', () => {
    const placed = applyPlan(firstSite).map((each) =>
      each.address === 'siracusa-large-1' ? { ...each, isSettled: false } : each,
    );
    const moves = planner.plan(placed);
    expect(moves.length).to.be.greaterThan(0);
    expect(moves.every(({ address }) => address.startsWith('siracusa-small'))).to.equal(true);
  });

  it('moves nothing while no layer lacks a holder, nor what carries out an order', () => {
    const placed = applyPlan(firstSite);
    expect(planner.plan(placed)).to.deep.equal([]);
    const busy = placed.map((each) => ({ ...each, isSettled: false }));
    expect(planner.plan(busy)).to.deep.equal([]);
  });

  it('covers all layers by the cards of data centres that are too small alone', () => {
    const placed = applyPlan([...cards('a', { large: 1 }), ...cards('b', { large: 1, middle: 1 })]);
    expect(fewestHolders(placed)).to.be.at.least(1);
  });
});
