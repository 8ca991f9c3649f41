import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import {
  FailureReason,
  MessageKind,
  type AttemptSpec,
  type LinkMessage,
  type Prices,
} from '../../../../services/link/common/messages.js';
import { AcceleratorKind } from '../../../../services/model/common/model.js';
import { RunState } from '../../../../services/problem/common/problem.js';
import { AttemptGate } from '../../../gate/common/attemptGate.js';
import type { EngineStep, IStageEngine } from '../../common/stageContracts.js';
import { StageRunner } from '../../common/stageRunner.js';

const prices = Object.fromEntries(
  Object.values(AcceleratorKind).map((kind) => [kind, 1]),
) as Prices;

const chain = [0, 2].map((from) => ({
  endpoint: `e${from}`,
  incarnation: `e${from}-1`,
  address: '',
  range: { from, to: from + 2 },
}));

function specOf(overrides: Partial<AttemptSpec> = {}): AttemptSpec {
  return {
    attempt: 'a',
    epoch: 1,
    chain,
    model: 'm',
    organisation: 'coop',
    revision: 1,
    prices,
    entry: 'entry-1',
    maxTokens: 9,
    priority: 0,
    submission: false,
    suspect: false,
    remainingMs: 1_000,
    ...overrides,
  };
}

/** Runner of the last stage of a two-stage chain, with an engine that answers immediately. */
class LastStageHarness {
  readonly steps: EngineStep[] = [];

  readonly sentToEntries: { readonly entry: string; readonly message: LinkMessage }[] = [];

  readonly sentToStages: LinkMessage[] = [];

  readonly runner: StageRunner;

  constructor() {
    const engine: IStageEngine = {
      run: (step) => {
        this.steps.push(step);
        return Promise.resolve(Ok({ data: [], token: step.step, text: `${step.step} ` }));
      },
      freeSequence: () => undefined,
    };
    const links = {
      sendToStage: (_stage: unknown, message: LinkMessage) => this.sentToStages.push(message),
      sendToEntry: (entry: string, message: LinkMessage) =>
        this.sentToEntries.push({ entry, message }),
    };
    const options = {
      endpoint: 'e2',
      incarnation: 'e2-1',
      capacity: () => 4,
      accelerator: () => AcceleratorKind.Medium,
      answerRetentionMs: 1_000,
    };
    const gate = new AttemptGate({ answerRetentionMs: 1_000, outcomeRetentionMs: 1_000 });
    this.runner = new StageRunner(options, engine, links, gate, new FakeClock());
  }

  async step(step: number, spec?: AttemptSpec): Promise<void> {
    const data = [1];
    this.runner.handleStep({
      kind: MessageKind.Step,
      attempt: 'a',
      epoch: 1,
      stage: 1,
      step,
      data,
      spec,
    });
    await new Promise(setImmediate);
  }

  tokensTo(entry: string): readonly number[] {
    return this.sentToEntries.flatMap((sent) =>
      sent.entry === entry && sent.message.kind === MessageKind.Token ? [sent.message.step] : [],
    );
  }
}

describe('StageRunner', () => {
  it('sends tokens to an entry that resumes, and still to the first entry', async () => {
    const stage = new LastStageHarness();
    await stage.step(0, specOf());
    stage.runner.resume({
      kind: MessageKind.Resume,
      attempt: 'a',
      epoch: 1,
      fromStep: 0,
      entry: 'entry-2',
    });
    await stage.step(1);
    expect(stage.tokensTo('entry-1')).to.deep.equal([0, 1]);
    expect(stage.tokensTo('entry-2')).to.deep.equal([0, 1]);
  });

  it('does not run a step that arrives after its epoch was cancelled', async () => {
    const stage = new LastStageHarness();
    stage.runner.cancel('a', 1);
    await stage.step(0, specOf());
    expect(stage.steps).to.deep.equal([]);
    expect(stage.runner.activeCount).to.equal(0);
  });

  it('passes the layer range of its stage to the engine', async () => {
    const stage = new LastStageHarness();
    await stage.step(0, specOf());
    expect(stage.steps[0].range).to.deep.equal({ from: 2, to: 4 });
    expect(stage.steps[0].first).to.equal(true);
  });

  it('runs steps of started chains while it is paused to load other layers', async () => {
    const stage = new LastStageHarness();
    stage.runner.setPaused(true);
    await stage.step(0, specOf({ submission: true }));
    expect(stage.tokensTo('entry-1')).to.deep.equal([0]);
  });

  it('cancels the epoch at the other stages when the next stage is lost', async () => {
    const stage = new LastStageHarness();
    await stage.step(0, specOf());
    stage.runner.handleStageLost('e0-1');
    const failures = stage.sentToEntries.filter(
      ({ message }) => message.kind === MessageKind.AttemptFailed,
    );
    expect(failures[0].message).to.include({ reason: FailureReason.StageLost, run: RunState.Ran });
    const cancel = stage.sentToStages.find((message) => message.kind === MessageKind.Cancel);
    expect(cancel).to.include({ attempt: 'a', epoch: 1, relay: true });
    expect(stage.runner.activeCount).to.equal(0);
  });

  it('refuses a suspect request while another suspect is in its first steps', async () => {
    const stage = new LastStageHarness();
    await stage.step(0, specOf({ suspect: true }));
    const other = specOf({ suspect: true, attempt: 'b' });
    const message = { kind: MessageKind.Step, attempt: 'b', epoch: 1, stage: 1, step: 0 } as const;
    stage.runner.handleStep({ ...message, data: [1], spec: other });
    const last = stage.sentToEntries[stage.sentToEntries.length - 1];
    expect(last.message).to.include({ attempt: 'b', reason: FailureReason.Busy });
  });
});
