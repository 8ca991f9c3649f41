import { setTimeout as delay } from 'node:timers/promises';
import Fastify, { type FastifyInstance } from 'fastify';
import { HistoryKind } from '../common/historyEvent.js';
import type { HistoryWriter } from './history.js';

/** Stand-in for a plain service whose submissions must not run twice. */
export class ServiceServer {
  private readonly app: FastifyInstance = Fastify({ forceCloseConnections: true });

  private executedCount = 0;

  /**
   * @param workMs - Duration of each call, in milliseconds.
   * @param history - Records the calls that ran, other than GET and HEAD.
   */
  constructor(
    private readonly workMs: number,
    private readonly history: HistoryWriter,
  ) {
    this.app.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => {
      done(null, body);
    });
    this.app.all('/*', async (req, reply) => {
      const key = String(req.headers['idempotency-key'] ?? '');
      if (req.method !== 'GET' && req.method !== 'HEAD') {
        this.history.record({ kind: HistoryKind.CallRun, subject: key });
      }
      this.executedCount += 1;
      await delay(this.workMs);
      return reply.send({ path: req.url, key, executed: this.executedCount });
    });
  }

  /** Starts listening and returns the address. */
  listen(host: string, port: number): Promise<string> {
    return this.app.listen({ host, port });
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    await this.app.close();
  }
}
