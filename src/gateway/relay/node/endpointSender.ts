import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { toErrorMessage } from '../../../base/common/errors.js';
import type { IClock } from '../../../base/common/clock.js';
import type { HeaderMap } from '../common/dialect.js';

/** A request as it goes to an endpoint. */
export interface OutboundRequest {
  readonly method: string;
  readonly target: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Idle time of a kept connection beyond which a new one is opened instead, in milliseconds. */
  readonly maxIdleMs: number;
}

/** Head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  /** Names and values by turns. */
  readonly rawHeaders: readonly string[];
}

/** Receives an endpoint's answer. */
export interface IAnswerSink {
  onHead(head: AnswerHead): void;
  /** Returns false to pause until `resume` is called on the exchange. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  /** @param wasSent - Whether any byte of the request may have reached the endpoint. */
  onError(reason: string, wasSent: boolean): void;
}

/** An answer under way. */
export interface IExchange {
  resume(): void;
  /** Breaks the exchange off; the sink hears nothing more. */
  abort(): void;
}

/** Time to open a connection, in milliseconds; a few round trips and one lost packet fit. */
const connectMs = 600;

/** Idle time after which a connection is closed unless the endpoint allows less. */
const idleMs = 4_000;

const openSocket = buildConnector({ timeout: connectMs });

/** A connection to an endpoint that carries one exchange at a time. */
class Connection {
  readonly client: Client;

  isBusy = false;

  idleSinceMs = 0;

  /** Whether the endpoint's side has ended, in order or by a reset. */
  hasEnded = false;

  /** How it ended other than in order. */
  fault: string | undefined;

  constructor(address: string) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: idleMs,
      keepAliveMaxTimeout: idleMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) =>
        openSocket(options, (err, socket) => {
          if (err) {
            callback(err, null);
            return;
          }
          this.watch(socket);
          callback(null, socket);
        }),
    });
  }

  /** Listens before the client does, so that `hasEnded` is known when an answer ends. */
  private watch(socket: Socket): void {
    this.hasEnded = false;
    this.fault = undefined;
    socket.once('end', () => {
      this.hasEnded = true;
      // A reset that is polled together with data is reported as an end, but leaves no peer.
      if (socket.remoteAddress === undefined) {
        this.fault = 'connection was reset';
      }
    });
    socket.once('error', (err) => {
      this.hasEnded = true;
      this.fault = err.message;
    });
  }
}

class Exchange implements IExchange, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private isOver = false;

  private isFramed = false;

  constructor(
    private readonly sink: IAnswerSink,
    private readonly connection: Connection,
    private readonly onOver: () => void,
    /** Called if the exchange is aborted before it has the connection. */
    private readonly onUnused: () => void,
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isOver) {
      controller.abort(new Error('aborted'));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderMap,
  ): void {
    if (!this.isOver && status >= 200) {
      this.isFramed =
        headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
      const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
      this.sink.onHead({ status, headers, rawHeaders: raw.map((each) => each.toString('latin1')) });
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isOver && !this.sink.onData(chunk)) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    const { hasEnded, fault } = this.connection;
    this.onOver();
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    // The client takes the end of a connection as the end of its last answer, whatever the framing.
    if (fault !== undefined || (this.isFramed && hasEnded)) {
      this.sink.onError(fault ?? 'connection ended within the answer', true);
    } else {
      this.sink.onEnd();
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    this.onOver();
    if (!this.isOver) {
      this.isOver = true;
      this.sink.onError(toErrorMessage(err), this.controller !== undefined);
    }
  }

  resume(): void {
    this.controller?.resume();
  }

  abort(): void {
    this.isOver = true;
    if (this.controller) {
      this.controller.abort(new Error('aborted'));
    } else {
      this.onUnused();
    }
  }
}

/**
 * Sends requests to endpoints over kept connections.
 *
 * Each connection is a client of its own: only so is it known how the connection ended that an
 * answer came on, and a reset must not pass as the end of an answer without a length.
 */
export class EndpointSender {
  private readonly connections = new Map<string, Set<Connection>>();

  /**
   * @param maxConnections - Connections to one endpoint.
   * @param clock - Source of time.
   */
  constructor(
    private readonly maxConnections: number,
    private readonly clock: IClock,
  ) {}

  /**
   * Sends a request.
   *
   * @param address - `ip:port` of the endpoint.
   * @param req - The request.
   * @param sink - Receives the answer.
   * @returns The exchange, to resume or to abort it.
   */
  send(address: string, req: OutboundRequest, sink: IAnswerSink): IExchange {
    const open = this.openTo(address);
    const kept = this.idleConnection(open, req.maxIdleMs);
    if (kept === undefined && open.size >= this.maxConnections) {
      queueMicrotask(() => sink.onError('too many connections', false));
      return { resume: () => undefined, abort: () => undefined };
    }
    const connection = kept ?? this.open(address, open);
    connection.isBusy = true;
    const onOver = () => {
      connection.isBusy = false;
      connection.idleSinceMs = this.clock.monotonicMs();
    };
    const onUnused = () => {
      // The client reports neither a disconnect nor an error for a connection it never opened.
      open.delete(connection);
      void connection.client.destroy();
    };
    const exchange = new Exchange(sink, connection, onOver, onUnused);
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
   * Closes the connections to an endpoint once they are idle.
   *
   * @param address - Where it listened.
   */
  forget(address: string): void {
    const open = this.connections.get(address);
    this.connections.delete(address);
    open?.forEach(({ client }) => void client.close());
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const open = [...this.connections.values()].flatMap((each) => [...each]);
    this.connections.clear();
    await Promise.all(open.map(({ client }) => client.destroy()));
  }

  private openTo(address: string): Set<Connection> {
    const known = this.connections.get(address);
    if (known) {
      return known;
    }
    const created = new Set<Connection>();
    this.connections.set(address, created);
    return created;
  }

  /** The connection that was used last; the others may close for want of use. */
  private idleConnection(open: Set<Connection>, maxIdleMs: number): Connection | undefined {
    const oldestMs = this.clock.monotonicMs() - maxIdleMs;
    let newest: Connection | undefined;
    for (const connection of open) {
      const isUsable =
        !connection.isBusy && !connection.client.destroyed && connection.idleSinceMs >= oldestMs;
      if (isUsable && connection.idleSinceMs >= (newest?.idleSinceMs ?? 0)) {
        newest = connection;
      }
    }
    return newest;
  }

  private open(address: string, open: Set<Connection>): Connection {
    const connection = new Connection(address);
    open.add(connection);
    connection.client.on('disconnect', () => {
      open.delete(connection);
      if (!connection.client.destroyed) {
        void connection.client.close();
      }
    });
    connection.client.on('connectionError', () => {
      open.delete(connection);
    });
    return connection;
  }
}
