/** Stand-in of a replica of a plain service. */
import { createServer } from 'node:http';
import { pause } from './gateway.mjs';

/** Replica that answers each request after some work. */
export class PlainReplica {
  /** Requests that it ran. */
  runs = [];

  state = 'ready';

  #server;

  /**
   * @param id - Name of its entry.
   * @param workMs - Time that it works on a request.
   */
  constructor(id, workMs = 43) {
    this.id = id;
    this.workMs = workMs;
  }

  /** Starts a process of the replica, with nothing of what an earlier one knew. */
  async start(port = 0, born = Date.now()) {
    this.born = born;
    this.state = 'ready';
    this.#server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    this.port = this.#server.address().port;
    this.address = `127.0.0.1:${this.port}`;
  }

  /** Ends the process at once. */
  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Entry that it writes about itself. */
  entry() {
    return {
      service: 'app',
      addr: this.address,
      zone: 'a',
      version: 'v1',
      slots: 6,
      state: this.state,
      cold_left_ms: 0,
      seq: 0,
      born: this.born,
    };
  }

  async #serve(req, res) {
    if (req.url === '/healthz') {
      res
        .writeHead(this.state === 'ready' ? 200 : 503, { 'X-Ibisspar-Instance-Id': this.id })
        .end();
      return;
    }
    const expected = req.headers['x-ibisspar-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'X-Ibisspar-Instance-Id': this.id }).end();
      return;
    }
    const id = req.headers['x-ibisspar-request-id'];
    if (id === undefined) {
      res.writeHead(400, { 'X-Ibisspar-Not-Run': '1' }).end();
      return;
    }
    for await (const _ of req) {
      // The body is read and not looked at.
    }
    this.runs.push({ id, atMs: Date.now(), born: this.born, state: this.state });
    await pause(this.workMs);
    const body = `answer to ${id}`;
    res.writeHead(200, {
      'X-Ibisspar-Request-Id': id,
      'X-Ibisspar-Response-Signature': `${this.id}.${id}`,
      'Content-Length': body.length,
    });
    res.end(body);
  }
}
