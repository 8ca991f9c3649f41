import { expect } from 'chai';
import fc from 'fast-check';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { engine } from '../../../config/test/common/fixtures.js';
import { EndpointState, type Endpoint } from '../../../directory/common/endpoint.js';
import { cacheTokenLayers, PathFinder } from '../../common/pathFinder.js';
import { ReservationLedger } from '../../common/reservationLedger.js';

function holder(
  address: string,
  card: string,
  from: number,
  to: number,
  dataCentre = 'a',
): Endpoint {
  return {
    id: address,
    startedMs: 1,
    service: 's',
    address,
    dataCentre,
    state: EndpointState.Ready,
    slots: 10,
    card,
    layers: { from, to },
  };
}

const request = { promptTokens: 800, reservedTokens: 950 };

function finderWith(ledger: ReservationLedger): PathFinder {
  return new PathFinder(() => engine, ledger);
}

const anyHolders = fc.array(
  fc.record({
    card: fc.constantFrom('large', 'middle', 'small'),
    from: fc.integer({ min: 0, max: 79 }),
    length: fc.integer({ min: 1, max: 40 }),
    dataCentre: fc.constantFrom('a', 'b'),
  }),
  { minLength: 1, maxLength: 25 },
);

describe('PathFinder', () => {
  it('finds paths that run every layer once, in order, on endpoints that hold them', () => {
    fc.assert(
      fc.property(anyHolders, (holders) => {
        const endpoints = holders.map(({ card, from, length, dataCentre }, index) =>
          holder(`h${index}`, card, from, Math.min(80, from + length), dataCentre),
        );
        const ledger = new ReservationLedger(new FakeClock());
        const path = finderWith(ledger).find(endpoints, request);
        let next = 0;
        for (const part of path?.stages ?? []) {
          expect(part.from).to.equal(next);
          expect(part.from).to.be.at.least(part.endpoint.layers?.from ?? 99);
          expect(part.to).to.be.at.most(part.endpoint.layers?.to ?? 0);
          next = part.to;
        }
        expect(next).to.equal(path ? 80 : 0);
        const addresses = path?.stages.map(({ endpoint }) => endpoint.address) ?? [];
        expect(new Set(addresses).size).to.equal(addresses.length);
      }),
      { seed: 4, numRuns: 500 },
    );
  });

  it('never plans more room than an endpoint has, however many requests come', () => {
    const endpoints = [
      holder('a', 'large', 0, 36),
      holder('b', 'middle', 36, 58),
      holder('c', 'middle', 58, 80),
    ];
    const ledger = new ReservationLedger(new FakeClock());
    const finder = finderWith(ledger);
    let admitted = 0;
    for (let path = finder.find(endpoints, request); path; path = finder.find(endpoints, request)) {
      ledger.reserve(path.reservations);
      admitted += 1;
    }
    expect(admitted).to.be.greaterThan(2);
    for (const endpoint of endpoints) {
      const { from = 0, to = 0 } = endpoint.layers ?? {};
      const room = cacheTokenLayers(engine, endpoint, to - from);
      expect(ledger.loadAt(endpoint.address).tokenLayers).to.be.at.most(room);
    }
  });

  it('stays within one data centre while a data centre has a path', () => {
    const endpoints = [
      holder('a1', 'small', 0, 40, 'a'),
      holder('a2', 'small', 40, 80, 'a'),
      holder('b1', 'large', 0, 40, 'b'),
    ].map((endpoint) => ({ ...endpoint, card: 'large' }));
    const path = finderWith(new ReservationLedger(new FakeClock())).find(endpoints, request);
    expect(path?.stages.map(({ endpoint }) => endpoint.dataCentre)).to.deep.equal(['a', 'a']);
  });

  it('crosses data centres rather than find no path', () => {
    const endpoints = [holder('a1', 'large', 0, 36, 'a'), holder('b1', 'large', 36, 72, 'b')];
    const finder = finderWith(new ReservationLedger(new FakeClock()));
    expect(finder.find(endpoints, request)).to.equal(undefined);
    const whole = [...endpoints, holder('c1', 'small', 72, 80, 'c')];
    expect(finder.find(whole, request)?.stages).to.have.length(3);
  });

  it('goes around an excluded endpoint and keeps the first stage that it is given', () => {
    const endpoints = [
      holder('head', 'large', 0, 36),
      holder('dead', 'large', 30, 66),
      holder('spare1', 'small', 36, 44),
      holder('spare2', 'small', 44, 52),
      holder('tail', 'middle', 50, 72),
      holder('last', 'small', 72, 80),
    ];
    const path = finderWith(new ReservationLedger(new FakeClock())).find(endpoints, {
      ...request,
      excluded: new Set(['dead']),
      firstStage: { address: 'head', to: 36 },
    });
    expect(path?.stages.map(({ endpoint }) => endpoint.address)).to.deep.equal([
      'head',
      'spare1',
      'spare2',
      'tail',
      'last',
    ]);
  });

  it('spreads requests over like paths', () => {
    const endpoints = [
      holder('a1', 'large', 0, 40),
      holder('a2', 'large', 40, 80),
      holder('b1', 'large', 0, 40),
      holder('b2', 'large', 40, 80),
    ].map((endpoint, index) => ({ ...endpoint, dataCentre: index < 2 ? 'a' : 'b' }));
    const wide = { ...engine, layerMb: 500 };
    const ledger = new ReservationLedger(new FakeClock());
    const finder = new PathFinder(() => wide, ledger);
    for (let count = 0; count < 20; count += 1) {
      ledger.reserve(finder.find(endpoints, request)?.reservations ?? []);
    }
    expect(ledger.loadAt('a1').requests).to.be.within(8, 12);
  });
});

describe('ReservationLedger', () => {
  const parts = [{ address: 'a', tokenLayers: 100, prefillMs: 5, isFirstStage: true }];

  it('adds what peers reserved, until they are silent for too long', () => {
    const clock = new FakeClock();
    const ledger = new ReservationLedger(clock);
    ledger.reserve(parts);
    const load = { tokenLayers: 50, requests: 2, firstStageRequests: 1, prefillMs: 3 };
    ledger.updatePeer('peer', new Map([['a', load]]));
    expect(ledger.loadAt('a')).to.deep.equal({
      tokenLayers: 150,
      requests: 3,
      firstStageRequests: 2,
      prefillMs: 8,
    });
    clock.advance(5_000);
    expect(ledger.loadAt('a').tokenLayers).to.equal(100);
  });

  it('is empty again after all was released', () => {
    const ledger = new ReservationLedger(new FakeClock());
    ledger.reserve(parts);
    ledger.reserve(parts);
    ledger.finishPrefill(parts);
    expect(ledger.loadAt('a').prefillMs).to.equal(5);
    ledger.release(parts);
    ledger.release(parts);
    expect(ledger.ownLoads().size).to.equal(0);
  });
});
