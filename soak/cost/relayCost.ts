import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { cac } from 'cac';
import { FakeReplica } from '../../platform/test/fakeReplica.js';
import { FakeStore } from '../../platform/test/fakeStore.js';
import { call, modelHeaders, defaultKey } from '../../platform/test/gatewayFleet.js';
import { publishReplica, singlePathHeader, writeConfig } from '../../platform/test/wireViews.js';
import { ProcessGroup, type RunningProcess } from '../../src/bench/node/processes.js';
import { modelLayerCount } from '../common/checkers.js';
import { toErrorMessage } from '../../src/base/common/errors.js';

/**
 * Number of events in a stream and the time between them; similar to those of the example sites.
 */
const eventCount = 60;
const eventIntervalMs = 20;

/** Time under load before the measurement starts, in milliseconds. */
const warmUpMs = 4_000;

/** Clock ticks per second of the processor times in `/proc`; this is a constant on Linux. */
const ticksPerSecond = 100;

/** Resources that a relay used during the measurement. */
interface RelayCost {
  readonly relay: string;
  readonly requests: number;
  readonly events: number;
  /** Average number of processor cores in use. */
  readonly coreShare: number;
  readonly microsPerEvent: number;
  readonly millisPerRequest: number;
  /** Peak resident memory since the start of the process. */
  readonly peakMb: number;
  readonly storeCallsPerSecond: number;
  readonly logBytesPerRequest: number;
}

function readProcessorSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function readPeakMemoryMb(pid: number): number {
  const match = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(match?.[1] ?? 0) / 1_024;
}

/** Measures a relay's process while it forwards a constant number of concurrent streams. */
async function measureRelay(
  relay: string,
  process: RunningProcess,
  store: FakeStore,
  headers: Record<string, string>,
  options: { readonly streams: number; readonly seconds: number; readonly log: string },
): Promise<RelayCost> {
  const port = Number(process.listenAddress);
  let isStopped = false;
  let requests = 0;
  const runCaller = async (): Promise<void> => {
    while (!isStopped) {
      const answer = await call(port, '/stream/x', { method: 'POST', body: 'prompt', headers });
      if (answer.status !== 200 || !answer.isComplete) {
        throw new Error(`${relay} answered with status ${answer.status}: ${answer.body}`);
      }
      requests += 1;
    }
  };
  const callers = Array.from({ length: options.streams }, () => runCaller());
  const pause = (ms: number) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  await pause(warmUpMs);
  const baseline = {
    requests,
    seconds: readProcessorSeconds(process.pid),
    calls: store.calls,
    log: readFileSync(options.log).length,
  };
  await pause(options.seconds * 1_000);
  const usedSeconds = readProcessorSeconds(process.pid) - baseline.seconds;
  const completedRequests = requests - baseline.requests;
  const cost = {
    relay,
    requests: completedRequests,
    events: completedRequests * eventCount,
    coreShare: usedSeconds / options.seconds,
    microsPerEvent: (usedSeconds * 1e6) / (completedRequests * eventCount),
    millisPerRequest: (usedSeconds * 1e3) / completedRequests,
    peakMb: readPeakMemoryMb(process.pid),
    storeCallsPerSecond: (store.calls - baseline.calls) / options.seconds,
    logBytesPerRequest: (readFileSync(options.log).length - baseline.log) / completedRequests,
  };
  isStopped = true;
  await Promise.all(callers);
  return cost;
}

async function measureCosts(streams: number, seconds: number): Promise<void> {
  const store = new FakeStore();
  const group = new ProcessGroup(fileURLToPath(new URL('../../../build/', import.meta.url)));
  const options = {
    service: 'model',
    zone: 'a',
    kind: 'big',
    eventCount,
    eventMs: eventIntervalMs,
    slots: 1_000,
  };
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
    const startedPattern = /event=started .*callers=127\.0\.0\.1:(\d+)/;
    const gateway = await group.start(
      'gateway',
      'gateway',
      ['--settings', settings],
      startedPattern,
    );
    const logFile = `${group.directory}/gateway-1.log`;
    const gatewayCost = await measureRelay('gateway', gateway, store, modelHeaders, {
      streams,
      seconds,
      log: logFile,
    });
    const relayGroup = new ProcessGroup(fileURLToPath(new URL('.', import.meta.url)));
    try {
      const relay = await relayGroup.startScript(
        'bareRelay.js',
        [replicas[0].address],
        /callers=127\.0\.0\.1:(\d+)/,
      );
      const headers = { ...modelHeaders, ...singlePathHeader(replicas[0], modelLayerCount) };
      const bareRelayCost = await measureRelay('bare relay', relay, store, headers, {
        streams,
        seconds,
        log: `${relayGroup.directory}/bareRelay.js-1.log`,
      });
      process.stdout.write(`${JSON.stringify(gatewayCost)}\n${JSON.stringify(bareRelayCost)}\n`);
    } finally {
      await relayGroup.close();
    }
  } finally {
    await group.close();
    replicas.forEach((replica) => replica.close());
    store.close();
  }
}

const cli = cac('relay-cost');
cli
  .command(
    '',
    'Measures processor time and memory of a gateway and of a bare relay under the same load',
  )
  .option('--streams <count>', 'Number of concurrent streams', { default: 40 })
  .option('--seconds <seconds>', 'Duration of the measurement', { default: 10 })
  .action(({ streams, seconds }: { readonly streams: number; readonly seconds: number }) => {
    measureCosts(streams, seconds).then(
      () => process.exit(0),
      (err: unknown) => {
        process.stderr.write(`${toErrorMessage(err)}\n`);
        process.exit(1);
      },
    );
  });
cli.help();
cli.parse();
