import { RunState } from '../../../services/problem/common/problem.js';
import { HistoryKind, type HistoryEvent } from '../../../standin/common/historyEvent.js';
import { checkLayers, countRunsByKey } from '../../common/guarantees.js';
import {
  CallEnd,
  CallKind,
  FaultKind,
  type CallRecord,
  type FaultHistory,
  type FaultRecord,
} from './records.js';

/** Result of checking one guarantee. */
export interface GuaranteeResult {
  /** Number of cases checked. */
  readonly checkedCases: number;
  /** One line of text for each violation. */
  readonly violations: readonly string[];
  /** Number of cases that cannot be decided from the history. */
  readonly undecided: number;
}

/** Results by name of the guarantee. */
export type GuaranteeResults = Readonly<Record<string, GuaranteeResult>>;

/** Time within which new work must stop after an agent starts to drain, in milliseconds. */
const agentDrainPropagationMs = 1_000;

/**
 * Time within which new work must stop after an endpoint is marked as leaving in the instance list,
 * in milliseconds.
 */
const listedDrainPropagationMs = 4_000;

/** Time within which entries read the instance list while the platform answers, in milliseconds. */
const listReadMs = 1_000;

/** Time within which an accepted rule change must be in force on every entry, in milliseconds. */
const inForceLimitMs = 15_000;

/** Faults during which a rule change may take longer than `inForceLimitMs` to be in force. */
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
  const violations = layerViolations.map(
    (violation) => `${violation.sequence}: ${violation.reason}`,
  );
  return { checkedCases: checked, violations, undecided: 0 };
}

/** Error code of a refused connection; such a call reached no entry. */
const connectionRefusedCode = 'ECONNREFUSED';

/**
 * Checks that each call got a complete answer or a problem. A connection may break only if its
 * entry was killed. A stopped entry may also refuse connections, because no load balancer sends its
 * callers to another entry in this test.
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

/** Returns the times at which each submission started to run, by its idempotency key. */
function runTimesByKey(events: readonly HistoryEvent[]): ReadonlyMap<string, readonly number[]> {
  const times = new Map<string, number[]>();
  for (const event of events) {
    if (event.kind === HistoryKind.CallRun) {
      times.set(event.subject, [...(times.get(event.subject) ?? []), event.atMs]);
    }
  }
  return times;
}

/**
 * Checks that a call was refused as not-run only if the request had not run before the call. A run
 * at any time is a violation if no other call used the key.
 */
function checkNotRun(history: FaultHistory, events: readonly HistoryEvent[]): GuaranteeResult {
  const times = runTimesByKey(events);
  const refusals = history.calls.filter((call) => call.run === RunState.NotRun);
  const violations = refusals.filter((call) => {
    const runTimesMs = call.key === undefined ? [] : (times.get(call.key) ?? []);
    const otherCalls = history.calls.filter((other) => other !== call && other.key === call.key);
    const hasUnexplainedRun = runTimesMs.length > 0 && otherCalls.length === 0;
    return runTimesMs.some((atMs) => atMs < call.startMs) || hasUnexplainedRun;
  });
  return { checkedCases: refusals.length, violations: violations.map(describeCall), undecided: 0 };
}

/** Returns the attempts of chat submissions by the digest of their idempotency key. */
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
  const repeatedCalls = [...countRunsByKey(events)]
    .filter(([, runs]) => runs > 1)
    .map(([key, runs]) => `submission ${key} ran ${runs} times`);
  const repeatedChats = [...chatAttempts(events)]
    .filter(([, sequences]) => sequences.size > 1)
    .map(([, sequences]) => `chat submission ran as ${[...sequences].join(' and ')}`);
  return {
    checkedCases: keys.size,
    violations: [...repeatedCalls, ...repeatedChats],
    undecided: 0,
  };
}

/** Returns the times at which an endpoint started new work. */
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

/**
 * Returns the time from which an endpoint must get no new work. Entries can't read the instance list
 * during an outage of the platform that begins before their next read; the recorded end of an outage
 * includes the time of a read.
 */
function noWorkFromMs(history: FaultHistory, drain: FaultRecord, propagationMs: number): number {
  const fromMs = drain.startMs + propagationMs;
  const outages = history.faults.filter(
    (fault) =>
      drain.kind === FaultKind.ListLeaving &&
      fault.kind === FaultKind.PlatformOutage &&
      overlaps(fault, drain.startMs, drain.startMs + listReadMs),
  );
  return Math.max(fromMs, ...outages.map(({ endMs }) => endMs));
}

function checkDraining(history: FaultHistory, events: readonly HistoryEvent[]): GuaranteeResult {
  const propagationTimesMs = new Map([
    [FaultKind.StopAgent, agentDrainPropagationMs],
    [FaultKind.ListLeaving, listedDrainPropagationMs],
  ]);
  const drains = history.faults.filter((fault) => propagationTimesMs.has(fault.kind));
  const violations = drains.flatMap((drain) => {
    const { kind, target, startMs, endMs } = drain;
    const fromMs = noWorkFromMs(history, drain, propagationTimesMs.get(kind) ?? 0);
    const lateStarts = newWorkTimes(events, target).filter((atMs) => atMs > fromMs && atMs < endMs);
    return lateStarts.map(
      (atMs) => `${target} started new work ${atMs - startMs} ms after ${kind}`,
    );
  });
  return { checkedCases: drains.length, violations, undecided: 0 };
}

/**
 * Returns whether the outcome of a key was lost before a stop began. It is lost if an earlier call
 * with the key ended without an answer and none was answered; later calls then fail as well.
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

/**
 * Checks that calls during a planned stop, without another fault, are answered or refused as
 * not-run.
 */
function checkPlannedStops(history: FaultHistory): GuaranteeResult {
  const plannedKinds = new Set([FaultKind.StopAgent, FaultKind.StopEntry]);
  const stops = history.faults.filter((fault) => plannedKinds.has(fault.kind));
  const otherFaults = history.faults.filter(
    (fault) => !plannedKinds.has(fault.kind) && fault.kind !== FaultKind.OperatorRace,
  );
  const failedCalls = history.calls.filter((call) => {
    const isDuringStop = stops.some(
      (stop) =>
        overlaps(stop, call.startMs, call.endMs) && !wasOutcomeLostBefore(history, stop, call),
    );
    const isDuringOther = otherFaults.some((other) => overlaps(other, call.startMs, call.endMs));
    const isRefused = call.end === CallEnd.Broken && call.detail.includes(connectionRefusedCode);
    const isCorrectRefusal =
      isRefused || (call.end === CallEnd.Problem && call.run === RunState.NotRun);
    return isDuringStop && !isDuringOther && call.end !== CallEnd.Complete && !isCorrectRefusal;
  });
  return {
    checkedCases: stops.length,
    violations: [...failedCalls.map(describeCall), ...history.badExits],
    undecided: 0,
  };
}

/**
 * Checks that each accepted rule change is stored, has its own revision and is in force on all
 * entries within `inForceLimitMs`, and that no entry reverts to an earlier revision. A change with
 * status 503 may or may not be stored.
 */
function checkConfiguration(history: FaultHistory): GuaranteeResult {
  const storedIds = new Set(history.storedChanges);
  const accepted = history.changes.filter((change) => change.status === 200);
  const lostChanges = accepted.filter((change) => !storedIds.has(change.id));
  const slowChanges = accepted.filter((change) => {
    const isDuringPlatformFault = history.faults.some(
      (fault) =>
        platformFaultKinds.has(fault.kind) &&
        overlaps(fault, change.atMs, change.atMs + inForceLimitMs),
    );
    const { inForceMs } = change;
    return !isDuringPlatformFault && inForceMs !== undefined && inForceMs > inForceLimitMs;
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
      ...slowChanges.map(
        (change) =>
          `change ${change.id} was in force after ${change.inForceMs} ms, limit ${inForceLimitMs} ms`,
      ),
      ...revertedSamples.map((sample) => `${sample.entry} reverted to revision ${sample.revision}`),
      ...duplicateRevisions.map((revision) => `revision ${revision} was assigned to two changes`),
    ],
    undecided: history.changes.filter((change) => change.status === 503).length,
  };
}

/**
 * Checks the seven guarantees that the system gives to callers and operators.
 *
 * @param history - Records of callers, operators and the fault driver.
 * @param events - Events that the stand-ins recorded.
 * @param layers - Number of layers of the model.
 * @returns The results by guarantee.
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
