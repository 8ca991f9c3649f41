import type { FastifyRequest } from 'fastify';
import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock } from '../../../base/common/clock.js';
import type { Prices } from '../../../services/link/common/messages.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';
import type { Terms } from '../../../services/rules/common/agreement.js';
import type { RuleFile } from '../../../services/rules/common/ruleStore.js';
import type { AnswerSummary } from '../../chat/common/answerAssembler.js';
import type { ChatRequest } from '../../chat/common/chatRequest.js';
import type { CallerDirectory } from '../common/callerDirectory.js';

/** Request from an authenticated caller that may be served. */
export interface AdmittedRequest {
  readonly organisation: string;
  /** Returns the terms for a model or service under the rules in force at admission. */
  readonly terms: (subject: string) => Terms;
  readonly revision: number;
  readonly prices: Prices;
  /** Deadline of the caller, in monotonic milliseconds. */
  readonly deadlineMs: number;
  readonly idempotencyKey: string | undefined;
}

/** Starts a chat submission, which runs at most once per idempotency key. */
export type ChatSubmissionStarter = (
  request: ChatRequest,
  idempotencyKey: string,
  requestDigest: string,
  onToken: (text: string) => void,
) => Promise<Result<AnswerSummary, Problem>>;

/** Dependencies of the request guard. */
export interface RequestGuardDependencies {
  readonly callers: CallerDirectory;
  readonly rules: () => RuleFile;
  /** Returns false while the entry is starting. */
  readonly isReady: () => boolean;
  /** Returns true once the entry refuses new requests. */
  readonly isDraining: () => boolean;
  readonly dataCentre: string;
  /** Maximum duration of a request, in milliseconds. */
  readonly requestMs: number;
  readonly clock: IClock;
}

/** Header in which a caller states how long it waits, in milliseconds. */
const timeoutHeader = 'x-request-timeout-ms';

/** Maximum length of an idempotency key, in characters. */
const maxKeyLength = 255;

function invalidHeader(field: string, reason: string): Err<Problem> {
  const errors = [{ field, reason }];
  return Err(
    problem(ProblemKind.InvalidRequest, RunState.NotRun, `${field}: ${reason}`, { errors }),
  );
}

/** Authenticates callers and admits their requests while the entry is ready. */
export class RequestGuard {
  /** @param dependencies - State and limits of the entry. */
  constructor(private readonly dependencies: RequestGuardDependencies) {}

  /**
   * Checks the state of the entry, the bearer key and the headers of a request.
   *
   * @param req - The HTTP request.
   * @returns The admitted request, or the problem to send to the caller.
   */
  admit(req: FastifyRequest): Result<AdmittedRequest, Problem> {
    const { dependencies } = this;
    if (dependencies.isDraining() || !dependencies.isReady()) {
      const detail = dependencies.isDraining()
        ? 'this instance is stopping'
        : 'this instance is starting';
      const options = { retryAfterSeconds: 1 };
      return Err(problem(ProblemKind.Draining, RunState.NotRun, detail, options));
    }
    const organisation = dependencies.callers.find(req.headers.authorization);
    if (organisation === undefined) {
      const detail = 'the bearer key is missing or unknown';
      return Err(problem(ProblemKind.Unauthorized, RunState.NotRun, detail));
    }
    const timeoutMs = this.requestTimeoutMs(req);
    if (timeoutMs === undefined) {
      return invalidHeader(timeoutHeader, 'must be a whole number above 0');
    }
    const key = req.headers['idempotency-key'];
    if (key !== undefined && (typeof key !== 'string' || key === '' || key.length > maxKeyLength)) {
      return invalidHeader('idempotency-key', `must have 1 to ${maxKeyLength} characters`);
    }
    const { agreement, revision } = dependencies.rules();
    return Ok({
      organisation,
      revision,
      prices: agreement.prices(),
      terms: (subject) => agreement.termsOf(organisation, subject, dependencies.dataCentre),
      deadlineMs: dependencies.clock.monotonicMs() + timeoutMs,
      idempotencyKey: key,
    });
  }

  private requestTimeoutMs(req: FastifyRequest): number | undefined {
    const header = req.headers[timeoutHeader];
    if (header === undefined) {
      return this.dependencies.requestMs;
    }
    const requestedMs = Number(header);
    return Number.isInteger(requestedMs) && requestedMs > 0
      ? Math.min(requestedMs, this.dependencies.requestMs)
      : undefined;
  }
}
