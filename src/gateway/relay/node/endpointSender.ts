import { Pool, type Dispatcher } from 'undici';
import { messageOf } from '../../../base/common/errors.js';
import type { HeaderMap } from '../common/dialect.js';

/** A request as it goes to an endpoint. */
export interface OutboundRequest {
  readonly method: string;
  readonly target: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
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

/** Idle time after which a connection isn't used again unless the endpoint allows less. */
const idleMs = 3_000;

class Exchange implements IExchange, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private isOver = false;

  constructor(private readonly sink: IAnswerSink) {}

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
      const raw = (controller as { rawHeaders?: readonly (Buffer | string)[] }).rawHeaders ?? [];
      this.sink.onHead({ status, headers, rawHeaders: raw.map((each) => each.toString('latin1')) });
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isOver && !this.sink.onData(chunk)) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.sink.onEnd();
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    if (!this.isOver) {
      this.isOver = true;
      this.sink.onError(messageOf(err), this.controller !== undefined);
    }
  }

  resume(): void {
    this.controller?.resume();
  }

  abort(): void {
    this.isOver = true;
    this.controller?.abort(new Error('aborted'));
  }
}

/** Sends requests to endpoints over kept connections. */
export class EndpointSender {
  private readonly pools = new Map<string, Pool>();

  /** @param maxConnections - Connections to one endpoint. */
  constructor(private readonly maxConnections: number) {}

  /**
   * Sends a request.
   *
   * @param address - `ip:port` of the endpoint.
   * @param req - The request.
   * @param sink - Receives the answer.
   * @returns The exchange, to resume or to abort it.
   */
  send(address: string, req: OutboundRequest, sink: IAnswerSink): IExchange {
    const exchange = new Exchange(sink);
    this.poolFor(address).dispatch(
      {
        method: req.method,
        path: req.target,
        headers: req.headers,
        body: req.body,
        idempotent: false,
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
    const pool = this.pools.get(address);
    this.pools.delete(address);
    void pool?.close();
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  private poolFor(address: string): Pool {
    const known = this.pools.get(address);
    if (known) {
      return known;
    }
    const created = new Pool(`http://${address}`, {
      connections: this.maxConnections,
      pipelining: 1,
      connect: { timeout: connectMs },
      keepAliveTimeout: idleMs,
      keepAliveMaxTimeout: idleMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.pools.set(address, created);
    return created;
  }
}
