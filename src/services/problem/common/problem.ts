/** Whether a request that was refused or that failed has run. */
export enum RunState {
  /** The request did not run, and this attempt of it never will. */
  NotRun = 'not-run',
  /** The request ran. */
  Ran = 'ran',
  /** The request may have run. The system will not run it again. */
  Unknown = 'unknown',
}

/** Problem details as defined by RFC 9457, extended by the members that are documented below. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Whether the request ran in this call or in an earlier one with the same idempotency key. */
  readonly run: RunState;
  /** Whether the request ran in this call; set if this is known although `run` is unknown. */
  readonly thisCall?: RunState;
  /** Time after which the caller may retry, in seconds; also sent as the `Retry-After` header. */
  readonly retryAfterSeconds?: number;
  /** Validation errors of individual fields, for 4xx responses. */
  readonly errors?: readonly FieldError[];
}

/** Validation error of one field of a request. */
export interface FieldError {
  readonly field: string;
  readonly reason: string;
}

/** Kinds of problems that callers receive; the value is the last part of the `type` URI. */
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

const statusByKind: Readonly<Record<ProblemKind, number>> = {
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
 * @param kind - Kind of the problem; determines the status, type and title.
 * @param run - Whether the request ran.
 * @param detail - Explanation of this occurrence of the problem.
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
    status: statusByKind[kind],
    detail,
    run,
    ...options,
  };
}
