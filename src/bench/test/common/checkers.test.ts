import { expect } from 'chai';
import { RunState } from '../../../services/problem/common/problem.js';
import { HistoryKind } from '../../../standin/common/historyEvent.js';
import { checkGuarantees } from '../../faults/common/checkers.js';
import {
  CallEnd,
  CallKind,
  FaultKind,
  type CallRecord,
  type FaultRecord,
} from '../../faults/common/records.js';

function chatCall(startMs: number, end: CallEnd, run?: RunState): CallRecord {
  return {
    kind: CallKind.ChatSubmission,
    entry: 'entry-1',
    key: 'k',
    startMs,
    endMs: startMs + 10,
    end,
    run,
    status: end === CallEnd.Complete ? 200 : 502,
    detail: '',
  };
}

const freezeFault: FaultRecord = {
  kind: FaultKind.FreezeAgent,
  target: 'engine-1',
  startMs: 0,
  endMs: 500,
};

const stopFault: FaultRecord = {
  kind: FaultKind.StopAgent,
  target: 'engine-2',
  startMs: 1_000,
  endMs: 2_000,
};

function plannedStopViolations(calls: readonly CallRecord[]): readonly string[] {
  const faults = [freezeFault, stopFault];
  const history = { calls, faults, changes: [], samples: [], storedChanges: [], badExits: [] };
  return checkGuarantees(history, [], 1).plannedStopsCutNothing.violations;
}

// An unknown outcome is a violation of the planned stop during which it was reported, unless an
// earlier fault had already lost the outcome.
describe('check of planned stops', () => {
  it('reports a submission whose outcome became unknown during a stop', () => {
    const calls = [chatCall(1_100, CallEnd.Problem, RunState.Unknown)];
    expect(plannedStopViolations(calls)).to.have.length(1);
  });

  it('reports an unknown outcome if an earlier call got the answer', () => {
    const calls = [
      chatCall(100, CallEnd.Problem, RunState.Unknown),
      chatCall(700, CallEnd.Complete),
      chatCall(1_100, CallEnd.Problem, RunState.Unknown),
    ];
    expect(plannedStopViolations(calls)).to.have.length(1);
  });

  it('reports an unknown outcome if the earlier call was refused without a run', () => {
    const calls = [
      chatCall(700, CallEnd.Problem, RunState.NotRun),
      chatCall(1_100, CallEnd.Problem, RunState.Unknown),
    ];
    expect(plannedStopViolations(calls)).to.have.length(1);
  });

  it('accepts an unknown outcome that an earlier fault had already lost', () => {
    const calls = [
      chatCall(100, CallEnd.Problem, RunState.Unknown),
      chatCall(1_100, CallEnd.Problem, RunState.Unknown),
    ];
    expect(plannedStopViolations(calls)).to.deep.equal([]);
  });
});

describe('check of endpoints that leave', () => {
  const leaving: FaultRecord = {
    kind: FaultKind.ListLeaving,
    target: 'booking-2',
    startMs: 1_000,
    endMs: 7_000,
  };

  const outageOf = (startMs: number, endMs: number): FaultRecord => ({
    kind: FaultKind.PlatformOutage,
    target: 'platform',
    startMs,
    endMs,
  });

  function lateStarts(faults: readonly FaultRecord[], atMs: number): readonly string[] {
    const history = {
      calls: [],
      faults,
      changes: [],
      samples: [],
      storedChanges: [],
      badExits: [],
    };
    const event = { kind: HistoryKind.CallRun, endpoint: 'booking-2', subject: 'k', atMs };
    return checkGuarantees(history, [event], 1).leavingGetsNoWork.violations;
  }

  it('reports a start after the time that the list takes', () => {
    expect(lateStarts([leaving], 4_900)).to.have.length(0);
    expect(lateStarts([leaving], 5_045)).to.have.length(1);
  });

  it('accepts a start before the list could be read, since the platform was out', () => {
    expect(lateStarts([leaving, outageOf(1_000, 6_200)], 5_045)).to.have.length(0);
  });

  it('reports a start after the outage, or beside an outage that came too early or too late', () => {
    expect(lateStarts([leaving, outageOf(1_000, 6_200)], 6_300)).to.have.length(1);
    expect(lateStarts([leaving, outageOf(0, 900)], 5_045)).to.have.length(1);
    expect(lateStarts([leaving, outageOf(2_001, 6_200)], 5_045)).to.have.length(1);
    expect(lateStarts([leaving, outageOf(5_010, 9_000)], 5_045)).to.have.length(1);
  });

  it('reports a start at an agent that was stopped, also during an outage', () => {
    const stopped = { ...leaving, kind: FaultKind.StopAgent };
    expect(lateStarts([stopped, outageOf(1_000, 6_200)], 2_100)).to.have.length(1);
  });
});
