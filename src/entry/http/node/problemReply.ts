import type { FastifyError, FastifyReply, FastifyRequest } from 'fastify';
import {
  problem,
  ProblemKind,
  RunState,
  type FieldError,
  type Problem,
} from '../../../services/problem/common/problem.js';

/**
 * Sends problem details as the response.
 *
 * @param reply - The reply.
 * @param details - The problem details.
 * @returns The same reply.
 */
export function sendProblem(reply: FastifyReply, details: Problem): FastifyReply {
  if (details.retryAfterSeconds !== undefined) {
    reply.header('retry-after', String(details.retryAfterSeconds));
  }
  return reply.code(details.status).type('application/problem+json').send(JSON.stringify(details));
}

function fieldOf(instancePath: string, missing: unknown): string {
  const path = instancePath.slice(1).replaceAll('/', '.');
  return [path, typeof missing === 'string' ? missing : ''].filter((part) => part !== '').join('.');
}

/**
 * Converts errors of the HTTP server to problem details and sends them.
 *
 * @param err - The error.
 * @param _req - The request.
 * @param reply - The reply.
 */
export function handleError(err: FastifyError, _req: FastifyRequest, reply: FastifyReply): void {
  const errors = (err.validation ?? []).map((validationError): FieldError => ({
    field: fieldOf(validationError.instancePath, validationError.params.missingProperty),
    reason: validationError.message ?? 'is invalid',
  }));
  const status = err.statusCode ?? 500;
  const kind = status < 500 ? ProblemKind.InvalidRequest : ProblemKind.EndpointFailed;
  const run = status < 500 ? RunState.NotRun : RunState.Unknown;
  const details = problem(kind, run, err.message, errors.length > 0 ? { errors } : {});
  sendProblem(reply, { ...details, status });
}
