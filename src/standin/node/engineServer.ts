import { setTimeout as delay } from 'node:timers/promises';
import Fastify, { type FastifyInstance } from 'fastify';
import { request } from 'undici';
import type { AcceleratorKind, LayerRange } from '../../services/model/common/model.js';
import { tokenize } from '../common/fakeModel.js';
import { EngineCore, type StepReply, type StepRequest } from '../common/engineCore.js';
import { HistoryKind } from '../common/historyEvent.js';
import type { HistoryWriter } from './history.js';

/** Settings of an engine stand-in. */
export interface EngineOptions {
  readonly accelerator: AcceleratorKind;
  readonly memoryMiB: number;
  /** Time that one layer takes for one token, in microseconds. */
  readonly layerMicros: number;
  readonly capacity: number;
  readonly checksTerm: boolean;
  readonly platformUrl: string;
  /** Prompts with this text crash the process. */
  readonly crashText: string;
}

interface Waiting {
  readonly req: StepRequest;
  readonly resolve: (reply: StepReply) => void;
}

/** Share of a token's time that each further sequence in a batch adds. */
const batchShare = 0.15;

/** Time of a prefilled position relative to a generated one. */
const prefillShare = 0.05;

/** Most sequences in one batch. */
const maxBatch = 32;

/** Stand-in for a model engine that holds a range of layers and batches continuously. */
export class EngineServer {
  private readonly app: FastifyInstance = Fastify({
    bodyLimit: 16 * 1_048_576,
    forceCloseConnections: true,
  });

  private readonly core: EngineCore;

  private queue: Waiting[] = [];

  private running = false;

  private loading = false;

  /**
   * @param options - What the engine is made of.
   * @param history - Receives what ran.
   */
  constructor(
    private readonly options: EngineOptions,
    private readonly history: HistoryWriter,
  ) {
    this.core = new EngineCore(options.checksTerm, 64);
    this.addRoutes();
  }

  /** Starts to listen and returns the address. */
  listen(host: string, port: number): Promise<string> {
    return this.app.listen({ host, port });
  }

  /** Stops listening. */
  async close(): Promise<void> {
    await this.app.close();
  }

  private addRoutes(): void {
    this.app.post<{ Body: { steps: StepRequest[] } }>('/steps', async (req) => {
      const replies = req.body.steps.map((step) => this.enqueue(step));
      return { replies: await Promise.all(replies) };
    });
    this.app.delete<{ Params: { id: string } }>('/sequences/:id', (req, reply) => {
      this.core.drop(req.params.id);
      return reply.send({});
    });
    this.app.get<{ Querystring: { cacheAfter?: string } }>('/state', (req) => ({
      accelerator: this.options.accelerator,
      memoryMiB: this.options.memoryMiB,
      layerMicros: this.options.layerMicros,
      capacity: this.options.capacity,
      model: this.loading ? '' : this.core.model,
      range: this.loading ? { from: 0, to: 0 } : this.core.range,
      queued: this.queue.length,
      sequences: this.core.sequenceCount,
      cacheEvents: this.core.cacheEvents(Number(req.query.cacheAfter ?? 0)),
    }));
    this.app.put<{
      Body: { term: number; model: string; range: LayerRange; layerMiB: number };
    }>('/order', async (req, reply) => {
      const { term, model, range, layerMiB } = req.body;
      const accepted = this.core.order(term, model, range);
      this.history.record({ kind: HistoryKind.Order, subject: model, term, accepted, ...range });
      if (!accepted) {
        return reply.code(409).send({ highestTerm: this.core.highestTerm });
      }
      await this.loadWeights((range.to - range.from) * layerMiB);
      return reply.send({ highestTerm: this.core.highestTerm });
    });
  }

  private async loadWeights(mib: number): Promise<void> {
    this.loading = true;
    const res = await request(`${this.options.platformUrl}/weights?mib=${mib}`, {
      headersTimeout: 0,
    });
    await res.body.dump();
    this.loading = false;
  }

  private enqueue(req: StepRequest): Promise<StepReply> {
    if (req.prompt !== undefined && req.prompt.includes(this.options.crashText)) {
      process.exit(139);
    }
    return new Promise((resolve) => {
      this.queue.push({ req, resolve });
      if (!this.running) {
        void this.runBatches();
      }
    });
  }

  private async runBatches(): Promise<void> {
    this.running = true;
    while (this.queue.length > 0) {
      this.queue.sort((a, b) => b.req.priority - a.req.priority);
      const batch = this.queue.splice(0, maxBatch);
      await delay(this.batchMs(batch));
      batch.forEach((waiting) => waiting.resolve(this.runOne(waiting.req)));
    }
    this.running = false;
  }

  private batchMs(batch: readonly Waiting[]): number {
    const layers = this.core.range.to - this.core.range.from;
    const tokenMs = (layers * this.options.layerMicros) / 1_000;
    const positions = batch.map((waiting) => this.core.positionsToCompute(waiting.req));
    const prefill = positions.reduce((sum, count) => sum + (count - 1) * prefillShare, 0);
    return tokenMs * (1 + (batch.length - 1) * batchShare + prefill);
  }

  private runOne(req: StepRequest): StepReply {
    const reply = this.core.run(req);
    if (reply.error === undefined) {
      this.history.record({
        kind: HistoryKind.LayersRun,
        subject: req.sequence,
        step: req.step,
        positions: req.data.length + tokenize(req.prompt ?? '').length,
        ...this.core.range,
      });
    }
    return reply;
  }
}
