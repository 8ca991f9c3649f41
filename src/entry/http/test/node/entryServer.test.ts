import { once } from 'node:events';
import { Socket, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import type { FastifyInstance } from 'fastify';
import { SystemClock } from '../../../../base/node/systemClock.js';
import { deriveBounds } from '../../../../services/intake/common/intakeBounds.js';
import { CallerIntake } from '../../../../services/intake/node/callerIntake.js';
import { CallerConnections } from '../../node/callerConnections.js';
import { createEntryServer } from '../../node/entryServer.js';

const bodyBytes = 1_048_576;
const headMs = 300;
const idleMs = 600;
const requestMs = 1_000;

/** Connection of a caller that writes its requests itself. */
class RawCaller {
  received = '';

  private constructor(readonly socket: Socket) {
    socket.on('data', (data: Buffer) => {
      this.received += data.toString();
    });
    socket.on('error', () => undefined);
  }

  static async connect(app: FastifyInstance): Promise<RawCaller> {
    const socket = new Socket();
    socket.connect((app.server.address() as AddressInfo).port, '127.0.0.1');
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  /** Resolves once what was received matches a pattern. */
  async until(pattern: RegExp): Promise<void> {
    while (!pattern.test(this.received)) {
      const closed = once(this.socket, 'close').then(() => 'closed');
      const event = await Promise.race([once(this.socket, 'data'), closed]);
      if (event === 'closed' && !pattern.test(this.received)) {
        throw new Error(`closed after: ${this.received}`);
      }
    }
  }

  async whenClosed(): Promise<void> {
    if (!this.socket.destroyed) {
      await once(this.socket, 'close');
    }
  }
}

function post(path: string, fields: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n${fields}\r\n\r\n`;
}

describe('HTTP server of an entry', () => {
  let app: FastifyInstance;

  let intake: CallerIntake;

  const callers: RawCaller[] = [];

  const ran: string[] = [];

  beforeEach(() => {
    ran.length = 0;
    const bounds = deriveBounds({ callerMemoryMb: 4, maxCallerConnections: 60 }, 160_000_000);
    intake = new CallerIntake(bounds, () => undefined, new SystemClock(), {
      log: () => undefined,
    });
    app = createEntryServer(
      { bodyBytes, requestMs, headMs, idleMs },
      intake,
      new CallerConnections(),
    );
    app.post<{ Body: { text: string } }>('/run', (req, reply) => {
      ran.push(req.body.text);
      return reply.send({ length: req.body.text.length });
    });
    app.get('/look', (_req, reply) => reply.send({ found: true }));
  });

  afterEach(async () => {
    callers.splice(0).forEach(({ socket }) => socket.destroy());
    await app.close();
    intake.close();
  });

  async function listen(): Promise<void> {
    await app.listen({ host: '127.0.0.1', port: 0 });
  }

  async function connect(): Promise<RawCaller> {
    const caller = await RawCaller.connect(app);
    callers.push(caller);
    return caller;
  }

  it('lets its routes refuse a request that arrives on an open connection while it closes', async () => {
    app.get('/', (_req, reply) => reply.code(503).send('run: not-run'));
    const socket = new Socket();
    let received = '';
    const answered = new Promise<void>((resolve) => {
      socket.on('data', (data: Buffer) => {
        received += data.toString();
        resolve();
      });
    });
    app.addHook('preClose', async () => {
      socket.write('GET / HTTP/1.1\r\nHost: entry\r\n\r\n');
      await answered;
    });
    await listen();
    socket.connect((app.server.address() as AddressInfo).port, '127.0.0.1');
    await once(socket, 'connect');
    await app.close();
    expect(received).to.contain('run: not-run');
  });

  it('serves a body of the largest size, in one piece and in chunks of one byte', async () => {
    await listen();
    const text = 'x'.repeat(bodyBytes - '{"text":""}'.length);
    const body = JSON.stringify({ text });
    const caller = await connect();
    caller.socket.write(`${post('/run', `Content-Length: ${body.length}`)}${body}`);
    await caller.until(/"length":\d+/);
    caller.received = '';
    const small = '{"text":"in pieces"}';
    const chunks = [...small].map((char) => `1\r\n${char}\r\n`).join('');
    caller.socket.write(`${post('/run', 'Transfer-Encoding: chunked')}${chunks}0\r\n\r\n`);
    await caller.until(/"length":9/);
    expect(ran).to.deep.equal([text, 'in pieces']);
  });

  it('bounds the memory of bodies that never end, refuses others as not run, and serves small ones', async () => {
    await listen();
    const held = Buffer.alloc(bodyBytes - 1, 'x');
    const crowd = await Promise.all(Array.from({ length: 30 }, () => connect()));
    crowd.forEach(({ socket }) => {
      socket.write(post('/run', `Content-Length: ${bodyBytes}`));
      socket.write(held);
    });
    const caller = await connect();
    caller.socket.write(`${post('/run', 'Content-Length: 13')}{"text":"hi"}`);
    await caller.until(/"length":2/);
    await Promise.all(crowd.map((each) => each.until(/"run":"not-run"/)));
    const { largeBodyBytes, smallBodyBytes } = intake.use;
    expect(largeBodyBytes + smallBodyBytes).to.be.at.most(intake.bounds.memoryBytes);
    expect(ran).to.deep.equal(['hi']);
    const statuses = crowd.map(({ received }) => /HTTP\/1\.1 (\d+)/.exec(received)?.[1]);
    expect(statuses.every((status) => status === '429' || status === '408')).to.equal(true);
  });

  it('refuses a body over the limit before it arrives, and the caller can read the refusal', async () => {
    await listen();
    const caller = await connect();
    caller.socket.write(post('/run', `Content-Length: ${2 * bodyBytes}`));
    caller.socket.write(Buffer.alloc(bodyBytes / 2, 'x'));
    await caller.until(/ 413 [^]*not-run/);
    await caller.whenClosed();
    expect(ran).to.deep.equal([]);
  });

  it('answers at a path without a route before the body has arrived', async () => {
    await listen();
    const caller = await connect();
    const startMs = Date.now();
    caller.socket.write(post('/nowhere', `Content-Length: ${bodyBytes}`));
    await caller.until(/ 404 /);
    expect(Date.now() - startMs).to.be.lessThan(requestMs);
    await caller.whenClosed();
  });

  it('gives leave to send a body to callers that wait for it', async () => {
    await listen();
    const caller = await connect();
    caller.socket.write(post('/run', 'Content-Length: 13\r\nExpect: 100-continue'));
    await caller.until(/ 100 Continue/);
    caller.socket.write('{"text":"hi"}');
    await caller.until(/"length":2/);
  });

  it('closes connections that send nothing or half a head, and lets the oldest give way at the bound', async () => {
    await listen();
    const [silent, slow, idle] = await Promise.all([connect(), connect(), connect()]);
    slow.socket.write('GET /look HTTP/1.1\r\nHost:');
    idle.socket.write('GET /look HTTP/1.1\r\nHost: entry\r\n\r\n');
    await idle.until(/"found":true/);
    await Promise.all([silent.whenClosed(), slow.whenClosed()]);
    await Promise.all(Array.from({ length: 70 }, () => connect()));
    const caller = await connect();
    caller.socket.write('GET /look HTTP/1.1\r\nHost: entry\r\n\r\n');
    await caller.until(/"found":true/);
    expect(intake.use.connections).to.be.at.most(60);
  });
});
