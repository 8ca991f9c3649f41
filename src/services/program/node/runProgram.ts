import { cac } from 'cac';
import type { Result } from 'ts-results-es';
import { toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { ConsolaLogger } from '../../../base/node/consolaLogger.js';
import { StatsdMetrics, type IMetrics, type StatsdTarget } from '../../../base/node/metrics.js';
import { SystemClock } from '../../../base/node/systemClock.js';
import { HttpObjectStore } from '../../objects/node/httpObjectStore.js';
import type { SettingsError } from '../../settings/common/settings.js';

/** Settings that every long-running program has. */
export interface CommonSettings {
  readonly instance: string;
  readonly linkPort: number;
  readonly logLevel: LogLevel;
  readonly statsd?: StatsdTarget;
  readonly platformUrl: string;
  readonly platformCallMs: number;
}

/** What a program is given by its main. */
export interface ProgramParts<S> {
  readonly settings: S;
  readonly clock: SystemClock;
  readonly logger: ILogger;
  readonly metrics: IMetrics;
  readonly store: HttpObjectStore;
}

/** A program that serves until it is told to stop. */
export interface IProgram {
  /** Starts to serve. */
  start(): Promise<void>;
  /** Takes no new work and finishes what runs. */
  drain(): Promise<void>;
  /** Releases everything. */
  close(): Promise<void>;
}

/** Exit status for faulty arguments or settings. */
const usageStatus = 2;

async function serve<S extends CommonSettings>(
  settings: S,
  create: (parts: ProgramParts<S>) => IProgram,
): Promise<void> {
  const { instance, logLevel, statsd, platformUrl, platformCallMs } = settings;
  const logger = new ConsolaLogger(logLevel, { instance });
  const metrics = new StatsdMetrics(statsd, { instance });
  const store = new HttpObjectStore(platformUrl, platformCallMs);
  const program = create({ settings, clock: new SystemClock(), logger, metrics, store });
  let stopping = false;
  const stop = async () => {
    if (stopping) {
      return;
    }
    stopping = true;
    await program.drain();
    await program.close();
    await store.close();
    await metrics.close();
    process.exit(0);
  };
  process.on('SIGTERM', () => void stop());
  process.on('SIGINT', () => void stop());
  process.on('unhandledRejection', (reason) => {
    logger.log(LogLevel.Error, 'unhandled-rejection', { reason: toErrorMessage(reason) });
  });
  await program.start();
}

/**
 * Runs a program: reads `--settings FILE`, checks it, serves until SIGTERM, drains and exits.
 *
 * @param name - Name of the program.
 * @param load - Reads and checks a settings file.
 * @param create - Makes the program from its parts.
 */
export function runProgram<S extends CommonSettings>(
  name: string,
  load: (path: string) => Result<S, SettingsError>,
  create: (parts: ProgramParts<S>) => IProgram,
): void {
  const cli = cac(name);
  cli.option('--settings <file>', 'YAML file with the settings');
  cli.option('--link-port <port>', 'Port for links, in place of the one in the settings');
  cli.option('--check', 'Check the settings and exit');
  cli.help();
  const { options } = cli.parse();
  if (options.help) {
    return;
  }
  if (typeof options.settings !== 'string') {
    process.stderr.write(`${name}: --settings FILE is required\n`);
    process.exitCode = usageStatus;
    return;
  }
  const loaded = load(options.settings);
  if (loaded.isErr()) {
    loaded.error.faults.forEach((fault) => process.stderr.write(`${name}: ${fault}\n`));
    process.exitCode = usageStatus;
    return;
  }
  if (options.check) {
    process.stdout.write(`${name}: the settings are valid\n`);
    return;
  }
  const { linkPort = loaded.value.linkPort } = options as { linkPort?: number };
  serve({ ...loaded.value, linkPort }, create).catch((err: unknown) => {
    process.stderr.write(`${name}: ${toErrorMessage(err)}\n`);
    process.exit(1);
  });
}
