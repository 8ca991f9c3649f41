// Stand-ins for the platform, its replicas and clients, and a launcher for the gateway.
import { spawn } from 'node:child_process';
import { createHash, randomBytes } from 'node:crypto';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const repository = fileURLToPath(new URL('../../', import.meta.url));

/** Whether the disruption of the case takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Time after which a case ends in any event, in milliseconds. */
const maxRunMs = 110_000;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export const newId = () => randomBytes(8).toString('hex');

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/** Writes `record.txt` in the folder of the case. */
export class Recorder {
  startedMs = performance.now();

  constructor(folder) {
    this.path = join(folder, 'record.txt');
    writeFileSync(this.path, `# started with TROUBLE=${hasTrouble ? 1 : 0}\n`);
  }

  get nowMs() {
    return performance.now() - this.startedMs;
  }

  line(what, fields = {}) {
    const text = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(
        ([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
      )
      .join(' ');
    appendFileSync(this.path, `${this.nowMs.toFixed(0).padStart(7)} ${what} ${text}\n`);
  }
}

/** The platform's store: objects by kind and name, lists in pages, watches. */
export class Store {
  kinds = new Map();

  revision = 1;

  changes = [];

  pending = new Set();

  pageSize = 500;

  /** Returns how old the data of a page may be whose call allows it, in milliseconds. */
  staleMs = () => 0;

  onCall = () => {};

  constructor() {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async listen(host = '127.0.0.1') {
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  objectsOf(kind) {
    if (!this.kinds.has(kind)) {
      this.kinds.set(kind, new Map());
    }
    return this.kinds.get(kind);
  }

  put(kind, name, spec) {
    const objects = this.objectsOf(kind);
    const previous = objects.get(name);
    if (previous && JSON.stringify(previous.spec) === JSON.stringify(spec)) {
      return previous;
    }
    this.revision += 1;
    const created = previous?.meta.create_rev ?? this.revision;
    const meta = { name, rev: this.revision, create_rev: created, finalizers: [], deleting: false };
    const object = { meta, spec, status: {} };
    objects.set(name, object);
    this.record({ kind, rev: this.revision, atMs: performance.now(), object, deleted: false });
    return object;
  }

  delete(kind, name) {
    const object = this.objectsOf(kind).get(name);
    if (object) {
      this.objectsOf(kind).delete(name);
      this.revision += 1;
      this.record({ kind, rev: this.revision, atMs: performance.now(), object, deleted: true });
    }
  }

  record(change) {
    this.changes.push(change);
    const resumed = [...this.pending];
    this.pending.clear();
    resumed.forEach((resume) => resume());
  }

  /** Objects of a kind as they were some time ago, with the revision of that time. */
  stateAgo(kind, ms) {
    const limitMs = performance.now() - ms;
    const objects = new Map();
    let revision = 1;
    for (const change of this.changes) {
      if (change.atMs > limitMs) {
        break;
      }
      revision = change.rev;
      if (change.kind === kind && change.deleted) {
        objects.delete(change.object.meta.name);
      } else if (change.kind === kind) {
        objects.set(change.object.meta.name, change.object);
      }
    }
    return { objects, revision };
  }

  async serve(req, res) {
    const text = await readBody(req);
    const body = text === '' ? undefined : JSON.parse(text);
    const url = new URL(req.url, 'http://store');
    const [, , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    this.onCall(req.method, url);
    const { status, answer } =
      req.method === 'GET'
        ? await this.read(kind, name, url.searchParams)
        : this.write(req.method, kind, name, body);
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(JSON.stringify(answer ?? {}));
  }

  async read(kind, name, query) {
    if (query.has('watch')) {
      return this.watch(kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0));
    }
    const after = query.get('after') ?? '';
    const ageMs = query.has('allow_stale') ? this.staleMs(kind, after) : 0;
    const { objects, revision } =
      ageMs > 0
        ? this.stateAgo(kind, ageMs)
        : { objects: this.objectsOf(kind), revision: this.revision };
    if (name !== undefined) {
      const object = objects.get(name);
      return object ? { status: 200, answer: object } : { status: 404 };
    }
    const remaining = [...objects.values()]
      .filter(({ meta }) => meta.name > after)
      .sort((a, b) => (a.meta.name < b.meta.name ? -1 : 1));
    const items = remaining.slice(0, this.pageSize);
    const truncated = remaining.length > items.length;
    return { status: 200, answer: { items, truncated, as_of: revision } };
  }

  async watch(kind, from, waitMs) {
    const deadlineMs = performance.now() + waitMs;
    for (;;) {
      const events = this.changes
        .filter((change) => change.kind === kind && change.rev > from)
        .map(({ object, deleted }) => ({ object, deleted }));
      const remainingMs = deadlineMs - performance.now();
      if (events.length > 0 || remainingMs <= 0) {
        return { status: 200, answer: { events, as_of: this.revision } };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, remainingMs);
        this.pending.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  write(method, kind, name, body) {
    const target = name ?? body?.meta?.name ?? '';
    const stored = this.objectsOf(kind).get(target);
    if (method === 'POST' && stored) {
      return { status: 409, answer: stored };
    }
    if (method !== 'POST' && stored === undefined) {
      return { status: 404 };
    }
    const rev = body?.meta?.rev;
    if (rev !== undefined && rev !== stored?.meta.rev) {
      return { status: 409, answer: stored };
    }
    if (method === 'DELETE') {
      this.delete(kind, target);
      return { status: 200, answer: stored };
    }
    return { status: method === 'POST' ? 201 : 200, answer: this.put(kind, target, body?.spec) };
  }
}

/** A replica of a model service or, without `kind`, of a plain service. */
export class Replica {
  born = Date.now();

  state = 'ready';

  layers = undefined;

  orderCount = 0;

  fence = 0;

  /** Ids of the requests that it has begun to run, in order. */
  runs = [];

  /** Requests that reached it, whether it ran them or not. */
  arrivals = [];

  /** Called with a request that has begun to run; a returned value replaces the normal answer. */
  onRun = () => undefined;

  constructor(options, recorder) {
    this.options = { zone: 'a', slots: 16, workMs: 10, pieces: 6, pieceMs: 10, ...options };
    this.recorder = recorder;
    this.server = createServer({ keepAliveTimeout: 15_000 }, (req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async listen(host = '127.0.0.1') {
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  entry() {
    const { service, zone, slots, kind } = this.options;
    return {
      service,
      addr: this.address,
      zone,
      version: 'v1',
      slots,
      state: this.state,
      cold_left_ms: 0,
      seq: 1,
      born: this.born,
      ...(kind ? { kind, layers: this.layers } : {}),
    };
  }

  publish(store) {
    store.put('servers', this.options.id, this.entry());
    this.store = store;
  }

  async serve(req, res) {
    const body = await readBody(req);
    if (req.url === '/report') {
      res.end(
        JSON.stringify({
          stage: 'both',
          models: [{ name: 'm', version: 1, adapters: [] }],
          busy: false,
          seq: this.orderCount,
          waiting: 0,
          running: 0,
          kv_used: 0,
          kv_total: 1_000_000,
          handles: 0,
          pace: 1,
          born: this.born,
          layers: this.layers,
          stalled: [],
        }),
      );
    } else if (req.url === '/order') {
      this.order(JSON.parse(body), res);
    } else if (req.url === '/healthz') {
      res.writeHead(200, { 'X-Ibisspar-Instance-Id': this.options.id }).end();
    } else {
      await this.run(req, res, body);
    }
  }

  order({ op, from, target, fence, precondition }, res) {
    if (op !== 'place') {
      res.writeHead(op === 'repath' ? 404 : 400).end();
    } else if (fence < this.fence) {
      res.writeHead(412).end();
    } else if (precondition !== undefined && precondition !== this.orderCount) {
      res.writeHead(409).end();
    } else {
      this.fence = fence;
      this.orderCount += 1;
      this.layers = { from, target, version: 1 };
      this.publish(this.store);
      res.writeHead(202).end();
    }
  }

  async run(req, res, body) {
    const id = req.headers['x-ibisspar-request-id'];
    const expected = req.headers['x-ibisspar-expect-instance'];
    const seen = {
      id,
      atMs: this.recorder.nowMs,
      path: req.url,
      tenant: req.headers['x-ibisspar-tenant-id'],
      lastEventId: req.headers['last-event-id'],
      body,
    };
    this.arrivals.push(seen);
    if (expected !== undefined && expected !== this.options.id) {
      this.recorder.line('replica-421', { replica: this.options.id, id });
      res.writeHead(421).end();
      return;
    }
    let isGone = false;
    res.on('close', () => {
      isGone = !res.writableFinished;
    });
    await sleep(this.options.workMs);
    if (isGone) {
      this.recorder.line('replica-dropped-unbegun', { replica: this.options.id, id });
      return;
    }
    this.runs.push(seen);
    this.recorder.line('replica-runs', { replica: this.options.id, id, tenant: seen.tenant });
    const receipt = createHash('sha256').update(`${this.options.id}.${id}`).digest('hex');
    const headers = {
      'X-Ibisspar-Request-Id': id,
      'X-Ibisspar-Response-Signature': receipt.slice(0, 24),
    };
    if (this.onRun(seen, req, res, headers)) {
      return;
    }
    if (this.options.kind === undefined) {
      res.writeHead(200, headers).end(`answer of ${this.options.id} to ${id}`);
      return;
    }
    res.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    for (let piece = Number(seen.lastEventId ?? 0) + 1; piece <= this.options.pieces; piece += 1) {
      res.write(`id: ${piece}\ndata: piece ${piece} of ${id}\n\n`);
      await sleep(this.options.pieceMs);
      if (isGone) {
        this.recorder.line('replica-dropped', { replica: this.options.id, id, piece });
        return;
      }
    }
    res.end();
    this.recorder.line('replica-ended', { replica: this.options.id, id });
  }
}

/** Performance figures of a small model service. */
export const engine = {
  slots: 16,
  kv_tokens: 10_000,
  kv_bytes: 80_000,
  stride: 1,
  models: [{ name: 'm', load_s: 1 }],
  step_ms: 1,
  per_seq_ms: 0.01,
  read_per_s: 100_000,
  pairs_per_m: 0.3,
  loads_at_once: 4,
  usual: { prompt: 100, answer: 20 },
  layers: 8,
  layer_mb: 100,
  act_bytes: 10,
  kinds: [{ name: 'big', mb: 2_000, pace: 1, read_x: 1 }],
};

export const host = 'ficu95.example';

export function route(name, kind, service, changes = {}) {
  return {
    name,
    host,
    path_prefix: `/${name}/`,
    kind,
    service,
    timeout_ms: 5_000,
    slo_ms: 500,
    priority: 1,
    max_attempts: 2,
    public: false,
    ...changes,
  };
}

export function config(version, routes, changes = {}) {
  return {
    version,
    routes,
    services: [
      { name: 'llm', health_path: '/healthz', max_conns: 200, engine },
      { name: 'app', health_path: '/healthz', max_conns: 110 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 10_000,
    },
    tenants: [{ name: 'tenant-1', api_keys: ['key-1'] }],
    ...changes,
  };
}

/** Reads the command of the gateway from the deploy file. */
function gatewayCommand() {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8');
  return /\[roles\.gateway\][^[]*?\nrun = "([^"]*)"/.exec(text)[1].split(' ');
}

/** Fills the template of the settings in, as far as the project uses its language. */
function fillTemplate(fields) {
  const template = readFileSync(join(repository, 'platform/settings.yaml'), 'utf8');
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, isJson) => {
    const value = path.split('.').reduce((table, key) => table?.[key], fields);
    return isJson ? JSON.stringify(value) : String(value ?? '');
  });
}

function canListen(address, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}

const frontPort = 8227;
const readyPort = 8220;
const metricsPort = 9464;
const peerPort = 7340;

/** Returns a loopback address on which the ports of a gateway are free. */
async function findHost() {
  for (;;) {
    const [a, b, c] = randomBytes(3);
    const address = `127.${1 + (a % 250)}.${b}.${1 + (c % 250)}`;
    const isFree = await Promise.all(
      [frontPort, readyPort, metricsPort, peerPort].map((port) => canListen(address, port)),
    );
    if (isFree.every(Boolean)) {
      return address;
    }
  }
}

export const bounds = {
  drain_ms: 2_000,
  grace_s: 8,
  config_ms: 2_000,
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 200,
  require_fence: true,
};

/** A gateway process, started as the deploy file says. */
export class Gateway {
  constructor(name, storeAddress, folder, recorder, changes = {}) {
    Object.assign(this, { name, storeAddress, folder, recorder, changes });
    this.isFirst = true;
  }

  async start() {
    this.ip ??= await findHost();
    const { ip, name } = this;
    const settings = join(this.folder, `${name}.yaml`);
    const fields = {
      node: name,
      role: 'gateway',
      class: 'front',
      ip,
      zone: 'a',
      region: 'r',
      internal_ports: [peerPort, peerPort + 15],
      bootstrap: this.isFirst,
      listen: { front: `${ip}:${frontPort}`, ready: `${ip}:${readyPort}` },
      bounds,
      platform: { addr: this.storeAddress },
      ...this.changes,
    };
    writeFileSync(settings, fillTemplate(fields));
    this.isFirst = false;
    const [program, ...args] = gatewayCommand();
    const { PATH, HOME } = process.env;
    this.log = '';
    this.process = spawn(program, args, {
      cwd: repository,
      env: { PATH, HOME, IBISSPAR_NODE_FILE: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = new Promise((resolve) => {
      this.process.once('exit', (code, signal) => {
        this.recorder.line('gateway-exit', { gateway: name, code, signal });
        this.exitStatus = code ?? signal;
        resolve();
      });
    });
    for (const stream of [this.process.stdout, this.process.stderr]) {
      stream.on('data', (chunk) => {
        this.log += chunk;
        if (process.env.LOGS) {
          process.stderr.write(chunk);
        }
      });
    }
    this.exitStatus = undefined;
    this.recorder.line('gateway-start', { gateway: name, ip });
  }

  get front() {
    return { address: this.ip, port: frontPort };
  }

  signal(name) {
    this.recorder.line('signal', { gateway: this.name, signal: name });
    this.process.kill(name);
  }

  async isReady() {
    const answer = await call({ address: this.ip, port: readyPort, path: '/readyz' });
    return answer.status === 200;
  }

  async whenReady() {
    while (!(await this.isReady())) {
      if (this.exitStatus !== undefined) {
        throw new Error(`${this.name} ended with ${this.exitStatus}: ${this.log.slice(0, 500)}`);
      }
      await sleep(50);
    }
  }

  async stop() {
    if (this.process && this.exitStatus === undefined) {
      this.process.kill('SIGKILL');
      await this.exited;
    }
  }
}

/** Sends one request; resolves with what came back. Status 0 stands for no answer. */
export function call({ address, port, path, method = 'GET', headers = {}, body, agent, waitMs }) {
  return new Promise((resolve) => {
    const answer = { status: 0, headers: {}, body: '', isComplete: false, error: undefined };
    const finish = () => resolve(answer);
    const req = request(
      { host: address, port, path, method, headers, agent: agent ?? new Agent() },
      (res) => {
        answer.status = res.statusCode;
        answer.headers = res.headers;
        res.on('data', (chunk) => {
          answer.body += chunk;
        });
        res.on('end', () => {
          answer.isComplete = res.complete;
        });
        res.on('error', (err) => {
          answer.error = err.message;
        });
        res.on('close', finish);
      },
    );
    req.setTimeout(waitMs ?? 20_000, () => req.destroy(new Error('client gave up')));
    req.on('error', (err) => {
      answer.error = err.message;
      finish();
    });
    req.end(body);
  });
}

/** Client of the system that records what it sends and gets. */
export class Client {
  constructor(recorder, key = 'key-1') {
    this.recorder = recorder;
    this.key = key;
  }

  async send(gateway, path, { method = 'POST', key = this.key, headers = {}, body, agent } = {}) {
    const id = newId();
    this.recorder.line('client-sends', { id, gateway: gateway.name, path, key: key ?? '(none)' });
    const sentMs = this.recorder.nowMs;
    const answer = await call({
      ...gateway.front,
      path,
      method,
      agent,
      body: body ?? (method === 'POST' ? `work of ${id}` : undefined),
      headers: {
        Host: host,
        'X-Ibisspar-Request-Id': id,
        'X-Ibisspar-Deadline-Ms': '5000',
        ...(key === null ? {} : { Authorization: `Token ${key}` }),
        ...headers,
      },
    });
    this.recorder.line('client-got', {
      id,
      status: answer.status,
      complete: answer.isComplete,
      bytes: answer.body.length,
      retryAfter: answer.headers['retry-after'],
      error: answer.error,
    });
    return { id, sentMs, ...answer };
  }
}

export const modelHeaders = {
  'X-Ibisspar-Model': 'm',
  'X-Ibisspar-Token-Count': '100,20',
  'X-Ibisspar-Prefix-Hash': '5c1e07a2:40,e4402b7d:60',
};

/**
 * Runs a case: `body` returns a description of the broken rule, or undefined if it held. Ends all
 * processes and exits with 1, 0 or, if the case could not run, 2.
 */
export async function runCase(caseUrl, body) {
  const recorder = new Recorder(fileURLToPath(new URL('.', caseUrl)));
  const folder = mkdtempSync(join(tmpdir(), 'ibisspar-review-'));
  const gateways = [];
  const closables = [];
  const end = async (status, text) => {
    recorder.line('result', { status, text });
    process.stdout.write(`${text}\n`);
    await Promise.all(gateways.map((gateway) => gateway.stop()));
    closables.forEach((each) => each.close());
    rmSync(folder, { recursive: true, force: true });
    process.exit(status);
  };
  setTimeout(() => void end(2, 'could not run: out of time'), maxRunMs);
  // An error in a stand-in must not look like a broken rule.
  process.on('uncaughtException', (err) => void end(2, `could not run: ${err.stack}`));
  process.on('unhandledRejection', (err) => void end(2, `could not run: ${err}`));
  ['SIGTERM', 'SIGINT'].forEach((name) => process.on(name, () => void end(2, 'was stopped')));
  const world = {
    recorder,
    folder,
    store: async () => {
      const store = new Store();
      await store.listen();
      closables.push(store);
      return store;
    },
    replica: async (options, store, layers) => {
      const replica = new Replica(options, recorder);
      await replica.listen();
      replica.layers = layers;
      closables.push(replica);
      replica.publish(store);
      return replica;
    },
    gateway: async (name, storeAddress, changes) => {
      const gateway = new Gateway(name, storeAddress, folder, recorder, changes);
      gateways.push(gateway);
      await gateway.start();
      return gateway;
    },
  };
  try {
    const broken = await body(world);
    await end(broken ? 1 : 0, broken ? `broken: ${broken}` : 'held');
  } catch (err) {
    await end(2, `could not run: ${err.stack}`);
  }
}
