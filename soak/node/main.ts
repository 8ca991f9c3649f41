import { cac } from 'cac';
import { toErrorMessage } from '../../src/base/common/errors.js';
import { runSoak } from './soakRun.js';

/** Violations of a promise that are printed for one run. */
const printedViolations = 3;

interface Options {
  readonly seed: number;
  readonly seeds: number;
  readonly minutes: number;
  readonly gateways: number;
  readonly callers: number;
}

async function runSeeds({ seed, seeds, minutes, gateways, callers }: Options): Promise<boolean> {
  let failed = 0;
  for (let next = seed; next < seed + seeds; next += 1) {
    const printed = new Map<string, number>();
    const options = { seed: next, seconds: minutes * 60, gateways, callers };
    const report = await runSoak(options, (promise, seen) => {
      const count = (printed.get(promise) ?? 0) + 1;
      printed.set(promise, count);
      if (count <= printedViolations) {
        process.stdout.write(`VIOLATION seed=${next} ${promise}: ${seen}\n`);
      }
    });
    const { violations, directory, ...figures } = report;
    const broken = Object.entries(violations).flatMap(([promise, { length }]) =>
      length > 0 ? [`${promise}=${length}`] : [],
    );
    failed += broken.length > 0 ? 1 : 0;
    const logs = broken.length > 0 ? { broken, logs: directory } : { broken };
    process.stdout.write(`${JSON.stringify({ ...figures, ...logs })}\n`);
  }
  process.stdout.write(`${seeds - failed} of ${seeds} seeds held\n`);
  return failed === 0;
}

const cli = cac('ibisspar-soak');
cli
  .command('', 'Runs gateways under overlapping faults and checks the promises')
  .option('--seed <seed>', 'First seed', { default: 1 })
  .option('--seeds <count>', 'Seeds to run, one after the other', { default: 1 })
  .option('--minutes <minutes>', 'Time within which faults begin', { default: 0.5 })
  .option('--gateways <count>', 'Gateways, each a process', { default: 3 })
  .option('--callers <count>', 'Callers of each gateway', { default: 6 })
  .action((options: Options) => {
    runSeeds(options).then(
      (held) => process.exit(held ? 0 : 1),
      (err: unknown) => {
        process.stderr.write(`${toErrorMessage(err)}\n`);
        process.exit(1);
      },
    );
  });
cli.help();
cli.parse();
