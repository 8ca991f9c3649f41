import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { toErrorMessage } from '../../../base/common/errors.js';
import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { IRandom } from '../../../base/common/random.js';
import { waitForNextPoll } from '../../../base/node/eventLoop.js';
import type { ConfigHolder } from '../../config/common/configHolder.js';
import type { CallerLimits } from '../../config/common/configSnapshot.js';
import { Verdict, type RouteTable } from '../../config/common/routeTable.js';
import {
  RefusalStatus,
  type CallerRequest,
  type IRelay,
  type Refusal,
} from '../../relay/common/callerRequest.js';
import type { IDialect } from '../../relay/common/dialect.js';
import type { GatewayMetrics } from '../../node/gatewayMetrics.js';
import { CallerResponse } from './callerResponse.js';
import { writeRefusal } from './protocolErrors.js';

/** Starts to relay a request; returns its relay, or undefined if the request was refused. */
export type StartRelay = (req: CallerRequest, caller: CallerResponse) => IRelay | undefined;

/** Maximum size of headers for the parser, in bytes; the configured limit is checked afterwards. */
const maxParsedHeaderBytes = 65_536;

/**
 * Bounds on the time after which a caller may retry a request that arrived before the first configuration
 * was read, in milliseconds. Between them, the time is proportional to the uptime: the longer the store
 * has been unavailable, the longer it is likely to remain so, and callers retry only once.
 */
const minStartupRetryAfterMs = 500;
const maxStartupRetryAfterMs = 5_000;

/** Time beyond the configured header timeout for which a slow connection is kept open, in milliseconds. */
const headerTimeoutSlackMs = 1_000;

/** Request whose answer hasn't ended. */
interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly caller: CallerResponse;
  readonly arrivedMs: number;
  /** Relay of the request; undefined until it was read and accepted. */
  relay: IRelay | undefined;
}

/** HTTP server that callers connect to. */
export class Ingress {
  private readonly server: Server;

  private readonly openRequests = new Set<OpenRequest>();

  /** Answer to the latest request on each connection. */
  private readonly latestCallers = new WeakMap<Socket, CallerResponse>();

  /** Connections on which bytes have arrived that are no request. */
  private readonly brokenConnections = new WeakSet<Duplex>();

  private isDraining = false;

  private isClosed = false;

  private readonly createdMs: number;

  /** Monotonic time at which the current configuration came into force, in milliseconds. */
  private configChangedMs: number;

  /**
   * @param config - Holds the current configuration.
   * @param dialect - Reads callers' headers.
   * @param random - Chooses between the services of split routes.
   * @param whenSynced - Resolves once the store was read, or after a short timeout.
   * @param startRelay - Starts to relay an accepted request.
   * @param metrics - Counts the answers that this gateway breaks off.
   * @param clock - Source of time.
   * @param logger - Receives refused and failed requests, and answers that were broken off.
   */
  constructor(
    private readonly config: ConfigHolder,
    private readonly dialect: IDialect,
    private readonly random: IRandom,
    private readonly whenSynced: () => Promise<void>,
    private readonly startRelay: StartRelay,
    private readonly metrics: GatewayMetrics,
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {
    this.createdMs = clock.monotonicMs();
    this.configChangedMs = this.createdMs;
    this.server = createServer(
      { maxHeaderSize: maxParsedHeaderBytes, noDelay: true, requestTimeout: 0 },
      (req, res) => this.receive(req, res),
    );
    this.server.on('connection', (socket) => {
      socket.once('close', () => this.handleDisconnect(socket));
    });
    this.server.on('clientError', (err, socket) => this.handleProtocolError(err, socket));
    config.onDidChange(({ config: { limits } }) => {
      this.configChangedMs = clock.monotonicMs();
      this.applyLimits(limits);
    });
  }

  /** Number of requests whose answer hasn't ended. */
  get inFlight(): number {
    return this.openRequests.size;
  }

  /**
   * Starts listening; rejects if the address can't be bound.
   *
   * @param host - IP address.
   * @param port - TCP port; 0 selects a free one.
   */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, 1_024, () => resolve());
    });
  }

  /** Port that the server listens on. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Makes the last answer on each connection close it, so that callers move to other gateways. */
  drain(): void {
    this.isDraining = true;
  }

  /**
   * Stops accepting connections, and closes those whose last request was answered. Reads what has arrived
   * before; requests among it stay in flight.
   */
  async closeIdle(): Promise<void> {
    await waitForNextPoll();
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Gives the final answer to every request whose answer hasn't begun, and breaks off the others. */
  stopRequests(): void {
    for (const { req, caller, relay } of this.openRequests) {
      if (relay) {
        relay.stop('this gateway is stopping');
      } else {
        this.refuse(req, caller, {
          status: RefusalStatus.Unavailable,
          detail: 'this gateway is stopping',
          retryAfterMs: minStartupRetryAfterMs,
        });
      }
    }
  }

  /** Stops accepting connections, aborts the answers in progress and closes all connections. */
  close(): void {
    this.isClosed = true;
    this.server.close();
    this.openRequests.forEach(({ caller }) => caller.abort());
    this.server.closeAllConnections();
  }

  private applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.headersTimeout = headerTimeoutMs + headerTimeoutSlackMs;
  }

  private receive(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    if (this.latestCallers.get(socket)?.endsConnection) {
      return; // must not be relayed: no answer can follow
    }
    const caller: CallerResponse = new CallerResponse(
      req,
      res,
      () => this.isDraining && this.latestCallers.get(socket) === caller,
    );
    this.latestCallers.set(socket, caller);
    const open: OpenRequest = {
      req,
      res,
      caller,
      arrivedMs: this.clock.monotonicMs(),
      relay: undefined,
    };
    this.openRequests.add(open);
    res.once('close', () => this.handleEnd(open));
    this.accept(open).catch((err: unknown) => this.handleError(open, err));
  }

  /** Ends the requests whose answers waited for earlier ones on the connection; they emit no `close`. */
  private handleDisconnect(socket: Socket): void {
    this.openRequests.forEach((open) => {
      if (open.req.socket === socket) {
        this.handleEnd(open);
      }
    });
  }

  /** Refuses bytes that are no request, once the whole requests before them on the connection are answered. */
  private handleProtocolError(err: Error, socket: Duplex): void {
    if (this.brokenConnections.has(socket)) {
      return;
    }
    this.brokenConnections.add(socket);
    const wholeRequests = this.openRequestsOn(socket).filter(({ req }) => req.complete);
    const lastWhole = wholeRequests.at(-1);
    if (lastWhole && socket.writable) {
      lastWhole.res.once('close', () => this.endBroken(socket, err));
    } else {
      this.endBroken(socket, err);
    }
  }

  private endBroken(socket: Duplex, err: Error): void {
    if (socket.writable && !this.openRequestsOn(socket).some(({ caller }) => caller.hasStatus)) {
      writeRefusal(socket, err);
    }
    socket.destroy(err);
  }

  private openRequestsOn(socket: Duplex): readonly OpenRequest[] {
    return [...this.openRequests].filter(({ req }) => req.socket === socket);
  }

  private handleEnd(open: OpenRequest): void {
    if (!this.openRequests.delete(open)) {
      return;
    }
    if (!open.res.writableFinished && (open.caller.isAborted || this.isClosed)) {
      this.recordCut(open);
    }
    open.relay?.cancel();
  }

  private async accept(open: OpenRequest): Promise<void> {
    const { req, caller, arrivedMs } = open;
    await this.whenSynced();
    const table = this.config.current;
    if (table === undefined) {
      this.refuse(req, caller, {
        status: RefusalStatus.Unavailable,
        detail: 'no configuration has been read yet',
        retryAfterMs: this.startupRetryAfterMs(arrivedMs),
      });
      return;
    }
    const { limits } = table.config;
    if (headerBytes(req) > limits.maxHeaderBytes) {
      this.refuse(req, caller, {
        status: RefusalStatus.HeadersTooLarge,
        detail: `headers exceed ${limits.maxHeaderBytes} bytes`,
      });
      return;
    }
    const body = await readBody(req, limits.maxBodyBytes);
    if (body === undefined) {
      this.refuse(req, caller, {
        status: RefusalStatus.TooLarge,
        detail: `body exceeds ${limits.maxBodyBytes} bytes`,
      });
      return;
    }
    // A gateway that was slow or frozen may read a request whose caller has disconnected in the meantime.
    await waitForNextPoll();
    if (!caller.isDisconnected && !caller.hasStatus) {
      // A newer configuration may have taken effect while the body was read.
      open.relay = this.dispatch(open, body, this.config.current ?? table);
    }
  }

  private dispatch(
    { req, caller, arrivedMs }: OpenRequest,
    body: Buffer,
    table: RouteTable,
  ): IRelay | undefined {
    const metadata = this.dialect.readRequest(req.headers);
    const target = req.url ?? '/';
    const host = req.headers.host ?? '';
    const decision = table.decide({ host, target, apiKey: metadata.apiKey }, this.random);
    if (decision.verdict !== Verdict.Allowed) {
      const isUnknownKey = decision.verdict === Verdict.UnknownKey;
      this.refuse(req, caller, {
        status: isUnknownKey ? RefusalStatus.Unauthorized : RefusalStatus.NotFound,
        detail: isUnknownKey ? 'the key is unknown' : 'no route matches',
      });
      return undefined;
    }
    if (metadata.requestId === undefined) {
      this.refuse(req, caller, { status: RefusalStatus.BadRequest, detail: 'no request id' });
      return undefined;
    }
    const { route, service, organisation } = decision;
    const method = req.method ?? 'GET';
    const hasBody = body.length > 0 || req.headers['content-length'] !== undefined;
    return this.startRelay(
      {
        metadata,
        method,
        target,
        rawHeaders: req.rawHeaders,
        body: hasBody ? body : undefined,
        route,
        service,
        organisation,
        arrivedMs,
      },
      caller,
    );
  }

  /** Answers a request that an error has kept from being relayed; whether it has run is unknown. */
  private handleError({ req, caller }: OpenRequest, err: unknown): void {
    const { requestId } = this.dialect.readRequest(req.headers);
    const reason = toErrorMessage(err);
    this.logger.log(LogLevel.Error, 'request-failed', { request: requestId, reason });
    caller.refuse({ status: RefusalStatus.BadGateway, detail: 'the gateway failed' });
  }

  /** Records that this gateway ended a caller's connection before the answer was complete. */
  private recordCut({ req, caller, arrivedMs }: OpenRequest): void {
    const nowMs = this.clock.monotonicMs();
    const reason = this.isClosed ? 'stopped' : 'broken-off';
    this.metrics.cutAnswers.inc({ reason, status: caller.hasStatus ? 'sent' : 'none' });
    this.logger.log(LogLevel.Warn, 'answer-cut', {
      request: this.dialect.readRequest(req.headers).requestId,
      reason,
      hasStatus: caller.hasStatus,
      ageMs: Math.round(nowMs - arrivedMs),
      isDraining: this.isDraining,
      configVersion: this.config.current?.config.version,
      configAgeMs: Math.round(nowMs - this.configChangedMs),
    });
  }

  private startupRetryAfterMs(nowMs: number): number {
    const uptimeMs = nowMs - this.createdMs;
    return Math.min(maxStartupRetryAfterMs, Math.max(minStartupRetryAfterMs, 2 * uptimeMs));
  }

  private refuse(req: IncomingMessage, caller: CallerResponse, refusal: Refusal): void {
    this.logger.log(LogLevel.Info, 'request-refused', {
      request: this.dialect.readRequest(req.headers).requestId,
      status: refusal.status,
      detail: refusal.detail,
      host: req.headers.host,
      target: req.url,
      configVersion: this.config.current?.config.version,
    });
    caller.refuse(refusal);
  }
}

function headerBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce((total, each) => total + each.length + 2, 0);
}

/** Reads a request body; returns undefined if it exceeds the limit. */
async function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    return undefined;
  }
  const chunks: Buffer[] = [];
  let length = 0;
  return new Promise((resolve, reject) => {
    req.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) {
        req.pause();
        resolve(undefined);
        return;
      }
      chunks.push(chunk);
    });
    req.on('end', () => resolve(Buffer.concat(chunks)));
    req.on('error', reject);
    req.on('close', () =>
      reject(new Error('caller disconnected before its request body was read')),
    );
  });
}
