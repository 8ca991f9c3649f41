import { createHash } from 'node:crypto';
import { expect } from 'chai';
import fc, { type Scheduler } from 'fast-check';
import type { AnswerSummary } from '../../../entry/chat/common/answerAssembler.js';
import type { ChatUsage } from '../../../entry/chat/common/chatSession.js';
import type { ChatRequest } from '../../../entry/chat/common/chatRequest.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import type { Problem } from '../../../services/problem/common/problem.js';
import { referenceAnswer } from '../../../standin/common/fakeModel.js';
import type { HistoryEvent } from '../../../standin/common/historyEvent.js';
import { checkLayers } from '../../common/guarantees.js';
import { ChainSimulation, crashPrompt, simulatedModel } from './chainSimulation.js';

interface Fault {
  readonly kind: 'kill' | 'cut';
  readonly agentIndex: number;
}

interface Answer {
  readonly prompt: string;
  text: string;
  summary: AnswerSummary | undefined;
  problem: Problem | undefined;
}

const maxTokens = 8;

const scenarios = fc.record({
  prompts: fc.array(fc.constantFrom('ab', 'abc', 'hello'), { minLength: 1, maxLength: 3 }),
  faults: fc.array(
    fc.record<Fault>({ kind: fc.constantFrom('kill', 'cut', 'cut'), agentIndex: fc.nat(8) }),
    { maxLength: 5 },
  ),
});

function requestOf(prompt: string, index: number): ChatRequest {
  const prices = Object.fromEntries(Object.values(AcceleratorKind).map((kind) => [kind, 1]));
  return {
    id: `q${index}`,
    organisation: 'coop',
    model: simulatedModel,
    prompt,
    maxTokens,
    priority: 0,
    revision: 1,
    prices: prices as ChatRequest['prices'],
    fingerprint: prompt,
    deadlineMs: 1e12,
  };
}

/** Time by which the clock advances when the scheduler has nothing left to run, in milliseconds. */
const idleStepMs = 400;

/** Runs chats in a simulation and injects the faults, until all chats ended. */
async function simulate(
  scheduler: Scheduler,
  scenario: { readonly prompts: readonly string[]; readonly faults: readonly Fault[] },
): Promise<{
  readonly answers: readonly Answer[];
  readonly history: readonly HistoryEvent[];
  readonly killedCount: number;
  readonly usages: readonly ChatUsage[];
}> {
  const simulation = new ChainSimulation(scheduler);
  const usages: ChatUsage[] = [];
  simulation.runner.onDidRecordUsage((usage) => usages.push(usage));
  const answers = scenario.prompts.map((prompt, index): Answer => {
    const answer: Answer = { prompt, text: '', summary: undefined, problem: undefined };
    simulation.runner.startLookup(requestOf(prompt, index), {
      token: (text) => {
        answer.text += text;
      },
      end: (summary) => {
        answer.summary = summary;
      },
      fail: (problem) => {
        answer.problem = problem;
      },
    });
    return answer;
  });
  let killCount = 0;
  scenario.faults.forEach(({ kind, agentIndex }) => {
    void scheduler.schedule(Promise.resolve(), `${kind} ${agentIndex}`).then(() => {
      const agentName = simulation.agentNames[agentIndex];
      if (kind === 'cut') {
        simulation.cutLinks(agentName);
      } else if (killCount < 2) {
        killCount += 1; // with at most two kills, one of the three chains keeps all its stages
        simulation.kill(agentName, false);
      }
    });
  });
  for (let idleSteps = 0; idleSteps < 200 && simulation.runner.active > 0;) {
    if (scheduler.count() > 0) {
      await scheduler.waitOne();
    } else {
      idleSteps += 1;
      simulation.clock.advance(idleStepMs);
      simulation.runner.checkTimeouts();
      await Promise.resolve();
    }
  }
  return { answers, history: simulation.history, killedCount: simulation.killedCount, usages };
}

/** Returns the first violation in a simulated history, or undefined. */
function violationOf(simulated: Awaited<ReturnType<typeof simulate>>): string | undefined {
  const layerCheck = checkLayers(simulated.history, simulatedModel.layers);
  if (layerCheck.violations.length > 0) {
    return JSON.stringify(layerCheck.violations[0]);
  }
  // Every accelerator costs 1 for 1,000 layer-tokens here. A killed stage's work is billed too.
  const mispriced = simulated.usages.find(
    ({ micros, layerTokens }) => Math.abs(micros * 1_000 - layerTokens) > 1e-6,
  );
  if (mispriced) {
    return `usage has price ${mispriced.micros} for ${mispriced.layerTokens} layer-tokens`;
  }
  for (const { prompt, text, summary, problem } of simulated.answers) {
    if (prompt.includes(crashPrompt)) {
      continue;
    }
    const expected = referenceAnswer(simulatedModel.layers, prompt, maxTokens);
    const digest = createHash('sha256').update(expected).digest('hex');
    if (problem !== undefined || summary === undefined) {
      return `no answer: ${problem?.detail ?? 'still running'}`;
    }
    if (text !== expected || summary.digest !== digest) {
      return `wrong answer: got "${text}", expected "${expected}"`;
    }
  }
  return undefined;
}

// A chat that resumes on another chain after a killed stage or a broken link could lose, repeat or
// reorder layers or tokens, or be billed wrongly. The test explores orders of such faults.
describe('chats over chains with killed agents and broken links', () => {
  it('get complete answers, with each layer run once for each token in each epoch', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), scenarios, async (scheduler, scenario) => {
        expect(violationOf(await simulate(scheduler, scenario))).to.equal(undefined);
      }),
      { seed: 4242, numRuns: 2_000 },
    );
  });
});

// A request that crashes engines would kill one chain after the other if it were retried without
// limit. It is quarantined after it has crashed two endpoints, and refused with status 422.
describe('a request that kills each endpoint that runs it', () => {
  it('kills only two endpoints, while other requests in its batches get complete answers', async () => {
    const prompts = fc.shuffledSubarray(['ab', 'abc', 'hello', 'ax'], {
      minLength: 4,
      maxLength: 4,
    });
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), prompts, async (scheduler, shuffledPrompts) => {
        const simulated = await simulate(scheduler, { prompts: shuffledPrompts, faults: [] });
        expect(violationOf(simulated)).to.equal(undefined);
        expect(simulated.killedCount).to.equal(2);
        const crashingAnswer = simulated.answers.find(({ prompt }) => prompt.includes(crashPrompt));
        expect(crashingAnswer?.problem?.status).to.equal(422);
      }),
      { seed: 43, numRuns: 500 },
    );
  });
});

describe('checkLayers', () => {
  const layersRun = (step: number, from: number, to: number, endpoint = 'e'): HistoryEvent =>
    ({ kind: 'layers-run', atMs: 0, endpoint, subject: 's', step, from, to }) as HistoryEvent;

  it('reports a layer that ran twice, was left out or ran out of order', () => {
    const validEvents = [
      layersRun(0, 0, 2),
      layersRun(0, 2, 4),
      layersRun(1, 0, 2),
      layersRun(1, 2, 4),
    ];
    expect(checkLayers(validEvents, 4).violations).to.deep.equal([]);
    expect(checkLayers([...validEvents, layersRun(1, 2, 4)], 4).violations).to.have.length(1);
    expect(checkLayers([layersRun(0, 2, 4), layersRun(0, 0, 2)], 4).violations).to.have.length(1);
    expect(
      checkLayers([layersRun(0, 0, 2), layersRun(1, 0, 2), layersRun(1, 2, 4)], 4).violations,
    ).to.have.length(1);
    expect(
      checkLayers([layersRun(0, 0, 2), layersRun(0, 2, 4), layersRun(2, 0, 2)], 4).violations,
    ).to.have.length(1);
  });
});
