import { expect } from 'chai';
import { RunState } from '../../../services/problem/common/problem.js';
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
