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

function exitAfter(run: Promise<boolean>): void {
  run.then(
    (hasPassed) => process.exit(hasPassed ? 0 : 1),
    (err: unknown) => {
      process.stderr.write(`${err instanceof Error ? err.stack : toErrorMessage(err)}\n`);
      process.exit(1);
    },
  );
}

cli
  .command('demo', 'Runs the whole system on simulated engines, kills a stage and changes a rule')
  .option('--serve', 'Keep the system running and print example curl commands')
  .action((options: { serve?: boolean }) => exitAfter(runDemo(options.serve ?? false)));

cli
  .command('faults', 'Injects faults and checks that the guarantees hold')
  .option('--seed <seed>', 'Seed of the workload and the faults', { default: 1 })
  .option(
    '--minutes <minutes>',
    'Minimum duration, in minutes; every kind of fault occurs at least once',
    { default: 1 },
  )
  .action(({ seed, minutes }: { seed: number; minutes: number }) => {
    exitAfter(runFaults(seed, minutes));
  });

cli
  .command(
    'routing',
    'Compares the routing policies, and the times between tokens with and without entry and agent',
  )
  .action(() => exitAfter(runRoutingBench()));

cli
  .command('slopes', 'Measures how the costs of entries and agents grow, for docs/CAPACITY.md')
  .action(() => exitAfter(runSlopesBench()));

cli
  .command('shares', 'Compares throughput and shares with their theoretical bound')
  .action(() => exitAfter(runSharesBench()));

cli
  .command('recovery', 'Measures how long answers stall after failures')
  .action(() => exitAfter(runRecoveryBench()));

cli
  .command('ejection', 'Compares failure detectors on seeded traces')
  .option('--seed <seed>', 'Seed of the traces', { default: 1 })
  .action(({ seed }: { seed: number }) => {
    const results = compareDetectors(seed);
    process.stdout.write(`${formatComparison(results)}\n${JSON.stringify(results)}\n`);
  });

cli
  .command('scale', 'Measures decision times at the system size expected in two years')
  .action(() => exitAfter(Promise.resolve(runScaleBench())));

cli
  .command('costs', 'Compares the cost report with the counts of the engines')
  .action(() => exitAfter(runCostsBench()));

cli.help();
cli.parse();
