import { cac } from 'cac';
import { toErrorMessage } from '../../src/base/common/errors.js';
import { FaultKind } from '../common/records.js';
import { runSoak } from './soakRun.js';

/** Maximum number of violations that a run prints for each guarantee. */
const maxPrintedViolations = 3;

interface Options {
  readonly seed: number;
  readonly seeds: number;
  readonly minutes: number;
  readonly gateways: number;
  readonly callers: number;
  /** Names of the kinds of faults to choose from, separated by commas. */
  readonly kinds?: string;
}

/** Returns the kinds of faults with the given names, or undefined if no names are given. */
function parseKinds(names: string | undefined): readonly FaultKind[] | undefined {
  const known: readonly string[] = Object.values(FaultKind);
  const chosen = names?.split(',');
  const unknown = chosen?.find((name) => !known.includes(name));
  if (unknown !== undefined) {
    throw new Error(`unknown kind of fault ${unknown}; the kinds are ${known.join(', ')}`);
  }
  return chosen as readonly FaultKind[] | undefined;
}

async function runSeeds(given: Options): Promise<boolean> {
  const { seed, seeds, minutes, gateways, callers } = given;
  const kinds = parseKinds(given.kinds);
  let failedSeeds = 0;
  for (let currentSeed = seed; currentSeed < seed + seeds; currentSeed += 1) {
    const printedCounts = new Map<string, number>();
    const options = { seed: currentSeed, seconds: minutes * 60, gateways, callers, kinds };
    const report = await runSoak(options, (guarantee, violation) => {
      const count = (printedCounts.get(guarantee) ?? 0) + 1;
      printedCounts.set(guarantee, count);
      if (count <= maxPrintedViolations) {
        process.stdout.write(`VIOLATION seed=${currentSeed} ${guarantee}: ${violation}\n`);
      }
    });
    const { violations, directory, ...figures } = report;
    const violated = Object.entries(violations).flatMap(([guarantee, { length }]) =>
      length > 0 ? [`${guarantee}=${length}`] : [],
    );
    failedSeeds += violated.length > 0 ? 1 : 0;
    const outcome =
      violated.length > 0 ? { broken: violated, logs: directory } : { broken: violated };
    process.stdout.write(`${JSON.stringify({ ...figures, ...outcome })}\n`);
  }
  process.stdout.write(`${seeds - failedSeeds} of ${seeds} seeds passed\n`);
  return failedSeeds === 0;
}

const cli = cac('ibisspar-soak');
cli
  .command('', 'Runs gateways under overlapping faults and checks the guarantees of the system')
  .option('--seed <seed>', 'First seed', { default: 1 })
  .option('--seeds <count>', 'Number of seeds to run, one after the other', { default: 1 })
  .option('--minutes <minutes>', 'Time within which faults start', { default: 0.5 })
  .option('--gateways <count>', 'Number of gateway processes', { default: 3 })
  .option('--callers <count>', 'Number of callers of each gateway', { default: 6 })
  .option('--kinds <names>', 'Kinds of faults to choose from, separated by commas; default: all')
  .action((options: Options) => {
    runSeeds(options).then(
      (hasPassed) => process.exit(hasPassed ? 0 : 1),
      (err: unknown) => {
        process.stderr.write(`${toErrorMessage(err)}\n`);
        process.exit(1);
      },
    );
  });
cli.help();
cli.parse();
