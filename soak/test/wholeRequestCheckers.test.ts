import { expect } from 'chai';
import {
  CallOutcome,
  FaultKind,
  RequestKind,
  type CallRecord,
  type FaultRecord,
  type SoakHistory,
} from '../common/records.js';
import { longRouteTimeoutMs, routeTimeoutMs, shutdownGraceMs } from '../common/timeLimits.js';
import { checkWholeRequests } from '../common/wholeRequestCheckers.js';
import { makeCall, makeFault, makeHistory, makeRun } from './plantedHistory.js';

const arrival = { id: 'id', endpoint: 'app-1', atMs: 100_010, isRejected: false };
const stop = makeFault(FaultKind.StopGateway, 'g', 100_020, 101_000);
const change = makeFault(FaultKind.GrowConfig, 'config', 100_020, 100_020);
const cut = makeCall({ status: 0, outcome: CallOutcome.NoStatus, detail: 'socket hang up' });

function countFindings(changes: Partial<SoakHistory>): number {
  const history = { calls: [cut], runs: [makeRun({ endpoint: 'app-1' })], arrivals: [arrival] };
  return checkWholeRequests(makeHistory({ ...history, ...changes })).length;
}

function isFound(fault: FaultRecord, changes: Partial<CallRecord> = {}): boolean {
  return countFindings({ faults: [fault], calls: [{ ...cut, ...changes }] }) > 0;
}

describe('Check of whole requests around planned work', () => {
  it('fails when a request that was passed on ends with its connection beside a stop', () => {
    expect(isFound(stop)).to.equal(true);
    expect(isFound(stop, { outcome: CallOutcome.Truncated, status: 200 })).to.equal(true);
  });

  it('passes when the request got an answer, be it a failure', () => {
    expect(isFound(stop, { outcome: CallOutcome.Complete })).to.equal(false);
    expect(isFound(stop, { outcome: CallOutcome.ErrorStatus, status: 502 })).to.equal(false);
  });

  it('fails without a pass to an endpoint only later than 200 ms after the request was sent', () => {
    const isFoundAfter = (ms: number) =>
      countFindings({
        arrivals: [],
        runs: [],
        faults: [stop],
        calls: [{ ...cut, endMs: cut.startMs + ms }],
      }) > 0;
    expect(isFoundAfter(200)).to.equal(false);
    expect(isFoundAfter(201)).to.equal(true);
  });

  it('passes when the connection was refused', () => {
    expect(isFound(stop, { detail: 'ECONNREFUSED behind the proxy' })).to.equal(false);
  });

  it('counts a stop of its own gateway from its signal until a second after the grace period', () => {
    const stopAt = (startMs: number) =>
      makeFault(FaultKind.StopGateway, 'g', startMs, startMs + 900);
    expect(isFound(stopAt(cut.endMs + 1))).to.equal(false);
    expect(isFound(stopAt(cut.endMs - shutdownGraceMs - 1_000))).to.equal(true);
    expect(isFound(stopAt(cut.endMs - shutdownGraceMs - 1_001))).to.equal(false);
    expect(isFound({ ...stop, target: 'other' })).to.equal(false);
  });

  it('counts a reload of its own gateway for requests until two seconds after it that end after it', () => {
    const reloadAt = (atMs: number) => makeFault(FaultKind.ReloadGateway, 'g', atMs, atMs);
    expect(isFound(reloadAt(cut.startMs - 2_000))).to.equal(true);
    expect(isFound(reloadAt(cut.startMs - 2_001))).to.equal(false);
    expect(isFound(reloadAt(cut.endMs))).to.equal(true);
    expect(isFound(reloadAt(cut.endMs + 1))).to.equal(false);
    expect(isFound({ ...reloadAt(cut.startMs), target: 'other' })).to.equal(false);
  });

  it('counts a configuration until three seconds after it, for all gateways', () => {
    const changeAt = (atMs: number) => makeFault(FaultKind.MoveRoute, 'config', atMs, atMs);
    expect(isFound(changeAt(cut.endMs))).to.equal(true);
    expect(isFound(changeAt(cut.endMs + 1))).to.equal(false);
    expect(isFound(changeAt(cut.endMs - 3_000))).to.equal(true);
    expect(isFound(changeAt(cut.endMs - 3_001))).to.equal(false);
  });

  it('fails beside a configuration only at over three times the cuts of other times at that gateway', () => {
    const makeCalls = (count: number, cutCount: number, atMs: number, gateway = 'g') =>
      Array.from({ length: count }, (_, index) => {
        const times = { id: `${atMs}-${index}`, gateway, startMs: atMs, endMs: atMs + 50 };
        return index < cutCount ? { ...cut, ...times } : makeCall(times);
      });
    const check = (inside: number, outside: number, gateway = 'g') => {
      const calls = [...makeCalls(10, inside, 100_000), ...makeCalls(20, outside, 50_000, gateway)];
      const arrivals = calls.map(({ id }) => ({ ...arrival, id }));
      return countFindings({ calls, arrivals, runs: [], faults: [change] });
    };
    expect(check(1, 0)).to.equal(1);
    expect(check(3, 2)).to.equal(0);
    expect(check(4, 2)).to.equal(4);
    expect(check(3, 2, 'other')).to.equal(3);
    expect(check(0, 2)).to.equal(0);
  });

  it('passes beside a configuration, but not a stop, when seven tenths of the time are used', () => {
    const used = (share: number) => ({ endMs: cut.startMs + share * routeTimeoutMs });
    expect(isFound(change, used(0.69))).to.equal(true);
    expect(isFound(change, used(0.7))).to.equal(false);
    expect(isFound(stop, used(0.7))).to.equal(true);
    const long = { kind: RequestKind.LongStream, outcome: CallOutcome.Truncated };
    expect(isFound(change, { ...long, ...used(0.7) })).to.equal(true);
  });

  it('passes when the timeout of the route is reached', () => {
    const after = (ms: number) => ({ endMs: cut.startMs + ms });
    expect(isFound(stop, after(routeTimeoutMs - 1))).to.equal(true);
    expect(isFound(stop, after(routeTimeoutMs))).to.equal(false);
    const long = { kind: RequestKind.LongStream };
    expect(isFound(stop, { ...long, ...after(routeTimeoutMs) })).to.equal(true);
    expect(isFound(stop, { ...long, ...after(longRouteTimeoutMs) })).to.equal(false);
  });

  it('passes beside an unplanned disturbance of anything from three seconds before the request', () => {
    const check = (kind: FaultKind, startMs: number, endMs: number) =>
      countFindings({ faults: [stop, makeFault(kind, 'anything', startMs, endMs)] });
    const { startMs, endMs } = cut;
    expect(check(FaultKind.KillGateway, startMs - 9_000, startMs - 3_000)).to.equal(0);
    expect(check(FaultKind.KillGateway, startMs - 9_000, startMs - 3_001)).to.equal(1);
    expect(check(FaultKind.EndpointFails, endMs, endMs + 10)).to.equal(0);
    expect(check(FaultKind.EndpointFails, endMs + 1, endMs + 10)).to.equal(1);
  });

  it('takes no silence, omitted framing or planned work for an unplanned disturbance', () => {
    const check = (kind: FaultKind) =>
      countFindings({ faults: [stop, makeFault(kind, 'app-1', 99_000, 101_000)] });
    expect(check(FaultKind.EndpointFallsSilent)).to.equal(1);
    expect(check(FaultKind.EndpointsFallSilentInSeries)).to.equal(1);
    expect(check(FaultKind.EndpointOmitsFraming)).to.equal(1);
    expect(check(FaultKind.DrainEndpoint)).to.equal(1);
    expect(check(FaultKind.GrowConfig)).to.equal(1);
  });

  it('takes a disturbance of the store for an excuse of streams only', () => {
    const check = (kind: RequestKind, fault: FaultKind) =>
      countFindings({
        calls: [{ ...cut, kind }],
        faults: [stop, makeFault(fault, 'store', 99_000, 101_000)],
      });
    for (const fault of [FaultKind.StoreSilent, FaultKind.ResetStoreLink]) {
      expect(check(RequestKind.Lookup, fault)).to.equal(1);
      expect(check(RequestKind.Submission, fault)).to.equal(1);
      expect(check(RequestKind.Stream, fault)).to.equal(0);
      expect(check(RequestKind.LongStream, fault)).to.equal(0);
    }
  });

  it('passes when an endpoint of its path ended meanwhile', () => {
    const check = (endpoint: string, atMs: number) =>
      countFindings({
        faults: [stop],
        runs: [makeRun({ endpoint: 'engine-1-2', path: ['engine-1', 'engine-2'] })],
        crashes: [{ endpoint, atMs, part: undefined }],
      });
    expect(check('engine-2-3', 100_060)).to.equal(0);
    expect(check('engine-3', 100_060)).to.equal(1);
    expect(check('engine-2-3', 99_999)).to.equal(1);
  });

  it('passes when an endpoint works in the last sixth of the grace period on a request sent early', () => {
    const longCut = { ...cut, kind: RequestKind.LongStream, outcome: CallOutcome.Truncated };
    const check = (sentMs: number, cutMs: number, runs = [makeRun({ endpoint: 'app-1' })]) =>
      countFindings({
        faults: [stop],
        runs,
        calls: [{ ...longCut, startMs: stop.startMs + sentMs, endMs: stop.startMs + cutMs }],
      });
    expect(check(3_000, 6_667)).to.equal(0);
    expect(check(-100, 6_667)).to.equal(0);
    expect(check(3_001, 6_667)).to.equal(1);
    expect(check(3_000, 6_666)).to.equal(1);
    expect(check(3_000, 6_667, [])).to.equal(1);
  });
});

describe('Check of requests from kept connections', () => {
  const kept = { ...cut, isOnKeptConnection: true };
  const ids = ['a', 'b', 'c', 'd'];

  function check(
    changes: Partial<CallRecord> = {},
    faults: readonly FaultRecord[] = [],
    others: Partial<SoakHistory> = {},
  ): number {
    return countFindings({
      calls: ids.map((id) => ({ ...kept, id, ...changes })),
      arrivals: ids.map((id) => ({ ...arrival, id })),
      runs: ids.map((id) => makeRun({ id, endpoint: 'app-1' })),
      faults,
      ...others,
    });
  }

  it('fails when more than three that were passed on end without an answer, without any work near', () => {
    expect(check()).to.equal(4);
    expect(check({}, [], { calls: ids.slice(1).map((id) => ({ ...kept, id })) })).to.equal(0);
  });

  it('passes on new connections, after a status and for requests that crossed the close', () => {
    expect(check({ isOnKeptConnection: false })).to.equal(0);
    expect(check({ outcome: CallOutcome.Truncated })).to.equal(0);
    expect(check({}, [], { arrivals: [] })).to.equal(0);
  });

  it('passes when the timeout of the route is reached', () => {
    expect(check({ endMs: kept.startMs + routeTimeoutMs })).to.equal(0);
  });

  it('passes when the gateway was out of touch in the three seconds before', () => {
    const faultUntil = (kind: FaultKind, target: string, endMs: number) =>
      check({}, [makeFault(kind, target, 90_000, endMs)]);
    expect(faultUntil(FaultKind.FreezeGateway, 'g', 97_000)).to.equal(0);
    expect(faultUntil(FaultKind.FreezeGateway, 'g', 96_999)).to.equal(4);
    expect(faultUntil(FaultKind.FreezeGateway, 'other', 100_000)).to.equal(4);
    expect(faultUntil(FaultKind.StoreSilent, 'store', 97_000)).to.equal(0);
    expect(faultUntil(FaultKind.DelayCallerLinks, 'g', 97_000)).to.equal(0);
    expect(faultUntil(FaultKind.DelayCallerLinks, 'other', 97_000)).to.equal(4);
  });

  it('passes when the endpoint was disturbed or ended, but not when it fell silent', () => {
    const faultAt = (kind: FaultKind, target: string) =>
      check({}, [makeFault(kind, target, 99_000, 101_000)]);
    expect(faultAt(FaultKind.EndpointClosesWithoutAnswer, 'app-1-2')).to.equal(0);
    expect(faultAt(FaultKind.EndpointClosesWithoutAnswer, 'app-2')).to.equal(4);
    expect(faultAt(FaultKind.EndpointFallsSilent, 'app-1')).to.equal(4);
    const crashes = [{ endpoint: 'app-1', atMs: 100_060, part: undefined }];
    expect(check({}, [], { crashes })).to.equal(0);
  });
});
