import { setImmediate } from 'node:timers/promises';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { toErrorMessage } from '../../../base/common/errors.js';
import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { IRandom } from '../../../base/common/random.js';
import type { ConfigHolder } from '../../config/common/configHolder.js';
import type { CallerLimits } from '../../config/common/configSnapshot.js';
import { Verdict, type RouteTable } from '../../config/common/routeTable.js';
import {
  RefusalStatus,
  type CallerRequest,
  type Refusal,
} from '../../relay/common/callerRequest.js';
import type { IDialect } from '../../relay/common/dialect.js';
import { CallerConnection } from './callerConnection.js';

/** Hands a request on; returns what to call when the caller leaves. */
export type StartRelay = (req: CallerRequest, caller: CallerConnection) => () => void;

/** Bytes of headers that the parser reads before the configured bound is known. */
const maxParsedHeaderBytes = 65_536;

/**
 * Bounds on when a caller that came before the first configuration may come back, in milliseconds. The
 * longer the store has been away, the longer it is likely to stay so, and callers come back only once.
 */
const minStartingRetryMs = 500;
const maxStartingRetryMs = 5_000;

/** Time beyond the configured header timeout that a slow connection is kept, in milliseconds. */
const headerSlackMs = 1_000;

/** Server that callers connect to. */
export class Ingress {
  private readonly server: Server;

  private requests = 0;

  private isDraining = false;

  private readonly createdMs: number;

  /**
   * @param config - The configuration in force.
   * @param dialect - Reads callers' headers.
   * @param random - Draws among split routes.
   * @param whenSynced - Resolves once the store was read, or after a short wait for it.
   * @param startRelay - Hands requests on.
   * @param clock - Source of time.
   * @param logger - Receives refusals.
   */
  constructor(
    private readonly config: ConfigHolder,
    private readonly dialect: IDialect,
    private readonly random: IRandom,
    private readonly whenSynced: () => Promise<void>,
    private readonly startRelay: StartRelay,
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {
    this.createdMs = clock.monotonicMs();
    this.server = createServer(
      { maxHeaderSize: maxParsedHeaderBytes, noDelay: true, requestTimeout: 0 },
      (req, res) => {
        this.accept(req, res).catch((err: unknown) => {
          this.logger.log(LogLevel.Error, 'request-failed', { reason: toErrorMessage(err) });
          res.destroy();
        });
      },
    );
    config.onDidChange(({ config: { limits } }) => this.applyLimits(limits));
  }

  /** Requests that haven't been answered. */
  get inFlight(): number {
    return this.requests;
  }

  /**
   * Starts to listen.
   *
   * @param host - IP address.
   * @param port - TCP port; 0 picks a free one.
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

  /** Asks callers to leave: each answer from now on closes its connection. */
  drain(): void {
    this.isDraining = true;
  }

  /** Closes connections that wait for no answer, and takes no new ones. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private applyLimits({ headerMs, idleMs }: CallerLimits): void {
    this.server.keepAliveTimeout = idleMs;
    this.server.headersTimeout = headerMs + headerSlackMs;
  }

  private async accept(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedMs = this.clock.monotonicMs();
    const caller = new CallerConnection(req, res, () => this.isDraining);
    this.requests += 1;
    let onGone: (() => void) | undefined;
    res.once('close', () => {
      this.requests -= 1;
      onGone?.();
    });
    await this.whenSynced();
    const table = this.config.current;
    if (table === undefined) {
      this.refuse(req, caller, {
        status: RefusalStatus.Unavailable,
        detail: 'no configuration has been read yet',
        retryAfterMs: this.startingRetryMs(arrivedMs),
      });
      return;
    }
    const { limits } = table.config;
    if (headerBytes(req) > limits.headerBytes) {
      this.refuse(req, caller, {
        status: RefusalStatus.HeadersTooLarge,
        detail: `headers exceed ${limits.headerBytes} bytes`,
      });
      return;
    }
    const body = await readBody(req, limits.bodyBytes);
    if (body === undefined) {
      this.refuse(req, caller, {
        status: RefusalStatus.TooLarge,
        detail: `body exceeds ${limits.bodyBytes} bytes`,
      });
      return;
    }
    await nextPoll();
    if (!caller.isDisconnected) {
      // A newer configuration may have come into force while the body was read.
      onGone = this.dispatch(req, caller, body, arrivedMs, this.config.current ?? table);
    }
  }

  private dispatch(
    req: IncomingMessage,
    caller: CallerConnection,
    body: Buffer,
    arrivedMs: number,
    table: RouteTable,
  ): (() => void) | undefined {
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

  private startingRetryMs(nowMs: number): number {
    const awayMs = nowMs - this.createdMs;
    return Math.min(maxStartingRetryMs, Math.max(minStartingRetryMs, 2 * awayMs));
  }

  private refuse(req: IncomingMessage, caller: CallerConnection, refusal: Refusal): void {
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

/**
 * Lets the loop look at the sockets once more. A gateway that was slow or frozen may read a request
 * whose caller has left since; the end of the connection shows at the next look only.
 */
async function nextPoll(): Promise<void> {
  await setImmediate(); // still within the look that brought the request
  await setImmediate();
}

function headerBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce((total, each) => total + each.length + 2, 0);
}

/** Reads a body; undefined if it exceeds the bound. */
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
    req.on('close', () => reject(new Error('the caller left before its body was read')));
  });
}
