import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Readable } from 'node:stream';
import Fastify, { type FastifyInstance, type FastifyReply } from 'fastify';
import { IntakeCut } from '../../../services/intake/common/intakeCut.js';
import type { CallerIntake } from '../../../services/intake/node/callerIntake.js';
import {
  BodyOutcome,
  type BodyResult,
  type IntakeRequest,
} from '../../../services/intake/node/intakeRequest.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';
import type { CallerConnections } from './callerConnections.js';
import { handleError, sendProblem } from './problemReply.js';

/** Limits of the HTTP server of an entry. */
export interface EntryServerOptions {
  /** Maximum length of a request body, in bytes. */
  readonly bodyBytes: number;
  /** Maximum duration of a request, in milliseconds. */
  readonly requestMs: number;
  /** Time for the head of a request, in milliseconds. */
  readonly headMs: number;
  /** Time for which a connection without a request is kept, in milliseconds. */
  readonly idleMs: number;
}

/** Time after which a request that found no memory may be repeated, in seconds. */
const noMemoryRetryAfterSeconds = 1;

/** Time after which a request whose body came too late for an entry that stops may be repeated, in seconds. */
const drainingRetryAfterSeconds = 1;

const notFoundStatus = 404;
const timeoutStatus = 408;
const tooLargeStatus = 413;

const noMemory = problem(
  ProblemKind.Overloaded,
  RunState.NotRun,
  'this entry has no memory for more requests',
  { retryAfterSeconds: noMemoryRetryAfterSeconds },
);

/**
 * Creates the HTTP server of an entry.
 *
 * Requests that arrive on open connections while it closes reach the routes, which refuse them with problem
 * details; the library's own answer wouldn't tell callers that their request has not run. Bodies are read
 * through the account of the intake before the library parses them.
 *
 * @param options - Limits of the server.
 * @param intake - Bounds what callers make the process hold.
 * @param connections - Connections of callers, for a planned stop.
 * @returns The server, without routes.
 */
export function createEntryServer(
  { bodyBytes, requestMs, headMs, idleMs }: EntryServerOptions,
  intake: CallerIntake,
  connections: CallerConnections,
): FastifyInstance {
  const requests = new WeakMap<IncomingMessage, IntakeRequest>();
  const app = Fastify({
    bodyLimit: bodyBytes,
    forceCloseConnections: 'idle',
    return503OnClosing: false,
    ajv: { customOptions: { allErrors: true, coerceTypes: false } },
    serverFactory: (handle) => {
      const server = createServer({ keepAliveTimeout: idleMs, requestTimeout: 0 });
      attachIntake(server, intake, connections, { headMs, idleMs }, (request) => {
        requests.set(request.req, request);
        handle(request.req, request.res);
      });
      return server;
    },
  });
  app.setErrorHandler(handleError);
  app.addHook('preParsing', async (req, reply, payload) => {
    const request = requests.get(req.raw);
    if (request === undefined) {
      return payload;
    }
    if (request.mustRefuse) {
      return sendProblem(reply, noMemory);
    }
    if (!request.hasBody) {
      return payload;
    }
    if (req.is404) {
      const message = `Route ${req.method}:${req.url} not found`;
      return reply
        .code(notFoundStatus)
        .send({ message, error: 'Not Found', statusCode: notFoundStatus });
    }
    const result = await request.readBody({
      maxBytes: bodyBytes,
      deadlineMs: request.arrivedMs + requestMs,
      maxWaitMs: intake.bounds.bodyWaitMs,
    });
    if (result.outcome !== BodyOutcome.Whole) {
      return sendProblem(reply, refusalOf(result, bodyBytes));
    }
    return toPayload(result.body);
  });
  app.addHook('onSend', (req, reply, _payload, done) => {
    endUnreadBody(requests.get(req.raw), reply);
    done();
  });
  return app;
}

/** Bounds the connections of a server, and passes on its requests when they may be served. */
function attachIntake(
  server: Server,
  intake: CallerIntake,
  connections: CallerConnections,
  { headMs, idleMs }: Pick<EntryServerOptions, 'headMs' | 'idleMs'>,
  onStart: (request: IntakeRequest) => void,
): void {
  intake.attach(server, {
    maxConnections: intake.bounds.maxConnections,
    headTimeoutMs: () => headMs,
    idleTimeoutMs: () => idleMs,
  });
  const receive = (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean) => {
    if (!connections.accept(req, res)) {
      return;
    }
    intake.begin(req, res, expectsContinue, {
      onBegin: (request) => {
        connections.open(request);
        return request;
      },
      onStart: (request) => connections.start(() => onStart(request)),
    });
  };
  server.on('request', (req, res) => receive(req, res, false));
  server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) =>
    receive(req, res, true),
  );
}

/** Prepares the connection of a request that is answered although its body wasn't read. */
function endUnreadBody(request: IntakeRequest | undefined, reply: FastifyReply): void {
  if (request?.isIncomplete !== true || reply.raw.headersSent) {
    return;
  }
  request.prepareRefusal();
  if (request.connection.isEnding) {
    reply.header('connection', 'close');
  }
}

/** Returns a body in the form in which the library reads it. */
function toPayload(body: Buffer): Readable {
  return Object.assign(Readable.from([body], { objectMode: false }), {
    receivedEncodedLength: body.length,
  });
}

/** Returns the refusal of a request whose body wasn't read; the request hasn't run. */
function refusalOf(result: BodyResult, bodyBytes: number): Problem {
  if (result.outcome === BodyOutcome.TooLarge) {
    const detail = `the body exceeds ${bodyBytes} bytes`;
    const details = problem(ProblemKind.InvalidRequest, RunState.NotRun, detail);
    return { ...details, status: tooLargeStatus };
  }
  if (result.outcome === BodyOutcome.GivenUp && result.reason === IntakeCut.Draining) {
    const detail = 'this instance is stopping';
    const options = { retryAfterSeconds: drainingRetryAfterSeconds };
    return problem(ProblemKind.Draining, RunState.NotRun, detail, options);
  }
  const isCallersFault =
    result.outcome !== BodyOutcome.GivenUp ||
    result.reason === IntakeCut.BodyStalled ||
    result.reason === IntakeCut.BodyLate;
  if (isCallersFault) {
    const detail = 'the body did not arrive in time';
    const details = problem(ProblemKind.InvalidRequest, RunState.NotRun, detail);
    return { ...details, status: timeoutStatus };
  }
  return noMemory;
}
