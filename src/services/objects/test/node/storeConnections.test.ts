import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { expect } from 'chai';
import { createTestIntake } from '../../../exchange/test/node/answerFixtures.js';
import { NoAnswer, StoreConnections, type CallOutcome } from '../../node/storeConnections.js';

/** Time after which a call counts as unanswered, in milliseconds. */
const timeoutMs = 400;

/** Timeout of a call that only another one's timeout can end within a test, in milliseconds. */
const longTimeoutMs = 600_000;

const maxConnections = 4;

describe('StoreConnections', () => {
  let server: Server;
  let connections: StoreConnections;
  let outcomes: CallOutcome[];
  let openSockets: Set<Socket>;
  /** Connections on which nothing is answered any more. */
  let silentSockets: Set<Socket>;
  let isSilent: boolean;
  /** Requests that the server has read, as method, path and local number of their connection. */
  let seen: string[];
  let answerWaits: (() => void)[];

  const read = (path: string, callTimeoutMs = timeoutMs) =>
    connections.call({
      method: 'GET',
      path,
      timeoutMs: callTimeoutMs,
      fallback: { path: `${path}-again`, timeoutMs },
    });

  /** Falls silent on all open connections; new ones work. */
  function silenceOpenConnections(): void {
    silentSockets = new Set(openSockets);
  }

  function handle(req: IncomingMessage, res: ServerResponse): void {
    const path = req.url ?? '';
    seen.push(`${req.method} ${path}`);
    if (isSilent || silentSockets.has(req.socket)) {
      return;
    }
    const answer = () => res.end(JSON.stringify(path));
    if (path === '/held') {
      answerWaits.push(answer);
    } else {
      answer();
    }
  }

  async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  }

  beforeEach(async () => {
    outcomes = [];
    seen = [];
    answerWaits = [];
    openSockets = new Set();
    silentSockets = new Set();
    isSilent = false;
    server = createServer(handle);
    server.on('connection', (socket) => {
      openSockets.add(socket);
      socket.once('close', () => openSockets.delete(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const origin = `http://127.0.0.1:${port}`;
    const intake = createTestIntake();
    connections = new StoreConnections(
      { origin, eraHeader: 'era', maxConnections, connectTimeoutMs: 500, intake },
      (outcome) => outcomes.push(outcome),
    );
  });

  afterEach(async () => {
    await connections.close();
    server.close();
    server.closeAllConnections();
  });

  /** Opens all connections that the pool may have, and leaves them idle. */
  async function warmUp(): Promise<void> {
    const held = Array.from({ length: maxConnections }, () => read('/held'));
    await waitUntil(() => answerWaits.length === maxConnections);
    answerWaits.forEach((answer) => answer());
    await Promise.all(held);
    answerWaits = [];
    seen = [];
  }

  // Guards against a call that waits on one silent connection after the other.
  it('answers a read on a new connection if the open ones have fallen silent', async () => {
    await warmUp();
    silenceOpenConnections();
    expect((await read('/a')).unwrap().body).to.equal('/a-again');
    expect((await read('/b')).unwrap().body).to.equal('/b');
    expect(seen).to.deep.equal(['GET /a', 'GET /a-again', 'GET /b']);
    expect(outcomes.slice(-3)).to.deep.equal([NoAnswer.Silent, 200, 200]);
  });

  it('repeats the other reads that wait on connections of the same age', async () => {
    await warmUp();
    silenceOpenConnections();
    const waiting = read('/watch', longTimeoutMs);
    await waitUntil(() => seen.includes('GET /watch'));
    await read('/a');
    expect((await waiting).unwrap().body).to.equal('/watch-again');
  });

  it('sends a write once, and the next one on a new connection', async () => {
    await warmUp();
    silenceOpenConnections();
    const write = (path: string) => connections.call({ method: 'PUT', path, body: {}, timeoutMs });
    expect((await write('/a')).isErr()).to.equal(true);
    expect((await write('/b')).unwrap().body).to.equal('/b');
    expect(seen).to.deep.equal(['PUT /a', 'PUT /b']);
  });

  it('does not end a write because a read found the connections silent', async () => {
    await warmUp();
    const held = connections.call({
      method: 'PUT',
      path: '/held',
      body: {},
      timeoutMs: longTimeoutMs,
    });
    await waitUntil(() => answerWaits.length > 0);
    silenceOpenConnections();
    await read('/a');
    answerWaits.at(-1)?.();
    expect((await held).unwrap().body).to.equal('/held');
  });

  it('repeats no read while the store answers on new connections neither', async () => {
    await warmUp();
    isSilent = true;
    expect((await read('/a')).isErr()).to.equal(true);
    expect((await read('/b')).isErr()).to.equal(true);
    expect((await read('/c')).isErr()).to.equal(true);
    expect(seen).to.deep.equal(['GET /a', 'GET /a-again', 'GET /b', 'GET /c']);
    isSilent = false;
    expect((await read('/d')).unwrap().body).to.equal('/d');
  });

  // Guards against calls that are refused while all connections are in use.
  it('lets calls wait while others use all connections', async () => {
    const held = Array.from({ length: maxConnections }, () => read('/held', longTimeoutMs));
    await waitUntil(() => answerWaits.length === maxConnections);
    const waiting = Array.from({ length: 3 }, () => read('/a', longTimeoutMs));
    answerWaits.forEach((answer) => answer());
    const results = await Promise.all([...held, ...waiting]);
    expect(results.every((each) => each.isOk())).to.equal(true);
    expect(openSockets.size).to.equal(maxConnections);
  });

  it('closes connections that are idle', async () => {
    await warmUp();
    await waitUntil(() => openSockets.size === 0);
    expect((await read('/a')).unwrap().body).to.equal('/a');
  });

  it('does not repeat a read that its caller aborted', async () => {
    await warmUp();
    silenceOpenConnections();
    const controller = new AbortController();
    const aborted = connections.call({
      method: 'GET',
      path: '/a',
      timeoutMs,
      signals: [controller.signal],
      fallback: { path: '/a-again', timeoutMs },
    });
    await waitUntil(() => seen.length === 1);
    controller.abort();
    expect((await aborted).isErr()).to.equal(true);
    expect(seen).to.deep.equal(['GET /a']);
  });
});
