import { expect } from 'chai';
import { SystemClock } from '../../../../base/node/systemClock.js';
import { EndpointSender, ExchangeFault } from '../../node/endpointSender.js';
import { CallEnd, receiveWhole } from '../../node/wholeAnswer.js';
import { createTestIntake } from './answerFixtures.js';
import { invalidStatuses, noStatuses, RawServer } from './rawServer.js';

const req = { method: 'GET', target: '/', headers: [], body: undefined, maxIdleMs: 1_000 };
const bounds = { maxBytes: 1_000, timeoutMs: 5_000 };

const framings: Readonly<Record<string, string>> = {
  'with a length': 'Content-Length: 2\r\n\r\nok',
  'in chunks': 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
  'without an end': '\r\nok',
  'before a whole answer':
    'Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
};

describe('an answer whose status is none', () => {
  Object.entries(framings).forEach(([framing, rest]) => {
    // Guards against a receiver that passes on what the protocol has no meaning for, or waits for more of it.
    it(`is malformed at once (${framing})`, async () => {
      const clock = new SystemClock();
      for (const status of [...invalidStatuses, ...noStatuses]) {
        const server = new RawServer(() => `HTTP/1.1 ${status} Answer\r\n${rest}`);
        const address = await server.listen();
        const sender = new EndpointSender({ maxConnections: 2, intake: createTestIntake() }, clock);
        const answer = await receiveWhole(sender, address, req, bounds, clock);
        const error = answer.isErr() ? answer.error : undefined;
        expect(error?.end, status).to.equal(CallEnd.Failed);
        expect(error?.fault, status).to.equal(ExchangeFault.Malformed);
        await sender.close();
        server.close();
      }
    });
  });
});
