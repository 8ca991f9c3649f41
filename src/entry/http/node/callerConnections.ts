import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Problem } from '../../../services/problem/common/problem.js';
import { IntakeCut } from '../../../services/intake/common/intakeCut.js';
import type { IntakeRequest } from '../../../services/intake/node/intakeRequest.js';

/** Connections of callers and their requests, as far as a planned stop has to know them. */
export class CallerConnections {
  /** Answer to the latest request of each open connection. */
  private readonly latest = new Map<Socket, ServerResponse>();

  private readonly openRequests = new Set<IntakeRequest>();

  private isLeaving = false;

  /** Number of requests whose answer hasn't ended. */
  get openCount(): number {
    return this.openRequests.size;
  }

  /** Makes the last answer on each connection close it, so that callers move to other entries. */
  leave(): void {
    this.isLeaving = true;
    this.latest.forEach(closeAfter);
  }

  /**
   * Records a request whose head was read.
   *
   * @param req - The request.
   * @param res - Its answer.
   * @returns False if an earlier answer ends the connection; the request must not be served.
   */
  accept(req: IncomingMessage, res: ServerResponse): boolean {
    const { socket } = req;
    const previous = this.latest.get(socket);
    if (previous?.headersSent && previous.getHeader('connection') === 'close') {
      return false;
    }
    if (previous === undefined) {
      socket.once('close', () => this.latest.delete(socket));
    }
    this.latest.set(socket, res);
    if (this.isLeaving) {
      keepAfter(previous);
      closeAfter(res);
    }
    return true;
  }

  /**
   * Keeps a request until its answer has ended.
   *
   * @param request - The request.
   */
  open(request: IntakeRequest): void {
    this.openRequests.add(request);
    request.res.once('close', () => this.openRequests.delete(request));
  }

  /**
   * Serves a request. Once the entry leaves, it waits until the requests that were read together with it are
   * known, because the answer to the last one closes the connection.
   *
   * @param serve - Serves the request.
   */
  start(serve: () => void): void {
    if (this.isLeaving) {
      setImmediate(serve);
    } else {
      serve();
    }
  }

  /** Gives up the bodies that haven't arrived; their requests are refused. */
  refuseIncomplete(): void {
    this.openRequests.forEach((request) => {
      if (request.isIncomplete) {
        request.onRefuse(IntakeCut.Draining);
      }
    });
  }

  /**
   * Answers each request that has no status yet.
   *
   * @param details - Final answer to these requests.
   */
  answerRest(details: Problem): void {
    const body = JSON.stringify(details);
    this.openRequests.forEach(({ res }) => {
      if (!res.headersSent) {
        res.writeHead(details.status, {
          'content-type': 'application/problem+json',
          'content-length': Buffer.byteLength(body),
        });
        res.end(body);
      }
    });
  }
}

function closeAfter(res: ServerResponse): void {
  if (!res.headersSent) {
    res.setHeader('connection', 'close');
  }
}

/** Withdraws the end of a connection, unless its caller asked for it. */
function keepAfter(res: ServerResponse | undefined): void {
  if (res?.headersSent === false && res.shouldKeepAlive) {
    res.setHeader('connection', 'keep-alive');
  }
}
