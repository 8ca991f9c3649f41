import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { toErrorMessage } from '../../../base/common/errors.js';
import type { IClock } from '../../../base/common/clock.js';
import type { HeaderMap } from '../common/headerMap.js';
import { ReadGate } from './readGate.js';

/** HTTP request to an endpoint. */
export interface OutboundRequest {
  readonly method: string;
  readonly target: string;
  /** Header names at even indices, each followed by its value. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /**
   * Longest idle time after which a kept-alive connection is reused for it, in milliseconds; undefined if it
   * needs a connection that has carried no other request.
   */
  readonly maxIdleMs: number | undefined;
}

/** Status and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  /** Header names at even indices, each followed by its value. */
  readonly rawHeaders: readonly string[];
  /** Whether its connection has carried no other request, so that no earlier answer can have taken its place. */
  readonly isFirstOnConnection: boolean;
}

/** Receives the answer to a request, or the error that ended the exchange. */
export interface IAnswerSink {
  onHead(head: AnswerHead): void;
  /**
   * Called with the next bytes of the body; returns false to pause until the exchange is resumed. Bytes
   * that were read before the pause still follow.
   */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  /**
   * Called instead of `onEnd` if the exchange failed.
   *
   * @param reason - Error message.
   * @param wasSent - Whether any byte of the request may have reached the endpoint.
   */
  onError(reason: string, wasSent: boolean): void;
}

/** A request that was sent to an endpoint, with its answer. */
export interface IExchange {
  resume(): void;
  /** Aborts the exchange; the sink is not called any more. */
  abort(): void;
}

/**
 * Timeout for opening a connection, in milliseconds. Allows for a few round trips and the retransmission
 * of one lost packet.
 */
const connectTimeoutMs = 600;

/** Idle time in milliseconds after which a connection is closed, unless the endpoint asks for less. */
const idleTimeoutMs = 4_000;

/** Maximum size of the head of an answer, in bytes. */
const maxHeadBytes = 16_384;

const openSocket = buildConnector({ timeout: connectTimeoutMs });

/** Connection to an endpoint that carries one exchange at a time. */
class Connection {
  readonly client: Client;

  isBusy = false;

  idleSinceMs = 0;

  /** Number of requests that were sent on the connection. */
  requestCount = 0;

  /** Whether the endpoint has closed or reset the connection. */
  hasEnded = false;

  /** Error with which the connection ended; undefined if it is open or was closed normally. */
  failureReason: string | undefined;

  private gate: ReadGate | undefined;

  /**
   * @param origin - Scheme, host and port of the endpoint.
   * @param onHeard - Called when the endpoint has accepted the connection or sent part of an answer.
   */
  constructor(
    origin: string,
    readonly onHeard: () => void,
  ) {
    this.client = new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: idleTimeoutMs,
      maxHeaderSize: maxHeadBytes,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) =>
        openSocket(options, (err, socket) => {
          if (err) {
            callback(err, null);
            return;
          }
          this.watch(socket);
          this.onHeard();
          callback(null, socket);
        }),
    });
  }

  /** Stops reading from the connection until `resume` is called. */
  pause(): void {
    this.gate?.shut();
  }

  resume(): void {
    this.gate?.open();
  }

  /** Adds listeners before the client adds its own, so that `hasEnded` is set when an answer ends. */
  private watch(socket: Socket): void {
    this.gate = new ReadGate(socket);
    this.requestCount = 0;
    this.hasEnded = false;
    this.failureReason = undefined;
    socket.once('end', () => {
      this.hasEnded = true;
      // A reset that is polled together with data is reported as an end, but without a remote address.
      if (socket.remoteAddress === undefined) {
        this.failureReason = 'connection was reset';
      }
    });
    socket.once('error', (err) => {
      this.hasEnded = true;
      this.failureReason = err.message;
    });
  }
}

/** Returns whether headers delimit the body by a length or by chunks. */
function hasFraming(headers: HeaderMap): boolean {
  const encodings = String(headers['transfer-encoding'] ?? '').toLowerCase();
  return headers['content-length'] !== undefined || encodings.trimEnd().endsWith('chunked');
}

/** Passes the client's events of one request on to the sink, until the exchange ends or is aborted. */
class Exchange implements IExchange, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private isFinished = false;

  /** Whether the answer's headers delimit its body by a length or a transfer encoding. */
  private isFramed = false;

  constructor(
    private readonly sink: IAnswerSink,
    private readonly connection: Connection,
    /** Called when the client has ended the request, also after an abort. */
    private readonly onFinished: () => void,
    /** Called if the exchange is aborted before the client has started the request. */
    private readonly onUnused: () => void,
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.connection.requestCount += 1;
    if (this.isFinished) {
      controller.abort(new Error('aborted'));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderMap,
  ): void {
    this.connection.onHeard();
    if (!this.isFinished && status >= 200) {
      this.isFramed = hasFraming(headers);
      const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
      this.sink.onHead({
        status,
        headers,
        rawHeaders: raw.map((each) => each.toString('latin1')),
        isFirstOnConnection: this.connection.requestCount === 1,
      });
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.connection.onHeard();
    if (!this.isFinished && !this.sink.onData(chunk)) {
      this.connection.pause();
    }
  }

  onResponseEnd(): void {
    const { hasEnded, failureReason } = this.connection;
    this.onFinished();
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    // The client treats the end of a connection as the end of its last answer, regardless of framing.
    if (failureReason !== undefined || (this.isFramed && hasEnded)) {
      this.sink.onError(failureReason ?? 'connection ended within the answer', true);
    } else {
      this.sink.onEnd();
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    this.onFinished();
    if (!this.isFinished) {
      this.isFinished = true;
      this.sink.onError(toErrorMessage(err), this.controller !== undefined);
    }
  }

  resume(): void {
    if (!this.isFinished) {
      this.connection.resume();
    }
  }

  abort(): void {
    this.isFinished = true;
    if (this.controller) {
      this.controller.abort(new Error('aborted'));
    } else {
      this.onUnused();
    }
  }
}

/**
 * Sends requests over kept-alive connections to endpoints, or to the service behind one.
 *
 * Each connection has its own client. A shared client wouldn't tell how the connection of an answer
 * ended, and a reset must not be taken for the end of an answer without a length.
 */
export class EndpointSender {
  private readonly connections = new Map<string, Set<Connection>>();

  private readonly heardMs = new Map<string, number>();

  /**
   * @param maxConnections - Maximum number of connections to one endpoint.
   * @param clock - Source of time.
   * @param protocol - `http:` or `https:`.
   */
  constructor(
    private readonly maxConnections: number,
    private readonly clock: IClock,
    private readonly protocol = 'http:',
  ) {}

  /**
   * Sends a request.
   *
   * @param address - `ip:port` of the endpoint.
   * @param req - Request to send.
   * @param sink - Receives the answer.
   * @returns The exchange, which can be resumed or aborted.
   */
  send(address: string, req: OutboundRequest, sink: IAnswerSink): IExchange {
    const openConnections = this.connectionsTo(address);
    const idleConnection =
      req.maxIdleMs === undefined
        ? undefined
        : this.lastUsedIdleConnection(openConnections, req.maxIdleMs);
    if (idleConnection === undefined && openConnections.size >= this.maxConnections) {
      queueMicrotask(() => sink.onError('too many connections', false));
      return { resume: () => undefined, abort: () => undefined };
    }
    const connection = idleConnection ?? this.openConnection(address, openConnections);
    connection.isBusy = true;
    const onFinished = () => {
      connection.resume();
      connection.isBusy = false;
      connection.idleSinceMs = this.clock.monotonicMs();
    };
    const onUnused = () => {
      // The client emits neither a disconnect nor an error for a connection that it never opened.
      openConnections.delete(connection);
      void connection.client.destroy();
    };
    const exchange = new Exchange(sink, connection, onFinished, onUnused);
    connection.client.dispatch(
      {
        method: req.method,
        path: req.target,
        headers: req.headers,
        body: req.body,
      },
      exchange,
    );
    return exchange;
  }

  /**
   * Returns when an endpoint last gave a sign of life.
   *
   * @param address - `ip:port` of the endpoint.
   * @returns Monotonic time in milliseconds; undefined if nothing was heard of it yet.
   */
  lastHeardMs(address: string): number | undefined {
    return this.heardMs.get(address);
  }

  /**
   * Closes the connections to an endpoint once they are idle.
   *
   * @param address - `ip:port` of the endpoint.
   */
  closeConnectionsTo(address: string): void {
    const openConnections = this.connections.get(address);
    this.connections.delete(address);
    this.heardMs.delete(address);
    openConnections?.forEach(({ client }) => void client.close());
  }

  /** Closes all connections immediately, with the exchanges on them. */
  async close(): Promise<void> {
    const openConnections = [...this.connections.values()].flatMap((each) => [...each]);
    this.connections.clear();
    await Promise.all(openConnections.map(({ client }) => client.destroy()));
  }

  private connectionsTo(address: string): Set<Connection> {
    const existing = this.connections.get(address);
    if (existing) {
      return existing;
    }
    const created = new Set<Connection>();
    this.connections.set(address, created);
    return created;
  }

  /** Returns the idle connection that was used last, so that surplus ones stay idle until they time out. */
  private lastUsedIdleConnection(
    openConnections: Set<Connection>,
    maxIdleMs: number,
  ): Connection | undefined {
    const oldestMs = this.clock.monotonicMs() - maxIdleMs;
    let lastUsed: Connection | undefined;
    for (const connection of openConnections) {
      const isUsable =
        !connection.isBusy && !connection.client.destroyed && connection.idleSinceMs >= oldestMs;
      if (isUsable && connection.idleSinceMs >= (lastUsed?.idleSinceMs ?? 0)) {
        lastUsed = connection;
      }
    }
    return lastUsed;
  }

  private openConnection(address: string, openConnections: Set<Connection>): Connection {
    const connection = new Connection(`${this.protocol}//${address}`, () => {
      this.heardMs.set(address, this.clock.monotonicMs());
    });
    openConnections.add(connection);
    connection.client.on('disconnect', () => {
      openConnections.delete(connection);
      if (!connection.client.destroyed) {
        void connection.client.close();
      }
    });
    connection.client.on('connectionError', () => {
      openConnections.delete(connection);
    });
    return connection;
  }
}
