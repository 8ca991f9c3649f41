import { performance } from 'node:perf_hooks';
import { request } from 'undici';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { RoutingPolicy } from '../../../services/settings/common/settings.js';
import { chat } from '../../node/caller.js';
import { demoRules } from '../../node/demo.js';
import { Fleet, type EngineSpec, type FleetSpec } from '../../node/fleet.js';
import { quantile, round } from '../common/statistics.js';
import { runLoad, type LoadResult } from './load.js';

const model = { name: 'casa-12', layers: 12, layerMiB: 512, replicas: 4 };

const kinds = Object.values(AcceleratorKind);

/** Time to run one layer, by kind of accelerator, in microseconds. */
const layerMicros = [300, 500, 900, 1_400, 2_000];

const callers = 32;

const durationMs = 10_000;

/** Returns an engine that holds one third of the model, so that all kinds are interchangeable. */
function engineSpecOf(index: number): EngineSpec {
  const kind = index % kinds.length;
  return {
    name: `engine-${index + 1}`,
    dataCentre: 'ragusa',
    accelerator: kinds[kind],
    memoryMiB: 2_600,
    layerMicros: layerMicros[kind],
    capacity: 32,
  };
}

const policies = [RoutingPolicy.Fastest, RoutingPolicy.Random, RoutingPolicy.RoundRobin];

/** Fleet with two entries for each policy, which share the engines. */
const spec: FleetSpec = {
  entries: 2 * policies.length,
  engines: Array.from({ length: 12 }, (_unused, index) => engineSpecOf(index)),
  services: [],
  models: [model],
  organisations: ['coop', 'index'],
  rules: demoRules,
  seed: 1,
  entrySettingsByIndex: policies.flatMap((routing) => [{ routing }, { routing }]),
};

function measurePolicy(fleet: Fleet, policy: RoutingPolicy): Promise<LoadResult> {
  const first = 2 * policies.indexOf(policy);
  const load = { callers, durationMs, maxTokens: 32, organisation: 'coop', promptLength: 40 };
  return runLoad(fleet, model, { ...load, entries: [first, first + 1] });
}

async function measurePolicies() {
  const fleet = new Fleet(spec);
  try {
    await fleet.start();
    const fastest = await measurePolicy(fleet, RoutingPolicy.Fastest);
    const random = await measurePolicy(fleet, RoutingPolicy.Random);
    const roundRobin = await measurePolicy(fleet, RoutingPolicy.RoundRobin);
    return { fastest, random, roundRobin };
  } finally {
    await fleet.close();
  }
}

const overheadTokens = 64;

const overheadRuns = 20;

/** Measures the times between tokens if an engine is called directly, without entry and agent. */
async function measureDirectGaps(url: string): Promise<readonly number[]> {
  const gaps: number[] = [];
  const runStep = async (index: number, sequence: string, data: readonly number[]) => {
    const range = { from: 0, to: model.layers };
    const commonFields = { sequence, model: model.name, range, step: index, first: index === 0 };
    const prompt = index === 0 ? { prompt: 'user: overhead' } : {};
    const steps = [{ ...commonFields, ...prompt, data, last: true, priority: 0 }];
    const res = await request(`${url}/steps`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ steps }),
    });
    const { replies } = (await res.body.json()) as { replies: { token: number }[] };
    return replies[0].token;
  };
  for (let run = 0; run < overheadRuns; run += 1) {
    let token = await runStep(0, `direct-${run}`, []);
    for (let index = 1; index < overheadTokens; index += 1) {
      const startedMs = performance.now();
      token = await runStep(index, `direct-${run}`, [token]);
      gaps.push(performance.now() - startedMs);
    }
  }
  return gaps;
}

/** Compares one stream through entry and agent with direct calls to the same engine. */
async function measureOverhead() {
  const fleet = new Fleet({
    ...spec,
    entries: 1,
    engines: [{ ...engineSpecOf(0), memoryMiB: 16_000 }],
    models: [{ ...model, replicas: 1 }],
  });
  try {
    await fleet.start();
    const direct = await measureDirectGaps(fleet.getEndpoint('engine-1').standin.listenAddress);
    const firstTokenTimes: number[] = [];
    const gaps: number[] = [];
    for (let run = 0; run < overheadRuns; run += 1) {
      const { name, layers } = model;
      const call = { url: fleet.url(0), organisation: 'coop', model: name, layers };
      const result = await chat({ ...call, content: `overhead ${run}`, maxTokens: overheadTokens });
      firstTokenTimes.push(result.firstTokenMs ?? 0);
      gaps.push(...result.gapsMs);
    }
    const directP50Ms = round(quantile(direct, 0.5));
    const routedP50Ms = round(quantile(gaps, 0.5));
    return {
      directTokenP50Ms: directP50Ms,
      routedTokenP50Ms: routedP50Ms,
      addedPerTokenMs: round(routedP50Ms - directP50Ms),
      firstTokenP50Ms: round(quantile(firstTokenTimes, 0.5)),
    };
  } finally {
    await fleet.close();
  }
}

/**
 * Compares the routing policies on the same mixed accelerators under the same load, one at a time.
 *
 * @returns True if the throughput of the fastest-chain policy is at least that of both baselines
 *   and all its answers were complete.
 */
export async function runRoutingBench(): Promise<boolean> {
  const { fastest, random, roundRobin } = await measurePolicies();
  const overhead = await measureOverhead();
  process.stdout.write(`${JSON.stringify({ fastest, random, roundRobin, overhead })}\n`);
  const bestBaseline = Math.max(random.tokensPerSecond, roundRobin.tokensPerSecond);
  return fastest.tokensPerSecond >= bestBaseline && fastest.notWhole === 0;
}
