import { RunState } from '../../../services/problem/common/problem.js';
import { HistoryKind, type HistoryEvent } from '../../../standin/common/historyEvent.js';
import { checkLayers, runsByKey } from '../../common/guarantees.js';
import {
  CallEnd,
  CallKind,
  FaultKind,
  type CallRecord,
  type FaultHistory,
  type FaultRecord,
} from './records.js';

/** Result of checking one promise. */
export interface GuaranteeResult {
  /** Cases that were checked. */
  readonly checkedCases: number;
  readonly violations: readonly string[];
  /** Cases in which the history does not tell. */
  readonly undecided: number;
}

/** Results by promise. */
export type GuaranteeResults = Readonly<Record<string, GuaranteeResult>>;

/** Time after its own notice from which an endpoint must get no new work, in milliseconds. */
const agentNoticeMs = 1_000;

/** Time after the instance list's entry from which an endpoint must get no new work, in ms. */
const instanceListNoticeMs = 4_000;

/** Time within which an accepted change must be in force everywhere, in milliseconds. */
const inForceLimitMs = 15_000;

/** Faults during which a change may take longer than usual to be in force. */
const platformFaultKinds = new Set([FaultKind.PlatformOutage, FaultKind.PlatformSlow]);

function overlaps(fault: FaultRecord, startMs: number, endMs: number): boolean {
  return fault.startMs <= endMs && fault.endMs >= startMs;
}

function describeCall(call: CallRecord): string {
  const { kind, entry, key, end, run, status, detail } = call;
  return `${kind} at ${entry} key=${key ?? '-'} ${end} run=${run ?? '-'} ${status} ${detail}`;
}

function isSubmission(call: CallRecord): boolean {
  return call.kind === CallKind.Submission || call.kind === CallKind.ChatSubmission;
}

function checkLayerRuns(events: readonly HistoryEvent[], layers: number): GuaranteeResult {
  const { checked, violations: layerViolations } = checkLayers(events, layers);
  const violations = layerViolations.map((fault) => `${fault.sequence}: ${fault.reason}`);
  return { checkedCases: checked, violations, undecided: 0 };
}

/** Error with which a connection is refused: the call reached nobody. */
const connectionRefusedCode = 'ECONNREFUSED';

/**
 * A connection may break without a word only if the entry that held it was killed. An entry that
 * was stopped refuses connections; there is no balancer here to send its callers elsewhere.
 */
function checkAnswers(history: FaultHistory): GuaranteeResult {
  const entryFaultKinds = new Set([FaultKind.KillEntry, FaultKind.StopEntry]);
  const entryFaults = history.faults.filter((fault) => entryFaultKinds.has(fault.kind));
  const isExplainedByEntryFault = (call: CallRecord) =>
    entryFaults.some(
      (fault) =>
        fault.target === call.entry &&
        overlaps(fault, call.startMs, call.endMs) &&
        (fault.kind === FaultKind.KillEntry || call.detail.includes(connectionRefusedCode)),
    );
  const brokenCalls = history.calls.filter((call) => call.end === CallEnd.Broken);
  const badCalls = [
    ...history.calls.filter((call) => call.end === CallEnd.Wrong),
    ...brokenCalls.filter((call) => !isExplainedByEntryFault(call)),
  ];
  return {
    checkedCases: history.calls.length,
    violations: badCalls.map(describeCall),
    undecided: brokenCalls.filter(isExplainedByEntryFault).length,
  };
}

/** Times at which each submission began to run, by its key. */
function runTimesByKey(events: readonly HistoryEvent[]): ReadonlyMap<string, readonly number[]> {
  const times = new Map<string, number[]>();
  for (const event of events) {
    if (event.kind === HistoryKind.CallRun) {
      times.set(event.subject, [...(times.get(event.subject) ?? []), event.atMs]);
    }
  }
  return times;
}

/** A refusal is false if the request had run before the refused call began. */
function checkNotRun(history: FaultHistory, events: readonly HistoryEvent[]): GuaranteeResult {
  const times = runTimesByKey(events);
  const refusals = history.calls.filter((call) => call.run === RunState.NotRun);
  const violations = refusals.filter((call) => {
    const ranAtMs = call.key === undefined ? [] : (times.get(call.key) ?? []);
    const otherCalls = history.calls.filter((other) => other !== call && other.key === call.key);
    const hasUnexplainedRun = ranAtMs.length > 0 && otherCalls.length === 0;
    return ranAtMs.some((atMs) => atMs < call.startMs) || hasUnexplainedRun;
  });
  return { checkedCases: refusals.length, violations: violations.map(describeCall), undecided: 0 };
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

function checkAtMostOnce(history: FaultHistory, events: readonly HistoryEvent[]): GuaranteeResult {
  const keys = new Set(history.calls.filter(isSubmission).map((call) => call.key));
  const repeatedCalls = [...runsByKey(events)]
    .filter(([, runs]) => runs > 1)
    .map(([key, runs]) => `${key} ran ${runs} times`);
  const repeatedChats = [...chatAttempts(events)]
    .filter(([, sequences]) => sequences.size > 1)
    .map(([, sequences]) => `ran as ${[...sequences].join(' and ')}`);
  return {
    checkedCases: keys.size,
    violations: [...repeatedCalls, ...repeatedChats],
    undecided: 0,
  };
}

/** Times at which an endpoint took new work. */
function newWorkTimes(events: readonly HistoryEvent[], endpoint: string): readonly number[] {
  const seenSubjects = new Set<string>();
  return events.flatMap((event) => {
    const isNew = event.kind !== HistoryKind.Order && !seenSubjects.has(event.subject);
    if (event.endpoint !== endpoint || !isNew) {
      return [];
    }
    seenSubjects.add(event.subject);
    return [event.atMs];
  });
}

function checkDraining(history: FaultHistory, events: readonly HistoryEvent[]): GuaranteeResult {
  const noticeTimesMs = new Map([
    [FaultKind.StopAgent, agentNoticeMs],
    [FaultKind.ListLeaving, instanceListNoticeMs],
  ]);
  const drains = history.faults.filter((fault) => noticeTimesMs.has(fault.kind));
  const violations = drains.flatMap(({ kind, target, startMs, endMs }) => {
    const fromMs = startMs + (noticeTimesMs.get(kind) ?? 0);
    const lateStarts = newWorkTimes(events, target).filter((atMs) => atMs > fromMs && atMs < endMs);
    return lateStarts.map((atMs) => `${target} took new work ${atMs - startMs} ms after ${kind}`);
  });
  return { checkedCases: drains.length, violations, undecided: 0 };
}

/**
 * Tells whether a key's outcome was lost before a stop began: an earlier call of the key had ended
 * without an answer and no call was answered, so that later calls can't be answered either.
 */
function wasOutcomeLostBefore(history: FaultHistory, stop: FaultRecord, call: CallRecord): boolean {
  const earlierCalls = history.calls.filter(
    ({ key, endMs }) => call.key !== undefined && key === call.key && endMs < stop.startMs,
  );
  return (
    earlierCalls.some(({ end, run }) => end !== CallEnd.Complete && run !== RunState.NotRun) &&
    earlierCalls.every(({ end }) => end !== CallEnd.Complete)
  );
}

/** During a planned stop alone, no call may end in anything but an answer or an honest refusal. */
function checkPlannedStops(history: FaultHistory): GuaranteeResult {
  const plannedKinds = new Set([FaultKind.StopAgent, FaultKind.StopEntry]);
  const stops = history.faults.filter((fault) => plannedKinds.has(fault.kind));
  const otherFaults = history.faults.filter(
    (fault) => !plannedKinds.has(fault.kind) && fault.kind !== FaultKind.OperatorRace,
  );
  const failedCalls = history.calls.filter((call) => {
    const duringStop = stops.some(
      (stop) =>
        overlaps(stop, call.startMs, call.endMs) && !wasOutcomeLostBefore(history, stop, call),
    );
    const duringOther = otherFaults.some((other) => overlaps(other, call.startMs, call.endMs));
    const isRefused = call.end === CallEnd.Broken && call.detail.includes(connectionRefusedCode);
    const isCorrectRefusal =
      isRefused || (call.end === CallEnd.Problem && call.run === RunState.NotRun);
    return duringStop && !duringOther && call.end !== CallEnd.Complete && !isCorrectRefusal;
  });
  return {
    checkedCases: stops.length,
    violations: [...failedCalls.map(describeCall), ...history.driverViolations],
    undecided: 0,
  };
}

function checkConfiguration(history: FaultHistory): GuaranteeResult {
  const storedIds = new Set(history.storedChanges);
  const accepted = history.changes.filter((change) => change.status === 200);
  const lostChanges = accepted.filter((change) => !storedIds.has(change.id));
  const slowChanges = accepted.filter((change) => {
    const duringFault = history.faults.some(
      (fault) =>
        platformFaultKinds.has(fault.kind) &&
        overlaps(fault, change.atMs, change.atMs + inForceLimitMs),
    );
    const { inForceMs } = change;
    return !duringFault && inForceMs !== undefined && inForceMs > inForceLimitMs;
  });
  const highestRevisions = new Map<string, number>();
  const revertedSamples = history.samples.filter(({ incarnation, revision }) => {
    const previousRevision = highestRevisions.get(incarnation) ?? 0;
    highestRevisions.set(incarnation, Math.max(previousRevision, revision));
    return revision < previousRevision;
  });
  const revisions = accepted.map((change) => change.revision);
  const duplicateRevisions = revisions.filter(
    (revision, index) => revisions.indexOf(revision) !== index,
  );
  return {
    checkedCases: accepted.length,
    violations: [
      ...lostChanges.map((change) => `accepted change ${change.id} is not stored`),
      ...slowChanges.map((change) => `change ${change.id} took ${change.inForceMs} ms`),
      ...revertedSamples.map(
        (sample) => `${sample.entry} went back to revision ${sample.revision}`,
      ),
      ...duplicateRevisions.map((revision) => `revision ${revision} was given to two changes`),
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
export function checkGuarantees(
  history: FaultHistory,
  events: readonly HistoryEvent[],
  layers: number,
): GuaranteeResults {
  return {
    layersOnceInOrder: checkLayerRuns(events, layers),
    wholeOwnAnswer: checkAnswers(history),
    notRunIsTrue: checkNotRun(history, events),
    submissionsAtMostOnce: checkAtMostOnce(history, events),
    leavingGetsNoWork: checkDraining(history, events),
    plannedStopsCutNothing: checkPlannedStops(history),
    configurationInForce: checkConfiguration(history),
  };
}
