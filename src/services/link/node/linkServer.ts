import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { WebSocketServer } from 'ws';
import { Emitter } from '../../../base/common/event.js';
import {
  linkVersion,
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
} from '../common/messages.js';
import { Link, type LinkTiming } from './link.js';

/** Largest frame that a link accepts, in bytes. */
export const maxFrameBytes = 16 * 1_048_576;

/** Accepts links from other processes. */
export class LinkServer {
  private readonly http: Server = createServer((_req, res) => {
    res.statusCode = 426;
    res.end();
  });

  private readonly sockets = new WebSocketServer({
    server: this.http,
    maxPayload: maxFrameBytes,
    perMessageDeflate: false,
  });

  private readonly connections = new Set<Socket>();

  private readonly accepted = new Emitter<Link>();

  /** Links that are open and whose peer said hello. */
  readonly links = new Set<Link>();

  /** Fires for each link once its peer said hello. */
  readonly onDidAccept = this.accepted.event;

  /**
   * @param timing - Heartbeat interval and deadline.
   * @param hello - Makes this side's first message.
   * @param heartbeat - Makes the next heartbeat.
   */
  constructor(
    private readonly timing: LinkTiming,
    private readonly hello: () => HelloMessage,
    private readonly heartbeat: () => HeartbeatMessage,
  ) {
    this.http.on('connection', (connection: Socket) => {
      this.connections.add(connection);
      connection.on('close', () => this.connections.delete(connection));
    });
    this.sockets.on('connection', (socket) => {
      const link = new Link(socket, this.timing, this.heartbeat);
      link.send(this.hello());
      const first = link.onDidReceive((message) => {
        first.close();
        this.admit(link, message.kind === MessageKind.Hello ? message.version : undefined);
      });
    });
  }

  /**
   * Starts to listen.
   *
   * @param host - IP number to listen on.
   * @param port - Port, or 0 for any free one.
   * @returns The port in use.
   */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.http.once('error', reject);
      this.http.listen(port, host, () => resolve((this.http.address() as AddressInfo).port));
    });
  }

  /** Bytes that crossed the open connections, in both directions. */
  get bytes(): number {
    return [...this.connections].reduce(
      (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
      0,
    );
  }

  /** Closes every link and stops listening. */
  close(): void {
    this.links.forEach((link) => link.close());
    this.sockets.close();
    this.http.close();
    this.http.closeAllConnections();
  }

  private admit(link: Link, version: number | undefined): void {
    if (version !== linkVersion) {
      link.close();
      return;
    }
    this.links.add(link);
    link.onDidEnd(() => this.links.delete(link));
    this.accepted.fire(link);
  }
}
