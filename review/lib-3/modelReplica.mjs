/** Stand-in of a model replica that holds all layers or none. */
import { createServer } from 'node:http';
import { pause } from './gateway.mjs';
import { readJson } from './store.mjs';

const layerCount = 8;

/** Engine profile of the service in the configuration. */
export const engine = {
  slots: 134,
  kv_tokens: 69_791,
  kv_bytes: 80_000,
  link_mbps: 400_000,
  stride: 1,
  models: [{ name: 'm', pace: 1, load_s: 14, warm_s: 1 }],
  step_ms: 1.02,
  per_seq_ms: 0.01,
  context_per_k: 0.01,
  read_per_s: 105_000,
  pairs_per_m: 0.309,
  chunk: 512,
  report_lag_ms: 200,
  loads_per_s: 0,
  loads_at_once: 5,
  delays: [],
  usual: { prompt: 774, answer: 203 },
  layers: layerCount,
  layer_mb: 1_750,
  act_bytes: 65_767,
  pipe_mbps: 18_000,
  kinds: [{ name: 'a100', mb: 72_000, pace: 2.4, read_x: 3.2 }],
};

/** Replica that streams a few events to each request. */
export class ModelReplica {
  /** Requests that it ran. */
  runs = [];

  #server;

  #orderCount = 0;

  #isBusy = false;

  /**
   * @param id - Name of its entry.
   * @param isLoaded - Whether it holds all layers at its start.
   * @param onLoaded - Called when it has carried out an order.
   * @param events - Number of the events of a stream, and time between them in milliseconds.
   */
  constructor(id, isLoaded, onLoaded = () => undefined, events = { count: 10, intervalMs: 20 }) {
    this.id = id;
    this.events = events;
    this.layers = isLoaded ? { from: 0, target: layerCount } : { from: 0, target: 0 };
    this.onLoaded = onLoaded;
  }

  async start() {
    this.born = Date.now() - 60_000;
    this.#server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Entry that it writes about itself. */
  entry() {
    return {
      service: 'llm',
      addr: this.address,
      zone: 'a',
      version: 'v1',
      slots: 134,
      state: 'ready',
      cold_left_ms: 0,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      seq: this.#orderCount,
      born: this.born,
      kind: 'a100',
      layers: { ...this.layers, version: 1 },
    };
  }

  async #serve(req, res) {
    const expected = req.headers['x-ibisspar-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'X-Ibisspar-Instance-Id': this.id }).end();
    } else if (req.url === '/report') {
      const report = { stage: 'both', busy: this.#isBusy, seq: this.#orderCount, born: this.born };
      const load = { waiting: 0, running: 0, kv_used: 0, kv_total: 1e6, handles: 0, pace: 1 };
      const layers = { ...this.layers, version: 1 };
      res.writeHead(200, { 'Content-Type': 'application/json' });
      res.end(JSON.stringify({ ...report, ...load, layers, stalled: [] }));
    } else if (req.url === '/order') {
      await this.#order(await readJson(req), res);
    } else {
      await this.#run(req, res);
    }
  }

  async #order({ op, from, target, precondition }, res) {
    if (op !== 'place') {
      res.writeHead(404).end();
      return;
    }
    if (this.#isBusy || (precondition !== undefined && precondition !== this.#orderCount)) {
      res.writeHead(409).end();
      return;
    }
    this.#orderCount += 1;
    this.#isBusy = true;
    res.writeHead(202).end();
    await pause((engine.models[0].load_s * 1_000 * (target - from)) / layerCount);
    this.#isBusy = false;
    this.layers = { from, target };
    this.onLoaded();
  }

  async #run(req, res) {
    for await (const _ of req) {
      // The body is read and not looked at.
    }
    const id = req.headers['x-ibisspar-request-id'];
    const path = req.headers['x-ibisspar-hop-count'];
    const [, from, to] = /=(\d+)-(\d+)$/.exec(path ?? '=0-8').map(Number);
    if (this.layers.from > from || this.layers.target < to) {
      res.writeHead(421, { 'X-Ibisspar-Request-Id': id, 'At-Server': this.address }).end();
      return;
    }
    this.runs.push({ id, atMs: Date.now() });
    res.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Ibisspar-Request-Id': id,
      'X-Ibisspar-Response-Signature': `${this.id}.${id}`,
    });
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= this.events.count; event += 1) {
      await pause(this.events.intervalMs);
      res.write(`id: ${event}\ndata: piece ${event} of ${id}\n\n`);
    }
    res.end();
  }
}
