import { performance } from 'node:perf_hooks';
import { sleep } from '../../../base/node/systemClock.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { CallEnd } from '../../faults/common/records.js';
import { callService, chat } from '../../node/caller.js';
import { demoRules } from '../../node/demo.js';
import { Fleet, type FleetSpec } from '../../node/fleet.js';
import { quantile, round } from '../common/statistics.js';

const model = { name: 'casa-12', layers: 12, layerMiB: 512, replicas: 3 };

const trials = 10;

const maxTokens = 60;

/** Streams that run when the failure happens. */
const streams = 6;

/** Time after the start of the streams at which the failure happens, in milliseconds. */
const failAtMs = 250;

/** Time after which the baseline's caller asks again from the beginning, in milliseconds. */
const baselineLimitMs = 5_000;

const freezeMs = 6_000;

/** Kinds of failures that are measured. */
enum Failure {
  StageKilled = 'stageKilled',
  StageFrozen = 'stageFrozen',
  LinkSilent = 'linkSilent',
  LinkCut = 'linkCut',
  AgentRestarted = 'agentRestarted',
  EntryKilled = 'entryKilled',
}

const spec: FleetSpec = {
  entries: 2,
  engines: Array.from({ length: 10 }, (_unused, index) => ({
    name: `engine-${index + 1}`,
    place: 'ragusa',
    accelerator: AcceleratorKind.Medium,
    memoryMiB: 2_600,
    layerMicros: 1_000,
    capacity: 32,
  })),
  services: [],
  models: [model],
  organisations: ['coop'],
  rules: demoRules,
  seed: 1,
  linkDelayMs: 0,
};

/** No heartbeat worth the name, no stall check: only the caller's own limit helps. */
const naive = { heartbeatMs: 30_000, heartbeatDeadlineMs: 120_000, stallMs: 120_000 };

interface Stream {
  /** Longest silence, in milliseconds. */
  readonly stallMs: number;
  readonly whole: boolean;
}

/** Runs one stream; the caller asks again, from the beginning, if it fails or takes too long. */
async function runStream(fleet: Fleet, entry: number, content: string, limitMs: number) {
  const startedMs = performance.now();
  for (let tries = 0; tries < 5; tries += 1) {
    const result = await chat({
      url: fleet.url(entry + tries),
      organisation: 'coop',
      model: model.name,
      layers: model.layers,
      content,
      maxTokens,
      timeoutMs: limitMs,
    });
    if (result.end === CallEnd.Whole) {
      const gaps = tries === 0 ? result.gapsMs : [performance.now() - startedMs];
      const first = result.firstTokenMs ?? 0;
      return { stallMs: Math.max(first, ...gaps), whole: true };
    }
  }
  return { stallMs: performance.now() - startedMs, whole: false };
}

/** Brings the failure about and returns what undoes it. */
function cause(fleet: Fleet, failure: Failure, victim: string): () => Promise<void> {
  const endpoint = fleet.endpoint(victim);
  switch (failure) {
    case Failure.StageKilled:
      endpoint.agent.signal('SIGKILL');
      endpoint.standin.signal('SIGKILL');
      return async () => {
        await fleet.restartStandin(victim);
        await fleet.restartAgent(victim);
      };
    case Failure.AgentRestarted:
      endpoint.agent.signal('SIGKILL');
      return () => fleet.restartAgent(victim);
    case Failure.StageFrozen:
      endpoint.agent.signal('SIGSTOP');
      endpoint.standin.signal('SIGSTOP');
      return async () => {
        await sleep(freezeMs);
        endpoint.agent.signal('SIGCONT');
        endpoint.standin.signal('SIGCONT');
      };
    case Failure.LinkSilent:
      endpoint.shaper?.silence();
      return () => Promise.resolve();
    case Failure.LinkCut:
      endpoint.shaper?.cut();
      return () => Promise.resolve();
    default:
      fleet.entries[0].process.signal('SIGKILL');
      return () => fleet.restartEntry(0);
  }
}

/** Endpoint that ran a first stage most recently. */
function busyStage(fleet: Fleet): string {
  const runs = fleet.history().filter((event) => event.from === 0);
  return runs[runs.length - 1]?.endpoint ?? 'engine-1';
}

async function runTrial(fleet: Fleet, failure: Failure, trial: number, limitMs: number) {
  const running = Array.from({ length: streams }, (_unused, index) => {
    const entry = failure === Failure.EntryKilled ? 0 : index;
    return runStream(fleet, entry, `${failure} ${trial} ${index}`, limitMs);
  });
  await sleep(failAtMs);
  const undo = cause(fleet, failure, busyStage(fleet));
  const [results] = await Promise.all([Promise.all(running), undo()]);
  await sleep(1_000); // lets links and placement come back
  return results;
}

async function measure(fleet: Fleet, failure: Failure, limitMs: number, count: number) {
  const results: Stream[] = [];
  for (let trial = 0; trial < count; trial += 1) {
    results.push(...(await runTrial(fleet, failure, trial, limitMs)));
  }
  // Streams that did not use the victim show no stall; the affected ones are the slower half.
  const stalls = results.map((stream) => stream.stallMs).sort((a, b) => a - b);
  const affected = stalls.slice(Math.floor(stalls.length / 2));
  return {
    trials: count,
    streams: results.length,
    notWhole: results.filter((stream) => !stream.whole).length,
    stallP50Ms: round(quantile(affected, 0.5), 0),
    stallP95Ms: round(quantile(affected, 0.95), 0),
  };
}

/** Lookups and submissions while the platform is down for 30 s. */
async function measureOutage() {
  const fleet = new Fleet({
    ...spec,
    services: [{ name: 'booking-1', place: 'ragusa', service: 'booking', workMs: 5 }],
  });
  try {
    await fleet.start();
    await fleet.control('fault', { outage: 1, forMs: 30_000 });
    const untilMs = performance.now() + 30_000;
    const refusalsMs: number[] = [];
    let lookups = 0;
    let lookupsLost = 0;
    let count = 0;
    while (performance.now() < untilMs) {
      count += 1;
      const call = { url: fleet.url(count), organisation: 'coop', service: 'booking', path: '/x' };
      const lookup = await callService(call);
      lookups += 1;
      lookupsLost += lookup.end === CallEnd.Whole ? 0 : 1;
      const refused = await callService({ ...call, idempotencyKey: `outage-${count}` });
      if (refused.status === 503) {
        refusalsMs.push(refused.endedMs - refused.startedMs);
      }
      await sleep(50);
    }
    await sleep(500);
    const after = await callService({
      url: fleet.url(0),
      organisation: 'coop',
      service: 'booking',
      path: '/x',
      idempotencyKey: 'outage-1',
    });
    return {
      lookups,
      lookupsLost,
      refusals: refusalsMs.length,
      refusalP95Ms: round(quantile(refusalsMs, 0.95), 1),
      submissionAfter: after.end,
    };
  } finally {
    await fleet.close();
  }
}

/** Measures each failure on a fleet of its own, so that none leaves traces for the next. */
async function measureAll(settings: Record<string, unknown>, limitMs: number, count: number) {
  const results: Record<string, Awaited<ReturnType<typeof measure>>> = {};
  for (const failure of Object.values(Failure)) {
    const agentSettings = naiveAgent(settings);
    const fleet = new Fleet({ ...spec, entrySettings: settings, agentSettings });
    try {
      await fleet.start();
      results[failure] = await measure(fleet, failure, limitMs, count);
      process.stdout.write(`${failure} ${JSON.stringify(results[failure])}\n`);
    } finally {
      await fleet.close();
    }
  }
  return results;
}

function naiveAgent(settings: Record<string, unknown>): Record<string, unknown> {
  const { heartbeatMs, heartbeatDeadlineMs } = settings;
  return heartbeatMs === undefined ? {} : { heartbeatMs, heartbeatDeadlineMs };
}

/** Trials of the baseline, whose stalls last seconds each. */
const baselineTrials = 2;

/** Longest request in the measured system, in milliseconds. */
const requestLimitMs = 30_000;

/**
 * Measures how long answers stall after failures.
 *
 * @returns True if every answer became whole and no lookup was lost.
 */
export async function runRecoveryBench(): Promise<boolean> {
  const ours = await measureAll({}, requestLimitMs, trials);
  const platformDown = await measureOutage();
  process.stdout.write(`platformDown ${JSON.stringify(platformDown)}\n`);
  const baseline = await measureAll(naive, baselineLimitMs, baselineTrials);
  process.stdout.write(`${JSON.stringify({ ours, baseline, platformDown })}\n`);
  const lost = Object.values(ours).some(({ notWhole }) => notWhole > 0);
  return !lost && platformDown.lookupsLost === 0;
}
