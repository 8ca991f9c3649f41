import { expect } from 'chai';
import fc from 'fast-check';
import { SeededRandom } from '../../../../base/common/random.js';
import { AcceleratorKind, coversEveryLayerOnce } from '../../../../services/model/common/model.js';
import type { EndpointView } from '../../../fleet/common/endpointView.js';
import { FastestChainRouter, type RouteRequest } from '../../common/chainRouter.js';

const model = { name: 'm', layers: 6, layerMiB: 1, contextTokens: 1, version: '1' };

function createView(
  id: string,
  from: number,
  to: number,
  changes: Partial<EndpointView> = {},
): EndpointView {
  return {
    id,
    incarnation: `${id}-1`,
    address: '',
    place: 'p',
    region: 'r',
    connected: true,
    leaving: false,
    ejected: false,
    ownActive: 0,
    othersActive: 0,
    entries: 1,
    report: {
      model: 'm',
      range: { from, to },
      service: false,
      accelerator: AcceleratorKind.Medium,
      memoryMiB: 1,
      layerMicros: 500,
      stepMicros: 0,
      active: 0,
      capacity: 4,
      leaving: false,
      answering: true,
      ready: true,
      term: 1,
    },
    ...changes,
  };
}

function createRequest(changes: Partial<RouteRequest> = {}): RouteRequest {
  return {
    model,
    dataCentre: 'p',
    promptLength: 10,
    maxTokens: 16,
    avoidedEndpoints: new Set(),
    holdsPrefix: () => false,
    ...changes,
  };
}

const router = new FastestChainRouter((from, to) => (from === to ? 0.1 : 20), new SeededRandom(1));

describe('FastestChainRouter', () => {
  it('returns only chains of usable endpoints that cover every layer once', () => {
    const views = fc.array(
      fc.record({
        from: fc.integer({ min: 0, max: 5 }),
        length: fc.integer({ min: 1, max: 6 }),
        connected: fc.boolean(),
        leaving: fc.boolean(),
        ownActive: fc.integer({ min: 0, max: 5 }),
      }),
      { maxLength: 25 },
    );
    fc.assert(
      fc.property(views, (layouts) => {
        const endpoints = layouts.map(({ from, length, ...rest }, index) =>
          createView(`e${index}`, from, Math.min(6, from + length), rest),
        );
        const route = router.route(createRequest(), endpoints);
        if (route) {
          expect(coversEveryLayerOnce(route.chain, model.layers)).to.equal(true);
          route.chain.forEach((stage) => {
            const view = endpoints.find((candidate) => candidate.id === stage.endpoint);
            expect(view?.connected && !view.leaving && view.ownActive < 4).to.equal(true);
          });
        }
      }),
      { seed: 81, numRuns: 500 },
    );
  });

  it('prefers idle endpoints, nearby endpoints and those that hold the prefix', () => {
    const chosen = (views: readonly EndpointView[], changes: Partial<RouteRequest> = {}) =>
      router.route(createRequest(changes), views)?.chain.map((stage) => stage.endpoint);
    const idle = [createView('busy', 0, 6, { ownActive: 3 }), createView('idle', 0, 6)];
    expect(chosen(idle)).to.deep.equal(['idle']);
    const near = [createView('far', 0, 6, { place: 'q' }), createView('near', 0, 6)];
    expect(chosen(near)).to.deep.equal(['near']);
    const prefix = [createView('without', 0, 6), createView('with', 0, 6)];
    const holdsPrefix = (endpoint: string) => endpoint === 'with';
    expect(chosen(prefix, { holdsPrefix, promptLength: 900 })).to.deep.equal(['with']);
  });

  it('combines endpoints of several placed chains to avoid an endpoint', () => {
    const views = [
      createView('a0', 0, 3),
      createView('a3', 3, 6),
      createView('b0', 0, 3, { ownActive: 2 }),
      createView('b3', 3, 6, { ownActive: 2 }),
    ];
    const route = router.route(createRequest({ avoidedEndpoints: new Set(['a3']) }), views);
    expect(route?.chain.map((stage) => stage.endpoint)).to.deep.equal(['a0', 'b3']);
  });
});
