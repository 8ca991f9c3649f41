import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '../../../../base/node/systemClock.js';
import { EndpointSender, type IAnswerSink } from '../../node/endpointSender.js';
import { createTestIntake } from './answerFixtures.js';

const request = { method: 'GET', target: '/', headers: [], body: undefined, maxIdleMs: 1_000 };

/** Returns a sink that reports `complete` or the error message when the exchange has ended. */
function sinkOf(onDone: (outcome: string) => void): IAnswerSink {
  return {
    onHead: () => undefined,
    onData: () => true,
    onEnd: () => onDone('complete'),
    onError: (reason) => onDone(reason),
  };
}

describe('EndpointSender', () => {
  let server: Server;
  let address: string;

  beforeEach(async () => {
    server = createServer((_req, res) => res.end('answer'));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it('does not count connections whose exchange was aborted before they were open', async () => {
    const sender = new EndpointSender(
      { maxConnections: 2, intake: createTestIntake() },
      new SystemClock(),
    );
    for (let count = 0; count < 3; count += 1) {
      sender
        .send(
          address,
          request,
          sinkOf(() => undefined),
        )
        .abort();
    }
    const outcome = await new Promise<string>((resolve) => {
      sender.send(address, request, sinkOf(resolve));
    });
    expect(outcome).to.equal('complete');
    sender.closeConnectionsTo(address);
    await sender.close();
  });

  it('aborts an exchange after the connections to its endpoint were closed', async () => {
    const rejections: unknown[] = [];
    const recordRejection = (reason: unknown) => rejections.push(reason);
    process.on('unhandledRejection', recordRejection);
    const sender = new EndpointSender(
      { maxConnections: 2, intake: createTestIntake() },
      new SystemClock(),
    );
    const beforeClose = sender.send(
      address,
      request,
      sinkOf(() => undefined),
    );
    sender.closeConnectionsTo(address);
    beforeClose.abort();
    const afterClose = sender.send(
      address,
      request,
      sinkOf(() => undefined),
    );
    afterClose.abort();
    sender.closeConnectionsTo(address);
    const outcome = await new Promise<string>((resolve) => {
      sender.send(address, request, sinkOf(resolve));
    });
    await sender.close();
    process.off('unhandledRejection', recordRejection);
    expect(outcome).to.equal('complete');
    expect(rejections).to.deep.equal([]);
  });
});
