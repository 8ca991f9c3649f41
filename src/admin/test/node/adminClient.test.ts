import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '../../../base/node/systemClock.js';
import {
  invalidStatuses,
  noStatuses,
  RawServer,
} from '../../../services/exchange/test/node/rawServer.js';
import { AdminClient } from '../../node/adminClient.js';

describe('AdminClient', () => {
  let server: Server;
  let client: AdminClient;

  beforeEach(async () => {
    server = createServer((req, res) => {
      const { authorization } = req.headers;
      let body = '';
      req.on('data', (data: Buffer) => {
        body += data.toString();
      });
      req.on('end', () => {
        res.statusCode = authorization === 'Bearer key' ? 200 : 403;
        res.end(JSON.stringify({ detail: `${req.method} ${req.url} ${body}` }));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(async () => {
    await client.close();
    server.close();
    server.closeAllConnections();
  });

  function connectWith(key: string): void {
    const { port } = server.address() as AddressInfo;
    client = new AdminClient(`http://127.0.0.1:${port}/base/`, key, new SystemClock());
  }

  it('reads and writes below the path of its URL', async () => {
    connectWith('key');
    const read = await client.get<{ detail: string }>('status');
    expect(read.unwrap().detail).to.equal('GET /base/admin/v1/status ');
    const written = await client.put<{ detail: string }>('rules', { text: 'x' });
    expect(written.unwrap().detail).to.equal('PUT /base/admin/v1/rules {"text":"x"}');
  });

  // Guards against an answer of another program that is read as that of an entry.
  it('takes an answer whose status is none for none', async () => {
    for (const status of [...invalidStatuses, ...noStatuses]) {
      const raw = new RawServer(
        () => `HTTP/1.1 ${status} Answer\r\nContent-Length: 14\r\n\r\n{"status":409}`,
      );
      client = new AdminClient(`http://${await raw.listen()}`, 'key', new SystemClock());
      const error = (await client.put('rules', {})).unwrapErr();
      expect(error.details, status).to.equal(undefined);
      await client.close();
      raw.close();
    }
  });

  it('gives the details of a refusal, and an error without them if there is no answer', async () => {
    connectWith('other');
    const refused = (await client.get('status')).unwrapErr();
    expect(refused.details?.detail).to.equal('GET /base/admin/v1/status ');
    await new Promise((resolve) => {
      server.close(resolve);
      server.closeAllConnections();
    });
    expect((await client.get('status')).unwrapErr().details).to.equal(undefined);
  });
});
