import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '../../../base/node/systemClock.js';
import { MessageKind, type CallMessage } from '../../../services/link/common/messages.js';
import { RunState } from '../../../services/problem/common/problem.js';
import { HttpPlainService } from '../../node/httpPlainService.js';
import { createTestIntake } from '../../../services/exchange/test/node/answerFixtures.js';

const maxAnswerBytes = 100_000;

/** Bytes that the service may write of an answer without end: the bound and what sockets buffer. */
const maxWrittenBytes = 16 * 1_048_576;

const chunk = Buffer.alloc(16_384, 'x');

const message: CallMessage = {
  kind: MessageKind.Call,
  attempt: 'a.1',
  incarnation: 'i',
  service: 's',
  organisation: 'o',
  revision: 1,
  method: 'POST',
  path: '/book',
  headers: [],
  body: new Uint8Array(),
  submission: true,
  remainingMs: 20_000,
};

describe('HttpPlainService', () => {
  let server: Server;
  let service: HttpPlainService;
  let writtenBytes: number;
  let answer: (res: ServerResponse) => void;

  /** Writes chunks until the connection is closed or the caller ought to have closed it. */
  const writeWithoutEnd = (res: ServerResponse): void => {
    while (!res.destroyed && writtenBytes <= maxWrittenBytes) {
      writtenBytes += chunk.length;
      if (!res.write(chunk)) {
        res.once('drain', () => writeWithoutEnd(res));
        return;
      }
    }
    res.destroy();
  };

  beforeEach(async () => {
    writtenBytes = 0;
    server = createServer((_req, res) => answer(res));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    const { port } = server.address() as AddressInfo;
    service = new HttpPlainService(
      `http://127.0.0.1:${port}`,
      maxAnswerBytes,
      createTestIntake(),
      new SystemClock(),
    );
  });

  afterEach(async () => {
    await service.close();
    server.closeAllConnections();
    server.close();
  });

  const call = () => service.call(message, new AbortController().signal);

  it('sends nothing for a call that was cancelled before', async () => {
    let arrivals = 0;
    answer = (res) => {
      arrivals += 1;
      res.end();
    };
    expect((await service.call(message, AbortSignal.abort())).isErr()).to.equal(true);
    expect(arrivals).to.equal(0);
  });

  it('breaks off an answer that never ends at its bound, as a call that may have run', async () => {
    answer = (res) => writeWithoutEnd(res);
    const reasons: string[] = [];
    service.onDidFailCall(({ attempt, reason }) => reasons.push(`${attempt} ${reason}`));
    const failure = (await call()).unwrapErr();
    expect(failure.run).to.equal(RunState.Unknown);
    expect(writtenBytes).to.be.below(maxWrittenBytes);
    expect(reasons).to.deep.equal([`a.1 answer exceeds ${maxAnswerBytes} bytes`]);
  });

  it('breaks off a head that never ends, as a call that may have run', async () => {
    answer = (res) => {
      res.socket?.write('HTTP/1.1 200 OK\r\n');
      const writeHeaders = (): void => {
        while (res.socket && !res.socket.destroyed && writtenBytes <= maxWrittenBytes) {
          writtenBytes += chunk.length;
          if (!res.socket.write(`x-filler: ${'x'.repeat(chunk.length)}\r\n`)) {
            res.socket.once('drain', writeHeaders);
            return;
          }
        }
        res.socket?.destroy();
      };
      writeHeaders();
    };
    const failure = (await call()).unwrapErr();
    expect(failure.run).to.equal(RunState.Unknown);
    expect(writtenBytes).to.be.below(maxWrittenBytes);
  });

  it('passes a large answer below the bound on whole', async () => {
    const body = Buffer.alloc(maxAnswerBytes, 'y');
    answer = (res) => res.end(body);
    const { status, body: received } = (await call()).unwrap();
    expect(status).to.equal(200);
    expect(Buffer.from(received).equals(body)).to.equal(true);
  });

  it('says of a call that could not be sent that it has not run', async () => {
    server.close();
    const failure = (await call()).unwrapErr();
    expect(failure.run).to.equal(RunState.NotRun);
  });

  it('gives a call up that is cancelled or late, as one that may have run', async () => {
    answer = () => undefined;
    const controller = new AbortController();
    const cancelled = service.call(message, controller.signal);
    const late = service.call({ ...message, remainingMs: 50 }, new AbortController().signal);
    expect((await late).unwrapErr().run).to.equal(RunState.Unknown);
    controller.abort();
    expect((await cancelled).unwrapErr().run).to.equal(RunState.Unknown);
  });

  it('is reachable while it answers, whatever the status', async () => {
    answer = (res) => res.writeHead(500).end();
    expect(await service.isReachable(1_000)).to.equal(true);
    answer = () => undefined;
    expect(await service.isReachable(50)).to.equal(false);
  });

  it('gets all headers of a name, below the path of its URL', async () => {
    const { port } = server.address() as AddressInfo;
    const below = new HttpPlainService(
      `http://127.0.0.1:${port}/api/`,
      100,
      createTestIntake(),
      new SystemClock(),
    );
    answer = (res) => {
      const { url, rawHeaders } = res.req;
      res.end(`${url} ${rawHeaders.filter((_text, index) => rawHeaders[index - 1] === 'x-a')}`);
    };
    const headers = [
      ['x-a', '1'],
      ['x-a', '2'],
    ] as const;
    const { body } = (
      await below.call({ ...message, headers }, new AbortController().signal)
    ).unwrap();
    await below.close();
    expect(Buffer.from(body).toString()).to.equal('/api/book 1,2');
  });
});
