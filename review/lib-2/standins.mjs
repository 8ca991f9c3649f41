/**
 * Stand-ins for the scripts of this review: the platform's store, replicas, and the gateway as a process.
 * They behave as the pages say; a script changes only what its case needs.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { createServer as createTcpServer, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const host = '127.0.0.1';

/** Bytes that a replica keeps of the body of a request. */
const maxKeptBytes = 4_096;

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Processes and folders of this script, which must not outlive it however it ends. */
const children = new Set();
const directories = new Set();

/** Remembers a process that is to be ended with this script. */
export function track(child) {
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

process.on('exit', () => {
  children.forEach((child) => child.kill('SIGKILL'));
  directories.forEach((directory) => rmSync(directory, { recursive: true, force: true }));
});

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Returns free TCP ports; they are closed again before they are used. */
export async function freePorts(count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createTcpServer();
          server.once('error', reject);
          server.listen(0, host, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** The platform's metadata store: lists, watches and conditional writes, with its era in all answers. */
export class Store {
  constructor() {
    this.kinds = new Map();
    this.changes = [];
    this.revision = 10;
    this.historyStart = 10;
    this.era = 1;
    this.isDown = false;
    this.watches = new Set();
    this.onWatchAnswer = () => undefined;
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  objects(kind) {
    if (!this.kinds.has(kind)) {
      this.kinds.set(kind, new Map());
    }
    return this.kinds.get(kind);
  }

  put(kind, name, spec) {
    this.revision += 1;
    const createRev = this.objects(kind).get(name)?.meta.create_rev ?? this.revision;
    const object = {
      meta: { name, rev: this.revision, create_rev: createRev, finalizers: [], deleting: false },
      spec,
      status: {},
    };
    this.objects(kind).set(name, object);
    this.record({ kind, rev: this.revision, object, deleted: false });
    return object;
  }

  delete(kind, name) {
    const object = this.objects(kind).get(name);
    if (object) {
      this.objects(kind).delete(name);
      this.revision += 1;
      this.record({ kind, rev: this.revision, object, deleted: true });
    }
  }

  copy() {
    return {
      kinds: new Map([...this.kinds].map(([kind, objects]) => [kind, new Map(objects)])),
      revision: this.revision,
    };
  }

  /** Comes back from a copy, in the next era; revisions go back and are given out again. */
  comeBackFrom(copy) {
    this.kinds = new Map([...copy.kinds].map(([kind, objects]) => [kind, new Map(objects)]));
    this.revision = copy.revision;
    this.era += 1;
    this.changes = [];
    this.historyStart = this.revision;
    this.isDown = false;
    this.wake();
  }

  /** Answers nothing any more until it comes back. */
  goDown() {
    this.isDown = true;
    this.server.closeAllConnections();
  }

  record(change) {
    this.changes.push(change);
    this.wake();
  }

  wake() {
    const watches = [...this.watches];
    this.watches.clear();
    watches.forEach((resume) => resume());
  }

  async serve(req, res) {
    const bytes = await readBody(req);
    if (this.isDown) {
      res.destroy();
      return;
    }
    const body = bytes.length > 0 ? JSON.parse(bytes.toString()) : undefined;
    const url = new URL(req.url, 'http://store');
    const [, , kind, name, part] = url.pathname.split('/').map(decodeURIComponent);
    const answer = await this.answer(req.method, kind, name, part, url.searchParams, body);
    if (this.isDown || res.destroyed) {
      res.destroy();
      return;
    }
    res.writeHead(answer.status, {
      'Content-Type': 'application/json',
      'Store-Era': String(this.era),
    });
    res.end(JSON.stringify(answer.body ?? {}));
  }

  async answer(method, kind, name, part, query, body) {
    if (method === 'GET') {
      return query.has('watch') ? this.watch(kind, query) : this.read(kind, name, query);
    }
    const target = name ?? body?.meta?.name;
    const stored = this.objects(kind).get(target);
    if (method === 'POST') {
      return stored
        ? { status: 409, body: stored }
        : { status: 201, body: this.put(kind, target, body.spec) };
    }
    if (stored === undefined) {
      return { status: 404 };
    }
    const rev = body?.meta?.rev ?? (query.has('rev') ? Number(query.get('rev')) : undefined);
    if (rev !== undefined && rev !== stored.meta.rev) {
      return { status: 409, body: stored };
    }
    if (method === 'DELETE') {
      this.delete(kind, target);
      return { status: 200, body: stored };
    }
    if (part === 'status' || JSON.stringify(stored.spec) === JSON.stringify(body.spec)) {
      return { status: 200, body: stored };
    }
    return { status: 200, body: this.put(kind, target, body.spec) };
  }

  read(kind, name, query) {
    if (name !== undefined) {
      const object = this.objects(kind).get(name);
      return object ? { status: 200, body: object } : { status: 404 };
    }
    const after = query.get('after') ?? '';
    const items = [...this.objects(kind).values()]
      .filter(({ meta }) => meta.name > after)
      .sort((a, b) => (a.meta.name < b.meta.name ? -1 : 1));
    return { status: 200, body: { items, truncated: false, as_of: this.revision } };
  }

  async watch(kind, query) {
    const from = Number(query.get('watch'));
    const { era } = this;
    const endMs = Date.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    for (;;) {
      if (era !== this.era || from < this.historyStart || from > this.revision) {
        return { status: 410 };
      }
      const events = this.changes
        .filter((change) => change.kind === kind && change.rev > from)
        .map(({ object, deleted }) => ({ object, deleted }));
      const leftMs = endMs - Date.now();
      if (events.length > 0 || leftMs <= 0) {
        this.onWatchAnswer(kind, events);
        return { status: 200, body: { events, as_of: this.revision } };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.watches.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }
}

/**
 * Replica of a plain service, or a model replica that holds all layers. `handle` runs a request; the default
 * answers a plain request after `workMs`, and a stream with `eventCount` events.
 */
export class Replica {
  constructor({
    id,
    service,
    zone = 'a',
    kind,
    layers,
    workMs = 20,
    eventCount = 20,
    eventMs = 20,
  }) {
    Object.assign(this, { id, service, zone, kind, layers, workMs, eventCount, eventMs });
    this.born = Date.now();
    this.state = 'ready';
    this.orders = 0;
    this.fence = -1;
    this.stalled = [];
    this.arrivals = [];
    this.onRun = () => undefined;
    this.onPlaced = () => undefined;
    this.handle = (request, res) => this.answer(request, res);
    this.server = createServer({ maxHeaderSize: 131_072 }, (req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    this.server.maxHeadersCount = 0;
  }

  async listen(port = 0) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.port = this.server.address().port;
    this.address = `${host}:${this.port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  entry() {
    return {
      service: this.service,
      addr: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.kind === undefined ? 6 : 100,
      state: this.state,
      cold_left_ms: 0,
      seq: 1,
      born: this.born,
      ...(this.kind === undefined
        ? {}
        : {
            kind: this.kind,
            stage: 'both',
            layers: this.layers && { ...this.layers, version: 1 },
          }),
    };
  }

  async serve(req, res) {
    const body = await readBody(req);
    if (req.url === '/report') {
      res.setHeader('Content-Type', 'application/json');
      res.end(JSON.stringify(this.report()));
      return;
    }
    if (req.url === '/order') {
      this.order(JSON.parse(body.toString()), res);
      return;
    }
    if (req.url === '/healthz') {
      res.writeHead(200, { 'X-Ibisspar-Instance-Id': this.id }).end();
      return;
    }
    const request = {
      id: req.headers['x-ibisspar-request-id'],
      method: req.method,
      target: req.url,
      headers: req.headers,
      body: body.toString('latin1', 0, maxKeptBytes),
      atMs: Date.now(),
    };
    const expected = req.headers['x-ibisspar-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'X-Ibisspar-Not-Run': '1', 'X-Ibisspar-Request-Id': request.id }).end();
      return;
    }
    this.arrivals.push(request);
    this.onRun(request, this);
    await this.handle(request, res, req);
  }

  report() {
    return {
      born: this.born,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      layers: this.layers && { ...this.layers, version: 1 },
      busy: false,
      seq: this.orders,
      waiting: 0,
      running: 0,
      kv_used: 0,
      kv_total: 1_000_000,
      pace: 1,
      handles: 0,
      stalled: this.stalled,
    };
  }

  order(order, res) {
    if (order.op !== 'place') {
      res.writeHead(404).end();
    } else if (order.fence < this.fence) {
      res.writeHead(412).end();
    } else if (order.precondition !== undefined && order.precondition !== this.orders) {
      res.writeHead(409).end();
    } else {
      this.fence = order.fence;
      this.orders += 1;
      this.layers = { from: order.from, target: order.target };
      this.onPlaced(this);
      res.writeHead(202).end();
    }
  }

  headers(request) {
    return { 'X-Ibisspar-Request-Id': request.id, 'X-Ibisspar-Response-Signature': `s.${this.id}` };
  }

  async answer(request, res) {
    if (this.kind === undefined) {
      await sleep(this.workMs);
      res.writeHead(200, this.headers(request));
      res.end(`answer of ${this.id} to ${request.id}`);
      return;
    }
    res.writeHead(200, { ...this.headers(request), 'Content-Type': 'text/event-stream' });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= this.eventCount && !res.destroyed; id += 1) {
      await sleep(this.eventMs);
      res.write(`id: ${id}\ndata: token ${id}\n\n`);
    }
    res.end();
  }
}

/** Configuration of a small deployment: a model service with one stream route, and a plain service. */
export function smallConfig({ version = 1, resumable = true } = {}) {
  const engine = {
    layers: 8,
    layer_mb: 100,
    kv_bytes: 8,
    step_ms: 1,
    per_seq_ms: 0.01,
    context_per_k: 0.01,
    read_per_s: 100_000,
    pairs_per_m: 0.3,
    chunk: 512,
    stride: 3,
    slots: 100,
    loads_at_once: 2,
    act_bytes: 1_000,
    link_mbps: 400_000,
    pipe_mbps: 18_000,
    report_lag_ms: 200,
    usual: { prompt: 200, answer: 60 },
    models: [{ name: 'm', load_s: 1 }],
    kinds: [{ name: 'big', mb: 10_000, pace: 1, read_x: 1 }],
  };
  const route = (name, kind, service, more) => ({
    name,
    host: 'test.example',
    path_prefix: `/${name}/`,
    service,
    split: null,
    kind,
    timeout_ms: 1_500,
    slo_ms: 400,
    max_attempts: 2,
    priority: 1,
    public: false,
    sticky: false,
    resumable: false,
    ...more,
  });
  return {
    version,
    routes: [
      route('draft', 'stream', 'model', {
        timeout_ms: 20_000,
        slo_ms: 500,
        gap_aim_ms: 200,
        sticky: true,
        resumable,
      }),
      route('book', 'unsafe', 'app', {}),
      route('look', 'safe', 'app', {}),
    ],
    services: [
      { name: 'model', max_conns: 1_000, health_path: '/healthz', engine },
      { name: 'app', max_conns: 110, health_path: '/healthz', engine: null },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-1', api_keys: ['key-1'] }],
  };
}

/** Fills a template of settings in, as far as the project's template needs it. */
function fillTemplate(text, fields) {
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, isJson) => {
    const value = path.split('.').reduce((at, key) => at?.[key], fields);
    return isJson ? JSON.stringify(value) : String(value ?? '');
  });
}

/** The gateway as a process, with the command of the deploy file and settings from the project's template. */
export class Gateway {
  constructor(name, store, { bounds = {}, limits = {}, bootstrap = true } = {}) {
    this.name = name;
    this.store = store;
    this.bounds = bounds;
    this.limits = limits;
    this.bootstrap = bootstrap;
    this.directory = mkdtempSync(join(tmpdir(), 'ibisspar-review-'));
    directories.add(this.directory);
    this.file = join(this.directory, 'settings.yaml');
  }

  /** Fills the settings file in, as the platform does at every start and whenever the settings change. */
  async writeSettings() {
    this.ports ??= await freePorts(4);
    const [front, ready, metrics, peer] = this.ports;
    Object.assign(this, { front, ready });
    const fields = {
      node: this.name,
      ip: host,
      zone: 'a',
      region: 'r',
      listen: { front: `${host}:${front}`, ready: `${host}:${ready}` },
      internal_ports: [peer, peer],
      platform: { addr: this.store.address },
      bounds: {
        grace_s: 8,
        retry_ratio: 0.2,
        retry_window_s: 10,
        retry_slack: 200,
        ...this.bounds,
      },
      bootstrap: this.bootstrap,
      limits: { memory_mb: 350, max_fds: 4_100, ...this.limits },
    };
    const template = readFileSync(join(root, 'platform/settings.yaml'), 'utf8');
    // All processes of a script share one address, so the fixed port of the metrics gives way.
    const text = fillTemplate(template, fields).replace(
      /^metricsPort: .*$/m,
      `metricsPort: ${metrics}`,
    );
    writeFileSync(this.file, text);
  }

  async start({ waitReady = true } = {}) {
    await this.writeSettings();
    const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    this.logFile = join(this.directory, 'log.txt');
    const log = openSync(this.logFile, 'a');
    const { PATH, HOME, LANG } = process.env;
    this.exit = undefined;
    this.child = track(
      spawn(program, args, {
        cwd: root,
        env: { PATH, HOME, LANG, IBISSPAR_NODE_FILE: this.file },
        stdio: ['ignore', log, log],
      }),
    );
    this.ended = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.exit = { code, signal };
        resolve(this.exit);
      });
    });
    const endMs = Date.now() + 20_000;
    while (waitReady && (await this.readyStatus()) !== 200) {
      if (this.exit !== undefined || Date.now() > endMs) {
        throw new Error(`the gateway did not become ready: ${this.log().slice(-800)}`);
      }
      await sleep(50);
    }
  }

  async readyStatus() {
    try {
      const answer = await send(
        this.ready,
        'GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n',
      );
      return answer.status;
    } catch {
      return 0;
    }
  }

  log() {
    return readFileSync(this.logFile, 'utf8');
  }

  signal(name) {
    if (this.exit === undefined) {
      this.child.kill(name);
    }
  }

  async close() {
    if (this.child !== undefined && this.exit === undefined) {
      this.child.kill('SIGKILL');
      await this.ended;
    }
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/**
 * Sends bytes on a new connection and collects what comes until its end, or until a whole answer with a length
 * has come.
 */
export function send(port, bytes, { timeoutMs = 10_000 } = {}) {
  return new Promise((resolve, reject) => {
    const socket = connect({ port, host, noDelay: true });
    const received = [];
    const timer = setTimeout(() => {
      socket.destroy();
      finish('timeout');
    }, timeoutMs);
    let isOver = false;
    function finish(end) {
      if (isOver) {
        return;
      }
      isOver = true;
      clearTimeout(timer);
      resolve(parseAnswer(Buffer.concat(received).toString('latin1'), end));
    }
    socket.once('connect', () => socket.write(bytes));
    socket.on('data', (chunk) => {
      received.push(chunk);
      const answer = parseAnswer(Buffer.concat(received).toString('latin1'), 'open');
      if (answer.isWhole) {
        socket.destroy();
        finish('whole');
      }
    });
    socket.once('end', () => finish('closed'));
    socket.once('error', (err) => {
      if (received.length === 0 && err.syscall === 'connect') {
        clearTimeout(timer);
        reject(err);
        return;
      }
      finish(err.code);
    });
    socket.once('close', () => finish('closed'));
  });
}

function parseAnswer(text, end) {
  const headEnd = text.indexOf('\r\n\r\n');
  const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(text)?.[1] ?? 0);
  if (headEnd < 0) {
    return { status, head: text, body: '', isWhole: false, end };
  }
  const head = text.slice(0, headEnd);
  const body = text.slice(headEnd + 4);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  const isChunked = /^transfer-encoding: *chunked/im.test(head);
  const isWhole =
    (length !== undefined && body.length >= Number(length)) ||
    (isChunked && body.endsWith('0\r\n\r\n'));
  return { status, head, body, isWhole, end };
}

/** Statuses for `run.sh`, which turns them into 0, 1 and 2; Node.js itself ends with 1 on any error. */
const heldStatus = 0;
const brokenStatus = 10;
const notRunStatus = 2;

/** Time after which a script counts as one that couldn't run, in milliseconds. */
const maxScriptMs = 115_000;

/** Writes `record.txt` and runs a script; see the statuses for how it ends. */
export async function runCase(directory, play) {
  const lines = [];
  const record = (line) => lines.push(`${new Date().toISOString()} ${line}`);
  const toClose = [];
  const keep = (each) => {
    toClose.unshift(each);
    return each;
  };
  const finish = (status) => {
    writeFileSync(join(directory, 'record.txt'), `${lines.join('\n')}\n`);
    process.stdout.write(`${lines.slice(-6).join('\n')}\n`);
    process.exit(status);
  };
  const giveUp = (reason) => {
    record(`the case could not run: ${reason}`);
    finish(notRunStatus);
  };
  setTimeout(() => giveUp('it took too long'), maxScriptMs).unref();
  ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.once(signal, () => giveUp(signal)));
  process.once('uncaughtException', (err) => giveUp(err.stack));
  process.once('unhandledRejection', (err) => giveUp(err?.stack ?? err));
  const hasTrouble = process.env.TROUBLE !== '0';
  record(`trouble: ${hasTrouble}`);
  try {
    const broken = await play({ record, keep, hasTrouble });
    for (const each of toClose) {
      await each.close();
    }
    broken.forEach((each) => record(`BROKEN: ${each}`));
    record(broken.length === 0 ? 'the rule held' : 'the rule was broken');
    finish(broken.length === 0 ? heldStatus : brokenStatus);
  } catch (err) {
    giveUp(err.stack);
  }
}
