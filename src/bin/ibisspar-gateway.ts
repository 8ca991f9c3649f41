import { cac } from 'cac';
import { decodeConfig, decodeGateway, decodeServer } from '../../platform/decodeObjects.js';
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
import { ObjectKind } from '../services/objects/common/objects.js';
import { gatewaySchema, type GatewaySettings } from '../services/settings/common/settings.js';
import { loadSettings } from '../services/settings/node/loadSettings.js';

/** Lines of one event a second; the busiest gateway serves some 30 requests a second. */
const maxLinesPerSecond = 100;

/** Time within which a report must come; a few round trips and one retransmission, in ms. */
const reportMs = 400;

/** Time within which an order must be answered, in milliseconds. */
const orderMs = 1_000;

const usageStatus = 2;

function fail(message: string, status: number): never {
  process.stderr.write(`ibisspar-gateway: ${message}\n`);
  process.exit(status);
}

function readSettings(path: string): GatewaySettings {
  const loaded = loadSettings(path, gatewaySchema);
  return loaded.isOk() ? loaded.value : fail(loaded.error.faults.join('\n'), usageStatus);
}

async function main(path: string): Promise<void> {
  const settings = readSettings(path);
  const clock = new SystemClock();
  const metrics = new GatewayMetrics();
  const lines = new LineWriter(() => metrics.droppedLines.inc());
  const { instance } = settings;
  const consola = new ConsolaLogger(settings.logLevel, { instance }, (line) => lines.write(line));
  const logger = new SampledLogger(consola, maxLinesPerSecond, clock);
  const store = new StoreClient(settings.storeAddress, settings.storeCallMs, (outcome) =>
    metrics.storeCalls.inc({ outcome }),
  );
  const control = new ReplicaControl(reportMs, orderMs);
  const program = new GatewayProgram({
    settings,
    clock,
    logger,
    metrics,
    random: new SeededRandom(clock.wallMs() % 2 ** 31),
    ports: {
      store,
      control,
      dialect: new HeaderDialect(),
      configFeed: store.platformFeed(PlatformKind.Config, (_name, spec) => decodeConfig(spec)),
      endpointFeed: store.platformFeed(PlatformKind.Servers, decodeServer),
      peerFeed: store.ownFeed(ObjectKind.Gateways, decodeGateway),
    },
  });
  let isStopping = false;
  const stop = async () => {
    if (isStopping) {
      return;
    }
    isStopping = true;
    await program.drain();
    await program.close();
    await control.close();
    await store.close();
    logger.log(LogLevel.Info, 'stopped');
    lines.close();
    process.exit(0);
  };
  process.on('SIGTERM', () => void stop());
  process.on('SIGINT', () => void stop());
  process.on('SIGHUP', () => {
    const loaded = loadSettings(path, gatewaySchema);
    logger.log(LogLevel.Info, 'reloaded', {
      outcome: loaded.isOk() ? 'valid' : loaded.error.message,
    });
  });
  process.on('unhandledRejection', (reason) => {
    logger.log(LogLevel.Error, 'unhandled-rejection', { reason: toErrorMessage(reason) });
  });
  await program.start();
}

const cli = cac('ibisspar-gateway');
cli.option(
  '--settings <file>',
  `YAML file with the settings; else the variable ${settingsVariable}`,
);
cli.option('--check', 'Check the settings and exit');
cli.help();
const { options } = cli.parse();
if (!options.help) {
  const path: unknown = options.settings ?? process.env[settingsVariable];
  if (typeof path !== 'string') {
    fail('--settings FILE is required', usageStatus);
  }
  if (options.check) {
    readSettings(path);
    process.stdout.write('ibisspar-gateway: the settings are valid\n');
  } else {
    main(path).catch((err: unknown) => fail(toErrorMessage(err), 1));
  }
}
