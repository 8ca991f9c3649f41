import { RequestKind } from './records.js';

/** Time limit of a gateway's graceful shutdown, in milliseconds; required by the users. */
export const shutdownGraceMs = 8_000;

/** Timeout of every route but that of long streams, in milliseconds. */
export const routeTimeoutMs = 3_000;

/** Timeout of the route of long streams, in milliseconds; their endpoints may fall silent meanwhile. */
export const longRouteTimeoutMs = 10_000;

/** Returns the timeout of the route of a kind of request, in milliseconds. */
export function timeoutOf(kind: RequestKind): number {
  return kind === RequestKind.LongStream ? longRouteTimeoutMs : routeTimeoutMs;
}
