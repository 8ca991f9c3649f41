import { nameOf } from './callEndCheckers.js';
import {
  callerFaults,
  configChanges,
  formatCall,
  overlaps,
  plannedFaults,
  soundFaults,
  storeFaults,
  wasOutOfTouch,
} from './faultTimes.js';
import {
  CallOutcome,
  FaultKind,
  streamKinds,
  type CallRecord,
  type FaultRecord,
  type SoakHistory,
} from './records.js';
import { shutdownGraceMs, timeoutOf } from './timeLimits.js';

/** Time without a disturbance before a request from which on it counts, in milliseconds; stated by the users. */
const stableWindowMs = 3_000;

/** Time after its last byte from which on a request has been read, in milliseconds; stated by the users. */
const readMs = 200;

/** Time after a reload or a configuration until which it may be taking effect, in milliseconds; stated by the users. */
const configMs = 2_000;

/** Time for which cuts count after the end of planned work, in milliseconds; stated by the users. */
const plannedWorkTailMs = 1_000;

/** Part of the grace period in which an endpoint that is still at work excuses a cut; stated by the users. */
const lateGraceShare = 1 / 6;

/** Time after SIGTERM until which requests are excused so, in milliseconds; stated by the users. */
const lateGraceSentMs = 3_000;

/** Share of its time after which a request doesn't count beside a configuration; stated by the users. */
const maxUsedTimeShare = 0.7;

/** How many times as often as otherwise a gateway may cut requests beside a configuration; stated by the users. */
const maxCutRatio = 3;

/** Number of requests from kept connections that may end so without an answer; stated by the users. */
const toleratedKeptCuts = 3;

/** Planned work during which a call ended. */
enum PlannedWork {
  None = 'at other times',
  Stop = 'beside a stop',
  Reload = 'beside a reload',
  Configuration = 'beside a configuration',
}

/** Calls without an unplanned disturbance, and those of them that count as cut. */
export interface CutCounts {
  readonly calls: number;
  readonly cuts: number;
}

/** A call without an unplanned disturbance. */
interface JudgedCall {
  readonly call: CallRecord;
  readonly work: PlannedWork;
  /** Whether it was read whole and ended without a complete answer for no reason that excuses it. */
  readonly isCut: boolean;
}

function isUnplanned({ kind }: FaultRecord): boolean {
  return !plannedFaults.has(kind) && !soundFaults.has(kind) && kind !== FaultKind.CallerCrowd;
}

/** Returns whether a fault excuses a call; the store's and its links' excuse streams only. */
function disturbs(fault: FaultRecord, { kind, startMs, endMs }: CallRecord): boolean {
  const canExcuse = streamKinds.has(kind) || !storeFaults.has(fault.kind);
  return canExcuse && overlaps(fault, startMs - stableWindowMs, endMs);
}

function endedWithoutAnswer({ outcome, detail, kind, startMs, endMs }: CallRecord): boolean {
  return (
    (outcome === CallOutcome.Truncated || outcome === CallOutcome.NoStatus) &&
    !detail.includes('ECONNREFUSED') &&
    endMs - startMs < timeoutOf(kind)
  );
}

/** Returns the names of the endpoints at which a call was run or to which it was passed on. */
function endpointsOf(history: SoakHistory, { id }: CallRecord): ReadonlySet<string> {
  const runs = history.runs.filter((run) => run.id === id);
  const arrivals = history.arrivals.filter((arrival) => arrival.id === id);
  return new Set(
    [
      ...runs.flatMap(({ endpoint, path }) => [endpoint, ...path]),
      ...arrivals.map(({ endpoint }) => endpoint),
    ].map(nameOf),
  );
}

function hasEndpointEnded(history: SoakHistory, call: CallRecord): boolean {
  const used = endpointsOf(history, call);
  return history.crashes.some(
    ({ endpoint, atMs }) =>
      used.has(nameOf(endpoint)) && atMs >= call.startMs && atMs <= call.endMs,
  );
}

function stopsOf({ faults }: SoakHistory, { gateway }: CallRecord): readonly FaultRecord[] {
  return faults.filter(({ kind, target }) => kind === FaultKind.StopGateway && target === gateway);
}

/** Returns whether an endpoint was still at work on a call when the grace period was nearly over. */
function wasDrainedToTheEnd(history: SoakHistory, call: CallRecord): boolean {
  return (
    history.runs.some(({ id }) => id === call.id) &&
    stopsOf(history, call).some(
      (stop) =>
        call.startMs <= stop.startMs + lateGraceSentMs &&
        call.endMs >= stop.startMs + (1 - lateGraceShare) * shutdownGraceMs &&
        call.endMs <= stop.startMs + shutdownGraceMs + plannedWorkTailMs,
    )
  );
}

function plannedWorkOf(history: SoakHistory, call: CallRecord): PlannedWork {
  const { gateway, startMs, endMs } = call;
  const isInStop = stopsOf(history, call).some(
    (stop) => endMs >= stop.startMs && endMs <= stop.startMs + shutdownGraceMs + plannedWorkTailMs,
  );
  if (isInStop) {
    return PlannedWork.Stop;
  }
  const isInReload = history.faults.some(
    ({ kind, target, startMs: atMs }) =>
      kind === FaultKind.ReloadGateway &&
      target === gateway &&
      startMs <= atMs + configMs &&
      endMs >= atMs,
  );
  if (isInReload) {
    return PlannedWork.Reload;
  }
  const isInChange = history.faults.some(
    (fault) =>
      configChanges.has(fault.kind) && overlaps(fault, endMs - configMs - plannedWorkTailMs, endMs),
  );
  return isInChange ? PlannedWork.Configuration : PlannedWork.None;
}

function judgeCalls(history: SoakHistory): readonly JudgedCall[] {
  const unplanned = history.faults.filter(isUnplanned);
  const passedOn = new Set(history.arrivals.map(({ id }) => id));
  return history.calls
    .filter((call) => !unplanned.some((fault) => disturbs(fault, call)))
    .map((call) => {
      const work = plannedWorkOf(history, call);
      const usedMs = call.endMs - call.startMs;
      const isLateForChange =
        work === PlannedWork.Configuration && usedMs >= maxUsedTimeShare * timeoutOf(call.kind);
      const isCut =
        endedWithoutAnswer(call) &&
        (passedOn.has(call.id) || usedMs > readMs) &&
        !isLateForChange &&
        !hasEndpointEnded(history, call) &&
        !wasDrainedToTheEnd(history, call);
      return { call, work, isCut };
    });
}

function count(judged: readonly JudgedCall[]): CutCounts {
  return { calls: judged.length, cuts: judged.filter(({ isCut }) => isCut).length };
}

/** Returns whether a gateway cuts calls more often beside configurations than the rule allows. */
function exceedsCutRatio(inside: CutCounts, outside: CutCounts): boolean {
  return inside.cuts * outside.calls > maxCutRatio * outside.cuts * inside.calls;
}

/** Returns the cuts beside configurations of each gateway that makes too many of them. */
function cutsBesideChanges(judged: readonly JudgedCall[]): readonly JudgedCall[] {
  return [...new Set(judged.map(({ call }) => call.gateway))].flatMap((gateway) => {
    const ofGateway = judged.filter(({ call }) => call.gateway === gateway);
    const inside = ofGateway.filter(({ work }) => work === PlannedWork.Configuration);
    const outside = count(ofGateway.filter(({ work }) => work === PlannedWork.None));
    const isTooOften = outside.cuts === 0 || exceedsCutRatio(count(inside), outside);
    return isTooOften ? inside.filter(({ isCut }) => isCut) : [];
  });
}

/** Returns the calls from kept connections that gateways in touch left without an answer, if they are too many. */
function cutKeptConnections(history: SoakHistory): readonly CallRecord[] {
  const passedOn = new Set(history.arrivals.map(({ id }) => id));
  const cuts = history.calls.filter((call) => {
    const { id, outcome, isOnKeptConnection, gateway, startMs, endMs } = call;
    if (
      outcome !== CallOutcome.NoStatus ||
      !isOnKeptConnection ||
      !endedWithoutAnswer(call) ||
      !passedOn.has(id) ||
      wasOutOfTouch(history, gateway, startMs, endMs, stableWindowMs)
    ) {
      return false;
    }
    const used = endpointsOf(history, call);
    const isDisturbed = history.faults.some(
      (fault) =>
        isUnplanned(fault) &&
        (used.has(nameOf(fault.target)) ||
          (callerFaults.has(fault.kind) && fault.target === gateway)) &&
        overlaps(fault, startMs - stableWindowMs, endMs),
    );
    return !isDisturbed && !hasEndpointEnded(history, call);
  });
  return cuts.length > toleratedKeptCuts ? cuts : [];
}

/**
 * Checks that no request that a gateway has read whole ends without a complete answer around planned work,
 * unless an unplanned disturbance, its endpoint or its time has ended it; and that gateways in touch don't
 * close kept connections instead of answering what they have passed on to sound endpoints.
 */
export function checkWholeRequests(history: SoakHistory): readonly string[] {
  const judged = judgeCalls(history);
  const isInOwnWork = ({ work, isCut }: JudgedCall) =>
    isCut && (work === PlannedWork.Stop || work === PlannedWork.Reload);
  return [
    ...[...judged.filter(isInOwnWork), ...cutsBesideChanges(judged)].map(
      ({ call, work }) => `${formatCall(call)}: cut ${work}`,
    ),
    ...cutKeptConnections(history).map((call) => `${formatCall(call)}: cut on a kept connection`),
  ];
}

/** Returns how many calls without an unplanned disturbance ended beside each kind of planned work, and how many of them were cut. */
export function countCuts(history: SoakHistory): Readonly<Record<string, CutCounts>> {
  const judged = judgeCalls(history);
  return Object.fromEntries(
    Object.values(PlannedWork).map((work) => [
      work,
      count(judged.filter((each) => each.work === work)),
    ]),
  );
}
