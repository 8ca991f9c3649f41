import { cac } from 'cac';
import type { AcceleratorKind } from '../services/model/common/model.js';
import { EngineServer } from '../standin/node/engineServer.js';
import { HistoryWriter } from '../standin/node/history.js';
import { PlatformServer } from '../standin/node/platformServer.js';
import { ServiceServer } from '../standin/node/serviceServer.js';

const host = '127.0.0.1';

function printAddress(listening: Promise<string>): void {
  listening.then(
    (address) => process.stdout.write(`listening ${address}\n`),
    (err: unknown) => {
      process.stderr.write(`${String(err)}\n`);
      process.exit(1);
    },
  );
}

function closeOnSignal(server: { close(): Promise<void> }): void {
  process.on('SIGTERM', () => {
    void server.close().then(() => process.exit(0));
  });
}

const cli = cac('ibisspar-standin');

cli
  .command(
    'platform',
    'Simulates the platform: object API, instance list and store of model weights',
  )
  .option('--port <port>', 'Port to listen on; 0 for any free port', { default: 0 })
  .option('--seed <seed>', 'Seed of the injected faults', { default: 1 })
  .option('--list-lag-ms <ms>', 'Delay until a change shows in the instance list, in ms', {
    default: 500,
  })
  .option('--weight-mib-per-second <rate>', 'Download rate of the weight store, in MiB/s', {
    default: 100_000,
  })
  .action(
    (options: { port: number; seed: number; listLagMs: number; weightMibPerSecond: number }) => {
      const server = new PlatformServer(
        options.seed,
        options.listLagMs,
        options.weightMibPerSecond,
      );
      printAddress(server.listen(host, options.port));
      closeOnSignal(server);
    },
  );

cli
  .command('engine', 'Simulates a model engine that has a range of layers loaded')
  .option('--name <name>', 'Name written to the history', { default: 'engine' })
  .option('--port <port>', 'Port to listen on; 0 for any free port', { default: 0 })
  .option('--platform-url <url>', 'URL of the platform that serves the weights')
  .option('--accelerator <kind>', 'Kind of accelerator', { default: 'medium' })
  .option('--memory-mib <mib>', 'Memory, in MiB', { default: 16_384 })
  .option('--layer-micros <us>', 'Time to run one layer for one token, in microseconds', {
    default: 500,
  })
  .option('--capacity <count>', 'Maximum number of concurrent sequences', { default: 16 })
  .option('--ignore-term', 'Accept orders with an outdated fencing token')
  .option('--history <file>', 'JSON lines file in which the executed work is recorded')
  .action(
    (options: {
      name: string;
      port: number;
      platformUrl: string;
      accelerator: AcceleratorKind;
      memoryMib: number;
      layerMicros: number;
      capacity: number;
      ignoreTerm?: boolean;
      history?: string;
    }) => {
      const server = new EngineServer(
        {
          accelerator: options.accelerator,
          memoryMiB: options.memoryMib,
          layerMicros: options.layerMicros,
          capacity: options.capacity,
          checksTerm: options.ignoreTerm !== true,
          platformUrl: options.platformUrl,
          crashText: '!crash!',
        },
        new HistoryWriter(options.history, options.name),
      );
      printAddress(server.listen(host, options.port));
      closeOnSignal(server);
    },
  );

cli
  .command('service', 'Simulates a plain service')
  .option('--name <name>', 'Name written to the history', { default: 'service' })
  .option('--port <port>', 'Port to listen on; 0 for any free port', { default: 0 })
  .option('--work-ms <ms>', 'Duration of one call, in ms', { default: 5 })
  .option('--history <file>', 'JSON lines file in which the executed work is recorded')
  .action((options: { name: string; port: number; workMs: number; history?: string }) => {
    const server = new ServiceServer(
      options.workMs,
      new HistoryWriter(options.history, options.name),
    );
    printAddress(server.listen(host, options.port));
    closeOnSignal(server);
  });

cli.help();
cli.parse();
