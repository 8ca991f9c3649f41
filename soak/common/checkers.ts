import type { ObservedRun } from '../../platform/test/wireViews.js';
import {
  CallOutcome,
  FaultKind,
  RequestKind,
  type CallRecord,
  type FaultRecord,
  type SoakHistory,
} from './records.js';

/** Statuses that promise that the request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Layers of the model that the stand-ins hold. */
export const modelLayers = 8;

/** Time within which a change of the configuration is in force, in milliseconds; the users' bound. */
const configMs = 3_000;

/** Time within which an endpoint that drains gets no new work, in milliseconds; the users' bound. */
const drainMs = 3_000;

/** Time after a disturbance until a process is in touch again, in ms; the users' bound. */
const stableMs = 4_000;

/** Time that a gateway has to stop, in milliseconds; the users' bound. */
export const graceMs = 8_000;

/** Time after the last fault from which requests are served again, in ms; the users' bound. */
export const recoverMs = 15_000;

/** Timeout of all routes, in milliseconds. */
export const timeoutMs = 3_000;

/** Time by which an answer may come after the timeout of its route, in milliseconds. */
const timeoutSlackMs = 500;

/** Share of the requests that is served once the system has recovered. */
const recoveredShare = 0.9;

const storeFaults = new Set([
  FaultKind.CutStore,
  FaultKind.SilenceStore,
  FaultKind.OneWayStore,
  FaultKind.StoreBusy,
  FaultKind.StoreSilent,
  FaultKind.StoreLosesAnswers,
  FaultKind.StoreActsLate,
  FaultKind.StoreSlow,
  FaultKind.StoreForgets,
]);

const callerFaults = new Set([
  FaultKind.ResetCallers,
  FaultKind.SilenceCallers,
  FaultKind.DelayCallers,
]);

const gatewayFaults = new Set([
  FaultKind.KillGateway,
  FaultKind.StopGateway,
  FaultKind.FreezeGateway,
]);

const plannedFaults = new Set([
  FaultKind.StopGateway,
  FaultKind.ReloadGateway,
  FaultKind.DrainEndpoint,
  FaultKind.AddKey,
  FaultKind.RevokeKey,
  FaultKind.GrowConfig,
]);

function overlaps(fault: FaultRecord, fromMs: number, toMs: number): boolean {
  return fault.startMs <= toMs && fault.endMs >= fromMs;
}

function describe(call: CallRecord): string {
  return `${call.kind} ${call.id} at ${call.gateway}: ${call.status} ${call.outcome} ${call.detail}`;
}

function runsById(history: SoakHistory): ReadonlyMap<string, readonly ObservedRun[]> {
  const runs = new Map<string, ObservedRun[]>();
  for (const run of history.runs) {
    runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  }
  return runs;
}

/** A submission runs once at the most, whatever happens. */
function checkOnce(history: SoakHistory): readonly string[] {
  const runs = runsById(history);
  return history.calls.flatMap((call) => {
    const count = runs.get(call.id)?.length ?? 0;
    return call.kind === RequestKind.Submission && count > 1
      ? [`${call.id} ran ${count} times`]
      : [];
  });
}

/** A refusal that says that a submission has not run is true, and says when to come back. */
function checkRefusals(history: SoakHistory): readonly string[] {
  const runs = runsById(history);
  return history.calls.flatMap((call) => {
    if (!notRunStatuses.has(call.status)) {
      return [];
    }
    const isFalse = call.kind === RequestKind.Submission && runs.has(call.id);
    const saysWhen = call.hasRetryAfter || (call.status !== 503 && call.status !== 429);
    return [
      ...(isFalse ? [`${describe(call)}: it has run`] : []),
      ...(saysWhen ? [] : [`${describe(call)}: no time to come back`]),
    ];
  });
}

/** An answer that looks complete is the whole answer to that request. */
function checkAnswers(history: SoakHistory): readonly string[] {
  return history.calls.filter(({ outcome }) => outcome === CallOutcome.Wrong).map(describe);
}

/** What runs is what a caller sent, for the organisation of its key and without the key. */
function checkRuns(history: SoakHistory): readonly string[] {
  const calls = new Map(history.calls.map((call) => [call.id, call]));
  const organisations = new Map(history.keys.map(({ key, organisation }) => [key, organisation]));
  return history.runs.flatMap((run) => {
    const call = calls.get(run.id);
    if (call === undefined) {
      return []; // its caller still waits
    }
    const isSame = run.target === call.target && run.body === call.body;
    const isOwners = run.organisation === organisations.get(call.key) && !run.hasKey;
    return [
      ...(isSame ? [] : [`${run.id} ran with another target or body`]),
      ...(isOwners ? [] : [`${run.id} ran for ${run.organisation ?? 'nobody'}`]),
    ];
  });
}

/** A path runs each layer once and in order, and no endpoint is told to hold what doesn't fit. */
function checkLayers(history: SoakHistory): readonly string[] {
  const paths = history.runs.flatMap(({ id, ranges }) => {
    const isWhole =
      ranges.every(([from, to], index) => from === (ranges[index - 1]?.[1] ?? 0) && to > from) &&
      (ranges.length === 0 || ranges[ranges.length - 1][1] === modelLayers);
    return isWhole ? [] : [`${id} ran over ${JSON.stringify(ranges)}`];
  });
  const orders = history.orders.flatMap(({ endpoint, layers, maxLayers }) =>
    layers > maxLayers ? [`${endpoint} was ordered to hold ${layers} layers`] : [],
  );
  return [...paths, ...orders];
}

/** Whether something kept gateways or the store from hearing of a change. */
function wasDisturbed(history: SoakHistory, fromMs: number, toMs: number): boolean {
  return history.faults.some(
    (fault) =>
      (storeFaults.has(fault.kind) || gatewayFaults.has(fault.kind)) &&
      overlaps(fault, fromMs - stableMs, toMs),
  );
}

/** A key works only while a configuration holds it, and a process never goes back. */
function checkKeys(history: SoakHistory): readonly string[] {
  const keys = new Map(history.keys.map((record) => [record.key, record]));
  const refusedMs = new Map<string, number>();
  for (const { process, key, status, endMs } of history.calls) {
    const name = `${process} ${key}`;
    if (status === 401 && endMs > (keys.get(key)?.toMs ?? 0)) {
      refusedMs.set(name, Math.min(endMs, refusedMs.get(name) ?? endMs));
    }
  }
  return history.calls.flatMap((call) => {
    const { fromMs, toMs } = keys.get(call.key) ?? { fromMs: Infinity, toMs: -Infinity };
    const isServed = call.status >= 200 && call.status < 300;
    const isLate = call.startMs > toMs + configMs && !wasDisturbed(history, toMs, call.endMs);
    const refusedAtMs = refusedMs.get(`${call.process} ${call.key}`);
    const wentBack = refusedAtMs !== undefined && call.startMs > refusedAtMs;
    const isHeld = call.startMs > fromMs + configMs && call.endMs < toMs;
    const isDenied = call.status === 401 && isHeld && !wasDisturbed(history, fromMs, call.endMs);
    return [
      ...(isServed && fromMs === Infinity ? [`${describe(call)}: the key never existed`] : []),
      ...(isServed && isLate ? [`${describe(call)}: the key was taken away`] : []),
      ...(isServed && wentBack ? [`${describe(call)}: the key was refused before`] : []),
      ...(isDenied ? [`${describe(call)}: the key holds`] : []),
    ];
  });
}

/** An endpoint that drains gets no new work once gateways can know of it. */
function checkDrains(history: SoakHistory): readonly string[] {
  return history.faults
    .filter(({ kind }) => kind === FaultKind.DrainEndpoint)
    .flatMap((fault) =>
      history.runs
        .filter(
          ({ endpoint, atMs }) =>
            endpoint === fault.target &&
            atMs > fault.startMs + drainMs &&
            !wasDisturbed(history, fault.startMs, atMs),
        )
        .map(({ id, atMs }) => `${id} ran at ${fault.target} ${atMs - fault.startMs} ms after`),
    );
}

/** Planned work alone cuts no request that was read. */
function checkPlannedWork(history: SoakHistory): readonly string[] {
  const unplanned = history.faults.filter(({ kind }) => !plannedFaults.has(kind));
  const cut = history.calls.filter(
    ({ startMs, endMs, outcome }) =>
      (outcome === CallOutcome.Partial || outcome === CallOutcome.None) &&
      !unplanned.some((fault) => overlaps(fault, startMs - stableMs, endMs)),
  );
  return cut.filter(({ detail }) => !detail.includes('ECONNREFUSED')).map(describe);
}

/** Every call ends by the timeout of its route, unless its connection or gateway was disturbed. */
function checkTimeouts(history: SoakHistory): readonly string[] {
  const faults = history.faults.filter(
    ({ kind }) => gatewayFaults.has(kind) || callerFaults.has(kind),
  );
  return history.calls
    .filter(
      ({ gateway, startMs, endMs }) =>
        endMs - startMs > timeoutMs + timeoutSlackMs &&
        !faults.some((fault) => fault.target === gateway && overlaps(fault, startMs, endMs)),
    )
    .map((call) => `${describe(call)}: took ${call.endMs - call.startMs} ms`);
}

/** Once all faults are over, every kind of request is served at every gateway. */
function checkRecovery(history: SoakHistory): readonly string[] {
  const { calmFromMs } = history;
  if (calmFromMs === undefined) {
    return [];
  }
  const late = history.calls.filter(
    ({ startMs, key }) =>
      startMs > calmFromMs + recoverMs &&
      history.keys.some((record) => record.key === key && record.toMs === Infinity),
  );
  const gateways = new Set(history.calls.map(({ gateway }) => gateway));
  return [...gateways].flatMap((gateway) =>
    Object.values(RequestKind).flatMap((kind) => {
      const calls = late.filter((call) => call.gateway === gateway && call.kind === kind);
      const served = calls.filter(({ outcome }) => outcome === CallOutcome.Whole);
      return served.length >= recoveredShare * calls.length && calls.length > 0
        ? []
        : [`${gateway} serves ${served.length} of ${calls.length} requests (${kind})`];
    }),
  );
}

/**
 * Checks the promises on what callers and back ends saw.
 *
 * @param history - The run so far; what depends on calls under way is judged once they ended.
 * @returns Violations by promise.
 */
export function checkPromises(history: SoakHistory): Readonly<Record<string, readonly string[]>> {
  return {
    submissionsRunOnce: checkOnce(history),
    refusalsAreTrue: checkRefusals(history),
    answersAreWholeAndOwn: checkAnswers(history),
    onlyWhatWasSentRuns: checkRuns(history),
    layersRunOnceInOrder: checkLayers(history),
    keysHoldAsConfigured: checkKeys(history),
    drainingGetsNoWork: checkDrains(history),
    plannedWorkCutsNothing: checkPlannedWork(history),
    callsEndInTime: checkTimeouts(history),
    gatewaysKeepRunning: history.incidents,
    systemRecovers: checkRecovery(history),
  };
}
