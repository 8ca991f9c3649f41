import { cac } from 'cac';
import type { Result } from 'ts-results-es';
import { toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { ConsolaLogger } from '../../../base/node/consolaLogger.js';
import { StatsdMetrics, type IMetrics, type StatsdTarget } from '../../../base/node/metrics.js';
import { SystemClock } from '../../../base/node/systemClock.js';
import { HttpObjectStore } from '../../objects/node/httpObjectStore.js';
import { createStoreIntake } from '../../objects/node/storeConnections.js';
import { processSignals } from './processSignals.js';
import { endAfterGrace, handleUnforeseenErrors } from './unforeseenErrors.js';
import type { SettingsError } from '../../settings/common/settings.js';

/** Settings that every long-running program has in common. */
export interface CommonSettings {
  readonly instance: string;
  readonly linkPort: number;
  readonly logLevel: LogLevel;
  readonly statsd?: StatsdTarget;
  readonly platformUrl: string;
  readonly platformCallMs: number;
  readonly drainMs: number;
}

/** Checked settings and other dependencies that {@link runProgram} passes to a program. */
export interface ProgramDependencies<S> {
  readonly settings: S;
  readonly clock: SystemClock;
  readonly logger: ILogger;
  readonly metrics: IMetrics;
  readonly store: HttpObjectStore;
}

/** Long-running program that {@link runProgram} starts, drains and closes. */
export interface IProgram {
  /** Starts serving. */
  start(): Promise<void>;
  /** Refuses new work and waits for the work in progress. */
  drain(): Promise<void>;
  /** Releases all resources. */
  close(): Promise<void>;
}

/** Exit status for invalid arguments or settings. */
const usageErrorStatus = 2;

/** Exit status after an exception that no code has handled. */
const failureStatus = 1;

async function serve<S extends CommonSettings>(
  settings: S,
  createProgram: (dependencies: ProgramDependencies<S>) => IProgram,
): Promise<void> {
  const { instance, logLevel, statsd, platformUrl, platformCallMs } = settings;
  const logger = new ConsolaLogger(logLevel, { instance });
  const metrics = new StatsdMetrics(statsd, { instance });
  const clock = new SystemClock();
  const countCut = (reason: string) => metrics.increment('answer-cuts', { reason });
  const storeAnswers = createStoreIntake(countCut, clock, logger);
  const store = new HttpObjectStore(platformUrl, platformCallMs, storeAnswers);
  store.onDidChangeEra(({ previousEra, era }) => {
    logger.log(LogLevel.Warn, 'store-era-changed', { previousEra, era });
    metrics.increment('store.era-changes');
  });
  const program = createProgram({ settings, clock, logger, metrics, store });
  let isStopping = false;
  const stop = async (exitStatus: number) => {
    if (isStopping) {
      return;
    }
    isStopping = true;
    await program.drain();
    await program.close();
    await store.close();
    storeAnswers.close();
    await metrics.close();
    process.exit(exitStatus);
  };
  processSignals.takeOver({
    stop: () => void stop(0),
    // Changed settings take effect when the program is restarted.
    reload: () => logger.log(LogLevel.Info, 'reload-ignored'),
  });
  handleUnforeseenErrors(logger, {
    count: (kind) => metrics.increment('unforeseen-errors', { kind }),
    stop: () => {
      endAfterGrace(settings.drainMs, failureStatus);
      void stop(failureStatus);
    },
  });
  await program.start();
}

/**
 * Runs a program: reads and checks the file given by `--settings`, serves until SIGTERM or SIGINT,
 * drains and exits.
 *
 * @param name - Name of the program, used in its messages.
 * @param loadSettings - Reads and checks a settings file.
 * @param createProgram - Creates the program from its dependencies.
 */
export function runProgram<S extends CommonSettings>(
  name: string,
  loadSettings: (path: string) => Result<S, SettingsError>,
  createProgram: (dependencies: ProgramDependencies<S>) => IProgram,
): void {
  const cli = cac(name);
  cli.option('--settings <file>', 'YAML file with the settings');
  cli.option('--link-port <port>', 'Port for links; overrides linkPort of the settings');
  cli.option('--check', 'Check the settings and exit');
  cli.help();
  const { options } = cli.parse();
  if (options.help) {
    return;
  }
  if (typeof options.settings !== 'string') {
    process.stderr.write(`${name}: --settings FILE is required\n`);
    process.exitCode = usageErrorStatus;
    return;
  }
  const loaded = loadSettings(options.settings);
  if (loaded.isErr()) {
    loaded.error.faults.forEach((fault) => process.stderr.write(`${name}: ${fault}\n`));
    process.exitCode = usageErrorStatus;
    return;
  }
  if (options.check) {
    process.stdout.write(`${name}: the settings are valid\n`);
    return;
  }
  const { linkPort = loaded.value.linkPort } = options as { linkPort?: number };
  serve({ ...loaded.value, linkPort }, createProgram).catch((err: unknown) => {
    process.stderr.write(`${name}: ${toErrorMessage(err)}\n`);
    process.exit(failureStatus);
  });
}
