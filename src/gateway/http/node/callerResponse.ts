import type { IncomingMessage, ServerResponse } from 'node:http';
import type { IHeldBody } from '../../../services/exchange/common/partialBody.js';
import type { ICallerSink, Refusal } from '../../relay/common/callerRequest.js';
import { RefusalStatus } from '../../relay/common/callerRequest.js';

/** Lower-case names of hop-by-hop headers, and of headers that the gateway sets itself. */
const strippedHeaders = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'content-length',
  'te',
  'trailer',
  'upgrade',
]);

const problemTitles: Readonly<Record<RefusalStatus, string>> = {
  [RefusalStatus.BadRequest]: 'invalid request',
  [RefusalStatus.Unauthorized]: 'unauthorized',
  [RefusalStatus.NotFound]: 'not found',
  [RefusalStatus.RequestTimeout]: 'request timeout',
  [RefusalStatus.TooLarge]: 'body too large',
  [RefusalStatus.HeadersTooLarge]: 'headers too large',
  [RefusalStatus.BadGateway]: 'endpoint failed',
  [RefusalStatus.Unavailable]: 'unavailable',
  [RefusalStatus.Timeout]: 'deadline exceeded',
};

const millisecondsPerSecond = 1_000;

/**
 * Removes hop-by-hop headers and those that the gateway sets itself.
 *
 * @param rawHeaders - Header names, each followed by its value.
 * @returns The other headers in the same form.
 */
export function endToEndHeaders(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (!strippedHeaders.has(rawHeaders[index].toLowerCase())) {
      kept.push(rawHeaders[index], rawHeaders[index + 1]);
    }
  }
  return kept;
}

/** Sends the answer to one request on the caller's connection. */
export class CallerResponse implements ICallerSink {
  private wasAborted = false;

  private hasEndedConnection = false;

  /** Whole body that the caller hasn't taken. */
  private body: IHeldBody | undefined;

  /**
   * @param req - Request of the caller.
   * @param res - Response to write to.
   * @param mustEndConnection - Returns whether the answer is to be the last one on its connection.
   */
  constructor(
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly mustEndConnection: () => boolean,
  ) {}

  get isDisconnected(): boolean {
    return this.res.destroyed || this.res.closed || this.req.socket.destroyed;
  }

  /** Whether the answer has begun and ends its connection, so that later requests on it get none. */
  get endsConnection(): boolean {
    return this.hasEndedConnection;
  }

  /** Whether a status was sent to the caller. */
  get hasStatus(): boolean {
    return this.res.headersSent;
  }

  /** Whether this gateway has broken off the answer. */
  get isAborted(): boolean {
    return this.wasAborted;
  }

  answer(status: number, rawHeaders: readonly string[], body: IHeldBody): void {
    if (this.isDisconnected || this.res.headersSent) {
      body.close();
      return;
    }
    const { bytes } = body;
    const headers = endToEndHeaders(rawHeaders);
    if (status !== 204 && status !== 304) {
      headers.push('Content-Length', String(bytes.length));
    }
    this.body = body;
    this.res.writeHead(status, this.withConnection(headers));
    this.res.end(this.req.method === 'HEAD' ? undefined : bytes);
  }

  begin(status: number, rawHeaders: readonly string[]): void {
    if (!this.isDisconnected && !this.res.headersSent) {
      this.res.writeHead(status, this.withConnection(endToEndHeaders(rawHeaders)));
    }
  }

  write(bytes: Buffer): boolean {
    return this.isDisconnected || this.res.write(bytes);
  }

  whenDrained(action: () => void): void {
    this.res.once('drain', action);
  }

  end(): void {
    this.res.end();
  }

  abort(): void {
    this.wasAborted = true;
    // In HTTP/1.0 an orderly end of the connection marks the answer as complete, so reset it instead.
    if (this.req.httpVersionMinor === 0) {
      this.res.socket?.resetAndDestroy();
    }
    this.res.destroy();
  }

  /** Releases the body, once the response or its connection has closed. */
  close(): void {
    this.body?.close();
    this.body = undefined;
  }

  refuse({ status, detail, retryAfterMs }: Refusal): void {
    if (this.isDisconnected || this.res.headersSent) {
      return;
    }
    const body = Buffer.from(
      JSON.stringify({ type: 'about:blank', title: problemTitles[status], status, detail }),
    );
    const headers = [
      'Content-Type',
      'application/problem+json',
      'Content-Length',
      String(body.length),
    ];
    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', (retryAfterMs / millisecondsPerSecond).toFixed(2));
    }
    this.res.writeHead(status, this.withConnection(headers));
    this.res.end(body);
  }

  private withConnection(headers: string[]): string[] {
    if (this.mustEndConnection()) {
      this.hasEndedConnection = true;
      headers.push('Connection', 'close');
    }
    return headers;
  }
}
