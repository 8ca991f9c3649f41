import { cac } from 'cac';
import { AdminClient } from '../admin/node/adminClient.js';
import { AdminCommands } from '../admin/node/adminCommands.js';

const cli = cac('ibisspar-admin');

cli.option('--url <url>', 'URL of any entry', { default: 'http://127.0.0.1:8080' });

/** The key comes from the environment, so that it shows in no process list. */
const keyVariable = 'IBISSPAR_ADMIN_KEY';

interface CommonOptions {
  readonly url: string;
}

function run(options: CommonOptions, command: (commands: AdminCommands) => Promise<number>): void {
  const client = new AdminClient(options.url, process.env[keyVariable] ?? '');
  const print = (line: string) => process.stdout.write(`${line}\n`);
  command(new AdminCommands(client, print)).then(
    (status) => {
      process.exitCode = status;
    },
    (err: unknown) => {
      print(String(err));
      process.exitCode = 1;
    },
  );
}

cli
  .command('status', 'State of the entry')
  .action((options: CommonOptions) => run(options, (commands) => commands.status()));

cli
  .command('chains', 'Endpoints and the layers that they hold')
  .action((options: CommonOptions) => run(options, (commands) => commands.chains()));

cli
  .command('explain <request>', 'Why a request went where it did')
  .action((request: string, options: CommonOptions) =>
    run(options, (commands) => commands.explain(request)),
  );

cli
  .command('rules <action> [argument]', 'get | history | diff FILE | apply FILE | why ORGANISATION')
  .option('--base <revision>', 'Revision that the file was edited from')
  .option('--by <name>', 'Partner that asks for the change')
  .option('--model <name>', 'Model, for why')
  .option('--place <name>', 'Place, for why')
  .action(
    (
      action: string,
      argument: string | undefined,
      options: CommonOptions & { base?: number; by?: string; model?: string; place?: string },
    ) => run(options, (commands) => rules(commands, action, argument, options)),
  );

function rules(
  commands: AdminCommands,
  action: string,
  argument: string | undefined,
  options: { base?: number; by?: string; model?: string; place?: string },
): Promise<number> {
  const { base, by, model, place } = options;
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
    return commands.why(argument, model, place);
  }
  if (action === 'apply' && argument !== undefined && base !== undefined && by !== undefined) {
    return commands.applyRules(argument, base, String(by));
  }
  const usage = 'rules get | history | diff FILE | apply FILE --base REVISION --by NAME | why NAME';
  return Promise.reject(new Error(`usage: ${usage}`));
}

cli
  .command('costs', 'Cost record by organisation and revision')
  .option('--from <date>', 'Begin of the period')
  .option('--to <date>', 'End of the period')
  .option('--csv', 'Comma-separated values')
  .action((options: CommonOptions & { from?: string; to?: string; csv?: boolean }) =>
    run(options, (commands) => commands.costs(options.from, options.to, options.csv ?? false)),
  );

cli.help();
cli.parse();
