import { FaultKind, type CallRecord, type FaultRecord, type SoakHistory } from './records.js';

/** Faults that end or stop the process of a gateway. */
export const gatewayFaults: ReadonlySet<FaultKind> = new Set([
  FaultKind.KillGateway,
  FaultKind.StopGateway,
  FaultKind.FreezeGateway,
]);

/** Faults of the connections of an endpoint. */
export const endpointLinkFaults: ReadonlySet<FaultKind> = new Set([
  FaultKind.CrashEndpoint,
  FaultKind.FreezeEndpoint,
  FaultKind.SilenceEndpointLink,
  FaultKind.OneWayEndpointLink,
  FaultKind.ResetEndpointLink,
  FaultKind.DelayEndpointLink,
]);

/** Faults of the store and of the links to it. */
export const storeFaults: ReadonlySet<FaultKind> = new Set([
  FaultKind.ResetStoreLink,
  FaultKind.SilenceStoreLink,
  FaultKind.OneWayStoreLink,
  FaultKind.StoreUnavailable,
  FaultKind.StoreSilent,
  FaultKind.StoreDropsWriteAnswers,
  FaultKind.StoreWritesLate,
  FaultKind.StoreSlow,
  FaultKind.StoreCompactsHistory,
  FaultKind.StoreComesBackOlder,
]);

/** Faults of the links between callers and a gateway. */
export const callerFaults: ReadonlySet<FaultKind> = new Set([
  FaultKind.ResetCallerLinks,
  FaultKind.SilenceCallerLinks,
  FaultKind.DelayCallerLinks,
]);

/** Changes of the configuration. */
export const configChanges: ReadonlySet<FaultKind> = new Set([
  FaultKind.AddKey,
  FaultKind.RevokeKey,
  FaultKind.GrowConfig,
  FaultKind.MoveRoute,
]);

/** What sound endpoints may do beside serving. */
export const soundFaults: ReadonlySet<FaultKind> = new Set([
  FaultKind.EndpointFallsSilent,
  FaultKind.EndpointsFallSilentInSeries,
  FaultKind.EndpointOmitsFraming,
]);

/** Planned work, and what sound endpoints say of themselves. */
export const plannedFaults: ReadonlySet<FaultKind> = new Set([
  FaultKind.StopGateway,
  FaultKind.ReloadGateway,
  FaultKind.DrainEndpoint,
  FaultKind.RemoveEndpointEntry,
  FaultKind.EndpointNamesLimit,
  FaultKind.EndpointSaysLeaving,
  FaultKind.EndpointPauses,
  ...configChanges,
]);

/** Time for a process to reconnect after a fault, in milliseconds; required by the users. */
export const reconnectMs = 4_000;

/** Returns whether a fault was in effect at some time of a span. */
export function overlaps(fault: FaultRecord, fromMs: number, toMs: number): boolean {
  return fault.startMs <= toMs && fault.endMs >= fromMs;
}

/** Returns the gateway of each call by the id of the call. */
export function gatewaysById({ calls }: SoakHistory): ReadonlyMap<string, string> {
  return new Map(calls.map(({ id, gateway }) => [id, gateway]));
}

/**
 * Returns whether a gateway may not have caught up with the store at a time, because its process, its path
 * to the store or the store itself was disturbed until shortly before.
 *
 * @param windowMs - Time after a disturbance until it has caught up, in milliseconds.
 */
export function wasOutOfTouch(
  history: SoakHistory,
  gateway: string | undefined,
  fromMs: number,
  toMs = fromMs,
  windowMs = reconnectMs,
): boolean {
  return history.faults.some(
    (fault) =>
      (storeFaults.has(fault.kind) || gatewayFaults.has(fault.kind)) &&
      (fault.target === 'store' || gateway === undefined || fault.target === gateway) &&
      overlaps(fault, fromMs - windowMs, toMs),
  );
}

/** Returns whether a call was made while a fault hit its gateway or its caller's link. */
export function wasCallerCutOff(
  history: SoakHistory,
  { gateway, startMs, endMs }: CallRecord,
): boolean {
  return history.faults.some(
    (fault) =>
      (callerFaults.has(fault.kind) ||
        fault.kind === FaultKind.KillGateway ||
        fault.kind === FaultKind.FreezeGateway) &&
      fault.target === gateway &&
      overlaps(fault, startMs, endMs),
  );
}

/** Describes a call and how it ended. */
export function formatCall(call: CallRecord): string {
  return `${call.kind} ${call.id} at ${call.gateway}: ${call.status} ${call.outcome} ${call.detail}`;
}
