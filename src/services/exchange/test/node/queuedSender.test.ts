import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '../../../../base/node/systemClock.js';
import { QueuedSender } from '../../node/queuedSender.js';
import { CallEnd, receiveWhole } from '../../node/wholeAnswer.js';
import { createTestIntake } from './answerFixtures.js';

const maxExchanges = 2;
const maxWaiting = 2;

describe('QueuedSender', () => {
  let server: Server;
  let address: string;
  let sender: QueuedSender;
  let held: ServerResponse[];

  const call = (target: string, timeoutMs: number | undefined = undefined, signal?: AbortSignal) =>
    receiveWhole(
      sender,
      address,
      { method: 'GET', target, headers: [], body: undefined, maxIdleMs: 1_000 },
      { maxBytes: 100, timeoutMs, signals: signal ? [signal] : [] },
      new SystemClock(),
    );

  async function waitUntilHeld(count: number): Promise<void> {
    while (held.length < count) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }

  beforeEach(async () => {
    held = [];
    server = createServer((_req, res) => held.push(res));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const intake = createTestIntake();
    sender = new QueuedSender({ maxExchanges, maxWaiting, intake }, new SystemClock());
  });

  afterEach(async () => {
    await sender.close();
    server.close();
    server.closeAllConnections();
  });

  it('keeps no more requests in progress or waiting than its bounds', async () => {
    const calls = [1, 2, 3, 4].map((index) => call(`/${index}`));
    await waitUntilHeld(maxExchanges);
    const refused = (await call('/5')).unwrapErr();
    expect(refused.wasSent).to.equal(false);
    for (let answered = 0; answered < calls.length; answered += 1) {
      await waitUntilHeld(answered + 1);
      expect(held.length).to.be.at.most(answered + maxExchanges);
      held[answered].end();
    }
    expect((await Promise.all(calls)).every((each) => each.isOk())).to.equal(true);
  });

  // Guards against a client whose assertion ends the process, since a request was started on a failed connection.
  it('starts the next request on a new connection if one was refused', async () => {
    await new Promise((resolve) => {
      server.close(resolve);
    });
    for (let round = 0; round < 20; round += 1) {
      const calls = [1, 2, 3, 4].map((index) => call(`/${index}`));
      const errors = (await Promise.all(calls)).map((each) => each.unwrapErr());
      errors.forEach(({ end, wasSent }) => {
        expect(end).to.equal(CallEnd.Failed);
        expect(wasSent).to.equal(false);
      });
    }
  });

  it('passes the turn on of a request that was given up, in progress or waiting', async () => {
    const cancel = new AbortController();
    const calls = [call('/1', 50), call('/2', 50), call('/3', undefined, cancel.signal)];
    const last = call('/4');
    cancel.abort();
    const ends = (await Promise.all(calls)).map((each) => each.unwrapErr().end);
    expect(ends).to.deep.equal([CallEnd.Timeout, CallEnd.Timeout, CallEnd.Aborted]);
    await waitUntilHeld(maxExchanges + 1);
    held[maxExchanges].end();
    expect((await last).isOk()).to.equal(true);
  });

  it('fails all requests when it is closed', async () => {
    const calls = [1, 2, 3].map((index) => call(`/${index}`));
    await waitUntilHeld(maxExchanges);
    await sender.close();
    expect((await Promise.all(calls)).every((each) => each.isErr())).to.equal(true);
    expect((await call('/late')).isErr()).to.equal(true);
    expect(held.length).to.equal(maxExchanges);
  });

  it('lets requests in progress end before it closes when idle', async () => {
    const pending = call('/1');
    await waitUntilHeld(1);
    const closed = sender.closeWhenIdle();
    held[0].end();
    expect((await pending).isOk()).to.equal(true);
    await closed;
    expect((await call('/late')).isErr()).to.equal(true);
  });

  // Guards against requests that are sent on a connection which is about to close.
  it('serves requests that wait although each connection closes after its answer', async () => {
    server.removeAllListeners('request');
    server.on('request', (_req, res: ServerResponse) => {
      res.setHeader('connection', 'close');
      res.end('whole');
    });
    for (let round = 0; round < 10; round += 1) {
      const calls = [1, 2, 3, 4].map((index) => call(`/${index}`));
      const bodies = (await Promise.all(calls)).map((each) => each.unwrap().body.toString());
      expect(bodies).to.deep.equal(['whole', 'whole', 'whole', 'whole']);
    }
  });
});
