import { cac } from 'cac';
import { toErrorMessage } from '../base/common/errors.js';
import { runFaults } from '../bench/faults/node/faultRun.js';
import { runRoutingBench } from '../bench/measure/node/routingBench.js';
import { compareDetectors, formatComparison } from '../bench/measure/common/ejectionComparison.js';
import { runCostsBench } from '../bench/measure/node/costsBench.js';
import { runRecoveryBench } from '../bench/measure/node/recoveryBench.js';
import { runScaleBench } from '../bench/measure/node/scaleBench.js';
import { runSharesBench } from '../bench/measure/node/sharesBench.js';
import { runSlopesBench } from '../bench/measure/node/slopesBench.js';
import { runDemo } from '../bench/node/demo.js';

const cli = cac('ibisspar-bench');

function report(run: Promise<boolean>): void {
  run.then(
    (held) => process.exit(held ? 0 : 1),
    (err: unknown) => {
      process.stderr.write(`${err instanceof Error ? err.stack : toErrorMessage(err)}\n`);
      process.exit(1);
    },
  );
}

cli
  .command('demo', 'The whole path on stand-ins, with a killed stage and a rule change')
  .option('--serve', 'Leave the system up and print curl lines')
  .action((options: { serve?: boolean }) => report(runDemo(options.serve ?? false)));

cli
  .command('faults', 'Checks the promises while faults happen')
  .option('--seed <seed>', 'Seed of workload and faults', { default: 1 })
  .option('--minutes <minutes>', 'Least time', { default: 1 })
  .action(({ seed, minutes }: { seed: number; minutes: number }) => {
    report(runFaults(seed, minutes));
  });

cli
  .command('routing', 'Compares routing policies, and the path with direct calls')
  .action(() => report(runRoutingBench()));

cli
  .command('slopes', 'Measures how costs grow, for docs/CAPACITY.md')
  .action(() => report(runSlopesBench()));

cli
  .command('shares', 'Measures throughput and shares against the bound')
  .action(() => report(runSharesBench()));

cli
  .command('recovery', 'Measures how long answers stall after failures')
  .action(() => report(runRecoveryBench()));

cli
  .command('ejection', 'Compares detectors of failing endpoints on seeded traces')
  .option('--seed <seed>', 'Seed of the traces', { default: 1 })
  .action(({ seed }: { seed: number }) => {
    const results = compareDetectors(seed);
    process.stdout.write(`${formatComparison(results)}\n${JSON.stringify(results)}\n`);
  });

cli
  .command('scale', 'Measures decisions at the size expected in two years')
  .action(() => report(Promise.resolve(runScaleBench())));

cli
  .command('costs', 'Compares the cost record with the count of the engines')
  .action(() => report(runCostsBench()));

cli.help();
cli.parse();
