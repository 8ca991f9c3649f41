import { cac } from 'cac';
import { messageOf } from '../base/common/errors.js';
import { runFaults } from '../bench/faults/node/faultRun.js';
import { runRoutingBench } from '../bench/measure/node/routingBench.js';
import { runDemo } from '../bench/node/demo.js';

const cli = cac('ibisspar-bench');

function report(run: Promise<boolean>): void {
  run.then(
    (held) => process.exit(held ? 0 : 1),
    (err: unknown) => {
      process.stderr.write(`${err instanceof Error ? err.stack : messageOf(err)}\n`);
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

cli.help();
cli.parse();
