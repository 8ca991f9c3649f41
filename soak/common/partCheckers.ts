import {
  gatewaysById,
  overlaps,
  plannedFaults,
  reconnectMs,
  wasCallerCutOff,
  wasOutOfTouch,
} from './faultTimes.js';
import {
  FaultKind,
  RequestKind,
  type CallRecord,
  type FaultRecord,
  type SoakHistory,
} from './records.js';

/** Number of crashes after which requests with the part must not reach endpoints; stated by the users. */
const maxCrashes = 5;

/** Time after the fifth crash from which they count, in milliseconds; stated by the users. */
const stopMs = 3_000;

/** Number of such requests that are tolerated; stated by the users. */
const toleratedRequests = 3;

/** Time after the fifth crash from which sound requests must begin again, in milliseconds; stated by the users. */
const resumeMs = 6_000;

/** Least share of sound requests that begin, relative to undisturbed times; stated by the users. */
const minRelativeShare = 0.5;

/** Least number of sound requests of each kind to compare; stated by the users. */
const minRequests = 20;

/** Returns the time of the crash of a part from which its bounds count; undefined if it crashed nothing. */
function lastAllowedCrashMs({ crashes }: SoakHistory, part: string): number | undefined {
  const times = crashes.filter((crash) => crash.part === part).map(({ atMs }) => atMs);
  return times.sort((a, b) => a - b).slice(0, maxCrashes)[Math.min(times.length, maxCrashes) - 1];
}

function partFaults(history: SoakHistory): readonly FaultRecord[] {
  return history.faults.filter(({ kind }) => kind === FaultKind.CrashingPart);
}

/** Checks that requests with a part that crashes endpoints reach none once all gateways can know of it. */
export function checkCrashingParts(history: SoakHistory): readonly string[] {
  const gateways = gatewaysById(history);
  return partFaults(history).flatMap(({ target: part }) => {
    const crashCount = history.crashes.filter((crash) => crash.part === part).length;
    const crashMs = lastAllowedCrashMs(history, part) ?? Infinity;
    const ids = new Set(
      history.calls.filter((call) => call.parts.includes(part)).map(({ id }) => id),
    );
    const late = history.arrivals.filter(
      ({ id, atMs }) =>
        ids.has(id) && atMs > crashMs + stopMs && !wasOutOfTouch(history, gateways.get(id), atMs),
    );
    return crashCount >= maxCrashes && late.length > toleratedRequests
      ? [`${late.length} requests with ${part} reached endpoints too late, first ${late[0].id}`]
      : [];
  });
}

function shareBegun(calls: readonly CallRecord[]): number {
  return calls.filter(({ status }) => status === 200).length / calls.length;
}

/**
 * Checks that sound requests that share the key or the first part with crashing ones go on beginning at
 * least half as often as outside of unplanned faults.
 */
export function checkSoundParts(history: SoakHistory): readonly string[] {
  const unplanned = history.faults.filter(({ kind }) => !plannedFaults.has(kind));
  const isCalm = ({ startMs, endMs }: CallRecord) =>
    !unplanned.some((fault) => overlaps(fault, startMs - reconnectMs, endMs));
  return partFaults(history).flatMap((fault) => {
    const crashing = history.calls.filter(({ parts }) => parts.includes(fault.target));
    const crashMs = lastAllowedCrashMs(history, fault.target) ?? Infinity;
    const check = (name: string, isLike: (call: CallRecord, bad: CallRecord) => boolean) => {
      const sound = history.calls.filter(
        (call) =>
          call.kind === RequestKind.Stream &&
          !call.parts.includes(fault.target) &&
          isLike(call, crashing[0]),
      );
      const compared = sound.filter(
        (call) =>
          call.startMs > crashMs + resumeMs &&
          call.endMs < fault.endMs &&
          !wasCallerCutOff(history, call) &&
          !wasOutOfTouch(history, call.gateway, call.startMs, call.endMs),
      );
      const calm = sound.filter(isCalm);
      const isJudged = compared.length >= minRequests && calm.length >= minRequests;
      return isJudged && shareBegun(compared) < minRelativeShare * shareBegun(calm)
        ? [
            `${shareBegun(compared).toFixed(2)} of ${compared.length} requests with the ${name} of ${fault.target} began, ${shareBegun(calm).toFixed(2)} otherwise`,
          ]
        : [];
    };
    return crashing.length === 0
      ? []
      : [
          ...check('key', ({ key }, bad) => key === bad.key),
          ...check('first part', ({ parts }, bad) => parts[0] === bad.parts[0]),
        ];
  });
}
