import type { ObservedRun } from '../../platform/test/wireViews.js';
import {
  callerFaults,
  endpointLinkFaults,
  formatCall,
  gatewayFaults,
  overlaps,
  plannedFaults,
  reconnectMs,
  storeFaults,
  wasCallerCutOff,
} from './faultTimes.js';
import {
  CallOutcome,
  FaultKind,
  type CallRecord,
  type FaultRecord,
  type SoakHistory,
} from './records.js';

/**
 * Time after which a connection that ends without an answer has not crossed the request on its way, in
 * milliseconds; stated by the users.
 */
const crossingMs = 200;

/** Returns whether a fault is one of an endpoint's process or links that may break its answers off. */
function breaksEndpoint({ kind }: FaultRecord): boolean {
  return (
    endpointLinkFaults.has(kind) ||
    !(
      plannedFaults.has(kind) ||
      gatewayFaults.has(kind) ||
      callerFaults.has(kind) ||
      storeFaults.has(kind) ||
      kind === FaultKind.EndpointFallsSilent ||
      kind === FaultKind.CallerCrowd
    )
  );
}

/** Returns the name that all incarnations of an endpoint share. */
export function nameOf(endpointId: string): string {
  return endpointId.split('-').slice(0, 2).join('-');
}

/**
 * Returns whether a fault of the call's own gateway, its caller's link or an endpoint of its runs may have
 * cut it off.
 */
function isExcused(
  history: SoakHistory,
  call: CallRecord,
  runs: readonly ObservedRun[],
  faults: readonly FaultRecord[],
): boolean {
  const fromMs = call.startMs - reconnectMs;
  const used = new Set(runs.flatMap(({ endpoint, path }) => [endpoint, ...path]).map(nameOf));
  const wasEndpointFaulted = faults.some(
    (fault) => used.has(nameOf(fault.target)) && overlaps(fault, fromMs, call.endMs),
  );
  const hasEndpointEnded = history.crashes.some(
    ({ endpoint, atMs }) => used.has(nameOf(endpoint)) && atMs >= fromMs && atMs <= call.endMs,
  );
  return wasEndpointFaulted || hasEndpointEnded || wasCallerCutOff(history, call);
}

/**
 * Returns whether a call crossed the end of a connection and wasn't read: that of a kept one, or of a new one
 * to a gateway that stops listening.
 */
function hasCrossedClose(
  history: SoakHistory,
  { id, outcome, gateway, isOnKeptConnection, startMs, endMs }: CallRecord,
): boolean {
  const isStopping = history.faults.some(
    (fault) =>
      fault.kind === FaultKind.StopGateway &&
      fault.target === gateway &&
      overlaps(fault, startMs, endMs),
  );
  return (
    outcome === CallOutcome.NoStatus &&
    (isOnKeptConnection || isStopping) &&
    endMs - startMs <= crossingMs &&
    !history.arrivals.some((arrival) => arrival.id === id)
  );
}

/** Checks that planned work cuts no request whose own gateway, caller's link and endpoints are sound. */
export function checkPlannedWork(history: SoakHistory): readonly string[] {
  const faults = history.faults.filter(breaksEndpoint);
  return history.calls
    .filter(
      ({ outcome, detail }) =>
        (outcome === CallOutcome.Truncated || outcome === CallOutcome.NoStatus) &&
        !detail.includes('ECONNREFUSED'),
    )
    .filter((call) => {
      const runs = history.runs.filter(({ id }) => id === call.id);
      return !isExcused(history, call, runs, faults) && !hasCrossedClose(history, call);
    })
    .map(formatCall);
}

/**
 * Checks that a call ends with a status, unless its gateway was killed or frozen or its caller's link was
 * faulted, or it crossed the end of its connection and wasn't read.
 */
export function checkStatuses(history: SoakHistory): readonly string[] {
  return history.calls
    .filter(
      (call) =>
        call.outcome === CallOutcome.NoStatus &&
        !call.detail.includes('ECONNREFUSED') &&
        !wasCallerCutOff(history, call) &&
        !hasCrossedClose(history, call),
    )
    .map(formatCall);
}
