import { CallOutcome, FaultKind, type FaultRecord, type SoakHistory } from './records.js';
import { endpointLinkFaults, gatewayFaults, gatewaysById, overlaps } from './faultTimes.js';

/**
 * Time after a gateway passed on an answer of an endpoint that says that it leaves, from which its requests
 * must not reach the endpoint, in milliseconds; stated by the users.
 */
const leavingNoticeMs = 2_000;

/** Time for which an endpoint that pauses wants no requests, in milliseconds. */
export const pauseMs = 2_000;

/** Time after a rejection from which the pause counts, in milliseconds; stated by the users. */
const pauseNoticeMs = 500;

/** Number of requests that are tolerated in a pause; stated by the users. */
const toleratedInPause = 2;

/** Time before a rejection within which a disturbed link may have delayed or lost it, in milliseconds. */
const linkRecoveryMs = 1_000;

function wasGatewayDown(
  { faults }: SoakHistory,
  gateway: string | undefined,
  fromMs: number,
  toMs: number,
): boolean {
  return faults.some(
    (fault) =>
      gatewayFaults.has(fault.kind) && fault.target === gateway && overlaps(fault, fromMs, toMs),
  );
}

/** Checks that no gateway uses an endpoint again after it has passed on that the endpoint leaves. */
export function checkLeaving(history: SoakHistory): readonly string[] {
  const calls = new Map(history.calls.map((call) => [call.id, call]));
  const runCounts = new Map<string, number>();
  history.runs.forEach(({ id }) => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));
  const checkFault = ({ target, startMs }: FaultRecord): readonly string[] => {
    const runs = history.runs.filter((run) => run.endpoint === target && run.atMs > startMs);
    const passedOnMs = new Map<string, number>();
    runs.forEach(({ id }) => {
      const call = calls.get(id);
      if (call?.outcome === CallOutcome.Complete && runCounts.get(id) === 1) {
        const knownMs = passedOnMs.get(call.gateway) ?? Infinity;
        passedOnMs.set(call.gateway, Math.min(knownMs, call.endMs));
      }
    });
    return runs.flatMap(({ id, atMs }) => {
      const call = calls.get(id);
      const heardMs = passedOnMs.get(call?.gateway ?? '') ?? Infinity;
      const isLate = call !== undefined && call.startMs > heardMs + leavingNoticeMs;
      return isLate && !wasGatewayDown(history, call.gateway, heardMs, atMs)
        ? [`${id} ran at ${target} ${atMs - heardMs} ms after ${call.gateway} heard that it leaves`]
        : [];
    });
  };
  return history.faults
    .filter(({ kind }) => kind === FaultKind.EndpointSaysLeaving)
    .flatMap(checkFault);
}

/** Checks that each gateway by itself leaves an endpoint alone that asked it for a pause. */
export function checkPauses(history: SoakHistory): readonly string[] {
  const gateways = gatewaysById(history);
  const withStatus = new Set(history.calls.filter(({ status }) => status > 0).map(({ id }) => id));
  const wasLinkDisturbed = (endpoint: string, fromMs: number, toMs: number) =>
    history.faults.some(
      (fault) =>
        endpointLinkFaults.has(fault.kind) &&
        fault.target === endpoint &&
        overlaps(fault, fromMs, toMs),
    );
  return history.arrivals
    .filter(({ isRejected, id }) => isRejected && withStatus.has(id))
    .flatMap((rejection) => {
      const gateway = gateways.get(rejection.id);
      const fromMs = rejection.atMs + pauseNoticeMs;
      const toMs = rejection.atMs + pauseMs;
      const count = history.arrivals.filter(
        ({ id, endpoint, atMs }) =>
          endpoint === rejection.endpoint &&
          gateways.get(id) === gateway &&
          atMs > fromMs &&
          atMs < toMs,
      ).length;
      const isExcused =
        wasGatewayDown(history, gateway, rejection.atMs - linkRecoveryMs, toMs) ||
        wasLinkDisturbed(rejection.endpoint, rejection.atMs - linkRecoveryMs, fromMs);
      return count > toleratedInPause && !isExcused
        ? [
            `${rejection.endpoint} got ${count} requests of ${gateway} in its pause after ${rejection.id}`,
          ]
        : [];
    });
}
