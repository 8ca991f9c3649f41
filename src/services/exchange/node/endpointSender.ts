import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { toErrorMessage } from '../../../base/common/errors.js';
import type { IClock } from '../../../base/common/clock.js';
import { requestHeapCost } from '../../intake/common/headAccount.js';
import { AnswerCut, isFault } from '../common/answerCut.js';
import { isFinalStatus, isInterimStatus } from '../common/finalStatus.js';
import type { HeaderMap } from '../common/headerMap.js';
import { AnswerBody } from './answerBody.js';
import { AnswerConnection, AnswerGivenUpError, HoldReason } from './answerConnection.js';
import type { AnswerIntake, IHeapUser } from './answerIntake.js';

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
  /** Monotonic time after which an answer is of no use, in milliseconds; none if undefined. */
  readonly neededByMs?: number;
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
  /**
   * Called with the head of the answer.
   *
   * @param head - Status and headers.
   * @param exchange - The exchange, which keeps what the receiver can't pass on yet.
   */
  onHead(head: AnswerHead, exchange: IExchange): void;
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
   * @param fault - What failed.
   * @param cause - Error of the connection; undefined if the exchange was given up.
   */
  onError(reason: string, wasSent: boolean, fault: ExchangeFault, cause?: Error): void;
}

/** What failed if an exchange has no whole answer. */
export enum ExchangeFault {
  /** The connection couldn't be opened, or ended. */
  Connection = 'connection',
  /** The endpoint sent what is no answer in the protocol. */
  Malformed = 'malformed',
  /** The endpoint sent more than an answer may hold, or held the answer back. */
  Answer = 'answer',
  /** This process had no room for the answer. */
  NoRoom = 'no-room',
  /** The receiver in this process threw an exception. */
  Receiver = 'receiver',
  /** The request can't be sent to any endpoint, such as one with two hosts. Nothing of it was sent. */
  Request = 'request',
}

const ownFaults: ReadonlySet<ExchangeFault> = new Set([
  ExchangeFault.NoRoom,
  ExchangeFault.Receiver,
  ExchangeFault.Request,
]);

/**
 * Returns whether the endpoint is not to blame for what failed.
 *
 * @param fault - What failed.
 */
export function isOwnFault(fault: ExchangeFault): boolean {
  return ownFaults.has(fault);
}

/** A request that was sent to an endpoint, with its answer. */
export interface IExchange {
  /**
   * Returns a place for what can't be passed on yet, which is charged to the account of all answers. If it
   * gets too large or the account gives it up, the exchange ends with `onError`.
   *
   * @param maxBytes - Largest size, in bytes.
   * @param isWholeBody - Whether it is to hold all of the body, whose length the head may name.
   */
  collect(maxBytes: number, isWholeBody: boolean): AnswerBody;
  /**
   * Ends the exchange with `onError`, because its answer can't be read on.
   *
   * @param cut - Why.
   * @param reason - Error message.
   */
  giveUp(cut: AnswerCut, reason?: string): void;
  /**
   * Counts events of the answer, so that many small ones take turns with other answers.
   *
   * @param count - Their number.
   * @param bytes - Their size.
   */
  countEvents(count: number, bytes: number): void;
  resume(): void;
  /** Aborts the exchange; the sink is not called any more. */
  abort(): void;
}

/**
 * Timeout for opening a connection, in milliseconds. Allows for a few round trips and the retransmission
 * of one lost packet.
 */
const defaultConnectTimeoutMs = 600;

/** Idle time in milliseconds after which a connection is closed, unless the endpoint asks for less. */
const defaultIdleTimeoutMs = 4_000;

/** Number of fields, and size in bytes, up to which a head isn't charged. */
const usualFieldCount = 64;
const usualHeadBytes = 4_096;

/** Codes of errors of the client about bytes that are no answer in the protocol; it asserts some of its rules. */
const malformedCodes: ReadonlySet<unknown> = new Set(['UND_ERR_HEADERS_OVERFLOW', 'ERR_ASSERTION']);

/** Codes of errors of the client about a request that it doesn't send. */
const unsendableCodes: ReadonlySet<unknown> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

/** Message with which the client closes a connection for a head that it doesn't expect, such as status 100. */
const unexpectedHeadPattern = /^bad (response|upgrade)$/;

/** Message of the parser about a connection that ended within an answer. */
const brokenOffPattern = /Invalid EOF state/;

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

  private answers: AnswerConnection | undefined;

  /**
   * @param origin - Scheme, host and port of the endpoint.
   * @param options - How connections are opened.
   * @param openSocket - Opens the socket.
   * @param onHeard - Called when the endpoint has accepted the connection or sent part of an answer.
   */
  constructor(
    readonly origin: string,
    private readonly options: EndpointSenderOptions,
    openSocket: buildConnector.connector,
    readonly onHeard: () => void,
  ) {
    const keepAliveMs = options.idleTimeoutMs ?? defaultIdleTimeoutMs;
    this.client = new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: keepAliveMs,
      keepAliveMaxTimeout: keepAliveMs,
      maxHeaderSize: options.intake.bounds.maxHeadBytes,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (target, callback) =>
        openSocket(target, (err, socket) => {
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

  /** Bounds what arrives; undefined before the connection is open. */
  get reader(): AnswerConnection | undefined {
    return this.answers;
  }

  get intake(): AnswerIntake {
    return this.options.intake;
  }

  /** Adds listeners before the client adds its own, so that `hasEnded` is set when an answer ends. */
  private watch(socket: Socket): void {
    this.answers = new AnswerConnection(socket, this.options.intake);
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

/** Returns the length of a body that its head names, in bytes; undefined if it names none. */
function declaredBytesOf(method: string, headers: HeaderMap): number | undefined {
  if (method === 'HEAD') {
    return 0;
  }
  const length = headers['content-length'];
  return headers['transfer-encoding'] === undefined && typeof length === 'string'
    ? Number(length)
    : undefined;
}

/** Passes the client's events of one request on to the sink, until the exchange ends or is aborted. */
class Exchange implements IExchange, IHeapUser, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private isFinished = false;

  /** Whether the answer's headers delimit its body by a length or a transfer encoding. */
  private isFramed = false;

  private interimHeadCount = 0;

  /** Bytes of the answer's body that have arrived. */
  private receivedBytes = 0;

  private declaredBytes: number | undefined;

  private readonly bodies: AnswerBody[] = [];

  constructor(
    private readonly req: OutboundRequest,
    private readonly sink: IAnswerSink,
    private readonly connection: Connection,
    /** Called when the answer has ended. */
    private readonly onFinished: () => void,
    /** Called when the client has ended the request with an error, also after an abort. */
    private readonly onFailed: () => void,
    /** Called if the exchange is aborted before the client has started the request. */
    private readonly onUnused: () => void,
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.connection.requestCount += 1;
    this.connection.reader?.beginAnswer();
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
    if (this.isFinished) {
      return;
    }
    const { maxHeadFields, maxInterimHeads } = this.connection.intake.bounds;
    const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    if (raw.length > 2 * maxHeadFields) {
      this.giveUp(AnswerCut.ManyFields);
      return;
    }
    if (!isFinalStatus(status) && !isInterimStatus(status)) {
      this.giveUp(AnswerCut.Malformed, `answer with status ${status}`);
      return;
    }
    if (isInterimStatus(status)) {
      this.interimHeadCount += 1;
      if (this.interimHeadCount > maxInterimHeads) {
        this.giveUp(AnswerCut.InterimHeads);
      }
      return;
    }
    this.connection.reader?.recordHead();
    this.isFramed = hasFraming(headers);
    this.declaredBytes = declaredBytesOf(this.req.method, headers);
    const rawHeaders = raw.map((each) => each.toString('latin1'));
    this.chargeHead(rawHeaders);
    if (this.isFinished) {
      return; // the heap had no room for the head
    }
    const isFirstOnConnection = this.connection.requestCount === 1;
    try {
      this.sink.onHead({ status, headers, rawHeaders, isFirstOnConnection }, this);
    } catch (err) {
      this.handleSinkException(err);
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.connection.onHeard();
    this.receivedBytes += chunk.length;
    this.connection.reader?.recordPiece(chunk.length);
    if (this.isFinished) {
      return;
    }
    try {
      if (!this.sink.onData(chunk)) {
        this.connection.reader?.hold(HoldReason.Receiver);
      }
    } catch (err) {
      this.handleSinkException(err);
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
      const reason = failureReason ?? 'connection ended within the answer';
      this.callSinkWithError(reason, true, ExchangeFault.Connection);
    } else {
      try {
        this.sink.onEnd();
      } catch (err) {
        this.handleSinkException(err);
      }
    }
    this.closeBodies();
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    this.onFailed();
    this.closeBodies();
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    const cut = cutOf(err);
    if (cut !== undefined) {
      this.connection.intake.recordCut(cut, this.connection.origin, this.receivedBytes);
    }
    const isUnsendable = unsendableCodes.has((err as { readonly code?: unknown }).code);
    const wasSent = this.controller !== undefined && !isUnsendable;
    const fault = isUnsendable ? ExchangeFault.Request : faultOf(cut);
    this.callSinkWithError(toErrorMessage(err), wasSent, fault, err);
  }

  collect(maxBytes: number, isWholeBody: boolean): AnswerBody {
    const { intake, reader } = this.connection;
    if (reader === undefined) {
      throw new Error('an answer can be collected only once its head has arrived');
    }
    const body = new AnswerBody(
      intake,
      reader,
      isWholeBody ? this.declaredBytes : undefined,
      maxBytes,
      this.connection.origin,
      this.req.neededByMs,
      (cut) => {
        const size = `answer exceeds ${maxBytes} bytes`;
        this.giveUp(cut, cut === AnswerCut.TooLarge ? size : undefined);
      },
    );
    this.bodies.push(body);
    return body;
  }

  giveUp(cut: AnswerCut, reason = `answer was given up: ${cut}`): void {
    if (this.isFinished) {
      return;
    }
    this.connection.intake.recordCut(cut, this.connection.origin, this.receivedBytes);
    this.abort();
    this.callSinkWithError(reason, true, faultOf(cut));
  }

  countEvents(count: number, bytes: number): void {
    if (!this.isFinished) {
      this.connection.reader?.recordEvents(count, bytes);
    }
  }

  resume(): void {
    if (!this.isFinished) {
      this.connection.reader?.release(HoldReason.Receiver);
    }
  }

  abort(): void {
    this.isFinished = true;
    this.closeBodies();
    if (this.controller) {
      this.controller.abort(new Error('aborted'));
    } else {
      this.onUnused();
    }
  }

  /** Ends this exchange alone after an exception of the sink. */
  private handleSinkException(err: unknown): void {
    this.connection.intake.recordReceiverFailure(err, this.connection.origin);
    if (!this.isFinished) {
      this.abort();
    }
    const reason = `answer could not be handled: ${toErrorMessage(err)}`;
    this.callSinkWithError(reason, true, ExchangeFault.Receiver);
  }

  private callSinkWithError(
    reason: string,
    wasSent: boolean,
    fault: ExchangeFault,
    cause?: Error,
  ): void {
    try {
      this.sink.onError(reason, wasSent, fault, cause);
    } catch (err) {
      // Its caller is answered at the deadline of the request.
      this.connection.intake.recordReceiverFailure(err, this.connection.origin);
    }
  }

  /** Charges a head that is larger than usual. */
  private chargeHead(rawHeaders: readonly string[]): void {
    const fieldCount = rawHeaders.length / 2;
    const headBytes = rawHeaders.reduce((total, each) => total + each.length, 0);
    if (fieldCount > usualFieldCount || headBytes > usualHeadBytes) {
      this.connection.intake.chargeHeap(this, requestHeapCost(headBytes, fieldCount));
    }
  }

  private closeBodies(): void {
    this.bodies.forEach((body) => body.close());
    this.connection.intake.chargeHeap(this, 0);
  }
}

/** Returns why an answer was given up; undefined if its connection failed. */
function cutOf(err: Error): AnswerCut | undefined {
  if (err instanceof AnswerGivenUpError) {
    return err.cut;
  }
  const isParserError = err.name === 'HTTPParserError' && !brokenOffPattern.test(err.message);
  const { code } = err as { readonly code?: unknown };
  const isMalformed =
    isParserError || malformedCodes.has(code) || unexpectedHeadPattern.test(err.message);
  return isMalformed ? AnswerCut.Malformed : undefined;
}

function faultOf(cut: AnswerCut | undefined): ExchangeFault {
  if (cut === undefined) {
    return ExchangeFault.Connection;
  }
  if (cut === AnswerCut.Malformed) {
    return ExchangeFault.Malformed;
  }
  return isFault(cut) ? ExchangeFault.Answer : ExchangeFault.NoRoom;
}

/** Sends requests of which each is answered on a connection of its own. */
export interface IRequestSender {
  /**
   * Sends a request.
   *
   * @param address - `ip:port` of the receiver.
   * @param req - Request to send.
   * @param sink - Receives the answer.
   * @returns The exchange, which can be resumed or aborted.
   */
  send(address: string, req: OutboundRequest, sink: IAnswerSink): IExchange;
}

/** How an {@link EndpointSender} opens connections. */
export interface EndpointSenderOptions {
  /** Maximum number of connections to one endpoint. */
  readonly maxConnections: number;
  /** Bounds what the answers make the process hold. */
  readonly intake: AnswerIntake;
  /** `http:` or `https:`; the former if undefined. */
  readonly protocol?: string;
  /** Timeout for opening a connection, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Idle time after which a connection is closed, in milliseconds. */
  readonly idleTimeoutMs?: number;
}

/** Exchange of a request that couldn't be sent. */
export const noExchange: IExchange = {
  collect: () => {
    throw new Error('the request was not sent');
  },
  giveUp: () => undefined,
  countEvents: () => undefined,
  resume: () => undefined,
  abort: () => undefined,
};

/**
 * Sends requests over kept-alive connections to endpoints, or to the service behind one.
 *
 * Each connection has its own client. A shared client wouldn't tell how the connection of an answer
 * ended, and a reset must not be taken for the end of an answer without a length.
 */
export class EndpointSender implements IRequestSender {
  private readonly connections = new Map<string, Set<Connection>>();

  private readonly heardMs = new Map<string, number>();

  private readonly openSocket: buildConnector.connector;

  /**
   * @param options - How connections are opened.
   * @param clock - Source of time.
   */
  constructor(
    private readonly options: EndpointSenderOptions,
    private readonly clock: IClock,
  ) {
    const timeout = options.connectTimeoutMs ?? defaultConnectTimeoutMs;
    this.openSocket = buildConnector({ timeout });
  }

  send(address: string, req: OutboundRequest, sink: IAnswerSink): IExchange {
    const openConnections = this.connectionsTo(address);
    const idleConnection =
      req.maxIdleMs === undefined
        ? undefined
        : this.lastUsedIdleConnection(openConnections, req.maxIdleMs);
    if (idleConnection === undefined && openConnections.size >= this.options.maxConnections) {
      queueMicrotask(() => sink.onError('too many connections', false, ExchangeFault.Connection));
      return noExchange;
    }
    const connection = idleConnection ?? this.openConnection(address, openConnections);
    connection.isBusy = true;
    const onFinished = () => {
      connection.reader?.release(HoldReason.Receiver);
      connection.isBusy = false;
      connection.idleSinceMs = this.clock.monotonicMs();
    };
    const onFailed = () => {
      connection.reader?.release(HoldReason.Receiver);
      // The client is still handling the failure and asserts that no request was added to it meanwhile.
      openConnections.delete(connection);
      setImmediate(() => {
        if (!connection.client.destroyed) {
          void connection.client.close();
        }
      });
    };
    const onUnused = () => {
      // The client emits neither a disconnect nor an error for a connection that it never opened.
      openConnections.delete(connection);
      void connection.client.destroy();
    };
    const exchange = new Exchange(req, sink, connection, onFinished, onFailed, onUnused);
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
    const origin = `${this.options.protocol ?? 'http:'}//${address}`;
    const connection = new Connection(origin, this.options, this.openSocket, () => {
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
