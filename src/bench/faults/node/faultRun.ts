import { appendFileSync } from 'node:fs';
import { join } from 'node:path';
import { SeededRandom } from '../../../base/common/random.js';
import { sleep } from '../../../base/node/systemClock.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { Fleet, type EngineSpec, type FleetSpec } from '../../node/fleet.js';
import { demoRules } from '../../node/demo.js';
import { checkPromises } from '../common/checkers.js';
import { CallEnd, CallKind, FaultKind, type FaultHistory } from '../common/records.js';
import { FaultDriver } from './faultDriver.js';
import { Operators } from './operators.js';
import { Workload } from './workload.js';

const model = { name: 'casa-12', layers: 12, layerMiB: 512, replicas: 4 };

const places = ['ragusa', 'siracusa', 'catania'];

const workers = 24;

/** Pause between rounds, in milliseconds. */
const pauseMs = 300;

function engine(index: number): EngineSpec {
  return {
    name: `engine-${index + 1}`,
    place: places[index % places.length],
    accelerator: Object.values(AcceleratorKind)[index % 5],
    memoryMiB: 3_200,
    layerMicros: 300 + 100 * (index % 5),
    capacity: 16,
    ignoreTerm: index % 2 === 0,
  };
}

function specOf(seed: number): FleetSpec {
  return {
    entries: 3,
    engines: Array.from({ length: 10 }, (_unused, index) => engine(index)),
    services: ['booking-1', 'booking-2', 'booking-3'].map((name, index) => ({
      name,
      place: places[index],
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

/** Every kind of fault once, in an order that the seed decides; every third round has two. */
function rounds(random: SeededRandom): readonly (readonly FaultKind[])[] {
  const kinds = Object.values(FaultKind);
  const order = kinds
    .map((kind) => ({ kind, at: random.float() }))
    .sort((a, b) => a.at - b.at)
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

function report(seed: number, minutes: number, history: FaultHistory, fleet: Fleet): boolean {
  const results = checkPromises(history, fleet.history(), model.layers);
  const replay = `npm run faults -- --seed ${seed} --minutes ${minutes}`;
  for (const [promise, { violations }] of Object.entries(results)) {
    violations.slice(0, 5).forEach((violation) => {
      process.stdout.write(`VIOLATION ${promise}: ${violation}\n  replay: ${replay}\n`);
    });
  }
  const promises = Object.fromEntries(
    Object.entries(results).map(([promise, { runs, violations, undecided }]) => [
      promise,
      { runs, violations: violations.length, undecided },
    ]),
  );
  const lookups = history.calls.filter(
    ({ kind, end }) =>
      (kind === CallKind.Chat || kind === CallKind.Lookup) && end !== CallEnd.Whole,
  );
  const summary = {
    seed,
    calls: countBy(history.calls, ({ kind, end }) => `${kind}:${end}`),
    lookupsNotAnswered: countBy(lookups, ({ status, detail }) => `${status} ${detail}`),
    promises,
    faults: countBy(history.faults, ({ kind }) => kind),
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  return Object.values(results).every(
    ({ runs, violations }) => runs > 0 && violations.length === 0,
  );
}

function saveHistory(fleet: Fleet, history: FaultHistory): void {
  const path = join(fleet.group.directory, 'calls.jsonl');
  [...history.calls, ...history.faults, ...history.changes].forEach((record) => {
    appendFileSync(path, `${JSON.stringify(record)}\n`);
  });
}

/**
 * Runs a workload over separate processes while faults happen, and checks the promises.
 *
 * @param seed - Decides workload, faults and their order.
 * @param minutes - Least time; every kind of fault is brought about at least once.
 * @returns True if every promise was checked and none was broken.
 */
export async function runFaults(seed: number, minutes: number): Promise<boolean> {
  const fleet = new Fleet(specOf(seed));
  const random = new SeededRandom(seed);
  try {
    await fleet.start();
    const workload = new Workload(fleet, model, seed);
    const operators = new Operators(fleet, demoRules);
    const driver = new FaultDriver(fleet, operators, workload, random);
    const working = workload.run(workers);
    const sampling = operators.sample();
    const untilMs = Date.now() + minutes * 60_000;
    do {
      for (const kinds of rounds(random)) {
        process.stdout.write(`faults: ${kinds.join(' and ')}\n`);
        await Promise.all(kinds.map((kind) => driver.cause(kind)));
        await sleep(pauseMs);
      }
    } while (Date.now() < untilMs);
    workload.stop();
    await working;
    operators.stop();
    await sampling;
    const { changes, samples } = operators;
    const { faults, badExits } = driver;
    const storedChanges = await fleet.storedChanges();
    const { calls } = workload;
    const history = { calls, faults, changes, samples, storedChanges, badExits };
    saveHistory(fleet, history);
    return report(seed, minutes, history, fleet);
  } finally {
    await fleet.close();
  }
}
