import { callerFaults, configChanges, gatewayFaults, overlaps, reconnectMs } from './faultTimes.js';
import {
  CallOutcome,
  FaultKind,
  servicesByKind,
  type CallRecord,
  type SoakHistory,
} from './records.js';

/** Share of the calls beside a disturbance that must get their complete answer; stated by the requirements. */
const minServedShare = 0.95;

/** Number of calls beside disturbances from which on the share is judged. */
const minJudgedCalls = 40;

/** Faults that don't keep a gateway from serving. */
const harmlessFaults: ReadonlySet<FaultKind> = new Set([
  FaultKind.ReloadGateway,
  FaultKind.OddEntries,
  FaultKind.OldPages,
  ...configChanges,
]);

/** Returns whether a fault of another kind may have kept a call from being served. */
function wasDisturbed(
  history: SoakHistory,
  { gateway, startMs, endMs }: CallRecord,
  judgedKind: FaultKind,
): boolean {
  return history.faults.some((fault) => {
    const isOfGateway = gatewayFaults.has(fault.kind) || callerFaults.has(fault.kind);
    const isElsewhere = isOfGateway && fault.target !== gateway;
    return (
      fault.kind !== judgedKind &&
      !harmlessFaults.has(fault.kind) &&
      !isElsewhere &&
      overlaps(fault, startMs - reconnectMs, endMs)
    );
  });
}

/** Calls that a disturbance must not harm, and those of them that got their complete answer. */
export interface ServedCounts {
  readonly calls: number;
  readonly served: number;
}

/** Counts the calls that faults other than those of a kind have not disturbed. */
function countServed(
  history: SoakHistory,
  bystanders: readonly CallRecord[],
  kind: FaultKind,
): ServedCounts {
  const calls = bystanders.filter(
    (call) =>
      history.keys.some(
        ({ key, fromMs, toMs }) =>
          key === call.key && fromMs < call.startMs - reconnectMs && toMs > call.endMs,
      ) && !wasDisturbed(history, call, kind),
  );
  const served = calls.filter(({ outcome }) => outcome === CallOutcome.Complete);
  return { calls: calls.length, served: served.length };
}

/**
 * Checks that gateways serve the calls that a disturbance must not harm, unless a fault of another kind keeps
 * them from it.
 *
 * @param history - The run so far.
 * @param bystanders - Calls beside the disturbance that it must not harm.
 * @param kind - The disturbance.
 * @returns A violation if too few were served.
 */
export function checkBystanders(
  history: SoakHistory,
  bystanders: readonly CallRecord[],
  kind: FaultKind,
): readonly string[] {
  const { calls, served } = countServed(history, bystanders, kind);
  const gateways = [...new Set(bystanders.map(({ gateway }) => gateway))].join(', ');
  return calls < minJudgedCalls || served >= minServedShare * calls
    ? []
    : [`${gateways} served ${served} of ${calls} calls beside ${kind}`];
}

/** Returns the calls to services without faulty answers, beside faulty answers of another one or after them. */
function bystandersOfFaultyAnswers({ calls, faults }: SoakHistory): readonly CallRecord[] {
  const faulty = faults.filter(({ kind }) => kind === FaultKind.FaultyAnswers);
  return calls.filter(({ kind, startMs, endMs }) => {
    const near = faulty.filter((fault) => overlaps(fault, startMs - reconnectMs, endMs));
    return (
      near.some((fault) => startMs >= fault.startMs) &&
      near.every(({ service = '' }) => !servicesByKind[kind].includes(service))
    );
  });
}

/** Counts the otherwise undisturbed calls to other services beside faulty answers or after them. */
export function countServedBesideFaultyAnswers(history: SoakHistory): ServedCounts {
  return countServed(history, bystandersOfFaultyAnswers(history), FaultKind.FaultyAnswers);
}

/**
 * Checks that gateways serve requests to other services while endpoints of one write faulty answers, and
 * after it.
 */
export function checkServedBesideFaultyAnswers(history: SoakHistory): readonly string[] {
  return checkBystanders(history, bystandersOfFaultyAnswers(history), FaultKind.FaultyAnswers);
}
