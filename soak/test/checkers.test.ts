import { expect } from 'chai';
import type { ObservedRun } from '../../platform/test/wireViews.js';
import { checkPromises, modelLayers, recoverMs, timeoutMs } from '../common/checkers.js';
import { planFaults } from '../common/faultPlan.js';
import {
  CallOutcome,
  FaultKind,
  RequestKind,
  type CallRecord,
  type FaultRecord,
  type SoakHistory,
} from '../common/records.js';

const key = { key: 'k', organisation: 'org', fromMs: 0, toMs: Infinity };

function callWith(changes: Partial<CallRecord> = {}): CallRecord {
  return {
    id: 'id',
    kind: RequestKind.Submission,
    gateway: 'g',
    process: 1,
    key: 'k',
    target: '/book/id',
    body: 'body',
    startMs: 100_000,
    endMs: 100_100,
    status: 200,
    outcome: CallOutcome.Whole,
    hasRetryAfter: false,
    detail: '',
    ...changes,
  };
}

function runWith(changes: Partial<ObservedRun> = {}): ObservedRun {
  return {
    id: 'id',
    endpoint: 'e',
    atMs: 100_050,
    target: '/book/id',
    body: 'body',
    organisation: 'org',
    hasKey: false,
    ranges: [],
    resumesAfter: undefined,
    ...changes,
  };
}

function faultOf(kind: FaultKind, target: string, startMs: number, endMs: number): FaultRecord {
  return { kind, target, startMs, endMs };
}

/** Names of the promises that a history breaks. */
function brokenBy(changes: Partial<SoakHistory>): readonly string[] {
  const history = {
    calls: [callWith()],
    runs: [runWith()],
    orders: [],
    keys: [key],
    faults: [],
    incidents: [],
    calmFromMs: undefined,
    ...changes,
  };
  const results = Object.entries(checkPromises(history));
  return results.filter(([, violations]) => violations.length > 0).map(([name]) => name);
}

describe('Promises of the soak', () => {
  it('hold for a request that ran once and was answered', () => {
    expect(brokenBy({})).to.deep.equal([]);
  });

  it('break when a submission runs twice', () => {
    expect(brokenBy({ runs: [runWith(), runWith()] })).to.deep.equal(['submissionsRunOnce']);
  });

  it('break when a refusal says falsely that a submission has not run, or not when to return', () => {
    const refused = { status: 503, outcome: CallOutcome.Failure };
    const promise = ['refusalsAreTrue'];
    expect(brokenBy({ calls: [callWith({ ...refused, hasRetryAfter: true })] })).to.deep.equal(
      promise,
    );
    expect(brokenBy({ calls: [callWith(refused)], runs: [] })).to.deep.equal(promise);
  });

  it('break when an answer is incomplete or of another request', () => {
    const calls = [callWith({ outcome: CallOutcome.Wrong })];
    expect(brokenBy({ calls })).to.deep.equal(['answersAreWholeAndOwn']);
  });

  it('break when something else runs than was sent, or for another organisation', () => {
    const promise = ['onlyWhatWasSentRuns'];
    expect(brokenBy({ runs: [runWith({ body: 'other' })] })).to.deep.equal(promise);
    expect(brokenBy({ runs: [runWith({ organisation: 'other' })] })).to.deep.equal(promise);
    expect(brokenBy({ runs: [runWith({ hasKey: true })] })).to.deep.equal(promise);
  });

  it('break when a path leaves layers out, or an endpoint is ordered to hold too many', () => {
    const promise = ['layersRunOnceInOrder'];
    const ranges = [
      [0, 4],
      [5, modelLayers],
    ] as const;
    expect(brokenBy({ runs: [runWith({ ranges })] })).to.deep.equal(promise);
    const orders = [{ endpoint: 'e', layers: 6, maxLayers: 5 }];
    expect(brokenBy({ orders })).to.deep.equal(promise);
  });

  it('break when a key works that is gone or never was, or fails while it holds', () => {
    const promise = ['keysHoldAsConfigured'];
    const gone = { ...key, toMs: 50_000 };
    expect(brokenBy({ keys: [gone] })).to.deep.equal(promise);
    expect(brokenBy({ calls: [callWith({ key: 'strange' })] })).to.include(promise[0]);
    const denied = callWith({ status: 401, outcome: CallOutcome.Failure });
    expect(brokenBy({ calls: [denied], runs: [] })).to.deep.equal(promise);
  });

  it('break when a process takes a key again that it refused, even while the store is away', () => {
    const gone = { ...key, toMs: 50_000 };
    const faults = [faultOf(FaultKind.StoreSilent, 'store', 40_000, 200_000)];
    const refused = callWith({ status: 401, outcome: CallOutcome.Failure, endMs: 100_010 });
    const served = callWith({ startMs: 100_020 });
    expect(brokenBy({ keys: [gone], faults, calls: [served] })).to.deep.equal([]);
    expect(brokenBy({ keys: [gone], faults, calls: [refused, served] })).to.deep.equal([
      'keysHoldAsConfigured',
    ]);
  });

  it('break when an endpoint that drains gets new work', () => {
    const faults = [faultOf(FaultKind.DrainEndpoint, 'e', 90_000, 110_000)];
    expect(brokenBy({ faults })).to.deep.equal(['drainingGetsNoWork']);
  });

  it('break when planned work cuts a request, but not when a fault does', () => {
    const calls = [callWith({ status: 0, outcome: CallOutcome.None, detail: 'socket hang up' })];
    const stop = faultOf(FaultKind.StopGateway, 'g', 99_000, 101_000);
    expect(brokenBy({ calls, faults: [stop] })).to.deep.equal(['plannedWorkCutsNothing']);
    const kill = faultOf(FaultKind.KillGateway, 'g', 99_000, 101_000);
    expect(brokenBy({ calls, faults: [kill] })).to.deep.equal([]);
  });

  it('break when a call outlasts the timeout of its route', () => {
    const calls = [callWith({ endMs: 100_000 + timeoutMs + 600 })];
    expect(brokenBy({ calls })).to.deep.equal(['callsEndInTime']);
  });

  it('break when a gateway ends by itself', () => {
    expect(brokenBy({ incidents: ['g ended by itself'] })).to.deep.equal(['gatewaysKeepRunning']);
  });

  it('break when requests are not served once all faults are over', () => {
    const calmFromMs = 100_000 - recoverMs - 1;
    const refused = { status: 503, outcome: CallOutcome.Failure, hasRetryAfter: true };
    const kinds = Object.values(RequestKind);
    const served = kinds.map((kind) => callWith({ kind }));
    const failed = kinds.map((kind) => callWith({ kind, ...refused }));
    expect(brokenBy({ calls: served, calmFromMs })).to.deep.equal([]);
    expect(brokenBy({ calls: failed, runs: [], calmFromMs })).to.deep.equal(['systemRecovers']);
  });
});

describe('Plan of faults', () => {
  it('is the same for a seed and brings every kind about, often two at a time', () => {
    expect(planFaults(7, 60_000)).to.deep.equal(planFaults(7, 60_000));
    const faults = planFaults(7, 600_000);
    const kinds = new Set(faults.map(({ kind }) => kind));
    expect(kinds.size).to.equal(Object.values(FaultKind).length);
    const overlapping = faults.filter(
      ({ atMs }, index) => index > 0 && faults[index - 1].atMs + faults[index - 1].forMs > atMs,
    );
    expect(overlapping.length).to.be.greaterThan(faults.length / 2);
  });
});
