import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '../../../base/node/systemClock.js';
import { HttpPlainService } from '../../node/httpPlainService.js';
import { invalidStatuses, noStatuses } from '../../../services/exchange/test/node/rawServer.js';
import { createTestIntake } from '../../../services/exchange/test/node/answerFixtures.js';

const maxAnswerBytes = 1_000;

describe('HttpPlainService, of an answer that is broken off', () => {
  let server: Server;

  let service: HttpPlainService;

  const answerWith = async (action: (socket: Socket) => void): Promise<void> => {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => action(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    service = new HttpPlainService(
      `http://127.0.0.1:${port}`,
      maxAnswerBytes,
      createTestIntake(),
      new SystemClock(),
    );
  };

  const callService = () =>
    service.call(
      {
        attempt: 'a',
        method: 'GET',
        path: '/',
        headers: [],
        body: new Uint8Array(),
        remainingMs: 2_000,
      } as never,
      new AbortController().signal,
    );

  afterEach(async () => {
    await service.close();
    server.close();
  });

  const heads: Readonly<Record<string, string>> = {
    'in chunks': 'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    'in chunks, on a connection that closes':
      'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    'with a length, on a connection that closes':
      'Connection: close\r\nContent-Length: 8\r\n\r\nhalf',
  };

  Object.entries(heads).forEach(([framing, text]) => {
    it(`does not take it for complete (${framing})`, async () => {
      await answerWith((socket) => socket.end(`HTTP/1.1 200 OK\r\n${text}`));
      expect((await callService()).isErr()).to.equal(true);
    });
  });

  it('does not take it for complete (ending with its connection, reset)', async () => {
    await answerWith((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () =>
        socket.resetAndDestroy(),
      );
    });
    expect((await callService()).isErr()).to.equal(true);
  });

  // Guards against a service in trouble whose callers get an answer with a status that is none.
  it('takes none for an answer whose status is none', async () => {
    for (const status of [...invalidStatuses, ...noStatuses]) {
      await answerWith((socket) => {
        socket.write(`HTTP/1.1 ${status} Answer\r\nContent-Length: 5\r\n\r\nwhole`);
      });
      expect((await callService()).isErr(), status).to.equal(true);
      expect(await service.isReachable(1_000), status).to.equal(false);
      await service.close();
      server.close();
    }
    await answerWith((socket) => socket.end());
  });

  it('takes one for complete that ends with its connection, closed', async () => {
    await answerWith((socket) => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole'));
    const { body } = (await callService()).unwrap();
    expect(Buffer.from(body).toString()).to.equal('whole');
  });
});
