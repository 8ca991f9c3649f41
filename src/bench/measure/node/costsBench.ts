import { sleep } from '../../../base/node/systemClock.js';
import type { CostLine } from '../../../entry/costs/common/costReport.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { HistoryKind } from '../../../standin/common/historyEvent.js';
import { Fleet, type FleetSpec } from '../../node/fleet.js';
import { round } from '../common/statistics.js';
import { runLoad } from './load.js';

const model = { name: 'casa-12', layers: 12, layerMiB: 512, replicas: 2 };

const usageFlushMs = 1_000;

const phaseMs = 4_000;

const rules = (micros: number) =>
  [
    'share organisation=coop weight=60 # asked by Cooperativa Iblei',
    'share organisation=index weight=40 # asked by Qaumi Makan',
    `price accelerator=medium micros=${micros} # asked by Qaumi Makan`,
  ].join('\n');

const spec: FleetSpec = {
  entries: 2,
  engines: Array.from({ length: 7 }, (_unused, index) => ({
    name: `engine-${index + 1}`,
    place: 'ragusa',
    accelerator: AcceleratorKind.Medium,
    memoryMiB: 2_600,
    layerMicros: 500,
    capacity: 32,
  })),
  services: [],
  models: [model],
  organisations: ['coop', 'index'],
  rules: rules(1_000),
  seed: 1,
  entrySettings: { usageFlushMs },
  agentSettings: { usageFlushMs },
};

/** Layer-tokens that the engines ran, by their own history. */
function countedByEngines(fleet: Fleet): number {
  return fleet
    .history()
    .filter((event) => event.kind === HistoryKind.LayersRun)
    .reduce((sum, { from = 0, to = 0, positions = 0 }) => sum + (to - from) * positions, 0);
}

function sumOf(lines: readonly CostLine[], amount: (line: CostLine) => number): number {
  return lines.reduce((total, line) => total + amount(line), 0);
}

/**
 * Compares the cost record with the engines' own count while an agent and an entry are killed and
 * a price changes.
 *
 * @returns True if nothing was counted twice and the loss is within the stated bound.
 */
export async function runCostsBench(): Promise<boolean> {
  const fleet = new Fleet(spec);
  try {
    await fleet.start();
    const load = { callers: 6, durationMs: 3 * phaseMs, maxTokens: 24, promptLength: 60 };
    const loads = ['coop', 'index'].map((organisation) =>
      runLoad(fleet, model, { ...load, organisation, entries: [0, 1] }),
    );
    await sleep(phaseMs);
    const victim = fleet.history().find((event) => event.from === 0)?.endpoint ?? 'engine-1';
    const beforeLoss = countedByEngines(fleet);
    fleet.endpoint(victim).agent.signal('SIGKILL');
    await fleet.restartAgent(victim);
    await sleep(phaseMs / 2);
    await fleet.applyRules(0, rules(2_000), 1, 'partners');
    await sleep(phaseMs / 2);
    fleet.entries[1].process.signal('SIGKILL');
    await fleet.restartEntry(1);
    await Promise.all(loads);
    await sleep(2 * usageFlushMs);
    const engines = countedByEngines(fleet);
    const { lines } = await fleet.admin<{ lines: readonly CostLine[] }>(0, 'costs');
    const agents = sumOf(lines, (line) => line.agents.layerTokens);
    // One agent runs a third of the layers; at a death it loses the work since its last write.
    const rate = beforeLoss / (phaseMs / 1_000);
    const statedLoss = (rate * usageFlushMs) / 1_000;
    const summary = {
      enginesLayerTokens: engines,
      agentsLayerTokens: agents,
      entriesLayerTokens: sumOf(lines, (line) => line.entries.layerTokens),
      lost: engines - agents,
      statedLoss: Math.round(statedLoss),
      countedTwice: Math.max(0, agents - engines),
      lines: lines.map(({ organisation, revision, agents: counted, entries }) => ({
        organisation,
        revision,
        agentMicrosPer1000: round((counted.micros / counted.layerTokens) * 1_000, 1),
        agentLayerTokens: counted.layerTokens,
        entryLayerTokens: entries.layerTokens,
      })),
    };
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    return summary.countedTwice === 0 && summary.lost <= summary.statedLoss;
  } finally {
    await fleet.close();
  }
}
