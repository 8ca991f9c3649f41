import { createHash, randomUUID } from 'node:crypto';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { Result } from 'ts-results-es';
import type { Header, ServiceAnswer } from '../../../services/link/common/messages.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';
import type { ServiceCaller, ServiceRequest } from '../../services/common/serviceCaller.js';
import type { RequestGuard } from './requestGuard.js';
import { admitBeforeBody } from './admissionHook.js';
import { sendProblem } from './problemReply.js';

/** Starts a submission to a plain service, which runs at most once per idempotency key. */
export type ServiceSubmissionStarter = (
  request: ServiceRequest,
  idempotencyKey: string,
  requestDigest: string,
) => Promise<Result<ServiceAnswer, Problem>>;

/** Dependencies of the service routes. */
export interface ServiceRouteDependencies {
  readonly guard: RequestGuard;
  readonly serviceCaller: ServiceCaller;
  readonly hasService: (name: string) => boolean;
  readonly startSubmission: ServiceSubmissionStarter;
}

/** HTTP methods of lookups, which may be repeated. */
const lookupMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Request headers that are forwarded to services. */
const forwardedHeaders = ['content-type', 'accept', 'accept-language', 'idempotency-key'];

function headersOf(req: FastifyRequest, organisation: string): readonly Header[] {
  const forwarded = forwardedHeaders.flatMap((name): Header[] => {
    const value = req.headers[name];
    return typeof value === 'string' ? [[name, value]] : [];
  });
  return [...forwarded, ['x-organisation', organisation]];
}

function digestRequest(request: ServiceRequest): string {
  const hash = createHash('sha256');
  return hash.update(`${request.method} ${request.path}\n`).update(request.body).digest('hex');
}

/**
 * Adds the routes for plain services.
 *
 * @param app - The HTTP server.
 * @param dependencies - Data and actions that the routes use.
 */
export function addServiceRoutes(
  app: FastifyInstance,
  dependencies: ServiceRouteDependencies,
): void {
  void app.register((scope, _options, done) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, onParsed) => {
      onParsed(null, body);
    });
    scope.all<{ Params: { name: string; '*': string } }>(
      '/services/:name/*',
      { onRequest: admitBeforeBody(dependencies.guard) },
      (req, reply) => handleServiceCall(dependencies, req, reply),
    );
    done();
  });
}

async function handleServiceCall(
  dependencies: ServiceRouteDependencies,
  req: FastifyRequest<{ Params: { name: string; '*': string } }>,
  reply: FastifyReply,
): Promise<FastifyReply> {
  const admitted = dependencies.guard.admit(req);
  if (admitted.isErr()) {
    return sendProblem(reply, admitted.error);
  }
  const service = req.params.name;
  if (!dependencies.hasService(service)) {
    const detail = `service ${service} does not exist`;
    return sendProblem(reply, problem(ProblemKind.NotFound, RunState.NotRun, detail));
  }
  const { organisation, revision, deadlineMs, idempotencyKey } = admitted.value;
  const request: ServiceRequest = {
    id: randomUUID(),
    organisation,
    service,
    revision,
    method: req.method,
    path: req.url.slice(`/services/${service}`.length),
    headers: headersOf(req, organisation),
    body: Buffer.isBuffer(req.body) ? req.body : new Uint8Array(),
    deadlineMs,
  };
  reply.header('x-request-id', request.id);
  if (lookupMethods.has(req.method)) {
    return sendAnswer(reply, await dependencies.serviceCaller.lookup(request));
  }
  if (idempotencyKey === undefined) {
    const detail = `${req.method} calls need an Idempotency-Key header`;
    const errors = [{ field: 'idempotency-key', reason: detail }];
    return sendProblem(
      reply,
      problem(ProblemKind.KeyRequired, RunState.NotRun, detail, { errors }),
    );
  }
  return sendAnswer(
    reply,
    await dependencies.startSubmission(request, idempotencyKey, digestRequest(request)),
  );
}

function sendAnswer(reply: FastifyReply, result: Result<ServiceAnswer, Problem>): FastifyReply {
  if (result.isErr()) {
    return sendProblem(reply, result.error);
  }
  const { status, headers, body } = result.value;
  headers.forEach(([name, value]) => reply.header(name, value));
  return reply.code(status).send(Buffer.from(body));
}
