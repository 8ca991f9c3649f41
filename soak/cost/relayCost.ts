import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { cac } from 'cac';
import { FakeReplica } from '../../platform/test/fakeReplica.js';
import { FakeStore } from '../../platform/test/fakeStore.js';
import { call, modelHeaders, defaultKey } from '../../platform/test/gatewayFleet.js';
import { publishReplica, singlePathHeader, writeConfig } from '../../platform/test/wireViews.js';
import { ProcessGroup, type RunningProcess } from '../../src/bench/node/processes.js';
import { modelLayers } from '../common/checkers.js';
import { toErrorMessage } from '../../src/base/common/errors.js';

/** Events of a stream and the pause between them; about those of the prepared sites. */
const eventCount = 60;
const eventMs = 20;

/** Time for which a process works before it is measured, in milliseconds. */
const warmUpMs = 4_000;

/** Clock ticks of the processor times in `/proc`, a second; fixed on Linux. */
const ticksPerSecond = 100;

/** What a relay used for its work. */
interface Cost {
  readonly relay: string;
  readonly requests: number;
  readonly events: number;
  readonly coreShare: number;
  readonly microsPerEvent: number;
  readonly millisPerRequest: number;
  readonly peakMb: number;
  readonly storeCallsPerSecond: number;
  readonly logBytesPerRequest: number;
}

function processorSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function peakMb(pid: number): number {
  const match = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match?.[1] ?? 0) / 1_024;
}

/** Keeps streams going through a relay for a time and measures its process. */
async function measure(
  relay: string,
  process: RunningProcess,
  store: FakeStore,
  headers: Record<string, string>,
  options: { readonly streams: number; readonly seconds: number; readonly log: string },
): Promise<Cost> {
  const port = Number(process.started);
  let isOver = false;
  let requests = 0;
  const worker = async (): Promise<void> => {
    while (!isOver) {
      const answer = await call(port, '/stream/x', { method: 'POST', body: 'prompt', headers });
      if (answer.status !== 200 || !answer.isComplete) {
        throw new Error(`${relay} answered ${answer.status} ${answer.body}`);
      }
      requests += 1;
    }
  };
  const workers = Array.from({ length: options.streams }, () => worker());
  const pause = (ms: number) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  await pause(warmUpMs);
  const before = {
    requests,
    seconds: processorSeconds(process.pid),
    calls: store.calls,
    log: readFileSync(options.log).length,
  };
  await pause(options.seconds * 1_000);
  const seconds = processorSeconds(process.pid) - before.seconds;
  const done = requests - before.requests;
  const cost = {
    relay,
    requests: done,
    events: done * eventCount,
    coreShare: seconds / options.seconds,
    microsPerEvent: (seconds * 1e6) / (done * eventCount),
    millisPerRequest: (seconds * 1e3) / done,
    peakMb: peakMb(process.pid),
    storeCallsPerSecond: (store.calls - before.calls) / options.seconds,
    logBytesPerRequest: (readFileSync(options.log).length - before.log) / done,
  };
  isOver = true;
  await Promise.all(workers);
  return cost;
}

async function run(streams: number, seconds: number): Promise<void> {
  const store = new FakeStore();
  const group = new ProcessGroup(fileURLToPath(new URL('../../../build/', import.meta.url)));
  const options = { service: 'model', zone: 'a', kind: 'big', eventCount, eventMs, slots: 1_000 };
  const replicas = ['front', 'back'].map((id) => new FakeReplica({ ...options, id }));
  try {
    const storeAddress = await store.listen();
    for (const [index, replica] of replicas.entries()) {
      replica.layers = { from: index * 4, target: index * 4 + 4 };
      await replica.listen();
      publishReplica(store, replica);
    }
    writeConfig(store, 1, [{ key: defaultKey, organisation: 'org-1' }], 0);
    const settings = group.writeSettings('gateway', {
      instance: 'gateway',
      host: '127.0.0.1',
      place: 'a',
      region: 'r',
      callerAddress: '127.0.0.1:0',
      readyAddress: '127.0.0.1:0',
      peerPort: 0,
      metricsPort: 0,
      storeAddress,
      drainMs: 1_000,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      retrySlack: 200,
    });
    const started = /event=started .*callers=127\.0\.0\.1:(\d+)/;
    const gateway = await group.start('gateway', 'gateway', ['--settings', settings], started);
    const log = `${group.directory}/gateway-1.log`;
    const first = await measure('gateway', gateway, store, modelHeaders, {
      streams,
      seconds,
      log,
    });
    const bare = new ProcessGroup(fileURLToPath(new URL('.', import.meta.url)));
    try {
      const relay = await bare.startScript(
        'bareRelay.js',
        [replicas[0].address],
        /callers=127\.0\.0\.1:(\d+)/,
      );
      const headers = { ...modelHeaders, ...singlePathHeader(replicas[0], modelLayers) };
      const floor = await measure('bare relay', relay, store, headers, {
        streams,
        seconds,
        log: `${bare.directory}/bareRelay.js-1.log`,
      });
      process.stdout.write(`${JSON.stringify(first)}\n${JSON.stringify(floor)}\n`);
    } finally {
      await bare.close();
    }
  } finally {
    await group.close();
    replicas.forEach((replica) => replica.close());
    store.close();
  }
}

const cli = cac('relay-cost');
cli
  .command('', 'Processor time and memory of a gateway and of a bare relay under the same streams')
  .option('--streams <count>', 'Streams at a time', { default: 40 })
  .option('--seconds <seconds>', 'Time that is measured', { default: 10 })
  .action(({ streams, seconds }: { readonly streams: number; readonly seconds: number }) => {
    run(streams, seconds).then(
      () => process.exit(0),
      (err: unknown) => {
        process.stderr.write(`${toErrorMessage(err)}\n`);
        process.exit(1);
      },
    );
  });
cli.help();
cli.parse();
