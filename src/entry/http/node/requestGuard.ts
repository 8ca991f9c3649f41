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

/** A request whose caller is known and that may be served. */
export interface AdmittedRequest {
  readonly organisation: string;
  /** Returns the terms for a model or service under the rules that admitted the request. */
  readonly terms: (subject: string) => Terms;
  readonly revision: number;
  readonly prices: Prices;
  /** Monotonic time at which the caller gives up, in milliseconds. */
  readonly deadlineMs: number;
  readonly idempotencyKey: string | undefined;
}

/** Runs a chat submission at most once. */
export type ChatSubmissionStarter = (
  request: ChatRequest,
  idempotencyKey: string,
  requestDigest: string,
  onToken: (text: string) => void,
) => Promise<Result<AnswerSummary, Problem>>;

/** What the guard needs. */
export interface RequestGuardDependencies {
  readonly callers: CallerDirectory;
  readonly rules: () => RuleFile;
  /** False while the entry starts. */
  readonly isReady: () => boolean;
  /** True once the entry takes no new work. */
  readonly isDraining: () => boolean;
  readonly dataCentre: string;
  /** Longest time of a request, in milliseconds. */
  readonly requestMs: number;
  readonly clock: IClock;
}

/** Header with which a caller states how long it waits, in milliseconds. */
const timeoutHeader = 'x-request-timeout-ms';

/** Longest idempotency key, in characters. */
const maxKeyLength = 255;

function invalidHeader(field: string, reason: string): Err<Problem> {
  const errors = [{ field, reason }];
  return Err(
    problem(ProblemKind.InvalidRequest, RunState.NotRun, `${field}: ${reason}`, { errors }),
  );
}

/** Checks who calls and whether the entry may serve. */
export class RequestGuard {
  /** @param dependencies - What the guard needs. */
  constructor(private readonly dependencies: RequestGuardDependencies) {}

  /**
   * Admits a request or says why not.
   *
   * @param req - The HTTP request.
   * @returns The admitted request, or a problem.
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
