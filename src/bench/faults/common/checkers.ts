import { RunState } from '../../../services/problem/common/problem.js';
import { HistoryKind, type HistoryEvent } from '../../../standin/common/historyEvent.js';
import { checkLayers, runsByKey } from '../../common/promises.js';
import {
  CallEnd,
  CallKind,
  FaultKind,
  type CallRecord,
  type FaultHistory,
  type FaultRecord,
} from './records.js';

/** Result of checking one promise. */
export interface PromiseResult {
  /** Cases that were checked. */
  readonly runs: number;
  readonly violations: readonly string[];
  /** Cases in which the history does not tell. */
  readonly undecided: number;
}

/** Results by promise. */
export type PromiseResults = Readonly<Record<string, PromiseResult>>;

/** Time after its own notice from which an endpoint must get no new work, in milliseconds. */
const ownNoticeMs = 1_000;

/** Time after the instance list's entry from which an endpoint must get no new work, in ms. */
const listNoticeMs = 4_000;

/** Time within which an accepted change must be in force everywhere, in milliseconds. */
const inForceLimitMs = 15_000;

/** Faults during which a change may take longer than usual to be in force. */
const platformFaults = new Set([FaultKind.PlatformOutage, FaultKind.PlatformSlow]);

function overlaps(fault: FaultRecord, startMs: number, endMs: number): boolean {
  return fault.startMs <= endMs && fault.endMs >= startMs;
}

function describe(call: CallRecord): string {
  const { kind, entry, key, end, run, status, detail } = call;
  return `${kind} at ${entry} key=${key ?? '-'} ${end} run=${run ?? '-'} ${status} ${detail}`;
}

function isSubmission(call: CallRecord): boolean {
  return call.kind === CallKind.Submission || call.kind === CallKind.ChatSubmission;
}

function checkOnce(events: readonly HistoryEvent[], layers: number): PromiseResult {
  const { checked, faults } = checkLayers(events, layers);
  const violations = faults.map((fault) => `${fault.sequence}: ${fault.reason}`);
  return { runs: checked, violations, undecided: 0 };
}

/** Error with which a connection is refused: the call reached nobody. */
const refusedConnection = 'ECONNREFUSED';

/**
 * A connection may break without a word only if the entry that held it was killed. An entry that
 * was stopped refuses connections; there is no balancer here to send its callers elsewhere.
 */
function checkWhole(history: FaultHistory): PromiseResult {
  const ends = new Set([FaultKind.KillEntry, FaultKind.StopEntry]);
  const entryEnds = history.faults.filter((fault) => ends.has(fault.kind));
  const wasKilled = (call: CallRecord) =>
    entryEnds.some(
      (fault) =>
        fault.target === call.entry &&
        overlaps(fault, call.startMs, call.endMs) &&
        (fault.kind === FaultKind.KillEntry || call.detail.includes(refusedConnection)),
    );
  const broken = history.calls.filter((call) => call.end === CallEnd.Broken);
  const bad = [
    ...history.calls.filter((call) => call.end === CallEnd.Wrong),
    ...broken.filter((call) => !wasKilled(call)),
  ];
  return {
    runs: history.calls.length,
    violations: bad.map(describe),
    undecided: broken.filter(wasKilled).length,
  };
}

/** Times at which each submission began to run, by its key. */
function runTimes(events: readonly HistoryEvent[]): ReadonlyMap<string, readonly number[]> {
  const times = new Map<string, number[]>();
  for (const event of events) {
    if (event.kind === HistoryKind.CallRun) {
      times.set(event.subject, [...(times.get(event.subject) ?? []), event.atMs]);
    }
  }
  return times;
}

/** A refusal is false if the request had run before the refused call began. */
function checkNotRun(history: FaultHistory, events: readonly HistoryEvent[]): PromiseResult {
  const times = runTimes(events);
  const refusals = history.calls.filter((call) => call.run === RunState.NotRun);
  const violations = refusals.filter((call) => {
    const ran = call.key === undefined ? [] : (times.get(call.key) ?? []);
    const otherCalls = history.calls.filter((other) => other !== call && other.key === call.key);
    const ranInSecret = ran.length > 0 && otherCalls.length === 0;
    return ran.some((atMs) => atMs < call.startMs) || ranInSecret;
  });
  return { runs: refusals.length, violations: violations.map(describe), undecided: 0 };
}

/** Attempts of chat submissions by the digest that stands for their key. */
function chatAttempts(events: readonly HistoryEvent[]): ReadonlyMap<string, ReadonlySet<string>> {
  const attempts = new Map<string, Set<string>>();
  for (const { kind, subject } of events) {
    const match = /^([0-9a-f]{32})\.\d+\//.exec(subject);
    if (kind === HistoryKind.LayersRun && match) {
      const sequences = attempts.get(match[1]) ?? new Set<string>();
      attempts.set(match[1], sequences.add(subject));
    }
  }
  return attempts;
}

function checkAtMostOnce(history: FaultHistory, events: readonly HistoryEvent[]): PromiseResult {
  const keys = new Set(history.calls.filter(isSubmission).map((call) => call.key));
  const services = [...runsByKey(events)]
    .filter(([, runs]) => runs > 1)
    .map(([key, runs]) => `${key} ran ${runs} times`);
  const chats = [...chatAttempts(events)]
    .filter(([, sequences]) => sequences.size > 1)
    .map(([, sequences]) => `ran as ${[...sequences].join(' and ')}`);
  return { runs: keys.size, violations: [...services, ...chats], undecided: 0 };
}

/** Times at which an endpoint took new work. */
function newWork(events: readonly HistoryEvent[], endpoint: string): readonly number[] {
  const seen = new Set<string>();
  return events.flatMap((event) => {
    const isNew = event.kind !== HistoryKind.Order && !seen.has(event.subject);
    if (event.endpoint !== endpoint || !isNew) {
      return [];
    }
    seen.add(event.subject);
    return [event.atMs];
  });
}

function checkLeaving(history: FaultHistory, events: readonly HistoryEvent[]): PromiseResult {
  const limits = new Map([
    [FaultKind.StopAgent, ownNoticeMs],
    [FaultKind.ListLeaving, listNoticeMs],
  ]);
  const leavings = history.faults.filter((fault) => limits.has(fault.kind));
  const violations = leavings.flatMap(({ kind, target, startMs, endMs }) => {
    const fromMs = startMs + (limits.get(kind) ?? 0);
    const late = newWork(events, target).filter((atMs) => atMs > fromMs && atMs < endMs);
    return late.map((atMs) => `${target} took new work ${atMs - startMs} ms after ${kind}`);
  });
  return { runs: leavings.length, violations, undecided: 0 };
}

/**
 * Tells whether a key's outcome was lost before a stop began: an earlier call of the key had ended
 * without an answer and no call was answered, so that later calls can't be answered either.
 */
function wasLostBefore(history: FaultHistory, stop: FaultRecord, call: CallRecord): boolean {
  const earlier = history.calls.filter(
    ({ key, endMs }) => call.key !== undefined && key === call.key && endMs < stop.startMs,
  );
  return (
    earlier.some(({ end, run }) => end !== CallEnd.Whole && run !== RunState.NotRun) &&
    earlier.every(({ end }) => end !== CallEnd.Whole)
  );
}

/** During a planned stop alone, no call may end in anything but an answer or an honest refusal. */
function checkStops(history: FaultHistory): PromiseResult {
  const planned = new Set([FaultKind.StopAgent, FaultKind.StopEntry]);
  const stops = history.faults.filter((fault) => planned.has(fault.kind));
  const others = history.faults.filter(
    (fault) => !planned.has(fault.kind) && fault.kind !== FaultKind.OperatorRace,
  );
  const cut = history.calls.filter((call) => {
    const duringStop = stops.some(
      (stop) => overlaps(stop, call.startMs, call.endMs) && !wasLostBefore(history, stop, call),
    );
    const duringOther = others.some((other) => overlaps(other, call.startMs, call.endMs));
    const isRefused = call.end === CallEnd.Broken && call.detail.includes(refusedConnection);
    const isHonest = isRefused || (call.end === CallEnd.Problem && call.run === RunState.NotRun);
    return duringStop && !duringOther && call.end !== CallEnd.Whole && !isHonest;
  });
  return {
    runs: stops.length,
    violations: [...cut.map(describe), ...history.badExits],
    undecided: 0,
  };
}

function checkConfiguration(history: FaultHistory): PromiseResult {
  const stored = new Set(history.storedChanges);
  const accepted = history.changes.filter((change) => change.status === 200);
  const lost = accepted.filter((change) => !stored.has(change.id));
  const slow = accepted.filter((change) => {
    const duringFault = history.faults.some(
      (fault) =>
        platformFaults.has(fault.kind) &&
        overlaps(fault, change.atMs, change.atMs + inForceLimitMs),
    );
    const { inForceMs } = change;
    return !duringFault && inForceMs !== undefined && inForceMs > inForceLimitMs;
  });
  const highest = new Map<string, number>();
  const reverted = history.samples.filter(({ incarnation, revision }) => {
    const before = highest.get(incarnation) ?? 0;
    highest.set(incarnation, Math.max(before, revision));
    return revision < before;
  });
  const revisions = accepted.map((change) => change.revision);
  const twice = revisions.filter((revision, index) => revisions.indexOf(revision) !== index);
  return {
    runs: accepted.length,
    violations: [
      ...lost.map((change) => `accepted change ${change.id} is not stored`),
      ...slow.map((change) => `change ${change.id} took ${change.inForceMs} ms`),
      ...reverted.map((sample) => `${sample.entry} went back to revision ${sample.revision}`),
      ...twice.map((revision) => `revision ${revision} was given to two changes`),
    ],
    undecided: history.changes.filter((change) => change.status === 503).length,
  };
}

/**
 * Checks the seven promises of the brief on a history.
 *
 * @param history - What callers, operators and the fault driver recorded.
 * @param events - What the stand-ins recorded.
 * @param layers - Number of layers of the model.
 * @returns The results by promise.
 */
export function checkPromises(
  history: FaultHistory,
  events: readonly HistoryEvent[],
  layers: number,
): PromiseResults {
  return {
    layersOnceInOrder: checkOnce(events, layers),
    wholeOwnAnswer: checkWhole(history),
    notRunIsTrue: checkNotRun(history, events),
    submissionsAtMostOnce: checkAtMostOnce(history, events),
    leavingGetsNoWork: checkLeaving(history, events),
    plannedStopsCutNothing: checkStops(history),
    configurationInForce: checkConfiguration(history),
  };
}
