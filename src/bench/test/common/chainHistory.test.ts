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
import { checkLayers } from '../../common/promises.js';
import { ChainWorld, crashPrompt, worldModel } from './chainWorld.js';

interface Fault {
  readonly kind: 'kill' | 'cut';
  readonly agent: number;
}

interface Answer {
  readonly prompt: string;
  text: string;
  summary: AnswerSummary | undefined;
  problem: Problem | undefined;
}

const maxTokens = 8;

const plans = fc.record({
  prompts: fc.array(fc.constantFrom('ab', 'abc', 'hello'), { minLength: 1, maxLength: 3 }),
  faults: fc.array(
    fc.record<Fault>({ kind: fc.constantFrom('kill', 'cut', 'cut'), agent: fc.nat(8) }),
    { maxLength: 5 },
  ),
});

function requestOf(prompt: string, index: number): ChatRequest {
  const prices = Object.fromEntries(Object.values(AcceleratorKind).map((kind) => [kind, 1]));
  return {
    id: `q${index}`,
    organisation: 'coop',
    model: worldModel,
    prompt,
    maxTokens,
    priority: 0,
    revision: 1,
    prices: prices as ChatRequest['prices'],
    fingerprint: prompt,
    deadlineMs: 1e12,
  };
}

/** Time that passes whenever nothing else is left to happen, in milliseconds. */
const idleStepMs = 400;

async function play(
  scheduler: Scheduler,
  plan: { readonly prompts: readonly string[]; readonly faults: readonly Fault[] },
): Promise<{
  readonly answers: readonly Answer[];
  readonly history: readonly HistoryEvent[];
  readonly deaths: number;
  readonly usages: readonly ChatUsage[];
}> {
  const world = new ChainWorld(scheduler);
  const usages: ChatUsage[] = [];
  world.runner.onDidUse((usage) => usages.push(usage));
  const answers = plan.prompts.map((prompt, index): Answer => {
    const answer: Answer = { prompt, text: '', summary: undefined, problem: undefined };
    world.runner.open(requestOf(prompt, index), {
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
  let kills = 0;
  plan.faults.forEach(({ kind, agent }) => {
    void scheduler.schedule(Promise.resolve(), `${kind} ${agent}`).then(() => {
      const name = world.names[agent];
      if (kind === 'cut') {
        world.cut(name);
      } else if (kills < 2) {
        kills += 1; // one whole chain always survives
        world.kill(name, false);
      }
    });
  });
  for (let idle = 0; idle < 200 && world.runner.active > 0;) {
    if (scheduler.count() > 0) {
      await scheduler.waitOne();
    } else {
      idle += 1;
      world.clock.advance(idleStepMs);
      world.runner.checkTimeouts();
      await Promise.resolve();
    }
  }
  return { answers, history: world.history, deaths: world.deaths, usages };
}

function faultOf(played: Awaited<ReturnType<typeof play>>): string | undefined {
  const layers = checkLayers(played.history, worldModel.layers);
  if (layers.faults.length > 0) {
    return JSON.stringify(layers.faults[0]);
  }
  // Every stage costs 1 for 1,000 layer-tokens in this world, whether or not it died meanwhile.
  const mispriced = played.usages.find(
    ({ micros, layerTokens }) => Math.abs(micros * 1_000 - layerTokens) > 1e-6,
  );
  if (mispriced) {
    return `priced ${mispriced.micros} for ${mispriced.layerTokens} layer-tokens`;
  }
  for (const { prompt, text, summary, problem } of played.answers) {
    if (prompt.includes(crashPrompt)) {
      continue;
    }
    const expected = referenceAnswer(worldModel.layers, prompt, maxTokens);
    const digest = createHash('sha256').update(expected).digest('hex');
    if (problem !== undefined || summary === undefined) {
      return `no answer: ${problem?.detail ?? 'still running'}`;
    }
    if (text !== expected || summary.digest !== digest) {
      return `wrong answer: ${text}`;
    }
  }
  return undefined;
}

describe('chats over chains whose agents die and whose links are cut', () => {
  it('get whole answers, with every layer run once for each token in each epoch', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), plans, async (scheduler, plan) => {
        expect(faultOf(await play(scheduler, plan))).to.equal(undefined);
      }),
      { seed: 4242, numRuns: 2_000 },
    );
  });
});

describe('a request that kills each endpoint that runs it', () => {
  it('kills two at most, while the others in its batches get whole answers', async () => {
    const prompts = fc.shuffledSubarray(['ab', 'abc', 'hello', 'ax'], {
      minLength: 4,
      maxLength: 4,
    });
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), prompts, async (scheduler, order) => {
        const played = await play(scheduler, { prompts: order, faults: [] });
        expect(faultOf(played)).to.equal(undefined);
        expect(played.deaths).to.equal(2);
        const poisoned = played.answers.find(({ prompt }) => prompt.includes(crashPrompt));
        expect(poisoned?.problem?.status).to.equal(422);
      }),
      { seed: 43, numRuns: 500 },
    );
  });
});

describe('the check of layers', () => {
  const run = (step: number, from: number, to: number, endpoint = 'e'): HistoryEvent =>
    ({ kind: 'layers-run', atMs: 0, endpoint, subject: 's', step, from, to }) as HistoryEvent;

  it('finds a layer that ran twice, was left out or ran out of order', () => {
    const good = [run(0, 0, 2), run(0, 2, 4), run(1, 0, 2), run(1, 2, 4)];
    expect(checkLayers(good, 4).faults).to.deep.equal([]);
    expect(checkLayers([...good, run(1, 2, 4)], 4).faults).to.have.length(1);
    expect(checkLayers([run(0, 2, 4), run(0, 0, 2)], 4).faults).to.have.length(1);
    expect(checkLayers([run(0, 0, 2), run(1, 0, 2), run(1, 2, 4)], 4).faults).to.have.length(1);
    expect(checkLayers([run(0, 0, 2), run(0, 2, 4), run(2, 0, 2)], 4).faults).to.have.length(1);
  });
});
