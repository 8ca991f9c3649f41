import { expect } from 'chai';
import {
  isRecoveryObserved,
  modelLayerCount,
  maxRecoveryMs,
  retryBudget,
} from '../common/checkers.js';
import { planFaults } from '../common/faultPlan.js';
import { plannedFaults, soundFaults } from '../common/faultTimes.js';
import {
  CallOutcome,
  FaultKind,
  RequestKind,
  type CallRecord,
  type FaultRecord,
} from '../common/records.js';
import { routeTimeoutMs } from '../common/timeLimits.js';
import {
  key,
  makeCall,
  makeFault,
  makeHistory,
  makeRun,
  violatedGuarantees,
} from './plantedHistory.js';

describe('Guarantee checks of the soak test', () => {
  it('pass for a request that ran once and was answered', () => {
    expect(violatedGuarantees({})).to.deep.equal([]);
  });

  it('fail when a submission runs twice', () => {
    expect(violatedGuarantees({ runs: [makeRun(), makeRun()] })).to.deep.equal([
      'submissionsRunOnce',
    ]);
  });

  it('fail when a refused submission ran, or when a refusal does not say when to retry', () => {
    const refused = { status: 503, outcome: CallOutcome.ErrorStatus };
    const expected = ['refusalsAreTrue'];
    expect(
      violatedGuarantees({ calls: [makeCall({ ...refused, hasRetryAfter: true })] }),
    ).to.deep.equal(expected);
    expect(violatedGuarantees({ calls: [makeCall(refused)], runs: [] })).to.deep.equal(expected);
  });

  it('fail when an answer is incomplete or belongs to another request', () => {
    const calls = [makeCall({ outcome: CallOutcome.Mismatch })];
    expect(violatedGuarantees({ calls })).to.deep.equal(['answersAreWholeAndOwn']);
  });

  it('fail when a request runs with another body, for another organisation or with its key', () => {
    const expected = ['onlyWhatWasSentRuns'];
    expect(violatedGuarantees({ runs: [makeRun({ body: 'other' })] })).to.deep.equal(expected);
    expect(violatedGuarantees({ runs: [makeRun({ organisation: 'other' })] })).to.deep.equal(
      expected,
    );
    expect(violatedGuarantees({ runs: [makeRun({ hasKey: true })] })).to.deep.equal(expected);
  });

  it('fail when a request of a crowd ran that was refused as not run', () => {
    const crowds = [{ gateway: 'g', startMs: 100_000, endMs: 105_000, notRunIds: ['crowd-1'] }];
    const runs = [makeRun(), makeRun({ id: 'crowd-1' })];
    expect(violatedGuarantees({ crowds, runs })).to.deep.equal(['crowdRefusalsAreTrue']);
    expect(violatedGuarantees({ crowds })).to.deep.equal([]);
  });

  it('fail when a gateway serves too few of its callers beside a crowd', () => {
    const crowds = [{ gateway: 'g', startMs: 100_000, endMs: 105_000, notRunIds: [] }];
    const makeCalls = (refused: number) =>
      Array.from({ length: 100 }, (_unused, index) =>
        makeCall({
          id: `call-${index}`,
          ...(index < refused
            ? { status: 503, outcome: CallOutcome.ErrorStatus, hasRetryAfter: true }
            : {}),
        }),
      );
    const violated = (refused: number, faults: readonly FaultRecord[] = []) =>
      violatedGuarantees({ crowds, calls: makeCalls(refused), runs: [], faults });
    expect(violated(6)).to.deep.equal(['servesBesideCrowds']);
    expect(violated(5)).to.deep.equal([]);
    expect(violated(6, [makeFault(FaultKind.FreezeGateway, 'g', 99_000, 101_000)])).to.deep.equal(
      [],
    );
    expect(violated(6, [makeFault(FaultKind.FreezeGateway, 'h', 99_000, 101_000)])).to.deep.equal([
      'servesBesideCrowds',
    ]);
  });

  it('fail when a gateway serves too few requests to other services beside faulty answers', () => {
    const makeCalls = (refused: number, atMs: number) =>
      Array.from({ length: 100 }, (_unused, index) =>
        makeCall({
          id: `call-${index}`,
          startMs: atMs,
          endMs: atMs + 100,
          ...(index < refused ? { status: 502, outcome: CallOutcome.ErrorStatus } : {}),
        }),
      );
    const faulty = (service: string) => ({
      ...makeFault(FaultKind.FaultyAnswers, `${service}-0`, 100_000, 105_000),
      service,
    });
    const violated = (refused: number, atMs: number, faults: readonly FaultRecord[]) =>
      violatedGuarantees({ calls: makeCalls(refused, atMs), runs: [], faults });
    const expected = ['servesBesideFaultyAnswers'];
    expect(violated(6, 100_000, [faulty('model')])).to.deep.equal(expected);
    expect(violated(6, 108_900, [faulty('model')])).to.deep.equal(expected);
    expect(violated(5, 100_000, [faulty('model')])).to.deep.equal([]);
    expect(violated(6, 100_000, [faulty('app')])).to.deep.equal([]);
    expect(violated(6, 109_001, [faulty('model')])).to.deep.equal([]);
    const freeze = (gateway: string) =>
      makeFault(FaultKind.FreezeGateway, gateway, 99_000, 101_000);
    expect(violated(6, 100_000, [faulty('model'), freeze('g')])).to.deep.equal([]);
    expect(violated(6, 100_000, [faulty('model'), freeze('h')])).to.deep.equal(expected);
  });

  it('fail when a path skips layers, or an endpoint is ordered to hold too many layers', () => {
    const expected = ['layersRunOnceInOrder'];
    const ranges = [
      [0, 4],
      [5, modelLayerCount],
    ] as const;
    expect(violatedGuarantees({ runs: [makeRun({ ranges })] })).to.deep.equal(expected);
    const orders = [{ endpoint: 'e', layers: 6, maxLayers: 5 }];
    expect(violatedGuarantees({ orders })).to.deep.equal(expected);
  });

  it('fail when a revoked or unknown key works, or when a configured key is refused', () => {
    const expected = ['keysHoldAsConfigured'];
    const revokedKey = { ...key, toMs: 50_000 };
    expect(violatedGuarantees({ keys: [revokedKey] })).to.deep.equal(expected);
    expect(violatedGuarantees({ calls: [makeCall({ key: 'strange' })] })).to.include(expected[0]);
    const refused = makeCall({ status: 401, outcome: CallOutcome.ErrorStatus });
    expect(violatedGuarantees({ calls: [refused], runs: [] })).to.deep.equal(expected);
  });

  it('fail when a process accepts a key that it refused before, even while the store is down', () => {
    const revokedKey = { ...key, toMs: 50_000 };
    const faults = [makeFault(FaultKind.StoreSilent, 'store', 40_000, 200_000)];
    const refused = makeCall({ status: 401, outcome: CallOutcome.ErrorStatus, endMs: 100_010 });
    const served = makeCall({ startMs: 100_020 });
    expect(violatedGuarantees({ keys: [revokedKey], faults, calls: [served] })).to.deep.equal([]);
    expect(
      violatedGuarantees({ keys: [revokedKey], faults, calls: [refused, served] }),
    ).to.deep.equal(['keysHoldAsConfigured']);
  });

  it('fail when a draining endpoint receives a new request', () => {
    const faults = [makeFault(FaultKind.DrainEndpoint, 'e', 90_000, 110_000)];
    expect(violatedGuarantees({ faults })).to.deep.equal(['drainingGetsNoWork']);
  });

  it('fail when an endpoint whose entry was removed receives a request long after a cut has ended', () => {
    const removal = makeFault(FaultKind.RemoveEndpointEntry, 'e', 90_000, 110_000);
    const cutUntil = (endMs: number, target: string) =>
      makeFault(FaultKind.OneWayStoreLink, target, 89_000, endMs);
    const expected = ['drainingGetsNoWork'];
    expect(violatedGuarantees({ faults: [removal] })).to.deep.equal(expected);
    expect(violatedGuarantees({ faults: [removal, cutUntil(95_000, 'g')] })).to.deep.equal(
      expected,
    );
    expect(violatedGuarantees({ faults: [removal, cutUntil(99_000, 'other')] })).to.deep.equal(
      expected,
    );
    expect(violatedGuarantees({ faults: [removal, cutUntil(99_000, 'g')] })).to.deep.equal([]);
  });

  it('fail when an endpoint gets more requests than the limit that it names allows', () => {
    const faults = [makeFault(FaultKind.EndpointNamesLimit, 'e', 90_000, 110_000)];
    const runs = (count: number, fromMs: number) =>
      Array.from({ length: count }, (_, index) =>
        makeRun({ id: `l${index}`, target: `/look/l${index}`, atMs: fromMs + 100 * index }),
      );
    const calls = runs(30, 0).map(({ id, target }) =>
      makeCall({ id, target, kind: RequestKind.Lookup }),
    );
    expect(violatedGuarantees({ calls, faults, runs: runs(23, 100_000) })).to.deep.equal([]);
    expect(violatedGuarantees({ calls, faults, runs: runs(24, 100_000) })).to.deep.equal([
      'limitsAreKept',
    ]);
    expect(violatedGuarantees({ calls, faults, runs: runs(24, 90_500) })).to.deep.equal([]);
    const restart = makeFault(FaultKind.KillGateway, 'g', 99_000, 99_500);
    expect(
      violatedGuarantees({ calls, faults: [...faults, restart], runs: runs(24, 100_000) }),
    ).to.deep.equal([]);
  });

  it('fail when a gateway that passed on that an endpoint leaves uses it again', () => {
    const leaving = makeFault(FaultKind.EndpointSaysLeaving, 'e', 90_000, 120_000);
    const restart = makeFault(FaultKind.KillGateway, 'g', 99_000, 99_500);
    const call = (id: string, startMs: number, gateway = 'g') =>
      makeCall({ id, gateway, startMs, endMs: startMs + 50, kind: RequestKind.Lookup });
    const check = (calls: readonly CallRecord[], faults: readonly FaultRecord[]) =>
      violatedGuarantees({
        calls: calls.map((each) => ({ ...each, target: `/look/${each.id}` })),
        faults,
        runs: calls.map(({ id, startMs }) =>
          makeRun({ id, target: `/look/${id}`, atMs: startMs + 1 }),
        ),
      });
    const first = call('a', 95_000);
    expect(check([first, call('b', 97_051)], [leaving])).to.deep.equal(['leavingGetsNoWork']);
    expect(check([first, call('b', 97_049)], [leaving])).to.deep.equal([]);
    expect(check([first, call('b', 99_900, 'other')], [leaving])).to.deep.equal([]);
    expect(check([first, call('b', 99_900)], [leaving, restart])).to.deep.equal([]);
  });

  it('fail when a gateway sends more than two requests to an endpoint in its pause', () => {
    const arrivalsAt = (times: readonly number[]) =>
      times.map((atMs, index) => ({
        id: `p${index}`,
        endpoint: 'e',
        atMs,
        isRejected: index === 0,
      }));
    const check = (times: readonly number[], faults: readonly FaultRecord[] = []) => {
      const arrivals = arrivalsAt(times);
      const calls = arrivals.map(({ id }) =>
        makeCall({ id, kind: RequestKind.Lookup, target: `/look/${id}` }),
      );
      return violatedGuarantees({ arrivals, calls, faults });
    };
    const start = 100_000;
    expect(check([start, start + 600, start + 700, start + 1_900])).to.deep.equal([
      'pausesAreKept',
    ]);
    expect(check([start, start + 499, start + 600, start + 1_900])).to.deep.equal([]);
    expect(check([start, start + 600, start + 700, start + 2_001])).to.deep.equal([]);
    const lost = makeFault(FaultKind.SilenceEndpointLink, 'e', 99_900, 100_100);
    expect(check([start, start + 600, start + 700, start + 1_900], [lost])).to.deep.equal([]);
  });

  it('fail when a request that crashes endpoints still runs long after its third crash', () => {
    const runsAt = (times: readonly number[]) =>
      times.map((atMs, index) =>
        makeRun({ id: `c${index}`, target: '/look/crash-1', endpoint: `e${index}`, atMs }),
      );
    const early = [100_000, 100_100, 100_200, 101_000, 102_000, 103_000];
    const late = [104_000, 105_000, 106_000, 107_000];
    expect(violatedGuarantees({ runs: runsAt([...early, ...late.slice(1)]) })).to.deep.equal([]);
    expect(violatedGuarantees({ runs: runsAt([...early, ...late]) })).to.deep.equal([
      'crashingRequestsStop',
    ]);
  });

  it('fail when requests run again more often than the retry budget allows', () => {
    const repeated = (count: number) =>
      Array.from({ length: 2 * count }, (_unused, index) =>
        makeRun({ id: `r${index % count}`, target: `/look/r${index % count}`, atMs: 100_000 }),
      );
    expect(violatedGuarantees({ runs: repeated(retryBudget.slack) })).to.deep.equal([]);
    expect(violatedGuarantees({ runs: repeated(retryBudget.slack + 1) })).to.deep.equal([
      'retriesStayWithinBudget',
    ]);
    const bookings = Array.from({ length: 100 }, (_unused, index) => makeCall({ id: `b${index}` }));
    const violatedBeside = (kind: RequestKind, count: number) =>
      violatedGuarantees({
        calls: bookings.map((booking) => ({ ...booking, kind })),
        runs: repeated(count),
      });
    const allowed = retryBudget.slack + retryBudget.ratio * bookings.length;
    expect(violatedBeside(RequestKind.Submission, allowed)).to.deep.equal([]);
    expect(violatedBeside(RequestKind.Submission, allowed + 1)).to.deep.equal([
      'retriesStayWithinBudget',
    ]);
    expect(violatedBeside(RequestKind.Stream, allowed)).to.deep.equal(['retriesStayWithinBudget']);
  });

  it('fail when planned work interrupts a request whose gateway, link and endpoints are sound', () => {
    const expected = ['plannedWorkCutsNothing'];
    const stop = makeFault(FaultKind.StopGateway, 'g', 99_000, 101_000);
    const cut = makeCall({ outcome: CallOutcome.Truncated });
    const runs = [makeRun({ endpoint: 'engine-1-2', path: ['engine-1', 'engine-2'] })];
    const check = (kind: FaultKind, target: string) =>
      violatedGuarantees({
        calls: [cut],
        runs,
        faults: [stop, makeFault(kind, target, 99_000, 101_000)],
      });
    expect(violatedGuarantees({ calls: [cut], runs, faults: [stop] })).to.deep.equal(expected);
    expect(check(FaultKind.KillGateway, 'other')).to.deep.equal(expected);
    expect(check(FaultKind.ResetCallerLinks, 'other')).to.deep.equal(expected);
    expect(check(FaultKind.ResetStoreLink, 'g')).to.deep.equal(expected);
    expect(check(FaultKind.EndpointFails, 'engine-11')).to.deep.equal(expected);
    expect(check(FaultKind.EndpointFallsSilent, 'engine-1')).to.deep.equal(expected);
    expect(check(FaultKind.KillGateway, 'g')).to.deep.equal([]);
    expect(check(FaultKind.ResetCallerLinks, 'g')).to.deep.equal([]);
    expect(check(FaultKind.EndpointCutsStreams, 'engine-1')).to.deep.equal([]);
    expect(check(FaultKind.SilenceEndpointLink, 'engine-2')).to.deep.equal([]);
    const crashes = [{ endpoint: 'engine-2', atMs: 100_060, part: undefined }];
    expect(violatedGuarantees({ calls: [cut], runs, faults: [stop], crashes })).to.deep.equal([]);
  });

  it('fail when a call ends without a status though its gateway and link are sound', () => {
    const expected = ['callsEndWithStatus'];
    const lost = makeCall({ status: 0, outcome: CallOutcome.NoStatus, detail: 'socket hang up' });
    const arrivals = [{ id: 'id', endpoint: 'app-1', atMs: 100_010, isRejected: false }];
    const fail = makeFault(FaultKind.EndpointClosesWithoutAnswer, 'app-1', 99_000, 101_000);
    const kill = makeFault(FaultKind.KillGateway, 'g', 99_000, 101_000);
    const check = (changes: Partial<CallRecord>, isRun: boolean, fault = fail) =>
      violatedGuarantees({
        calls: [{ ...lost, ...changes }],
        runs: [makeRun({ endpoint: 'app-1' })],
        arrivals: isRun ? arrivals : [],
        faults: [fault],
      });
    const kept = { isOnKeptConnection: true };
    expect(check({}, false)).to.deep.equal(expected);
    expect(check(kept, false)).to.deep.equal([]);
    expect(check(kept, true)).to.deep.equal(expected);
    expect(check({ ...kept, endMs: 100_201 }, false)).to.deep.equal(expected);
    expect(check({}, true, kill)).to.deep.equal([]);
    const stop = makeFault(FaultKind.StopGateway, 'g', 99_000, 101_000);
    expect(check({}, false, stop)).to.deep.equal([]);
    expect(check({}, true, stop)).to.include.members(expected);
    expect(check({ endMs: 100_201 }, false, stop)).to.include.members(expected);
    expect(check({ gateway: 'other' }, false, stop)).to.include.members(expected);
    expect(check({ detail: 'ECONNREFUSED behind the proxy' }, false)).to.deep.equal([]);
  });

  describe('of parts of prompts that crash endpoints', () => {
    const part = 'crashing-1';
    const fault = makeFault(FaultKind.CrashingPart, part, 100_000, 120_000);
    const crashes = [100_100, 100_200, 100_300, 100_400, 100_500].map((atMs, index) => ({
      endpoint: `engine-${index}`,
      atMs,
      part,
    }));
    const makeStream = (id: string, startMs: number, changes: Partial<CallRecord> = {}) =>
      makeCall({
        id,
        kind: RequestKind.Stream,
        target: `/stream/${id}`,
        parts: ['first', `own-${id}`],
        startMs,
        endMs: startMs + 50,
        ...changes,
      });
    const refused = { status: 503, outcome: CallOutcome.ErrorStatus, hasRetryAfter: true };
    const makeBad = (index: number, startMs: number) =>
      makeStream(`bad-${index}`, startMs, { ...refused, parts: ['first', part, `own-${index}`] });

    it('fail when requests with such a part still reach endpoints long after the fifth crash', () => {
      const check = (times: readonly number[], faults = [fault], ends = crashes) => {
        const calls = times.map((atMs, index) => makeBad(index, atMs));
        return violatedGuarantees({
          calls,
          runs: [],
          arrivals: calls.map(({ id, startMs }) => ({
            id,
            endpoint: 'engine-1',
            atMs: startMs,
            isRejected: false,
          })),
          crashes: ends,
          faults,
        });
      };
      const late = [103_501, 104_000, 105_000, 106_000];
      expect(check(late)).to.deep.equal(['crashingPartsStop']);
      expect(check([103_499, ...late.slice(1)])).to.deep.equal([]);
      expect(check(late, [fault], crashes.slice(1))).to.deep.equal([]);
      const freeze = makeFault(FaultKind.FreezeGateway, 'g', 101_000, 102_000);
      expect(check(late, [fault, freeze])).to.deep.equal([]);
    });

    it('fail when sound requests with the same key or first part begin less than half as often', () => {
      const times = (fromMs: number) => Array.from({ length: 20 }, (_, index) => fromMs + index);
      const check = (begunLate: number, changes: Partial<CallRecord>, lateFromMs = 107_000) => {
        const calm = times(50_000).map((atMs) => makeStream(`calm-${atMs}`, atMs));
        const late = times(lateFromMs).map((atMs, index) =>
          makeStream(`late-${atMs}`, atMs, { ...(index < begunLate ? {} : refused), ...changes }),
        );
        const calls = [...calm, ...late, makeBad(1, 101_000)];
        return violatedGuarantees({ calls, runs: [], crashes, faults: [fault] });
      };
      const otherKey = { ...key, key: 'other' };
      const expected = ['soundPartsGoOn'];
      expect(check(9, {})).to.deep.equal(expected);
      expect(check(10, {})).to.deep.equal([]);
      expect(check(9, { parts: ['another', 'own'] })).to.deep.equal(expected);
      expect(check(9, { key: otherKey.key })).to.include(expected[0]);
      expect(check(9, {}, 106_400)).to.deep.equal([]);
      expect(check(9, {}, 119_990)).to.deep.equal([]);
    });
  });

  it('fail when a call takes longer than the timeout of its route', () => {
    const calls = [makeCall({ endMs: 100_000 + routeTimeoutMs + 600 })];
    expect(violatedGuarantees({ calls })).to.deep.equal(['callsEndInTime']);
  });

  it('fail when a gateway exits unexpectedly', () => {
    expect(violatedGuarantees({ incidents: ['g exited unexpectedly'] })).to.deep.equal([
      'gatewaysKeepRunning',
    ]);
  });

  it('fail when requests are not served after all faults have ended', () => {
    const faultsEndedAtMs = 100_000 - maxRecoveryMs - 1;
    const refused = { status: 503, outcome: CallOutcome.ErrorStatus, hasRetryAfter: true };
    const kinds = Object.values(RequestKind);
    const served = kinds.map((kind) => makeCall({ kind }));
    const failed = kinds.map((kind) => makeCall({ kind, ...refused }));
    expect(violatedGuarantees({ calls: served, calmFromMs: faultsEndedAtMs })).to.deep.equal([]);
    expect(
      violatedGuarantees({ calls: failed, runs: [], calmFromMs: faultsEndedAtMs }),
    ).to.deep.equal(['systemRecovers']);
  });

  it('fail when a gateway was asked for no request of a kind after all faults have ended', () => {
    const calmFromMs = 100_000 - maxRecoveryMs - 1;
    const [missing, ...kinds] = Object.values(RequestKind);
    const asked = kinds.map((kind) => makeCall({ kind }));
    const early = makeCall({ kind: missing, startMs: calmFromMs, endMs: calmFromMs + 50 });
    expect(violatedGuarantees({ calls: [...asked, early], calmFromMs })).to.deep.equal([
      'systemRecovers',
    ]);
    const isObserved = (calls: readonly CallRecord[]) =>
      isRecoveryObserved(makeHistory({ calls, calmFromMs }));
    expect(isObserved([...asked, early])).to.equal(false);
    expect(isObserved([...asked, makeCall({ kind: missing, key: 'revoked' })])).to.equal(false);
    expect(isObserved([...asked, makeCall({ kind: missing, gateway: 'other' })])).to.equal(false);
    expect(isObserved([...asked, makeCall({ kind: missing })])).to.equal(true);
  });
});

describe('Fault plan', () => {
  it('is the same for the same seed, contains every kind of fault and lets most faults overlap', () => {
    expect(planFaults(7, 60_000)).to.deep.equal(planFaults(7, 60_000));
    const faults = planFaults(7, 600_000);
    const kinds = new Set(faults.map(({ kind }) => kind));
    expect(kinds.size).to.equal(Object.values(FaultKind).length);
    const overlapping = faults.filter(
      ({ startOffsetMs }, index) =>
        index > 0 && faults[index - 1].startOffsetMs + faults[index - 1].durationMs > startOffsetMs,
    );
    expect(overlapping.length).to.be.greaterThan(faults.length / 2);
  });

  it('has phases of planned work and of what sound endpoints do, longer than the stable window', () => {
    const isCalm = ({ kind }: { readonly kind: FaultKind }) =>
      plannedFaults.has(kind) || soundFaults.has(kind);
    const calmUntilMs = 15_000;
    const faults = planFaults(7, 60_000);
    const early = faults.filter(({ startOffsetMs }) => startOffsetMs < calmUntilMs);
    expect(early.length).to.be.greaterThan(5);
    expect(early.every(isCalm)).to.equal(true);
    expect(faults.every(isCalm)).to.equal(false);
    const again = planFaults(7, 120_000).filter(
      ({ startOffsetMs }) => startOffsetMs > 62_000 && startOffsetMs < 75_000,
    );
    expect(again.length).to.be.greaterThan(5);
    expect(again.every(isCalm)).to.equal(true);
  });
});
