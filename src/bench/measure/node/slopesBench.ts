import { mkdirSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { sleep } from '../../../base/node/systemClock.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { demoRules } from '../../node/demo.js';
import { Fleet, type FleetSpec } from '../../node/fleet.js';
import { fitLine, round, type Line } from '../common/statistics.js';
import { FakeAgents } from './fakeAgents.js';
import { runLoad } from './load.js';
import { readUsage } from './processUsage.js';

const model = { name: 'casa-12', layers: 12, layerMiB: 512, replicas: 2 };

const linkCounts = [25, 100, 200, 400];

const callerCounts = [2, 8, 16, 32];

/** Time for links and placement to settle before a measurement, in milliseconds. */
const settleMs = 3_000;

/** Duration of an idle measurement, in milliseconds. */
const idleMs = 6_000;

/** Duration of the load for each number of callers, in milliseconds. */
const loadMs = 8_000;

/** Returns a fleet with fast engines, so that the costs of entries and agents dominate. */
function fastSpec(engines: number): FleetSpec {
  return {
    entries: 1,
    engines: Array.from({ length: engines }, (_unused, index) => ({
      name: `engine-${index + 1}`,
      dataCentre: 'ragusa',
      accelerator: AcceleratorKind.Medium,
      memoryMiB: 2_600,
      layerMicros: 250,
      capacity: 64,
    })),
    services: [],
    models: engines > 0 ? [model] : [],
    organisations: ['coop'],
    rules: demoRules,
    seed: 1,
  };
}

interface IdlePoint {
  readonly links: number;
  readonly cpuPercent: number;
  readonly residentMiB: number;
  readonly bytesPerSecond: number;
}

/** Measures processor time, memory and traffic of an idle entry by its number of links. */
async function measureLinks(): Promise<readonly IdlePoint[]> {
  const fleet = new Fleet(fastSpec(0));
  const agents = new FakeAgents();
  const points: IdlePoint[] = [];
  try {
    await fleet.start();
    const { pid } = fleet.entries[0].process;
    for (const links of linkCounts) {
      await agents.start(fleet, links);
      await sleep(settleMs);
      const before = { ...readUsage(pid), bytes: agents.bytes };
      await sleep(idleMs);
      const after = { ...readUsage(pid), bytes: agents.bytes };
      points.push({
        links: agents.links,
        cpuPercent: round(((after.cpuMs - before.cpuMs) / idleMs) * 100),
        residentMiB: round(after.residentMiB, 1),
        bytesPerSecond: Math.round(((after.bytes - before.bytes) / idleMs) * 1_000),
      });
    }
    return points;
  } finally {
    agents.close();
    await fleet.close();
  }
}

interface LoadPoint {
  readonly callers: number;
  readonly tokensPerSecond: number;
  readonly callsPerSecond: number;
  readonly entryCpuPercent: number;
  readonly entryMiB: number;
  readonly agentCpuPercent: number;
  readonly agentMiB: number;
}

/** Measures processor time and memory of the entry and the agents by the number of callers. */
async function measureTokens(maxTokens: number): Promise<readonly LoadPoint[]> {
  const fleet = new Fleet(fastSpec(6));
  const points: LoadPoint[] = [];
  try {
    await fleet.start();
    const entry = fleet.entries[0].process.pid;
    const agents = [...fleet.endpoints.values()].map((endpoint) => endpoint.agent.pid);
    const cpu = () => ({
      entry: readUsage(entry).cpuMs,
      agents: agents.reduce((sum, pid) => sum + readUsage(pid).cpuMs, 0),
    });
    for (const callers of callerCounts) {
      const before = cpu();
      const startedMs = performance.now();
      const load = { callers, durationMs: loadMs, maxTokens, promptLength: 40 };
      const result = await runLoad(fleet, model, { ...load, organisation: 'coop', entries: [0] });
      const elapsedMs = performance.now() - startedMs;
      const after = cpu();
      points.push({
        callers,
        tokensPerSecond: result.tokensPerSecond,
        callsPerSecond: result.callsPerSecond,
        entryCpuPercent: round(((after.entry - before.entry) / elapsedMs) * 100),
        entryMiB: round(readUsage(entry).residentMiB, 1),
        agentCpuPercent: round(((after.agents - before.agents) / elapsedMs) * 100),
        agentMiB: round(Math.max(...agents.map((pid) => readUsage(pid).residentMiB)), 1),
      });
    }
    return points;
  } finally {
    await fleet.close();
  }
}

interface IdleProcess {
  readonly residentMiB: number;
  readonly cpuPercent: number;
}

/**
 * Measures an idle entry and agent of a small fleet, and the rates of the fleet's platform calls.
 */
async function measureIdle() {
  const fleet = new Fleet({ ...fastSpec(6), entries: 3 });
  try {
    await fleet.start();
    await sleep(settleMs);
    const pids = {
      entry: fleet.entries[1].process.pid,
      agent: fleet.getEndpoint('engine-1').agent.pid,
    };
    const calls = await fleet.getPlatformCounts();
    const before = { entry: readUsage(pids.entry), agent: readUsage(pids.agent) };
    await sleep(idleMs);
    const after = { entry: readUsage(pids.entry), agent: readUsage(pids.agent) };
    const callsAfter = await fleet.getPlatformCounts();
    const idle = (kind: 'entry' | 'agent'): IdleProcess => ({
      residentMiB: round(after[kind].residentMiB, 1),
      cpuPercent: round(((after[kind].cpuMs - before[kind].cpuMs) / idleMs) * 100),
    });
    const rate = (kind: keyof typeof calls) =>
      round(((callsAfter[kind] - calls[kind]) / idleMs) * 1_000);
    return {
      entry: idle('entry'),
      agent: idle('agent'),
      platform: { reads: rate('reads'), writes: rate('writes'), watches: rate('watches') },
    };
  } finally {
    await fleet.close();
  }
}

/** Fits a line through the points and rounds its slope and intercept. */
function fitRoundedLine<T>(
  points: readonly T[],
  x: (point: T) => number,
  y: (point: T) => number,
): Line {
  const line = fitLine(points.map((point) => [x(point), y(point)] as const));
  return { slope: round(line.slope, 5), intercept: round(line.intercept, 3) };
}

/**
 * Measures how the costs of entries and agents grow with links, tokens and calls. Writes the slopes
 * to `results/slopes.json`, from which the capacity page is generated.
 *
 * @returns True if all fake agents of the largest size were linked.
 */
export async function runSlopesBench(): Promise<boolean> {
  const idle = await measureIdle();
  const links = await measureLinks();
  const longAnswers = await measureTokens(64);
  const shortAnswers = await measureTokens(2);
  const result = {
    idle,
    links,
    long: longAnswers,
    short: shortAnswers,
    slopes: {
      entryCpuPercentPerLink: fitRoundedLine(
        links,
        (point) => point.links,
        (point) => point.cpuPercent,
      ),
      entryMiBPerLink: fitRoundedLine(
        links,
        (point) => point.links,
        (point) => point.residentMiB,
      ),
      bytesPerSecondPerLink: fitRoundedLine(
        links,
        (point) => point.links,
        (point) => point.bytesPerSecond,
      ),
      entryCpuPercentPerToken: fitRoundedLine(
        longAnswers,
        (point) => point.tokensPerSecond,
        (point) => point.entryCpuPercent,
      ),
      agentsCpuPercentPerToken: fitRoundedLine(
        longAnswers,
        (point) => point.tokensPerSecond,
        (point) => point.agentCpuPercent,
      ),
      entryCpuPercentPerCall: fitRoundedLine(
        shortAnswers,
        (point) => point.callsPerSecond,
        (point) => point.entryCpuPercent,
      ),
    },
  };
  mkdirSync('results', { recursive: true });
  writeFileSync('results/slopes.json', `${JSON.stringify(result, undefined, 2)}\n`);
  process.stdout.write(`${JSON.stringify(result)}\n`);
  return links[links.length - 1].links === linkCounts[linkCounts.length - 1];
}
