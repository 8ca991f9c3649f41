import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { departureReportMs, restoredCopyMs } from '../../common/departures.js';
import { EndpointState, incarnationOf, type Endpoint } from '../../common/endpoint.js';
import {
  EndpointDirectory,
  outageGraceMs,
  refusalSuspicionMs,
  silentSuspicionMs,
  Suspicion,
} from '../../common/endpointDirectory.js';

function endpointWith(changes: Partial<Endpoint>): Endpoint {
  return {
    id: 'e1',
    startedMs: 10,
    service: 's',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    state: EndpointState.Ready,
    slots: 4,
    card: undefined,
    layers: undefined,
    ...changes,
  };
}

describe('EndpointDirectory', () => {
  let clock: FakeClock;
  let directory: EndpointDirectory;
  let removed: string[];

  beforeEach(() => {
    clock = new FakeClock();
    clock.advance(100_000);
    directory = new EndpointDirectory(clock, { log: () => undefined });
    removed = [];
    directory.onDidRemove((endpoint) => removed.push(incarnationOf(endpoint)));
  });

  it('replaces an incarnation by a later one and never by an earlier one', () => {
    directory.update(endpointWith({ startedMs: 10 }));
    directory.update(endpointWith({ startedMs: 20, address: '10.0.0.2:80' }));
    directory.update(endpointWith({ startedMs: 10 }));
    expect(removed).to.deep.equal(['e1@10']);
    expect(directory.findUsable('s').map(incarnationOf)).to.deep.equal(['e1@20']);
  });

  // Guards against an older copy of the store that undoes what this process has seen.
  it('does not use an endpoint that left before the store came back from a copy, for a while', () => {
    directory.update(endpointWith({}));
    directory.update(endpointWith({ id: 'e2', address: '10.0.0.2:80' }));
    directory.remove('e1');
    directory.recordStoreCopy();
    directory.update(endpointWith({}));
    directory.retainOnly(new Set(['e1', 'e2']));
    clock.advance(restoredCopyMs - 1);
    directory.removeExpired();
    expect(directory.findUsable('s').map(({ id }) => id)).to.deep.equal(['e2']);
    // One that is still listed then is alive: its entry had only expired.
    clock.advance(2);
    directory.removeExpired();
    expect(directory.findUsable('s').map(({ id }) => id)).to.deep.equal(['e2', 'e1']);
  });

  it('drops such an endpoint at once when its removal is written again', () => {
    directory.update(endpointWith({}));
    directory.remove('e1');
    directory.recordStoreCopy();
    directory.update(endpointWith({}));
    directory.remove('e1');
    expect(directory.findByService('s')).to.have.length(0);
    expect(directory.nextDepartures()).to.deep.equal(['e1@10']);
  });

  it('uses another incarnation of such an endpoint', () => {
    directory.update(endpointWith({}));
    directory.remove('e1');
    directory.recordStoreCopy();
    directory.update(endpointWith({ startedMs: 20 }));
    expect(directory.findUsable('s').map(incarnationOf)).to.deep.equal(['e1@20']);
  });

  it('does not list a draining endpoint as usable', () => {
    directory.update(endpointWith({ state: EndpointState.Draining }));
    expect(directory.findUsable('s')).to.have.length(0);
    expect(directory.findByService('s')).to.have.length(1);
  });

  it('drops a removed endpoint immediately while the store is healthy', () => {
    directory.update(endpointWith({}));
    directory.remove('e1');
    expect(directory.findByService('s')).to.have.length(0);
  });

  it('keeps an entry that expired during a store outage for the grace period', () => {
    directory.update(endpointWith({}));
    directory.recordStoreRecovery();
    directory.retainOnly(new Set());
    clock.advance(outageGraceMs - 1);
    directory.removeExpired();
    expect(directory.findUsable('s')).to.have.length(1);
    clock.advance(1);
    directory.removeExpired();
    expect(directory.findUsable('s')).to.have.length(0);
  });

  it('does not use an entry whose grace period is over, although it was not dropped yet', () => {
    directory.update(endpointWith({}));
    directory.recordStoreRecovery();
    directory.retainOnly(new Set());
    expect(directory.isConfirmed(endpointWith({}))).to.equal(false);
    clock.advance(outageGraceMs);
    expect(directory.findUsable('s')).to.have.length(0);
  });

  it('keeps an entry that reappeared after it expired during a store outage', () => {
    directory.update(endpointWith({}));
    directory.recordStoreRecovery();
    directory.remove('e1');
    directory.update(endpointWith({}));
    clock.advance(outageGraceMs);
    directory.removeExpired();
    expect(directory.findUsable('s')).to.have.length(1);
  });

  it('drops an endpoint that stays missing after an outage although it reports its layers', () => {
    directory.update(endpointWith({}));
    directory.recordStoreRecovery();
    directory.retainOnly(new Set());
    directory.observeLayers(endpointWith({}), { from: 0, to: 4 });
    clock.advance(outageGraceMs);
    directory.removeExpired();
    expect(removed).to.deep.equal(['e1@10']);
  });

  it('skips an endpoint that a peer saw leave only while the store is lost', () => {
    directory.update(endpointWith({}));
    directory.handleDepartures('gw', ['e1@10']);
    expect(directory.findUsable('s')).to.have.length(1);
    directory.recordStoreLoss();
    directory.handleDepartures('gw', ['e1@9']);
    expect(directory.findUsable('s')).to.have.length(1);
    directory.handleDepartures('gw', ['e1@10']);
    expect(directory.findUsable('s')).to.have.length(0);
    directory.recordStoreRecovery();
    directory.retainOnly(new Set());
    expect(removed).to.deep.equal(['e1@10']);
  });

  it('drops an endpoint missing after an outage when a peer tells that it left', () => {
    directory.update(endpointWith({}));
    directory.recordStoreRecovery();
    directory.retainOnly(new Set());
    directory.handleDepartures('gw', ['e1@10']);
    expect(removed).to.deep.equal(['e1@10']);
  });

  it('uses an endpoint again once no peer reports any more that it left', () => {
    directory.update(endpointWith({}));
    directory.recordStoreLoss();
    directory.handleDepartures('gw', ['e1@10']);
    clock.advance(departureReportMs);
    expect(directory.findUsable('s')).to.have.length(1);
  });

  it('reports the endpoints that left until they come back', () => {
    directory.update(endpointWith({}));
    directory.update(endpointWith({ id: 'e2' }));
    directory.remove('e1');
    directory.remove('e2');
    expect(directory.nextDepartures()).to.deep.equal(['e1@10', 'e2@10']);
    directory.update(endpointWith({ id: 'e2' }));
    expect(directory.nextDepartures()).to.deep.equal(['e1@10']);
  });

  it('reports many endpoints that left in turn, within the time for which a report counts', () => {
    const ids = Array.from({ length: 60 }, (_, index) => `e${index}`);
    ids.forEach((id) => directory.update(endpointWith({ id })));
    ids.forEach((id) => directory.remove(id));
    const messages = Array.from({ length: 8 }, () => directory.nextDepartures());
    messages.forEach((each) => expect(each.length).to.be.at.most(8));
    expect(new Set(messages.flat()).size).to.equal(60);
  });

  it('skips a suspect for a limited time, but not its next incarnation', () => {
    directory.update(endpointWith({}));
    directory.suspect('10.0.0.1:80', Suspicion.Silent, 'test');
    expect(directory.findUsable('s')).to.have.length(0);
    directory.update(endpointWith({ startedMs: 20 }));
    expect(directory.findUsable('s')).to.have.length(1);
    directory.suspect('10.0.0.1:80', Suspicion.Silent, 'test');
    clock.advance(silentSuspicionMs);
    expect(directory.findUsable('s')).to.have.length(1);
  });

  it('does not let the report of a peer shorten a suspicion, or forward it to other peers', () => {
    directory.update(endpointWith({}));
    directory.suspect('10.0.0.1:80', Suspicion.Silent, 'silent');
    directory.suspect('10.0.0.1:80', Suspicion.ReportedByPeer, 'reported by a peer');
    clock.advance(1_000);
    expect(directory.findUsable('s')).to.have.length(0);
    expect(directory.silentEndpoints()).to.deep.equal([endpointWith({})]);
    directory.clearSuspicion('10.0.0.1:80');
    directory.suspect('10.0.0.1:80', Suspicion.ReportedByPeer, 'reported by a peer');
    expect(directory.silentEndpoints()).to.deep.equal([]);
  });

  it('remembers that an endpoint drains according to a peer when it is seen to work', () => {
    directory.update(endpointWith({}));
    directory.suspect('10.0.0.1:80', Suspicion.DrainingAtPeer, 'reported by a peer');
    directory.clearSuspicion('10.0.0.1:80');
    expect(directory.findUsable('s')).to.have.length(0);
  });

  it('skips an endpoint for longer after each further refusal, until it serves again', () => {
    directory.update(endpointWith({}));
    const refuse = () => directory.suspect('10.0.0.1:80', Suspicion.Refusing, 'full');
    refuse();
    clock.advance(refusalSuspicionMs);
    expect(directory.findUsable('s')).to.have.length(1);
    refuse();
    clock.advance(refusalSuspicionMs);
    expect(directory.findUsable('s')).to.have.length(0);
    clock.advance(refusalSuspicionMs);
    directory.clearSuspicion('10.0.0.1:80');
    refuse();
    clock.advance(refusalSuspicionMs);
    expect(directory.findUsable('s')).to.have.length(1);
  });

  it('lists the addresses of draining endpoints', () => {
    directory.update(endpointWith({}));
    directory.update(endpointWith({ state: EndpointState.Draining }));
    directory.update(endpointWith({ state: EndpointState.Draining }));
    expect(directory.drainingEndpoints().map(({ address }) => address)).to.deep.equal([
      '10.0.0.1:80',
    ]);
  });

  it('corrects layers only for the incarnation that reported them', () => {
    const first = endpointWith({});
    directory.update(first);
    directory.update(endpointWith({ startedMs: 20 }));
    directory.observeLayers(first, { from: 0, to: 4 });
    expect(directory.findByAddress('10.0.0.1:80')?.layers).to.equal(undefined);
  });
});
