/** Whether the refused or failed request ran. */
export enum RunState {
  /** The request did not run and never will under this attempt. */
  NotRun = 'not-run',
  /** The request ran. */
  Ran = 'ran',
  /** The request may have run; the system will not run it again. */
  Unknown = 'unknown',
}

/** Problem details of RFC 9457 with the project's `run` member. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Whether the request ran, under this call or an earlier one with the same idempotency key. */
  readonly run: RunState;
  /** Whether it ran under this call, where that is known and `run` is not. */
  readonly thisCall?: RunState;
  /** Seconds after which the caller may try again; also sent as `Retry-After`. */
  readonly retryAfterSeconds?: number;
  /** Faults of single fields, for 4xx answers. */
  readonly errors?: readonly FieldError[];
}

/** A fault of one field of a request. */
export interface FieldError {
  readonly field: string;
  readonly reason: string;
}

/** Kinds of problems that callers see; the value ends the `type` URI. */
export enum ProblemKind {
  InvalidRequest = 'invalid-request',
  Unauthorized = 'unauthorized',
  NotFound = 'not-found',
  KeyRequired = 'idempotency-key-required',
  KeyReused = 'idempotency-key-reused',
  KeyInProgress = 'idempotency-key-in-progress',
  Quarantined = 'request-quarantined',
  Overloaded = 'overloaded',
  NoEndpoint = 'no-endpoint',
  PlatformUnavailable = 'platform-unavailable',
  Draining = 'draining',
  DeadlineExceeded = 'deadline-exceeded',
  EndpointFailed = 'endpoint-failed',
  OutcomeUnknown = 'outcome-unknown',
  Conflict = 'conflict',
}

const statusOf: Readonly<Record<ProblemKind, number>> = {
  [ProblemKind.InvalidRequest]: 400,
  [ProblemKind.Unauthorized]: 401,
  [ProblemKind.NotFound]: 404,
  [ProblemKind.KeyRequired]: 400,
  [ProblemKind.KeyReused]: 422,
  [ProblemKind.KeyInProgress]: 409,
  [ProblemKind.Quarantined]: 422,
  [ProblemKind.Overloaded]: 429,
  [ProblemKind.NoEndpoint]: 503,
  [ProblemKind.PlatformUnavailable]: 503,
  [ProblemKind.Draining]: 503,
  [ProblemKind.DeadlineExceeded]: 504,
  [ProblemKind.EndpointFailed]: 502,
  [ProblemKind.OutcomeUnknown]: 502,
  [ProblemKind.Conflict]: 409,
};

/** Optional members of a problem. */
export interface ProblemOptions {
  readonly thisCall?: RunState;
  readonly retryAfterSeconds?: number;
  readonly errors?: readonly FieldError[];
}

/**
 * Builds problem details.
 *
 * @param kind - Kind of the problem; decides status and type.
 * @param run - Whether the request ran.
 * @param detail - Explanation for this occurrence.
 * @param options - Optional members.
 * @returns The problem, ready to be sent as `application/problem+json`.
 */
export function problem(
  kind: ProblemKind,
  run: RunState,
  detail: string,
  options: ProblemOptions = {},
): Problem {
  return {
    type: `urn:ibisspar:problem:${kind}`,
    title: kind.replaceAll('-', ' '),
    status: statusOf[kind],
    detail,
    run,
    ...options,
  };
}
