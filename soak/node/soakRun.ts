import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { checkGuarantees, isRecoveryObserved, maxRecoveryMs } from '../common/checkers.js';
import { countServedBesideFaultyAnswers, type ServedCounts } from '../common/bystanderCheckers.js';
import { planFaults } from '../common/faultPlan.js';
import { CallOutcome, type FaultKind, type SoakHistory } from '../common/records.js';
import { countCuts, type CutCounts } from '../common/wholeRequestCheckers.js';
import { Callers } from './callers.js';
import { FaultInjector } from './faultInjector.js';
import { sleep, SoakFleet } from './soakFleet.js';
import { StandstillMonitor } from './standstillMonitor.js';

/** Interval between two checks of the guarantees while faults are injected, in milliseconds. */
const checkIntervalMs = 2_000;

/** Time after the recovery during which calls count for the recovery check, in milliseconds. */
const recoveryObservationMs = 3_000;

/**
 * Maximum time beyond it until each gateway was asked for every kind of request, in milliseconds. Few callers
 * can be busy with long streams.
 */
const maxExtraObservationMs = 20_000;

/** Interval between two looks at the calls after the recovery, in milliseconds. */
const observationIntervalMs = 500;

/** Time for gateways to start and to read the store before callers start, in milliseconds. */
const warmUpMs = 1_500;

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  /** Time within which faults start, in seconds. */
  readonly seconds: number;
  /** Number of gateway processes. */
  readonly gateways: number;
  /** Number of callers of each gateway. */
  readonly callers: number;
  /** Kinds of faults to choose from; all if undefined. */
  readonly kinds?: readonly FaultKind[];
}

/** Summary of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly calls: number;
  /** Number of calls with the complete answer to their own request. */
  readonly whole: number;
  readonly runs: number;
  readonly faults: number;
  /** Undisturbed calls, and cuts among them, by the planned work beside which they ended. */
  readonly undisturbed: Readonly<Record<string, CutCounts>>;
  /** Number of faulty answers that endpoints wrote, and calls to other services beside them. */
  readonly faultyAnswers: number;
  readonly besideFaultyAnswers: ServedCounts;
  /** Highest resident memory of a gateway after crowds or faulty answers, and before a restart, in megabytes. */
  readonly peakMemoryMb: number;
  /** Number of spans in which the harness stood still, and the longest of them in milliseconds. */
  readonly standstills: number;
  readonly longestStandstillMs: number;
  readonly violations: Readonly<Record<string, readonly string[]>>;
  /** Directory with the logs and, if a guarantee was violated, `history.json`. */
  readonly directory: string;
}

/**
 * Runs gateway processes under series of faults and checks the guarantees of the system.
 *
 * @param options - Seed, duration and size of the run.
 * @param onViolation - Called once for each violation as soon as a check finds it, with the name of
 *   the guarantee and a description.
 * @returns The summary with all violations.
 */
export async function runSoak(
  options: SoakOptions,
  onViolation: (guarantee: string, violation: string) => void = () => undefined,
): Promise<SoakReport> {
  const fleet = new SoakFleet();
  const callers = new Callers(fleet, options.seed);
  const injector = new FaultInjector(fleet, callers);
  const monitor = new StandstillMonitor();
  const reported = new Set<string>();
  let faultsEndedAtMs: number | undefined;
  const history = (): SoakHistory => ({
    calls: callers.calls,
    runs: fleet.runs(),
    arrivals: fleet.arrivals(),
    orders: fleet.orders(),
    crashes: fleet.crashes,
    keys: fleet.keys,
    faults: injector.faults,
    crowds: injector.crowds,
    incidents: fleet.incidents,
    standstills: monitor.standstills,
    calmFromMs: faultsEndedAtMs,
  });
  const reportNewViolations = () => {
    for (const [guarantee, violations] of Object.entries(checkGuarantees(history()))) {
      violations
        .filter((violation) => !reported.has(`${guarantee} ${violation}`))
        .forEach((violation) => {
          reported.add(`${guarantee} ${violation}`);
          onViolation(guarantee, violation);
        });
    }
  };
  try {
    await fleet.start(options.gateways);
    await sleep(warmUpMs);
    const callersDone = callers.run(options.callers);
    const timer = setInterval(reportNewViolations, checkIntervalMs);
    await injectFaults(injector, options);
    faultsEndedAtMs = Date.now();
    clearInterval(timer);
    await sleep(maxRecoveryMs + recoveryObservationMs);
    const observedUntilMs = Date.now() + maxExtraObservationMs;
    while (!isRecoveryObserved(history()) && Date.now() < observedUntilMs) {
      await sleep(observationIntervalMs);
    }
    callers.stop();
    await callersDone;
    reportNewViolations();
    const { calls, runs, faults, standstills } = history();
    const violations = checkGuarantees(history());
    if (Object.values(violations).some((list) => list.length > 0)) {
      writeFileSync(join(fleet.directory, 'history.json'), JSON.stringify(history()));
    }
    return {
      seed: options.seed,
      calls: calls.length,
      whole: calls.filter(({ outcome }) => outcome === CallOutcome.Complete).length,
      runs: runs.length,
      faults: faults.length,
      undisturbed: countCuts(history()),
      faultyAnswers: fleet.countFaultyAnswers(),
      besideFaultyAnswers: countServedBesideFaultyAnswers(history()),
      peakMemoryMb: Math.round(fleet.peakMemoryMb),
      standstills: standstills.length,
      longestStandstillMs: Math.max(0, ...standstills.map(({ startMs, endMs }) => endMs - startMs)),
      violations,
      directory: fleet.directory,
    };
  } finally {
    monitor.close();
    await fleet.close();
  }
}

/** Injects the planned faults at their times and waits until all of them have ended. */
async function injectFaults(injector: FaultInjector, options: SoakOptions): Promise<void> {
  const startMs = Date.now();
  const pending: Promise<void>[] = [];
  for (const fault of planFaults(options.seed, options.seconds * 1_000, options.kinds)) {
    await sleep(startMs + fault.startOffsetMs - Date.now());
    pending.push(injector.inject(fault));
  }
  await Promise.all(pending);
}
