import { FaultKind, type FaultRecord, type SoakHistory } from './records.js';

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

/** Returns whether a fault was in effect at some time of a span. */
export function overlaps(fault: FaultRecord, fromMs: number, toMs: number): boolean {
  return fault.startMs <= toMs && fault.endMs >= fromMs;
}

/** Returns the gateway of each call by the id of the call. */
export function gatewaysById({ calls }: SoakHistory): ReadonlyMap<string, string> {
  return new Map(calls.map(({ id, gateway }) => [id, gateway]));
}
