import { expect } from 'chai';
import { RunState } from '../../../services/problem/common/problem.js';
import { checkPromises } from '../../faults/common/checkers.js';
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
    status: end === CallEnd.Whole ? 200 : 502,
    detail: '',
  };
}

const freeze: FaultRecord = {
  kind: FaultKind.FreezeAgent,
  target: 'engine-1',
  startMs: 0,
  endMs: 500,
};

const stop: FaultRecord = {
  kind: FaultKind.StopAgent,
  target: 'engine-2',
  startMs: 1_000,
  endMs: 2_000,
};

function violationsOfStops(calls: readonly CallRecord[]): readonly string[] {
  const faults = [freeze, stop];
  const history = { calls, faults, changes: [], samples: [], storedChanges: [], badExits: [] };
  return checkPromises(history, [], 1).plannedStopsCutNothing.violations;
}

describe('Check of planned stops', () => {
  it('blames a stop for a submission whose outcome is unknown', () => {
    const calls = [chatCall(1_100, CallEnd.Problem, RunState.Unknown)];
    expect(violationsOfStops(calls)).to.have.length(1);
  });

  it('blames a stop for an answer that was kept before it', () => {
    const calls = [
      chatCall(100, CallEnd.Problem, RunState.Unknown),
      chatCall(700, CallEnd.Whole),
      chatCall(1_100, CallEnd.Problem, RunState.Unknown),
    ];
    expect(violationsOfStops(calls)).to.have.length(1);
  });

  it('blames a stop if the call before it was refused without a run', () => {
    const calls = [
      chatCall(700, CallEnd.Problem, RunState.NotRun),
      chatCall(1_100, CallEnd.Problem, RunState.Unknown),
    ];
    expect(violationsOfStops(calls)).to.have.length(1);
  });

  it('does not blame a stop for an outcome that an earlier fault lost', () => {
    const calls = [
      chatCall(100, CallEnd.Problem, RunState.Unknown),
      chatCall(1_100, CallEnd.Problem, RunState.Unknown),
    ];
    expect(violationsOfStops(calls)).to.deep.equal([]);
  });
});
