import { cac } from 'cac';
import type { AcceleratorKind } from '../services/model/common/model.js';
import { EngineServer } from '../standin/node/engineServer.js';
import { HistoryWriter } from '../standin/node/history.js';
import { PlatformServer } from '../standin/node/platformServer.js';
import { ServiceServer } from '../standin/node/serviceServer.js';

const host = '127.0.0.1';

function announce(listening: Promise<string>): void {
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
  .command('platform', 'Object API, instance list and weight store')
  .option('--port <port>', 'Port', { default: 0 })
  .option('--seed <seed>', 'Seed of injected faults', { default: 1 })
  .option('--list-lag-ms <ms>', 'Lag of the instance list', { default: 500 })
  .option('--weight-mib-per-second <rate>', 'Rate of the weight store', { default: 100_000 })
  .action(
    (options: { port: number; seed: number; listLagMs: number; weightMibPerSecond: number }) => {
      const server = new PlatformServer(
        options.seed,
        options.listLagMs,
        options.weightMibPerSecond,
      );
      announce(server.listen(host, options.port));
      closeOnSignal(server);
    },
  );

cli
  .command('engine', 'Model engine that holds a range of layers')
  .option('--name <name>', 'Name in the history', { default: 'engine' })
  .option('--port <port>', 'Port', { default: 0 })
  .option('--platform-url <url>', 'Platform with the weight store')
  .option('--accelerator <kind>', 'Kind of accelerator', { default: 'medium' })
  .option('--memory-mib <mib>', 'Memory', { default: 16_384 })
  .option('--layer-micros <us>', 'Time of one layer for one token', { default: 500 })
  .option('--capacity <count>', 'Most sequences at once', { default: 16 })
  .option('--ignore-term', 'Obey orders with an old fencing number')
  .option('--history <file>', 'File of JSON lines that records what ran')
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
      announce(server.listen(host, options.port));
      closeOnSignal(server);
    },
  );

cli
  .command('service', 'Plain service')
  .option('--name <name>', 'Name in the history', { default: 'service' })
  .option('--port <port>', 'Port', { default: 0 })
  .option('--work-ms <ms>', 'Time of one call', { default: 5 })
  .option('--history <file>', 'File of JSON lines that records what ran')
  .action((options: { name: string; port: number; workMs: number; history?: string }) => {
    const server = new ServiceServer(
      options.workMs,
      new HistoryWriter(options.history, options.name),
    );
    announce(server.listen(host, options.port));
    closeOnSignal(server);
  });

cli.help();
cli.parse();
