import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { checkPromises, recoverMs } from '../common/checkers.js';
import { planFaults } from '../common/faultPlan.js';
import { CallOutcome, type SoakHistory } from '../common/records.js';
import { Callers } from './callers.js';
import { FaultInjector } from './faultInjector.js';
import { sleep, SoakFleet } from './soakFleet.js';

/** Pause between two checks of the promises while faults happen, in milliseconds. */
const checkMs = 2_000;

/** Time after the recovery during which requests are judged, in milliseconds. */
const judgedMs = 3_000;

/** Time that gateways have to start and to read the store, in milliseconds. */
const warmUpMs = 1_500;

/** What a run is made of. */
export interface SoakOptions {
  readonly seed: number;
  /** Time within which faults begin, in seconds. */
  readonly seconds: number;
  readonly gateways: number;
  /** Callers of each gateway. */
  readonly callers: number;
}

/** What a run showed. */
export interface SoakReport {
  readonly seed: number;
  readonly calls: number;
  readonly whole: number;
  readonly runs: number;
  readonly faults: number;
  readonly violations: Readonly<Record<string, readonly string[]>>;
  /** Directory with logs and, after a violation, the history. */
  readonly directory: string;
}

/**
 * Runs gateways as processes under series of faults and checks the promises.
 *
 * @param options - Seed and size.
 * @param onViolation - Called as soon as a check fails, with the promise and what was seen.
 * @returns The report.
 */
export async function runSoak(
  options: SoakOptions,
  onViolation: (promise: string, seen: string) => void = () => undefined,
): Promise<SoakReport> {
  const fleet = new SoakFleet();
  const callers = new Callers(fleet, options.seed);
  const injector = new FaultInjector(fleet);
  const told = new Set<string>();
  let calmFromMs: number | undefined;
  const history = (): SoakHistory => ({
    calls: callers.calls,
    runs: fleet.runs(),
    orders: fleet.orders(),
    keys: fleet.keys,
    faults: injector.faults,
    incidents: fleet.incidents,
    calmFromMs,
  });
  const check = () => {
    for (const [promise, violations] of Object.entries(checkPromises(history()))) {
      violations
        .filter((seen) => !told.has(`${promise} ${seen}`))
        .forEach((seen) => {
          told.add(`${promise} ${seen}`);
          onViolation(promise, seen);
        });
    }
  };
  try {
    await fleet.start(options.gateways);
    await sleep(warmUpMs);
    const calling = callers.run(options.callers);
    const timer = setInterval(check, checkMs);
    await causeAll(injector, options);
    calmFromMs = Date.now();
    clearInterval(timer);
    await sleep(recoverMs + judgedMs);
    callers.stop();
    await calling;
    check();
    const { calls, runs, faults } = history();
    const violations = checkPromises(history());
    if (Object.values(violations).some((each) => each.length > 0)) {
      writeFileSync(join(fleet.directory, 'history.json'), JSON.stringify(history()));
    }
    return {
      seed: options.seed,
      calls: calls.length,
      whole: calls.filter(({ outcome }) => outcome === CallOutcome.Whole).length,
      runs: runs.length,
      faults: faults.length,
      violations,
      directory: fleet.directory,
    };
  } finally {
    await fleet.close();
  }
}

/** Causes the planned faults at their times and waits for the end of the last. */
async function causeAll(injector: FaultInjector, options: SoakOptions): Promise<void> {
  const startMs = Date.now();
  const running: Promise<void>[] = [];
  for (const fault of planFaults(options.seed, options.seconds * 1_000)) {
    await sleep(startMs + fault.atMs - Date.now());
    running.push(injector.cause(fault));
  }
  await Promise.all(running);
}
