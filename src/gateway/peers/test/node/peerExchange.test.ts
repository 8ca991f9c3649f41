import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { expect } from 'chai';
import { pack } from 'msgpackr';
import { sleep, SystemClock } from '../../../../base/node/systemClock.js';
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

  it('goes on after a message that could not be handled', async () => {
    const clock = new SystemClock();
    const received: string[] = [];
    const lines: string[] = [];
    const exchange = new PeerExchange(
      { instance: 'gw', host: '127.0.0.1', port: 0 },
      () => {
        throw new Error('no message is sent');
      },
      ({ sender }) => {
        received.push(sender);
        if (received.length === 1) {
          throw new Error('cannot be handled');
        }
      },
      () => undefined,
      clock,
      { log: (_level, event) => lines.push(event) },
    );
    const port = await exchange.start();
    const other = createSocket('udp4');
    for (let count = 0; received.length < 2 && count < 1_000; count += 1) {
      other.send(pack(['peer', 1, [], [], [], 0]), port, '127.0.0.1');
      await sleep(10, new AbortController().signal);
    }
    other.close();
    exchange.close();
    expect(received.length).to.be.greaterThan(1);
    expect(lines).to.include('peer-message-failed');
  });
});
