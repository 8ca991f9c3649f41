import type { IHeldBody } from '../../../services/exchange/common/partialBody.js';
import type { Route } from '../../config/common/configSnapshot.js';
import type { RequestMetadata } from './dialect.js';

/** Request of a caller, read completely and matched to a route. */
export interface CallerRequest {
  readonly metadata: RequestMetadata;
  readonly method: string;
  /** Path with its query, as the caller sent it. */
  readonly target: string;
  /** Header names at even indices, each followed by its value. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly service: string;
  readonly organisation: string | undefined;
  /** Time of arrival, in monotonic milliseconds. */
  readonly arrivedMs: number;
}

/**
 * Returns the deadline of a request's complete answer.
 *
 * @param req - Request of a caller.
 * @returns The earlier of the caller's and the route's deadline, in monotonic milliseconds.
 */
export function deadlineOf(req: CallerRequest): number {
  return req.arrivedMs + Math.min(req.route.timeoutMs, req.metadata.waitMs ?? req.route.timeoutMs);
}

/** Receives the answer to a caller's request; implemented by the owner of the caller's connection. */
export interface ICallerSink {
  /** Whether the caller has closed the connection. */
  readonly isDisconnected: boolean;
  /**
   * Sends the complete answer of an endpoint.
   *
   * @param status - Status of the answer.
   * @param rawHeaders - Header names, each followed by its value.
   * @param body - Body; closed once the caller has taken it.
   */
  answer(status: number, rawHeaders: readonly string[], body: IHeldBody): void;
  /** Sends the status and headers of an endpoint's answer whose body is then streamed. */
  begin(status: number, rawHeaders: readonly string[]): void;
  /** Sends the next bytes of a streamed body; returns false to apply backpressure. */
  write(bytes: Buffer): boolean;
  /** Calls `action` once the buffered bytes were sent to the caller. */
  whenDrained(action: () => void): void;
  /** Ends a streamed answer as complete. */
  end(): void;
  /** Aborts a streamed answer in a way that the caller can't mistake for a complete one. */
  abort(): void;
  /** Sends an error that the gateway itself produced. */
  refuse(refusal: Refusal): void;
}

/** Relay of one request. */
export interface IRelay {
  /** Sends the request to an endpoint once it is admitted. */
  start(): void;
  /** Aborts the relay because the caller disconnected. */
  cancel(): void;
  /**
   * Ends the relay, and gives the caller its final answer. A streamed answer that has begun is broken off.
   *
   * @param detail - Reason, for the caller and the log.
   */
  stop(detail: string): void;
}

/** Error answer that the gateway itself produced. */
export interface Refusal {
  readonly status: RefusalStatus;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Status codes that promise that a request was not run and will not be run. */
export const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Status codes of the gateway's own error answers. */
export enum RefusalStatus {
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  /** The request didn't arrive completely, so it has not run and will not run. */
  RequestTimeout = 408,
  TooLarge = 413,
  HeadersTooLarge = 431,
  /** The request was sent to an endpoint and may have run, but there is no usable answer. */
  BadGateway = 502,
  /** The request has not run and will not run. */
  Unavailable = 503,
  /** There was no complete answer before the deadline; the request may have run. */
  Timeout = 504,
}
