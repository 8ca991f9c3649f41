import { cac } from 'cac';
import { AdminClient } from '../admin/node/adminClient.js';
import { AdminCommands } from '../admin/node/adminCommands.js';
import { SystemClock } from '../base/node/systemClock.js';

const cli = cac('ibisspar-admin');

cli.option('--url <url>', 'URL of any entry', { default: 'http://127.0.0.1:8080' });

/** Environment variable with the admin key; an argument would be visible in process lists. */
const adminKeyVariable = 'IBISSPAR_ADMIN_KEY';

interface CommonOptions {
  readonly url: string;
}

async function runCommand(
  options: CommonOptions,
  command: (commands: AdminCommands) => Promise<number>,
): Promise<void> {
  const print = (line: string) => process.stdout.write(`${line}\n`);
  let client: AdminClient | undefined;
  try {
    const key = process.env[adminKeyVariable] ?? '';
    client = new AdminClient(options.url, key, new SystemClock());
    process.exitCode = await command(new AdminCommands(client, print));
  } catch (err) {
    print(String(err));
    process.exitCode = 1;
  }
  await client?.close();
}

cli
  .command('status', 'Shows the state of the entry')
  .action((options: CommonOptions) => runCommand(options, (commands) => commands.status()));

cli
  .command('chains', 'Lists the endpoints and the layers that they have loaded')
  .action((options: CommonOptions) => runCommand(options, (commands) => commands.printEndpoints()));

cli
  .command('explain <request>', 'Shows the logged decisions about a request')
  .action((request: string, options: CommonOptions) =>
    runCommand(options, (commands) => commands.explain(request)),
  );

cli
  .command('rules <action> [argument]', 'get | history | diff FILE | apply FILE | why ORGANISATION')
  .option('--base <revision>', 'For apply: revision on which the edited file is based')
  .option('--by <name>', 'For apply: name recorded as the author of the change')
  .option('--model <name>', 'For why: name of the model')
  .option('--place <name>', 'For why: name of the data centre')
  .action(
    (
      action: string,
      argument: string | undefined,
      options: CommonOptions & { base?: number; by?: string; model?: string; place?: string },
    ) => runCommand(options, (commands) => runRulesAction(commands, action, argument, options)),
  );

function runRulesAction(
  commands: AdminCommands,
  action: string,
  argument: string | undefined,
  options: { base?: number; by?: string; model?: string; place?: string },
): Promise<number> {
  const { base, by, model, place: dataCentre } = options;
  if (action === 'get') {
    return commands.getRules();
  }
  if (action === 'history') {
    return commands.history();
  }
  if (action === 'diff' && argument !== undefined) {
    return commands.diffRules(argument);
  }
  if (action === 'why' && argument !== undefined) {
    return commands.why(argument, model, dataCentre);
  }
  if (action === 'apply' && argument !== undefined && base !== undefined && by !== undefined) {
    return commands.applyRules(argument, base, String(by));
  }
  const usage = 'rules get | history | diff FILE | apply FILE --base REVISION --by NAME | why NAME';
  return Promise.reject(new Error(`usage: ${usage}`));
}

cli
  .command('costs', 'Shows the costs for each organisation and rule revision')
  .option('--from <date>', 'Start of the period')
  .option('--to <date>', 'End of the period')
  .option('--csv', 'Print comma-separated values')
  .action((options: CommonOptions & { from?: string; to?: string; csv?: boolean }) =>
    runCommand(options, (commands) =>
      commands.costs(options.from, options.to, options.csv ?? false),
    ),
  );

cli.help();
cli.parse();
