import { crowdPrefix, notRunStatuses } from '../../platform/test/crowdPlan.js';
import type { ObservedRun } from '../../platform/test/wireViews.js';
import {
  CallOutcome,
  FaultKind,
  RequestKind,
  servicesByKind,
  type CallRecord,
  type SoakHistory,
} from './records.js';
import { checkPlannedWork, checkStatuses } from './callEndCheckers.js';
import {
  callerFaults,
  formatCall,
  gatewayFaults,
  gatewaysById,
  overlaps,
  wasOutOfTouch,
} from './faultTimes.js';
import { checkServedBesideFaultyAnswers } from './bystanderCheckers.js';
import { checkCrashingParts, checkSoundParts } from './partCheckers.js';
import { checkCrowdRefusals, checkServedBesideCrowds } from './crowdCheckers.js';
import { checkLeaving, checkPauses } from './signalCheckers.js';
import { timeoutOf } from './timeLimits.js';
import { checkWholeRequests } from './wholeRequestCheckers.js';

/** First part of the last path segment of requests that crash endpoints. */
export const crashingPrefix = 'crash-';

/** Retries of all gateways that the settings allow for one service. */
export const retryBudget = { ratio: 0.2, windowMs: 10_000, slack: 60 } as const;

/** Number of crashes after which a request must not be sent to endpoints again. */
const maxCrashes = 3;

/**
 * Time after its last allowed crash within which every gateway must know of a crashing request, in
 * milliseconds, and number of later runs that are tolerated; required by the users.
 */
const crashKnowledgeMs = 3_000;
const maxLateRuns = 3;

/** Number of layers of the model that the stand-in endpoints hold. */
export const modelLayerCount = 8;

/**
 * Time within which a configuration change must take effect, in milliseconds; required by the
 * users.
 */
const configPropagationMs = 3_000;

/**
 * Time after which a draining endpoint must receive no new requests, in milliseconds; required by
 * the users.
 */
const drainPropagationMs = 3_000;

/** Rate that endpoints in need name, in requests per second. */
export const namedLimitPerSecond = 3;

/** Span in which the requests to such an endpoint are counted, in milliseconds; stated by the users. */
const limitSpanMs = 4_000;

/** Most requests that it may get in a span; stated by the users. */
const maxPerLimitSpan = (1.5 * namedLimitPerSecond * limitSpanMs) / 1_000 + 5;

/** Time from which the requests count after it named its limit, in milliseconds; stated by the users. */
const limitNoticeMs = 3_000;

/**
 * Time after the last fault within which requests are served again, in milliseconds; required by
 * the users.
 */
export const maxRecoveryMs = 15_000;

/** Time by which a call may exceed the timeout of its route, in milliseconds. */
const timeoutToleranceMs = 500;

/** Minimum share of requests that must be served once the system has recovered. */
const minServedShare = 0.9;

function runsById(history: SoakHistory): ReadonlyMap<string, readonly ObservedRun[]> {
  const runs = new Map<string, ObservedRun[]>();
  for (const run of history.runs) {
    runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  }
  return runs;
}

/** Checks that each submission ran at most once, under any fault. */
function checkSubmissionsRunOnce(history: SoakHistory): readonly string[] {
  const runs = runsById(history);
  return history.calls.flatMap((call) => {
    const count = runs.get(call.id)?.length ?? 0;
    return call.kind === RequestKind.Submission && count > 1
      ? [`${call.id} ran ${count} times`]
      : [];
  });
}

/**
 * Checks that no submission ran whose refusal states that it did not run, and that 429 and 503
 * answers say when to retry.
 */
function checkRefusals(history: SoakHistory): readonly string[] {
  const runs = runsById(history);
  return history.calls.flatMap((call) => {
    if (!notRunStatuses.has(call.status)) {
      return [];
    }
    const hasRun = call.kind === RequestKind.Submission && runs.has(call.id);
    const hasRequiredRetryAfter =
      call.hasRetryAfter || (call.status !== 503 && call.status !== 429);
    return [
      ...(hasRun ? [`${formatCall(call)}: refused as not run, but it ran`] : []),
      ...(hasRequiredRetryAfter ? [] : [`${formatCall(call)}: no Retry-After header`]),
    ];
  });
}

/** Checks that each answer that looks complete is the complete answer to its own request. */
function checkAnswersMatch(history: SoakHistory): readonly string[] {
  return history.calls.filter(({ outcome }) => outcome === CallOutcome.Mismatch).map(formatCall);
}

/**
 * Checks that back ends run exactly what callers sent, for the organisation of the caller's key,
 * and do not receive the key itself.
 */
function checkRunsMatchCalls(history: SoakHistory): readonly string[] {
  const calls = new Map(history.calls.map((call) => [call.id, call]));
  const organisations = new Map(history.keys.map(({ key, organisation }) => [key, organisation]));
  return history.runs.flatMap((run) => {
    const call = calls.get(run.id);
    if (call === undefined) {
      return []; // the call is still in progress
    }
    const matchesCall = run.target === call.target && run.body === call.body;
    const hasCorrectIdentity = run.organisation === organisations.get(call.key) && !run.hasKey;
    return [
      ...(matchesCall ? [] : [`${run.id} ran with a target or body that its caller did not send`]),
      ...(hasCorrectIdentity
        ? []
        : [`${run.id} ran for organisation ${run.organisation ?? 'none'}, hasKey=${run.hasKey}`]),
    ];
  });
}

/**
 * Checks that each path runs every layer once and in order, and that no endpoint is ordered to hold
 * more layers than its memory holds.
 */
function checkLayers(history: SoakHistory): readonly string[] {
  const pathViolations = history.runs.flatMap(({ id, ranges }) => {
    const isComplete =
      ranges.every(([from, to], index) => from === (ranges[index - 1]?.[1] ?? 0) && to > from) &&
      (ranges.length === 0 || ranges[ranges.length - 1][1] === modelLayerCount);
    return isComplete ? [] : [`${id} ran over layer ranges ${JSON.stringify(ranges)}`];
  });
  const orderViolations = history.orders.flatMap(({ endpoint, layers, maxLayers }) =>
    layers > maxLayers
      ? [`${endpoint} was ordered to hold ${layers} layers, at most ${maxLayers} fit`]
      : [],
  );
  return [...pathViolations, ...orderViolations];
}

/**
 * Checks that a key works only while the configuration contains it, and that a process that refused
 * a revoked key never accepts it again.
 */
function checkKeys(history: SoakHistory): readonly string[] {
  const keys = new Map(history.keys.map((record) => [record.key, record]));
  const firstRefusalMs = new Map<string, number>();
  for (const { process, key, status, endMs } of history.calls) {
    const processKey = `${process} ${key}`;
    if (status === 401 && endMs > (keys.get(key)?.toMs ?? 0)) {
      firstRefusalMs.set(processKey, Math.min(endMs, firstRefusalMs.get(processKey) ?? endMs));
    }
  }
  return history.calls.flatMap((call) => {
    const { fromMs, toMs } = keys.get(call.key) ?? { fromMs: Infinity, toMs: -Infinity };
    const isServed = call.status >= 200 && call.status < 300;
    const isAfterRevocation =
      call.startMs > toMs + configPropagationMs &&
      !wasOutOfTouch(history, call.gateway, call.startMs, call.endMs);
    const refusedAtMs = firstRefusalMs.get(`${call.process} ${call.key}`);
    const wasRefusedBefore = refusedAtMs !== undefined && call.startMs > refusedAtMs;
    const isInForce = call.startMs > fromMs + configPropagationMs && call.endMs < toMs;
    const isWronglyRefused =
      call.status === 401 &&
      isInForce &&
      !wasOutOfTouch(history, call.gateway, call.startMs, call.endMs);
    return [
      ...(isServed && fromMs === Infinity ? [`${formatCall(call)}: the key never existed`] : []),
      ...(isServed && isAfterRevocation ? [`${formatCall(call)}: the key was revoked`] : []),
      ...(isServed && wasRefusedBefore
        ? [`${formatCall(call)}: the same process refused the key before`]
        : []),
      ...(isWronglyRefused ? [`${formatCall(call)}: the key is in the configuration`] : []),
    ];
  });
}

/** Checks that an endpoint that leaves receives no new requests once gateways can know of it. */
function checkDrains(history: SoakHistory): readonly string[] {
  const gateways = gatewaysById(history);
  return history.faults
    .filter(
      ({ kind }) => kind === FaultKind.DrainEndpoint || kind === FaultKind.RemoveEndpointEntry,
    )
    .flatMap((fault) =>
      history.runs
        .filter(
          ({ id, endpoint, atMs }) =>
            endpoint === fault.target &&
            atMs > fault.startMs + drainPropagationMs &&
            !wasOutOfTouch(history, gateways.get(id), atMs),
        )
        .map(
          ({ id, atMs }) =>
            `${id} ran at ${fault.target} ${atMs - fault.startMs} ms after it began to leave (${fault.kind})`,
        ),
    );
}

/** Checks that all gateways together keep the limit that an endpoint names. */
function checkLimits(history: SoakHistory): readonly string[] {
  const gateways = gatewaysById(history);
  return history.faults
    .filter(({ kind }) => kind === FaultKind.EndpointNamesLimit)
    .flatMap(({ target, startMs, endMs }) => {
      const countedTimes = history.runs
        .filter(
          ({ id, endpoint, atMs }) =>
            endpoint === target &&
            atMs > startMs + limitNoticeMs &&
            atMs < endMs &&
            !wasOutOfTouch(history, gateways.get(id), atMs),
        )
        .map(({ atMs }) => atMs);
      return countedTimes.flatMap((fromMs) => {
        const count = countedTimes.filter(
          (atMs) => atMs >= fromMs && atMs < fromMs + limitSpanMs,
        ).length;
        return count > maxPerLimitSpan ? [`${target} got ${count} requests from ${fromMs} on`] : [];
      });
    });
}

/**
 * Checks that every call ends by the timeout of its route, unless a fault hit its connection or its
 * gateway.
 */
function checkTimeouts(history: SoakHistory): readonly string[] {
  const excusingFaults = history.faults.filter(
    ({ kind }) => gatewayFaults.has(kind) || callerFaults.has(kind),
  );
  return history.calls
    .filter(
      ({ kind, gateway, startMs, endMs }) =>
        endMs - startMs > timeoutOf(kind) + timeoutToleranceMs &&
        !excusingFaults.some(
          (fault) => fault.target === gateway && overlaps(fault, startMs, endMs),
        ),
    )
    .map((call) => `${formatCall(call)}: took ${call.endMs - call.startMs} ms`);
}

/** Checks that a request that crashes its endpoints soon reaches none, whatever gateways and store do. */
function checkCrashingRequests(history: SoakHistory): readonly string[] {
  const crashingRuns = history.runs.filter(({ target }) => target.includes(`/${crashingPrefix}`));
  return [...new Set(crashingRuns.map(({ target }) => target))].flatMap((target) => {
    const times = crashingRuns.filter((run) => run.target === target).map(({ atMs }) => atMs);
    const [lastAllowedMs = Infinity] = times.sort((a, b) => a - b).slice(maxCrashes - 1);
    const late = times.filter((atMs) => atMs > lastAllowedMs + crashKnowledgeMs);
    return late.length > maxLateRuns ? [`${target} ran ${late.length} times too late`] : [];
  });
}

/** Returns the kinds of requests that go to the same services, by the names of these. */
function kindsByServices(): ReadonlyMap<string, readonly RequestKind[]> {
  const kinds = new Map<string, readonly RequestKind[]>();
  Object.values(RequestKind).forEach((kind) => {
    const services = servicesByKind[kind].join();
    kinds.set(services, [...(kinds.get(services) ?? []), kind]);
  });
  return kinds;
}

/**
 * Checks that all gateways together run the requests of a service again no more often than allowed. Requests of
 * any kind count for the budget of the service to which they go.
 */
function checkRetries(history: SoakHistory): readonly string[] {
  return [...kindsByServices()].flatMap(([services, kinds]) => {
    const runs = history.runs.filter(({ target }) =>
      kinds.some((kind) => target.startsWith(`/${kind}/`)),
    );
    const seen = new Set<string>();
    const repeats = [...runs]
      .sort((a, b) => a.atMs - b.atMs)
      .filter(({ id }) => seen.size === seen.add(id).size);
    const callsMs = history.calls
      .filter(({ kind }) => kinds.includes(kind))
      .map((call) => call.startMs);
    // The calls of a crowd aren't recorded, but those that ran count as requests, too.
    const crowdIds = new Set<string>();
    const crowdMs = [...runs]
      .sort((a, b) => a.atMs - b.atMs)
      .filter(({ id }) => id.startsWith(crowdPrefix) && crowdIds.size !== crowdIds.add(id).size)
      .map(({ atMs }) => atMs);
    const startsMs = [...callsMs, ...crowdMs];
    return repeats.flatMap(({ atMs: endMs }) => {
      const isInWindow = (atMs: number) => atMs > endMs - retryBudget.windowMs && atMs <= endMs;
      const repeated = repeats.filter(({ atMs }) => isInWindow(atMs)).length;
      const allowed =
        retryBudget.ratio * startsMs.filter(isInWindow).length +
        servicesByKind[kinds[0]].length * retryBudget.slack;
      return repeated > allowed ? [`${services} ran ${repeated} repeats until ${endMs}`] : [];
    });
  });
}

/** Returns the calls of a gateway and kind that count for the check of recovery. */
function callsAfterRecovery(
  { calls, keys, calmFromMs }: SoakHistory,
  gateway: string,
  kind: RequestKind,
): readonly CallRecord[] {
  return calls.filter(
    (call) =>
      call.gateway === gateway &&
      call.kind === kind &&
      call.startMs > (calmFromMs ?? Infinity) + maxRecoveryMs &&
      keys.some((record) => record.key === call.key && record.toMs === Infinity),
  );
}

function gatewaysOf({ calls }: SoakHistory): readonly string[] {
  return [...new Set(calls.map(({ gateway }) => gateway))];
}

/** Returns whether each gateway was asked for every kind of request after the recovery. */
export function isRecoveryObserved(history: SoakHistory): boolean {
  return gatewaysOf(history).every((gateway) =>
    Object.values(RequestKind).every(
      (kind) => callsAfterRecovery(history, gateway, kind).length > 0,
    ),
  );
}

/** Checks that every gateway serves every kind of request again after all faults have ended. */
function checkRecovery(history: SoakHistory): readonly string[] {
  if (history.calmFromMs === undefined) {
    return [];
  }
  return gatewaysOf(history).flatMap((gateway) =>
    Object.values(RequestKind).flatMap((kind) => {
      const calls = callsAfterRecovery(history, gateway, kind);
      const served = calls.filter(({ outcome }) => outcome === CallOutcome.Complete);
      return served.length >= minServedShare * calls.length && calls.length > 0
        ? []
        : [`${gateway} served ${served.length} of ${calls.length} ${kind} requests after recovery`];
    }),
  );
}

/**
 * Checks the guarantees of the system against what callers and back ends observed.
 *
 * @param history - The run so far. Checks that depend on a call consider it only after it has
 *   ended.
 * @returns Violations by the name of the guarantee.
 */
export function checkGuarantees(history: SoakHistory): Readonly<Record<string, readonly string[]>> {
  return {
    submissionsRunOnce: checkSubmissionsRunOnce(history),
    refusalsAreTrue: checkRefusals(history),
    answersAreWholeAndOwn: checkAnswersMatch(history),
    onlyWhatWasSentRuns: checkRunsMatchCalls(history),
    layersRunOnceInOrder: checkLayers(history),
    keysHoldAsConfigured: checkKeys(history),
    drainingGetsNoWork: checkDrains(history),
    limitsAreKept: checkLimits(history),
    leavingGetsNoWork: checkLeaving(history),
    pausesAreKept: checkPauses(history),
    plannedWorkCutsNothing: checkPlannedWork(history),
    wholeRequestsAreAnswered: checkWholeRequests(history),
    callsEndWithStatus: checkStatuses(history),
    callsEndInTime: checkTimeouts(history),
    gatewaysKeepRunning: history.incidents,
    systemRecovers: checkRecovery(history),
    crashingRequestsStop: checkCrashingRequests(history),
    crashingPartsStop: checkCrashingParts(history),
    soundPartsGoOn: checkSoundParts(history),
    retriesStayWithinBudget: checkRetries(history),
    crowdRefusalsAreTrue: checkCrowdRefusals(history),
    servesBesideCrowds: checkServedBesideCrowds(history),
    servesBesideFaultyAnswers: checkServedBesideFaultyAnswers(history),
  };
}
