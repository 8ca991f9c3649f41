import { performance } from 'node:perf_hooks';
import { sleep } from '../../base/node/systemClock.js';
import { AcceleratorKind } from '../../services/model/common/model.js';
import { checkLayers, findRepeatedSubmissions } from '../common/guarantees.js';
import { CallEnd } from '../faults/common/records.js';
import { callService, chat, type CallResult } from './caller.js';
import { adminKey, Fleet, bearerKeyOf, type EngineSpec, type FleetSpec } from './fleet.js';

const model = { name: 'casa-24', layers: 24, layerMiB: 512, replicas: 2 };

const dataCentres = ['ragusa', 'siracusa', 'catania'];

/** Rules on shares and prices that the demo's organisations agreed on. */
export const demoRules = [
  'share organisation=coop weight=60 # asked by Cooperativa Iblei',
  'share organisation=index weight=40 # asked by Qaumi Makan',
  'price accelerator=large micros=900 # asked by Qaumi Makan',
  'price accelerator=small micros=400 # asked by Cooperativa Iblei',
].join('\n');

function engineSpecOf(index: number): EngineSpec {
  const kinds = [AcceleratorKind.Large, AcceleratorKind.Medium, AcceleratorKind.Small];
  const kind = index % kinds.length;
  return {
    name: `engine-${index + 1}`,
    dataCentre: dataCentres[Math.floor(index / kinds.length) % dataCentres.length],
    accelerator: kinds[kind],
    memoryMiB: 6_400,
    layerMicros: [300, 500, 900][kind],
    capacity: 16,
  };
}

/**
 * Returns the configuration of the demo: two entries, two chains of three stages with spare
 * engines, and one plain service.
 *
 * @param seed - Seed of the stand-ins.
 * @returns The configuration of the fleet.
 */
export function demoSpec(seed: number): FleetSpec {
  return {
    entries: 2,
    engines: Array.from({ length: 7 }, (_unused, index) => engineSpecOf(index)),
    services: [
      { name: 'booking-1', dataCentre: 'ragusa', service: 'booking', workMs: 20 },
      { name: 'booking-2', dataCentre: 'catania', service: 'booking', workMs: 20 },
    ],
    models: [model],
    organisations: ['coop', 'index'],
    rules: demoRules,
    seed,
    linkDelayMs: 0,
  };
}

const chatCount = 24;

const bookingCount = 20;

/** Time between the start of the calls and the fault, in milliseconds. */
const warmUpMs = 400;

/** Time within which a rule change must be in force on all entries, in milliseconds. */
const inForceTimeoutMs = 15_000;

/** Waits until a revision is in force; returns the time in milliseconds, or -1 after a timeout. */
async function waitUntilInForce(fleet: Fleet, revision: number): Promise<number> {
  const startedMs = performance.now();
  while (performance.now() - startedMs < inForceTimeoutMs) {
    const { lowestRevision } = await fleet.getAdmin<{ lowestRevision?: number }>(0, 'status');
    if ((lowestRevision ?? 0) >= revision) {
      return Math.round(performance.now() - startedMs);
    }
    await sleep(10);
  }
  return -1;
}

function startChats(fleet: Fleet): Promise<readonly CallResult[]> {
  return Promise.all(
    Array.from({ length: chatCount }, (_unused, index) =>
      chat({
        url: fleet.url(index),
        organisation: index % 2 === 0 ? 'coop' : 'index',
        model: model.name,
        layers: model.layers,
        content: `note ${index}: the van to Modica is late, draft a reply to the family`,
        maxTokens: 60,
      }),
    ),
  );
}

function startBookings(fleet: Fleet): Promise<readonly CallResult[]> {
  return Promise.all(
    Array.from({ length: bookingCount }, (_unused, index) =>
      callService({
        url: fleet.url(index),
        organisation: 'coop',
        service: 'booking',
        path: `/seats/${Math.floor(index / 2)}`,
        idempotencyKey: `seat-${Math.floor(index / 2)}`, // sent through both entries
      }),
    ),
  );
}

function printCurlCommands(fleet: Fleet): void {
  const chatBody = JSON.stringify({
    model: model.name,
    messages: [{ role: 'user', content: 'explain the attendance rules' }],
    max_tokens: 20,
    stream: true,
  });
  const auth = `-H 'authorization: Bearer ${bearerKeyOf('coop')}'`;
  const lines = [
    `curl -N ${fleet.url(0)}/v1/chat/completions ${auth} -H 'content-type: application/json' -d '${chatBody}'`,
    `curl ${fleet.url(1)}/v1/models ${auth}`,
    `curl ${fleet.url(1)}/services/booking/seats/7 ${auth}`,
    `curl -X POST ${fleet.url(0)}/services/booking/seats/7 ${auth} -H 'idempotency-key: my-key' -d '{}'`,
    `curl ${fleet.url(0)}/admin/v1/status -H 'authorization: Bearer ${adminKey}'`,
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

/**
 * Runs the demo: chats and bookings while a stage is killed and a rule is changed.
 *
 * @param serve - True to print curl commands and keep the fleet running until interrupted.
 * @returns True if all calls were answered, nothing ran twice and the change came into force.
 */
export async function runDemo(serve: boolean): Promise<boolean> {
  const fleet = new Fleet(demoSpec(1));
  try {
    await fleet.start();
    const runningChats = startChats(fleet);
    const runningBookings = startBookings(fleet);
    await sleep(warmUpMs);
    const killedName =
      fleet.readHistory().find((event) => event.from === 0)?.endpoint ?? 'engine-1';
    const killedEndpoint = fleet.getEndpoint(killedName);
    killedEndpoint.agent.signal('SIGKILL');
    killedEndpoint.standin.signal('SIGKILL');
    const ruleChange = await fleet.applyRules(
      1,
      demoRules.replace('weight=60', 'weight=50'),
      1,
      'Cooperativa Iblei',
    );
    const inForceMs = await waitUntilInForce(fleet, ruleChange.body.revision ?? Infinity);
    const chatResults = await runningChats;
    const bookingResults = await runningBookings;
    const history = fleet.readHistory();
    const layerCheck = checkLayers(history, model.layers);
    const completeCount = chatResults.filter((result) => result.end === CallEnd.Complete).length;
    const summary = {
      answered: chatResults.filter((result) => result.status === 200).length,
      whole: completeCount,
      bookings: bookingResults.filter((result) => result.end === CallEnd.Complete).length,
      ranTwice: findRepeatedSubmissions(history).length,
      cut: chatResults.length - completeCount,
      inForceMs,
      stageKilled: killedName,
      sequences: layerCheck.checked,
      layerFaults: layerCheck.violations.length,
    };
    layerCheck.violations
      .slice(0, 3)
      .forEach((violation) => process.stdout.write(`${JSON.stringify(violation)}\n`));
    chatResults
      .filter((result) => result.end !== CallEnd.Complete)
      .forEach((result) =>
        process.stdout.write(`chat ${result.end} ${result.status} ${result.detail}\n`),
      );
    bookingResults
      .filter((result) => result.end !== CallEnd.Complete)
      .forEach((result) =>
        process.stdout.write(`booking ${result.end} ${result.status} ${result.detail}\n`),
      );
    if (serve) {
      printCurlCommands(fleet);
    }
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    if (serve) {
      await new Promise((resolve) => {
        process.once('SIGINT', resolve);
        process.once('SIGTERM', resolve);
      });
    }
    return (
      completeCount === chatCount &&
      summary.bookings === bookingCount &&
      summary.ranTwice === 0 &&
      summary.layerFaults === 0 &&
      inForceMs >= 0
    );
  } finally {
    await fleet.close();
  }
}
