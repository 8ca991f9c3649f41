import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ICallerSink, Refusal } from '../../relay/common/callerRequest.js';
import { RefusalStatus } from '../../relay/common/callerRequest.js';

/** Headers that concern one connection only, or that the gateway sets itself. */
const connectionHeaders = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'content-length',
  'te',
  'trailer',
  'upgrade',
]);

const problemNames: Readonly<Record<RefusalStatus, string>> = {
  [RefusalStatus.BadRequest]: 'invalid request',
  [RefusalStatus.Unauthorized]: 'unauthorized',
  [RefusalStatus.NotFound]: 'not found',
  [RefusalStatus.TooLarge]: 'body too large',
  [RefusalStatus.HeadersTooLarge]: 'headers too large',
  [RefusalStatus.BadGateway]: 'endpoint failed',
  [RefusalStatus.Unavailable]: 'unavailable',
  [RefusalStatus.Timeout]: 'deadline exceeded',
};

const millisecondsPerSecond = 1_000;

/**
 * Leaves out headers that concern one connection only.
 *
 * @param rawHeaders - Names and values by turns.
 * @returns The others, names and values by turns.
 */
export function endToEndHeaders(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (!connectionHeaders.has(rawHeaders[index].toLowerCase())) {
      kept.push(rawHeaders[index], rawHeaders[index + 1]);
    }
  }
  return kept;
}

/** One request's place on a caller's connection. */
export class CallerConnection implements ICallerSink {
  /**
   * @param req - The request.
   * @param res - Its answer.
   * @param isDraining - Whether this gateway is about to stop.
   */
  constructor(
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly isDraining: () => boolean,
  ) {}

  get isDisconnected(): boolean {
    return this.res.destroyed || this.res.closed;
  }

  answer(status: number, rawHeaders: readonly string[], body: Buffer): void {
    if (this.isDisconnected || this.res.headersSent) {
      return;
    }
    const headers = endToEndHeaders(rawHeaders);
    if (status !== 204 && status !== 304) {
      headers.push('Content-Length', String(body.length));
    }
    this.res.writeHead(status, this.withConnection(headers));
    this.res.end(this.req.method === 'HEAD' ? undefined : body);
  }

  begin(status: number, rawHeaders: readonly string[]): void {
    if (!this.isDisconnected && !this.res.headersSent) {
      this.res.writeHead(status, this.withConnection(endToEndHeaders(rawHeaders)));
      this.res.flushHeaders();
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
    // Over HTTP/1.0 the end of the connection would end the answer as complete.
    if (this.req.httpVersionMinor === 0) {
      this.res.socket?.resetAndDestroy();
    }
    this.res.destroy();
  }

  refuse({ status, detail, retryAfterMs }: Refusal): void {
    if (this.isDisconnected || this.res.headersSent) {
      return;
    }
    const body = Buffer.from(
      JSON.stringify({ type: 'about:blank', title: problemNames[status], status, detail }),
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
    if (this.isDraining()) {
      headers.push('Connection', 'close');
    }
    return headers;
  }
}
