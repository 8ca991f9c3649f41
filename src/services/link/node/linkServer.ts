import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { WebSocketServer } from 'ws';
import type { CallerIntake } from '../../intake/node/callerIntake.js';
import { Emitter } from '../../../base/common/event.js';
import type { AnswerIntake } from '../../exchange/node/answerIntake.js';
import { maxFrameBytesFor, webSocketOptions } from '../common/linkBounds.js';
import {
  linkVersion,
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
} from '../common/messages.js';
import { Link, type LinkTiming } from './link.js';

/** Time for the head of a request, and for which a connection that sends nothing is kept, in milliseconds. */
const headTimeoutMs = 3_000;
const idleTimeoutMs = 15_000;

/** Server that accepts links from other processes. */
export class LinkServer {
  private readonly httpServer: Server = createServer({ keepAliveTimeout: idleTimeoutMs });

  private readonly webSocketServer: WebSocketServer;

  private readonly connections = new Set<Socket>();

  private readonly acceptEmitter = new Emitter<Link>();

  /** Open links whose peer has sent its hello. */
  readonly links = new Set<Link>();

  /** Fires for each new link once its peer has sent a hello of the same link version. */
  readonly onDidAccept = this.acceptEmitter.event;

  /**
   * @param timing - Heartbeat interval and deadline.
   * @param createHello - Creates the hello that this side sends first on each link.
   * @param createHeartbeat - Creates the heartbeat that is sent next.
   * @param intake - Bounds what those who connect make the process hold; not bounded if undefined.
   * @param answers - Bounds what links make the process hold; not bounded if undefined.
   * @param maxFrameBytes - Size of the largest frame that is accepted, in bytes.
   */
  constructor(
    private readonly timing: LinkTiming,
    private readonly createHello: () => HelloMessage,
    private readonly createHeartbeat: () => HeartbeatMessage,
    private readonly intake?: CallerIntake,
    answers?: AnswerIntake,
    maxFrameBytes = maxFrameBytesFor(),
  ) {
    this.webSocketServer = new WebSocketServer({
      server: this.httpServer,
      ...webSocketOptions(maxFrameBytes),
    });
    this.attachIntake();
    this.httpServer.on('connection', (connection: Socket) => {
      this.connections.add(connection);
      connection.on('close', () => this.connections.delete(connection));
    });
    this.webSocketServer.on('connection', (socket, req) => {
      this.intake?.handOver(req.socket);
      const { socket: connection } = req;
      const linkSocket = { socket, connection, maxFrameBytes, answers };
      const link = new Link(linkSocket, this.timing, this.createHeartbeat);
      link.send(this.createHello());
      const subscription = link.onDidReceive((message) => {
        subscription.close();
        this.handleFirstMessage(
          link,
          message.kind === MessageKind.Hello ? message.version : undefined,
        );
      });
    });
  }

  /**
   * Starts listening.
   *
   * @param host - IP address to listen on.
   * @param port - Port, or 0 for any free port.
   * @returns The port that the server listens on.
   */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.httpServer.once('error', reject);
      this.httpServer.listen(port, host, () =>
        resolve((this.httpServer.address() as AddressInfo).port),
      );
    });
  }

  /** Total bytes sent and received over the currently open connections. */
  get transferredBytes(): number {
    return [...this.connections].reduce(
      (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
      0,
    );
  }

  /**
   * Closes every link and stops listening. Resolves once the peers have taken what was sent to them, or have
   * taken too long for that.
   */
  async close(): Promise<void> {
    this.links.forEach((link) => link.close());
    this.webSocketServer.close();
    this.httpServer.close();
    this.httpServer.closeAllConnections();
    const timer = setTimeout(
      () => this.connections.forEach((connection) => connection.destroy()),
      this.timing.deadlineMs,
    );
    await Promise.all([...this.connections].map(whenClosed));
    clearTimeout(timer);
  }

  /** Bounds the connections before their upgrade, and answers requests that ask for none. */
  private attachIntake(): void {
    this.intake?.attach(this.httpServer, {
      maxConnections: this.intake.bounds.maxConnections,
      headTimeoutMs: () => headTimeoutMs,
      idleTimeoutMs: () => idleTimeoutMs,
    });
    const refuse = (res: ServerResponse) => {
      res.statusCode = 426;
      res.end();
    };
    const receive = (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean) => {
      if (this.intake === undefined) {
        refuse(res);
        return;
      }
      this.intake.begin(req, res, expectsContinue, {
        onBegin: (request) => request,
        onStart: (request) => {
          request.prepareRefusal();
          if (request.connection.isEnding) {
            res.setHeader('connection', 'close');
          }
          refuse(res);
        },
      });
    };
    this.httpServer.on('request', (req, res) => receive(req, res, false));
    this.httpServer.on('checkContinue', (req: IncomingMessage, res: ServerResponse) =>
      receive(req, res, true),
    );
  }

  private handleFirstMessage(link: Link, version: number | undefined): void {
    if (version !== linkVersion) {
      link.close();
      return;
    }
    this.links.add(link);
    link.onDidEnd(() => this.links.delete(link));
    this.acceptEmitter.fire(link);
  }
}

function whenClosed(connection: Socket): Promise<void> {
  return new Promise((resolve) => {
    connection.once('close', () => resolve());
  });
}
