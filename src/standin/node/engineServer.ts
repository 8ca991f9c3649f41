import { setTimeout as delay } from 'node:timers/promises';
import Fastify, { type FastifyInstance } from 'fastify';
import { request } from 'undici';
import type { AcceleratorKind, LayerRange } from '../../services/model/common/model.js';
import { tokenize } from '../common/fakeModel.js';
import { EngineCore, type StepReply, type StepRequest } from '../common/engineCore.js';
import { HistoryKind } from '../common/historyEvent.js';
import type { HistoryWriter } from './history.js';

/** Options of an engine stand-in. */
export interface EngineOptions {
  readonly accelerator: AcceleratorKind;
  readonly memoryMiB: number;
  /** Time to run one layer for one token, in microseconds. */
  readonly layerMicros: number;
  readonly capacity: number;
  /** Whether orders with an outdated fencing token are refused. */
  readonly checksTerm: boolean;
  readonly platformUrl: string;
  /** Text that crashes the process if a prompt contains it. */
  readonly crashText: string;
}

interface QueuedStep {
  readonly req: StepRequest;
  readonly resolve: (reply: StepReply) => void;
}

/** Time that each additional sequence adds to a batch, relative to the time of a decode step. */
const batchedSequenceShare = 0.15;

/** Time to prefill one position, relative to the time of a decode step. */
const prefillPositionShare = 0.05;

/** Maximum number of sequences in a batch. */
const maxBatchSequences = 32;

/** Stand-in for a model engine that holds a layer range and uses continuous batching. */
export class EngineServer {
  private readonly app: FastifyInstance = Fastify({
    bodyLimit: 16 * 1_048_576,
    forceCloseConnections: true,
  });

  private readonly core: EngineCore;

  private queue: QueuedStep[] = [];

  private isRunning = false;

  private isLoading = false;

  /**
   * @param options - Options of the engine.
   * @param history - Records the steps that ran and the orders.
   */
  constructor(
    private readonly options: EngineOptions,
    private readonly history: HistoryWriter,
  ) {
    this.core = new EngineCore(options.checksTerm, 64);
    this.addRoutes();
  }

  /** Starts listening and returns the address. */
  listen(host: string, port: number): Promise<string> {
    return this.app.listen({ host, port });
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    await this.app.close();
  }

  private addRoutes(): void {
    this.app.post<{ Body: { steps: StepRequest[] } }>('/steps', async (req) => {
      const replies = req.body.steps.map((step) => this.enqueue(step));
      return { replies: await Promise.all(replies) };
    });
    this.app.delete<{ Params: { id: string } }>('/sequences/:id', (req, reply) => {
      this.core.dropSequence(req.params.id);
      return reply.send({});
    });
    this.app.get<{ Querystring: { cacheAfter?: string } }>('/state', (req) => ({
      accelerator: this.options.accelerator,
      memoryMiB: this.options.memoryMiB,
      layerMicros: this.options.layerMicros,
      capacity: this.options.capacity,
      model: this.isLoading ? '' : this.core.model,
      range: this.isLoading ? { from: 0, to: 0 } : this.core.range,
      queued: this.queue.length,
      sequences: this.core.sequenceCount,
      cacheEvents: this.core.cacheEvents(Number(req.query.cacheAfter ?? 0)),
    }));
    this.app.put<{
      Body: { term: number; model: string; range: LayerRange; layerMiB: number };
    }>('/order', async (req, reply) => {
      const { term, model, range, layerMiB } = req.body;
      const accepted = this.core.applyOrder(term, model, range);
      this.history.record({ kind: HistoryKind.Order, subject: model, term, accepted, ...range });
      if (!accepted) {
        return reply.code(409).send({ highestTerm: this.core.highestTerm });
      }
      await this.loadWeights((range.to - range.from) * layerMiB);
      return reply.send({ highestTerm: this.core.highestTerm });
    });
  }

  private async loadWeights(sizeMiB: number): Promise<void> {
    this.isLoading = true;
    const res = await request(`${this.options.platformUrl}/weights?mib=${sizeMiB}`, {
      headersTimeout: 0,
    });
    await res.body.dump();
    this.isLoading = false;
  }

  private enqueue(req: StepRequest): Promise<StepReply> {
    if (req.prompt !== undefined && req.prompt.includes(this.options.crashText)) {
      process.exit(139);
    }
    return new Promise((resolve) => {
      this.queue.push({ req, resolve });
      if (!this.isRunning) {
        void this.runBatches();
      }
    });
  }

  private async runBatches(): Promise<void> {
    this.isRunning = true;
    while (this.queue.length > 0) {
      this.queue.sort((a, b) => b.req.priority - a.req.priority);
      const batch = this.queue.splice(0, maxBatchSequences);
      await delay(this.computeBatchMs(batch));
      batch.forEach((queued) => queued.resolve(this.runStep(queued.req)));
    }
    this.isRunning = false;
  }

  private computeBatchMs(batch: readonly QueuedStep[]): number {
    const layers = this.core.range.to - this.core.range.from;
    const tokenStepMs = (layers * this.options.layerMicros) / 1_000;
    const positionCounts = batch.map((queued) => this.core.positionsToCompute(queued.req));
    const prefillCost = positionCounts.reduce(
      (sum, count) => sum + (count - 1) * prefillPositionShare,
      0,
    );
    return tokenStepMs * (1 + (batch.length - 1) * batchedSequenceShare + prefillCost);
  }

  private runStep(req: StepRequest): StepReply {
    const reply = this.core.runStep(req);
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
