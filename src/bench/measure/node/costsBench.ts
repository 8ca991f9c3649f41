import { sleep } from '../../../base/node/systemClock.js';
import type { CostLine } from '../../../entry/costs/common/costReport.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { HistoryKind } from '../../../standin/common/historyEvent.js';
import { Fleet, type FleetSpec } from '../../node/fleet.js';
import { round } from '../common/statistics.js';
import { runLoad } from './load.js';

const model = { name: 'casa-12', layers: 12, layerMiB: 512, replicas: 2 };

/** Interval at which entries and agents write their usage, in milliseconds. */
const usageFlushMs = 1_000;

/** Duration of each of the three phases, in milliseconds. */
const phaseMs = 4_000;

const rulesOf = (micros: number) =>
  [
    'share organisation=coop weight=60 # asked by Cooperativa Iblei',
    'share organisation=index weight=40 # asked by Qaumi Makan',
    `price accelerator=medium micros=${micros} # asked by Qaumi Makan`,
  ].join('\n');

const spec: FleetSpec = {
  entries: 2,
  engines: Array.from({ length: 7 }, (_unused, index) => ({
    name: `engine-${index + 1}`,
    dataCentre: 'ragusa',
    accelerator: AcceleratorKind.Medium,
    memoryMiB: 2_600,
    layerMicros: 500,
    capacity: 32,
  })),
  services: [],
  models: [model],
  organisations: ['coop', 'index'],
  rules: rulesOf(1_000),
  seed: 1,
  entrySettings: { usageFlushMs },
  agentSettings: { usageFlushMs },
};

/** Returns the number of layer-tokens that the engines recorded in their history. */
function countEngineLayerTokens(fleet: Fleet): number {
  return fleet
    .readHistory()
    .filter((event) => event.kind === HistoryKind.LayersRun)
    .reduce((sum, { from = 0, to = 0, positions = 0 }) => sum + (to - from) * positions, 0);
}

function sumOf(lines: readonly CostLine[], amount: (line: CostLine) => number): number {
  return lines.reduce((total, line) => total + amount(line), 0);
}

/**
 * Compares the recorded usage with the engines' own count while an agent and an entry are killed
 * and a price is changed.
 *
 * @returns True if no usage was counted twice and the lost usage is within its upper bound.
 */
export async function runCostsBench(): Promise<boolean> {
  const fleet = new Fleet(spec);
  try {
    await fleet.start();
    const load = { callers: 6, durationMs: 3 * phaseMs, maxTokens: 24, promptLength: 60 };
    const runningLoads = ['coop', 'index'].map((organisation) =>
      runLoad(fleet, model, { ...load, organisation, entries: [0, 1] }),
    );
    await sleep(phaseMs);
    const killedName =
      fleet.readHistory().find((event) => event.from === 0)?.endpoint ?? 'engine-1';
    const countedBeforeLoss = countEngineLayerTokens(fleet);
    fleet.getEndpoint(killedName).agent.signal('SIGKILL');
    await fleet.restartAgent(killedName);
    await sleep(phaseMs / 2);
    await fleet.applyRules(0, rulesOf(2_000), 1, 'partners');
    await sleep(phaseMs / 2);
    fleet.entries[1].process.signal('SIGKILL');
    await fleet.restartEntry(1);
    await Promise.all(runningLoads);
    await sleep(2 * usageFlushMs);
    const engineLayerTokens = countEngineLayerTokens(fleet);
    const { lines } = await fleet.getAdmin<{ lines: readonly CostLine[] }>(0, 'costs');
    const agentLayerTokens = sumOf(lines, (line) => line.agents.layerTokens);
    // A killed agent loses the usage since its last write. It runs one third of the layers, so the
    // work of all agents within one write interval is an upper bound.
    const tokensPerSecond = countedBeforeLoss / (phaseMs / 1_000);
    const maxLoss = (tokensPerSecond * usageFlushMs) / 1_000;
    const summary = {
      enginesLayerTokens: engineLayerTokens,
      agentsLayerTokens: agentLayerTokens,
      entriesLayerTokens: sumOf(lines, (line) => line.entries.layerTokens),
      lost: engineLayerTokens - agentLayerTokens,
      statedLoss: Math.round(maxLoss),
      countedTwice: Math.max(0, agentLayerTokens - engineLayerTokens),
      lines: lines.map(({ organisation, revision, agents: agentUsage, entries }) => ({
        organisation,
        revision,
        agentMicrosPer1000: round((agentUsage.micros / agentUsage.layerTokens) * 1_000, 1),
        agentLayerTokens: agentUsage.layerTokens,
        entryLayerTokens: entries.layerTokens,
      })),
    };
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    return summary.countedTwice === 0 && summary.lost <= summary.statedLoss;
  } finally {
    await fleet.close();
  }
}
