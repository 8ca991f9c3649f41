/**
 * Stand-in of the platform's metadata store: lists, reads, watches, and conditional writes of objects, as
 * PROTOCOL.md describes them. It keeps its whole history and loses nothing.
 */
import { createServer } from 'node:http';

/** Reads a request's body as JSON; undefined if there is none. */
export async function readJson(req) {
  const pieces = [];
  for await (const piece of req) {
    pieces.push(piece);
  }
  const text = Buffer.concat(pieces).toString();
  return text === '' ? undefined : JSON.parse(text);
}

/** Metadata store that listens on a loopback address. */
export class Store {
  revision = 1;

  #objects = new Map();

  #changes = [];

  #waiting = new Set();

  #server = createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });

  /** Starts listening and returns the address, `ip:port`. */
  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object, as the operator and the replicas do; its return is the acknowledgement. */
  put(kind, name, spec) {
    const objects = this.#objects.get(kind) ?? new Map();
    this.#objects.set(kind, objects);
    const known = objects.get(name);
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return known;
    }
    this.revision += 1;
    const created = known?.meta.create_rev ?? this.revision;
    const meta = { name, rev: this.revision, create_rev: created, finalizers: [], deleting: false };
    const object = { meta, spec, status: null };
    objects.set(name, object);
    this.#record(kind, object, false);
    return object;
  }

  /** Removes an object, if there is one. */
  delete(kind, name) {
    const object = this.#objects.get(kind)?.get(name);
    if (object !== undefined) {
      this.#objects.get(kind).delete(name);
      this.revision += 1;
      this.#record(kind, object, true);
    }
  }

  #record(kind, object, deleted) {
    this.#changes.push({ kind, rev: this.revision, event: { object, deleted } });
    this.#waiting.forEach((wake) => wake());
  }

  async #serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const [, , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const body = await readJson(req);
    const { status, answer } =
      req.method === 'GET'
        ? await this.#read(kind, name, url.searchParams)
        : this.#write(req.method, kind, name ?? body.meta.name, body);
    res.writeHead(status, { 'Content-Type': 'application/json' });
    res.end(JSON.stringify(answer ?? {}));
  }

  async #read(kind, name, query) {
    const objects = this.#objects.get(kind) ?? new Map();
    if (name !== undefined) {
      const object = objects.get(name);
      return object === undefined ? { status: 404 } : { status: 200, answer: object };
    }
    if (query.has('watch')) {
      return this.#watch(kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0));
    }
    const after = query.get('after') ?? '';
    const items = [...objects.values()].filter(({ meta }) => meta.name > after);
    return { status: 200, answer: { items, truncated: false, as_of: this.revision } };
  }

  async #watch(kind, from, waitMs) {
    const untilMs = Date.now() + waitMs;
    for (;;) {
      const events = this.#changes.filter((each) => each.kind === kind && each.rev > from);
      const remainingMs = untilMs - Date.now();
      if (events.length > 0 || remainingMs <= 0) {
        const answer = { events: events.map(({ event }) => event), as_of: this.revision };
        return { status: 200, answer };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, remainingMs);
        this.#waiting.add(wake);
      });
    }
  }

  #write(method, kind, name, { meta, spec }) {
    const known = this.#objects.get(kind)?.get(name);
    const isConflict =
      method === 'POST'
        ? known !== undefined
        : meta?.rev !== undefined && meta.rev !== known?.meta.rev;
    if (isConflict) {
      return { status: 409, answer: known };
    }
    if (method === 'PUT' && known === undefined) {
      return { status: 404 };
    }
    return { status: method === 'POST' ? 201 : 200, answer: this.put(kind, name, spec) };
  }
}
