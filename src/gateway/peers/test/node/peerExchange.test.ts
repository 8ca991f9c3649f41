import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { expect } from 'chai';
import { SystemClock } from '../../../../base/node/systemClock.js';
import { PeerExchange } from '../../node/peerExchange.js';

describe('PeerExchange', () => {
  it('rejects its start if another socket has bound the port', async () => {
    const other = createSocket('udp4');
    other.bind(0, '127.0.0.1');
    await once(other, 'listening');
    const exchange = new PeerExchange(
      { instance: 'gw', host: '127.0.0.1', port: other.address().port },
      () => {
        throw new Error('no message is sent');
      },
      () => undefined,
      () => undefined,
      new SystemClock(),
      { log: () => undefined },
    );
    const failure = await exchange.start().then(
      () => undefined,
      (err: Error) => err.message,
    );
    expect(failure).to.contain('EADDRINUSE');
    exchange.close();
    other.close();
  });
});
