import { setTimeout as delay } from 'node:timers/promises';
import Fastify, { type FastifyInstance } from 'fastify';
import { HistoryKind } from '../common/historyEvent.js';
import type { HistoryWriter } from './history.js';

/** Stand-in for a plain service whose submissions must not be repeated. */
export class ServiceServer {
  private readonly app: FastifyInstance = Fastify({ forceCloseConnections: true });

  private executed = 0;

  /**
   * @param workMs - Time that each call takes, in milliseconds.
   * @param history - Receives what ran.
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
      this.executed += 1;
      await delay(this.workMs);
      return reply.send({ path: req.url, key, executed: this.executed });
    });
  }

  /** Starts to listen and returns the address. */
  listen(host: string, port: number): Promise<string> {
    return this.app.listen({ host, port });
  }

  /** Stops listening. */
  async close(): Promise<void> {
    await this.app.close();
  }
}
