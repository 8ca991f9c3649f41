// Handles signals from the first statement on, so it comes before all other imports.
import { processSignals } from '../services/program/node/processSignals.js';
// eslint-disable-next-line import-x/order -- see above
import { cac } from 'cac';
import {
  decodeConfig,
  decodeGateway,
  decodeServer,
  decodeSuspects,
} from '../../platform/decodeObjects.js';
import { HeaderDialect } from '../../platform/headerDialect.js';
import { settingsVariable } from '../../platform/settingsVariable.js';
import { ReplicaControl } from '../../platform/replicaControl.js';
import { PlatformKind, StoreClient } from '../../platform/storeClient.js';
import { toErrorMessage } from '../base/common/errors.js';
import { LogLevel } from '../base/common/logger.js';
import { SampledLogger } from '../base/common/sampledLogger.js';
import { SeededRandom } from '../base/common/random.js';
import { ConsolaLogger } from '../base/node/consolaLogger.js';
import { LineWriter } from '../base/node/lineWriter.js';
import { SystemClock } from '../base/node/systemClock.js';
import { GatewayMetrics } from '../gateway/node/gatewayMetrics.js';
import { GatewayProgram } from '../gateway/node/gatewayProgram.js';
import { createSeparateIntake } from '../services/exchange/node/answerIntake.js';
import { ObjectKind } from '../services/objects/common/objects.js';
import {
  createStoreIntake,
  NoAnswer,
  type CallOutcome,
} from '../services/objects/node/storeConnections.js';
import {
  endAfterGrace,
  handleUnforeseenErrors,
} from '../services/program/node/unforeseenErrors.js';
import { gatewaySchema, type GatewaySettings } from '../services/settings/common/settings.js';
import { loadSettings } from '../services/settings/node/loadSettings.js';

/**
 * Maximum number of log lines per second for each event. The busiest gateway serves some 30 requests
 * per second.
 */
const maxLinesPerSecond = 100;

/** Timeout of a report, in milliseconds; covers a few round trips and one retransmission. */
const reportTimeoutMs = 400;

/** Timeout of the answer to an order, in milliseconds. */
const orderTimeoutMs = 1_000;

/** Memory for reports and answers to orders, in megabytes; some kilobytes each, at most 256 KiB. */
const controlMemoryMb = 4;

const usageErrorStatus = 2;
const failureStatus = 1;

function exitWithError(message: string, status: number): never {
  process.stderr.write(`ibisspar-gateway: ${message}\n`);
  process.exit(status);
}

function readSettings(path: string): GatewaySettings {
  const loaded = loadSettings(path, gatewaySchema);
  return loaded.isOk()
    ? loaded.value
    : exitWithError(loaded.error.faults.join('\n'), usageErrorStatus);
}

async function main(path: string): Promise<void> {
  const settings = readSettings(path);
  const clock = new SystemClock();
  const metrics = new GatewayMetrics();
  const lineWriter = new LineWriter(() => metrics.droppedLines.inc());
  const { instance } = settings;
  const consola = new ConsolaLogger(settings.logLevel, { instance }, (line) =>
    lineWriter.write(line),
  );
  const logger = new SampledLogger(consola, maxLinesPerSecond, clock);
  // Answers of the store that were given up count as failed calls.
  const storeAnswers = createStoreIntake(() => undefined, clock, logger);
  const onStoreCall = (outcome: CallOutcome) => {
    metrics.storeCalls.inc({ outcome: String(outcome) });
    if (outcome === NoAnswer.Silent) {
      logger.log(LogLevel.Warn, 'store-call-unanswered');
    }
  };
  const { storeAddress, storeCallMs } = settings;
  const store = new StoreClient(storeAddress, storeCallMs, onStoreCall, storeAnswers);
  const controlAnswers = createSeparateIntake(
    controlMemoryMb,
    (reason) => metrics.brokenAnswers.inc({ reason }),
    clock,
    logger,
  );
  const control = new ReplicaControl(reportTimeoutMs, orderTimeoutMs, controlAnswers, clock);
  const program = new GatewayProgram({
    settings,
    clock,
    logger,
    metrics,
    random: new SeededRandom(clock.wallMs() % 2 ** 31),
    platform: {
      store,
      control,
      dialect: new HeaderDialect(),
      configFeed: store.platformFeed(PlatformKind.Config, decodeConfig),
      endpointFeed: store.platformFeed(PlatformKind.Servers, decodeServer),
      peerFeed: store.ownFeed(ObjectKind.Gateways, decodeGateway),
      suspectFeed: store.ownFeed(ObjectKind.Quarantine, decodeSuspects),
    },
  });
  let isStopping = false;
  const stop = async (exitStatus: number) => {
    if (isStopping) {
      return;
    }
    isStopping = true;
    await program.drain();
    await program.close();
    await control.close();
    controlAnswers.close();
    await store.close();
    storeAnswers.close();
    logger.log(LogLevel.Info, 'stopped');
    lineWriter.close();
    process.exit(exitStatus);
  };
  processSignals.takeOver({
    stop: () => void stop(0),
    // Only checks the settings file. Changed settings take effect when the gateway is restarted.
    reload: () => {
      const loaded = loadSettings(path, gatewaySchema);
      logger.log(LogLevel.Info, 'reloaded', {
        outcome: loaded.isOk() ? 'valid' : loaded.error.message,
      });
    },
  });
  handleUnforeseenErrors(logger, {
    count: (kind) => metrics.unforeseenErrors.inc({ kind }),
    stop: () => {
      endAfterGrace(settings.drainMs, failureStatus);
      void stop(failureStatus);
    },
  });
  await program.start();
}

const cli = cac('ibisspar-gateway');
cli.option(
  '--settings <file>',
  `YAML file with the settings; default: value of the environment variable ${settingsVariable}`,
);
cli.option('--check', 'Check the settings and exit');
cli.help();
const { options } = cli.parse();
if (!options.help) {
  const path: unknown = options.settings ?? process.env[settingsVariable];
  if (typeof path !== 'string') {
    exitWithError(
      `--settings FILE or the environment variable ${settingsVariable} is required`,
      usageErrorStatus,
    );
  }
  if (options.check) {
    readSettings(path);
    process.stdout.write('ibisspar-gateway: the settings are valid\n');
  } else {
    main(path).catch((err: unknown) => exitWithError(toErrorMessage(err), 1));
  }
}
