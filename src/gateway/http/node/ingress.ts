import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { toErrorMessage } from '../../../base/common/errors.js';
import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { IRandom } from '../../../base/common/random.js';
import { waitForNextPoll } from '../../../base/node/eventLoop.js';
import type { ConfigHolder } from '../../config/common/configHolder.js';
import { IntakeCut } from '../../../services/intake/common/intakeCut.js';
import type { CallerIntake } from '../../../services/intake/node/callerIntake.js';
import { BodyOutcome, type IntakeRequest } from '../../../services/intake/node/intakeRequest.js';
import type { CallerLimits } from '../../config/common/configSnapshot.js';
import {
  pickTarget,
  Verdict,
  type RouteMatch,
  type RouteTable,
} from '../../config/common/routeTable.js';
import {
  RefusalStatus,
  type CallerRequest,
  type IRelay,
  type Refusal,
} from '../../relay/common/callerRequest.js';
import type { IDialect, RequestMetadata } from '../../relay/common/dialect.js';
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

/** Header timeout until a configuration has been read, in milliseconds. */
const initialHeaderTimeoutMs = 60_000;

/** Time beyond the configured header timeout for which a slow connection is kept open, in milliseconds. */
const headerTimeoutSlackMs = 1_000;

/** Time beyond the configured idle timeout for which a new connection may send nothing, in milliseconds. */
const idleTimeoutSlackMs = 1_000;

/** Time after which a request that found no memory may be repeated, in milliseconds. */
const noMemoryRetryAfterMs = 1_000;

/** Characters of a host or a URL path that are logged; callers may send thousands. */
const maxLoggedChars = 200;

/** Connection of a caller, as far as its answers depend on each other. */
interface ConnectionState {
  /** Requests whose answers haven't ended, in the order of their arrival. */
  readonly open: Set<OpenRequest>;
  /** Answer to the latest request. */
  latest: CallerResponse | undefined;
  /** Whether bytes have arrived that are no request. */
  isBroken: boolean;
}

/** Request whose answer hasn't ended. */
interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly caller: CallerResponse;
  readonly connection: ConnectionState;
  readonly intake: IntakeRequest;
  readonly arrivedMs: number;
  /** Relay of the request; undefined until it was read and accepted. */
  relay: IRelay | undefined;
}

type AllowedMatch = Extract<RouteMatch, { readonly verdict: Verdict.Allowed }>;

/** HTTP server that callers connect to. */
export class Ingress {
  private readonly server: Server;

  private readonly openRequests = new Set<OpenRequest>();

  private readonly connections = new WeakMap<Duplex, ConnectionState>();

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
   * @param intake - Bounds what callers make this process hold.
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
    private readonly intake: CallerIntake,
    private readonly metrics: GatewayMetrics,
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {
    this.createdMs = clock.monotonicMs();
    this.configChangedMs = this.createdMs;
    this.server = createServer(
      { maxHeaderSize: maxParsedHeaderBytes, noDelay: true, requestTimeout: 0 },
      (req, res) => this.receive(req, res, false),
    );
    this.server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) =>
      this.receive(req, res, true),
    );
    intake.attach(this.server, {
      maxConnections: intake.bounds.maxConnections,
      headTimeoutMs: () =>
        (this.limits?.headerTimeoutMs ?? initialHeaderTimeoutMs) + headerTimeoutSlackMs,
      idleTimeoutMs: () =>
        (this.limits?.idleTimeoutMs ?? initialHeaderTimeoutMs) + idleTimeoutSlackMs,
    });
    this.server.on('connection', (socket) => {
      const connection: ConnectionState = { open: new Set(), latest: undefined, isBroken: false };
      this.connections.set(socket, connection);
      // The answers that wait for earlier ones on the connection emit no `close`.
      socket.once('close', () => connection.open.forEach((open) => this.handleEnd(open)));
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
    for (const open of this.openRequests) {
      if (open.relay) {
        open.relay.stop('this gateway is stopping');
      } else {
        this.refuse(open, {
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

  private get limits(): CallerLimits | undefined {
    return this.config.current?.config.limits;
  }

  private applyLimits({ idleTimeoutMs }: CallerLimits): void {
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  private receive(req: IncomingMessage, res: ServerResponse, expectsContinue: boolean): void {
    const connection = this.connections.get(req.socket);
    if (connection === undefined || connection.latest?.endsConnection) {
      return; // must not be relayed: no answer can follow
    }
    this.intake.begin(req, res, expectsContinue, {
      onBegin: (intake) => this.open(connection, intake),
      onStart: (open) => {
        this.accept(open).catch((err: unknown) => this.handleError(open, err));
      },
    });
  }

  private open(connection: ConnectionState, intake: IntakeRequest): OpenRequest {
    const { req, res } = intake;
    const caller: CallerResponse = new CallerResponse(
      req,
      res,
      () => connection.latest === caller && (this.isDraining || intake.connection.isEnding),
    );
    connection.latest = caller;
    const open: OpenRequest = {
      req,
      res,
      caller,
      connection,
      intake,
      arrivedMs: this.clock.monotonicMs(),
      relay: undefined,
    };
    this.openRequests.add(open);
    connection.open.add(open);
    res.once('close', () => this.handleEnd(open));
    return open;
  }

  /** Refuses bytes that are no request, once the whole requests before them on the connection are answered. */
  private handleProtocolError(err: Error, socket: Duplex): void {
    const connection = this.connections.get(socket);
    if (connection?.isBroken) {
      return;
    }
    if (connection) {
      connection.isBroken = true;
    }
    const open = [...(connection?.open ?? [])];
    const lastWhole = open.filter(({ req }) => req.complete).at(-1);
    if (lastWhole && socket.writable) {
      lastWhole.res.once('close', () => this.endBroken(socket, err));
    } else {
      this.endBroken(socket, err);
    }
  }

  private endBroken(socket: Duplex, err: Error): void {
    const open = [...(this.connections.get(socket)?.open ?? [])];
    if (socket.writable && !open.some(({ caller }) => caller.hasStatus)) {
      writeRefusal(socket, err);
    }
    socket.destroy(err);
  }

  private handleEnd(open: OpenRequest): void {
    if (!this.openRequests.delete(open)) {
      return;
    }
    open.connection.open.delete(open);
    open.caller.close();
    if (!open.res.writableFinished && (open.caller.isAborted || this.isClosed)) {
      this.recordCut(open);
    }
    open.relay?.cancel();
  }

  private async accept(open: OpenRequest): Promise<void> {
    const { caller, arrivedMs, intake } = open;
    await this.whenSynced();
    if (caller.hasStatus) {
      return;
    }
    const table = this.config.current;
    if (table === undefined) {
      this.refuse(open, {
        status: RefusalStatus.Unavailable,
        detail: 'no configuration has been read yet',
        retryAfterMs: this.startupRetryAfterMs(arrivedMs),
      });
      return;
    }
    if (intake.mustRefuse) {
      this.refuse(open, {
        status: RefusalStatus.Unavailable,
        detail: 'this gateway has no memory for more requests',
        retryAfterMs: noMemoryRetryAfterMs,
      });
      return;
    }
    const { limits } = table.config;
    if (intake.headBytes > limits.maxHeaderBytes) {
      this.refuse(open, {
        status: RefusalStatus.HeadersTooLarge,
        detail: `headers exceed ${limits.maxHeaderBytes} bytes`,
      });
      return;
    }
    const metadata = this.dialect.readRequest(open.req.headers);
    const match = this.match(open, metadata, table);
    if (match === undefined) {
      return;
    }
    const { route } = match;
    const result = await intake.readBody({
      maxBytes: limits.maxBodyBytes,
      deadlineMs: arrivedMs + Math.min(route.timeoutMs, metadata.waitMs ?? route.timeoutMs),
      maxWaitMs: Math.min(route.objectiveMs, this.intake.bounds.bodyWaitMs),
    });
    switch (result.outcome) {
      case BodyOutcome.Whole:
        await this.relay(open, result.body, metadata, table, match);
        break;
      case BodyOutcome.TooLarge:
        this.refuse(open, {
          status: RefusalStatus.TooLarge,
          detail: `body exceeds ${limits.maxBodyBytes} bytes`,
        });
        break;
      case BodyOutcome.GivenUp:
        this.refuse(open, refusalOf(result.reason));
        break;
      default:
        throw new Error('caller disconnected before its request body was read');
    }
  }

  /** Finds the route of a request; refuses the request and returns undefined if it may not use any. */
  private match(
    open: OpenRequest,
    { apiKey, requestId }: RequestMetadata,
    table: RouteTable,
  ): AllowedMatch | undefined {
    const { req } = open;
    const match = table.match({ host: req.headers.host ?? '', target: req.url ?? '/', apiKey });
    if (match.verdict !== Verdict.Allowed) {
      const isUnknownKey = match.verdict === Verdict.UnknownKey;
      this.refuse(open, {
        status: isUnknownKey ? RefusalStatus.Unauthorized : RefusalStatus.NotFound,
        detail: isUnknownKey ? 'the key is unknown' : 'no route matches',
      });
      return undefined;
    }
    if (requestId === undefined) {
      this.refuse(open, { status: RefusalStatus.BadRequest, detail: 'no request id' });
      return undefined;
    }
    return match;
  }

  /** Starts to relay a request that was read completely. */
  private async relay(
    open: OpenRequest,
    body: Buffer,
    metadata: RequestMetadata,
    table: RouteTable,
    match: AllowedMatch,
  ): Promise<void> {
    const { req, caller, arrivedMs } = open;
    // A gateway that was slow or frozen may read a request whose caller has disconnected in the meantime.
    await waitForNextPoll();
    if (caller.isDisconnected || caller.hasStatus) {
      return;
    }
    // A newer configuration may have taken effect while the body was read.
    const current = this.config.current ?? table;
    const finalMatch = current === table ? match : this.match(open, metadata, current);
    if (finalMatch === undefined) {
      return;
    }
    const { route, organisation } = finalMatch;
    const hasBody = body.length > 0 || req.headers['content-length'] !== undefined;
    open.relay = this.startRelay(
      {
        metadata,
        method: req.method ?? 'GET',
        target: req.url ?? '/',
        rawHeaders: req.rawHeaders,
        body: hasBody ? body : undefined,
        route,
        service: pickTarget(route, this.random),
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

  private refuse({ req, caller, intake }: OpenRequest, refusal: Refusal): void {
    this.logger.log(LogLevel.Info, 'request-refused', {
      request: this.dialect.readRequest(req.headers).requestId,
      status: refusal.status,
      detail: refusal.detail,
      host: req.headers.host?.slice(0, maxLoggedChars),
      target: req.url?.slice(0, maxLoggedChars),
      configVersion: this.config.current?.config.version,
    });
    intake.prepareRefusal();
    caller.refuse(refusal);
  }
}

/** Returns the refusal of a request whose body was given up; the request hasn't run. */
function refusalOf(reason: IntakeCut): Refusal {
  const isCallersFault = reason === IntakeCut.BodyStalled || reason === IntakeCut.BodyLate;
  return {
    status: isCallersFault ? RefusalStatus.RequestTimeout : RefusalStatus.Unavailable,
    detail: isCallersFault
      ? 'the body did not arrive in time'
      : 'this gateway has no memory for the body',
    retryAfterMs: noMemoryRetryAfterMs,
  };
}
