import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { SystemClock } from '../../../../base/node/systemClock.js';
import { EndpointSender, type IAnswerSink, type IExchange } from '../../node/endpointSender.js';
import { createTestIntake } from './answerFixtures.js';

const request = { method: 'GET', target: '/', headers: [], body: undefined, maxIdleMs: 1_000 };

const unframed = 'HTTP/1.1 200 OK\r\n\r\n';

const framed = 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n';

const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Pause between two writes that lets the reader see each by itself, in milliseconds. */
const separationMs = 20;

/** An answer as the sink saw it. */
interface Outcome {
  readonly isComplete: boolean;
  readonly body: string;
}

/** Writes of an endpoint, each of which is read by itself, and how it ends the connection. */
interface Script {
  readonly writes: readonly string[];
  readonly ending: 'close' | 'reset' | 'none';
  /** Whether the connection ends at once after the last write. */
  readonly endsAtOnce?: boolean;
}

async function play(socket: Socket, { writes, ending, endsAtOnce }: Script): Promise<void> {
  for (const [index, text] of writes.entries()) {
    const isLast = index === writes.length - 1;
    if (isLast && endsAtOnce && ending === 'close') {
      socket.end(text);
      return;
    }
    socket.write(text);
    if (!isLast || !endsAtOnce) {
      await pause(separationMs);
    }
  }
  if (ending === 'reset') {
    socket.resetAndDestroy();
  } else if (ending === 'close') {
    socket.end();
  }
}

describe('Answers of endpoints with and without framing', () => {
  let server: Server;
  let address: string;
  let sender: EndpointSender;
  let scripts: Script[];
  let connectionCount: number;

  beforeEach(async () => {
    scripts = [];
    connectionCount = 0;
    sender = new EndpointSender(
      { maxConnections: 4, intake: createTestIntake() },
      new SystemClock(),
    );
    server = createServer((socket) => {
      connectionCount += 1;
      socket.on('error', () => undefined);
      socket.on('data', () => {
        const script = scripts.shift();
        if (script) {
          void play(socket, script);
        }
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(async () => {
    await sender.close();
    server.close();
  });

  /** Sends a request; pauses the exchange at the first data if a time to resume after is given. */
  function exchange(script: Script, resumeAfterMs?: number): Promise<Outcome> {
    scripts.push(script);
    return new Promise((resolve) => {
      let body = '';
      let hasPaused = false;
      let current: IExchange | undefined;
      const sink: IAnswerSink = {
        onHead: () => undefined,
        onData: (chunk) => {
          body += chunk.toString();
          if (resumeAfterMs === undefined || hasPaused) {
            return true;
          }
          hasPaused = true;
          void pause(resumeAfterMs).then(() => current?.resume());
          return false;
        },
        onEnd: () => resolve({ isComplete: true, body }),
        onError: () => resolve({ isComplete: false, body }),
      };
      current = sender.send(address, request, sink);
    });
  }

  const answer = { isComplete: true, body: 'answer' };

  const complete: Readonly<Record<string, Script>> = {
    'without framing, closed later': { writes: [unframed, 'answer'], ending: 'close' },
    'without framing, closed with the last bytes': {
      writes: [`${unframed}answer`],
      ending: 'close',
      endsAtOnce: true,
    },
    'without framing, on a connection that says keep-alive': {
      writes: [
        'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=9\r\n\r\n',
        'answer',
      ],
      ending: 'close',
    },
    'without framing, byte by byte': { writes: [unframed, ...'answer'], ending: 'close' },
    'of HTTP/1.0 without framing': {
      writes: ['HTTP/1.0 200 OK\r\n\r\nans', 'wer'],
      ending: 'close',
    },
    'of HTTP/1.0 that says keep-alive without framing': {
      writes: ['HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nans', 'wer'],
      ending: 'close',
    },
    'of HTTP/1.0 with a length': {
      writes: ['HTTP/1.0 200 OK\r\nContent-Length: 6\r\n\r\nanswer'],
      ending: 'close',
      endsAtOnce: true,
    },
    'with the identity encoding': {
      writes: ['HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n', 'answer'],
      ending: 'close',
    },
    'with a length, closed with the last bytes': {
      writes: [`${framed}answer`],
      ending: 'close',
      endsAtOnce: true,
    },
    'with a length, reset after the last bytes': { writes: [`${framed}answer`], ending: 'reset' },
    'in chunks, closed with the last bytes': {
      writes: [`${chunked}6\r\nanswer\r\n0\r\n\r\n`],
      ending: 'close',
      endsAtOnce: true,
    },
    'with a length, followed by other bytes': {
      writes: [`${framed}answerother bytes`],
      ending: 'close',
    },
  };

  Object.entries(complete).forEach(([name, script]) => {
    it(`are complete: ${name}`, async () => {
      expect(await exchange(script)).to.deep.equal(answer);
    });

    it(`are complete although they were paused: ${name}`, async () => {
      expect(await exchange(script, 3 * separationMs)).to.deep.equal(answer);
    });
  });

  const broken: Readonly<Record<string, Script>> = {
    'reset without framing': { writes: [unframed, 'answer'], ending: 'reset' },
    'reset at once without framing': {
      writes: [unframed, 'answer'],
      ending: 'reset',
      endsAtOnce: true,
    },
    'reset without framing after the headers': { writes: [unframed], ending: 'reset' },
    'reset without framing in HTTP/1.0': {
      writes: ['HTTP/1.0 200 OK\r\n\r\nans', 'wer'],
      ending: 'reset',
    },
    'reset without framing on a connection that says keep-alive': {
      writes: ['HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n', 'answer'],
      ending: 'reset',
    },
    'closed within the length': { writes: [`${framed}ans`], ending: 'close' },
    'closed within the length with the last bytes': {
      writes: [`${framed}ans`],
      ending: 'close',
      endsAtOnce: true,
    },
    'closed within the length on a connection that says close': {
      writes: ['HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nans'],
      ending: 'close',
    },
    'closed within the length in HTTP/1.0': {
      writes: ['HTTP/1.0 200 OK\r\nContent-Length: 6\r\n\r\nans'],
      ending: 'close',
    },
    'closed before the last chunk': { writes: [`${chunked}6\r\nanswer\r\n`], ending: 'close' },
    'closed before the last chunk on a connection that says close': {
      writes: [
        'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n',
      ],
      ending: 'close',
    },
    'closed within the headers': { writes: ['HTTP/1.1 200 OK\r\nX: y'], ending: 'close' },
  };

  Object.entries(broken).forEach(([name, script]) => {
    it(`are not complete: ${name}`, async () => {
      expect((await exchange(script)).isComplete).to.equal(false);
    });

    it(`are not complete and break nothing else when paused: ${name}`, async () => {
      expect((await exchange(script, 3 * separationMs)).isComplete).to.equal(false);
      expect(await exchange(complete['without framing, closed later'])).to.deep.equal(answer);
    });
  });

  it('are not taken from a second answer that follows the first', async () => {
    const second = framed.replace('200 OK', '201 Created');
    const first = { writes: [`${framed}answer${second}second`], ending: 'none' } as const;
    expect(await exchange(first)).to.deep.equal(answer);
    const next = { writes: [`${framed}newest`], ending: 'none' } as const;
    expect(await exchange(next)).to.deep.equal({ isComplete: true, body: 'newest' });
  });

  it('leave no connection behind that is used again after an answer without framing', async () => {
    for (let count = 1; count <= 3; count += 1) {
      expect(await exchange(complete['without framing, closed later'])).to.deep.equal(answer);
      expect(connectionCount).to.equal(count);
    }
  });
});
