import { appendFileSync } from 'node:fs';
import { join } from 'node:path';
import { SeededRandom } from '../../../base/common/random.js';
import { sleep } from '../../../base/node/systemClock.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { Fleet, type EngineSpec, type FleetSpec } from '../../node/fleet.js';
import { demoRules } from '../../node/demo.js';
import { checkGuarantees } from '../common/checkers.js';
import { CallEnd, CallKind, FaultKind, type FaultHistory } from '../common/records.js';
import { FaultDriver } from './faultDriver.js';
import { Operators } from './operators.js';
import { Workload } from './workload.js';

const model = { name: 'casa-12', layers: 12, layerMiB: 512, replicas: 4 };

const dataCentres = ['ragusa', 'siracusa', 'catania'];

const workerCount = 24;

/** Pause between two rounds of faults, in milliseconds. */
const roundPauseMs = 300;

function engineSpecOf(index: number): EngineSpec {
  return {
    name: `engine-${index + 1}`,
    dataCentre: dataCentres[index % dataCentres.length],
    accelerator: Object.values(AcceleratorKind)[index % 5],
    memoryMiB: 3_200,
    layerMicros: 300 + 100 * (index % 5),
    capacity: 16,
    ignoreTerm: index % 2 === 0,
  };
}

function fleetSpecOf(seed: number): FleetSpec {
  return {
    entries: 3,
    engines: Array.from({ length: 10 }, (_unused, index) => engineSpecOf(index)),
    services: ['booking-1', 'booking-2', 'booking-3'].map((name, index) => ({
      name,
      dataCentre: dataCentres[index],
      service: 'booking',
      workMs: 15,
    })),
    models: [model],
    organisations: ['coop', 'index'],
    rules: demoRules,
    seed,
    linkDelayMs: 0,
  };
}

/** Plans one round for each kind of fault, in random order; every third has a second fault. */
function planRounds(random: SeededRandom): readonly (readonly FaultKind[])[] {
  const kinds = Object.values(FaultKind);
  const order = kinds
    .map((kind) => ({ kind, sortKey: random.float() }))
    .sort((a, b) => a.sortKey - b.sortKey)
    .map(({ kind }) => kind);
  return order.map((kind, index) => (index % 3 === 2 ? [kind, random.pick(kinds)] : [kind]));
}

function countBy<T>(items: readonly T[], keyOf: (item: T) => string): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const item of items) {
    counts[keyOf(item)] = (counts[keyOf(item)] ?? 0) + 1;
  }
  return counts;
}

/**
 * Prints violations and a summary; returns true if each guarantee was checked without violation.
 */
function printReport(seed: number, minutes: number, history: FaultHistory, fleet: Fleet): boolean {
  const results = checkGuarantees(history, fleet.readHistory(), model.layers);
  const replay = `npm run faults -- --seed ${seed} --minutes ${minutes}`;
  for (const [guarantee, { violations }] of Object.entries(results)) {
    violations.slice(0, 5).forEach((violation) => {
      process.stdout.write(`VIOLATION ${guarantee}: ${violation}\n  replay: ${replay}\n`);
    });
  }
  const guarantees = Object.fromEntries(
    Object.entries(results).map(([guarantee, { checkedCases: runs, violations, undecided }]) => [
      guarantee,
      { runs, violations: violations.length, undecided },
    ]),
  );
  const failedLookups = history.calls.filter(
    ({ kind, end }) =>
      (kind === CallKind.Chat || kind === CallKind.Lookup) && end !== CallEnd.Complete,
  );
  const summary = {
    seed,
    calls: countBy(history.calls, ({ kind, end }) => `${kind}:${end}`),
    lookupsNotAnswered: countBy(failedLookups, ({ status, detail }) => `${status} ${detail}`),
    promises: guarantees,
    faults: countBy(history.faults, ({ kind }) => kind),
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  return Object.values(results).every(
    ({ checkedCases, violations }) => checkedCases > 0 && violations.length === 0,
  );
}

function saveHistory(fleet: Fleet, history: FaultHistory): void {
  const path = join(fleet.group.directory, 'calls.jsonl');
  [...history.calls, ...history.faults, ...history.changes].forEach((record) => {
    appendFileSync(path, `${JSON.stringify(record)}\n`);
  });
}

/**
 * Runs a workload on separate processes while faults are injected, and checks the guarantees.
 *
 * @param seed - Seed of the workload, the faults and their order.
 * @param minutes - Minimum duration; each kind of fault is injected at least once.
 * @returns True if each guarantee was checked and no violation was found.
 */
export async function runFaults(seed: number, minutes: number): Promise<boolean> {
  const fleet = new Fleet(fleetSpecOf(seed));
  const random = new SeededRandom(seed);
  try {
    await fleet.start();
    const workload = new Workload(fleet, model, seed);
    const operators = new Operators(fleet, demoRules);
    const driver = new FaultDriver(fleet, operators, workload, random);
    const runningWorkload = workload.run(workerCount);
    const runningSampling = operators.sampleRevisions();
    const untilMs = Date.now() + minutes * 60_000;
    do {
      for (const kinds of planRounds(random)) {
        process.stdout.write(`faults: ${kinds.join(' and ')}\n`);
        await Promise.all(kinds.map((kind) => driver.inject(kind)));
        await sleep(roundPauseMs);
      }
    } while (Date.now() < untilMs);
    workload.stop();
    await runningWorkload;
    operators.stop();
    await runningSampling;
    const { changes, samples } = operators;
    const { faults, badExits } = driver;
    const storedChanges = await fleet.readStoredChanges();
    const { calls } = workload;
    const history = { calls, faults, changes, samples, storedChanges, badExits };
    saveHistory(fleet, history);
    return printReport(seed, minutes, history, fleet);
  } finally {
    await fleet.close();
  }
}
