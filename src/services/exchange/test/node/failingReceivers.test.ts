import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '../../../../base/node/systemClock.js';
import type { LogFields } from '../../../../base/common/logger.js';
import { deriveAnswerBounds } from '../../common/answerBounds.js';
import { AnswerCut } from '../../common/answerCut.js';
import { AnswerIntake } from '../../node/answerIntake.js';
import { EndpointSender, ExchangeFault, type IAnswerSink } from '../../node/endpointSender.js';

const request = { method: 'GET', target: '/', headers: [], body: undefined, maxIdleMs: 1_000 };

type Call = keyof IAnswerSink;

/** Sink that throws in one of its calls, and settles with the fault that it was told or the end. */
function createSink(failing: Call | undefined, settle: (outcome: string) => void): IAnswerSink {
  const failIn = (call: Call) => {
    if (call === failing) {
      throw new Error(`planted in ${call}`);
    }
  };
  return {
    onHead: () => failIn('onHead'),
    onData: () => {
      failIn('onData');
      return true;
    },
    onEnd: () => {
      failIn('onEnd');
      settle('complete');
    },
    onError: (_reason, _wasSent, fault) => {
      settle(fault);
      failIn('onError');
    },
  };
}

describe('a receiver of an answer that throws an exception', () => {
  let server: Server;
  let address: string;
  let sender: EndpointSender;
  let cuts: AnswerCut[];
  let lines: LogFields[];

  beforeEach(async () => {
    server = createServer((req, res) => {
      if (req.url === '/reset') {
        res.destroy();
        return;
      }
      res.write('first');
      setTimeout(() => res.end('last'), 5);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    cuts = [];
    lines = [];
    const intake = new AnswerIntake(
      deriveAnswerBounds({}, 160_000_000),
      (cut) => cuts.push(cut),
      new SystemClock(),
      { log: (_level, event, fields) => lines.push({ event, ...fields }) },
    );
    sender = new EndpointSender({ maxConnections: 64, intake }, new SystemClock());
  });

  afterEach(async () => {
    await sender.close();
    server.close();
    server.closeAllConnections();
  });

  const send = (failing: Call | undefined, target = '/') =>
    new Promise<string>((resolve) => {
      sender.send(address, { ...request, target }, createSink(failing, resolve));
    });

  (['onHead', 'onData', 'onEnd', 'onError'] as const).forEach((call) => {
    // Guards against an exception that ends the process, is lost, or leaves its caller without an answer.
    it(`ends its own exchange alone, counted and logged (${call})`, async () => {
      const others = Array.from({ length: 20 }, () => send(undefined));
      const outcome = await send(call, call === 'onError' ? '/reset' : '/');
      const isToldBefore = call === 'onError';
      expect(outcome).to.equal(isToldBefore ? ExchangeFault.Connection : ExchangeFault.Receiver);
      expect(await Promise.all(others)).to.deep.equal(others.map(() => 'complete'));
      expect(await send(undefined)).to.equal('complete');
      expect(cuts).to.deep.equal([AnswerCut.Receiver]);
      expect(lines[0]).to.include({ event: 'answer-receiver-failed', origin: `http://${address}` });
      expect(lines[0].stack).to.contain('failingReceivers.test');
    });
  });
});
