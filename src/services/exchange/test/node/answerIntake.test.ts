import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { IClock, ITimers } from '../../../../base/common/clock.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { SystemClock } from '../../../../base/node/systemClock.js';
import type { AnswerBounds } from '../../common/answerBounds.js';
import type { AnswerIntake } from '../../node/answerIntake.js';
import { EndpointSender } from '../../node/endpointSender.js';
import { receiveWhole, type ExchangeError, type WholeAnswer } from '../../node/wholeAnswer.js';
import { createTestIntake } from './answerFixtures.js';

const request = { method: 'GET', target: '/', headers: [], body: undefined, maxIdleMs: 1_000 };

const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const maxBytes = 100_000;

/** Time within which a test's answers are given up, in milliseconds; well before the test's own end. */
const timeoutMs = 20_000;

describe('AnswerIntake', () => {
  let server: Server;

  let sender: EndpointSender;

  let intake: AnswerIntake;

  let address: string;

  /** What the endpoint writes for each request, in order; the last one for all further ones. */
  let answers: ((socket: Socket) => void)[];

  async function start(
    changes: Partial<AnswerBounds> = {},
    clock: IClock & ITimers = new SystemClock(),
  ): Promise<void> {
    intake = createTestIntake(changes, clock);
    sender = new EndpointSender({ maxConnections: 50, intake }, new SystemClock());
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        const [answer] = answers.length > 1 ? answers.splice(0, 1) : answers;
        answer(socket);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  afterEach(async () => {
    await sender.close();
    intake.close();
    server.close();
  });

  async function receive(): Promise<WholeAnswer | ExchangeError> {
    const bounds = { maxBytes, timeoutMs };
    const result = await receiveWhole(sender, address, request, bounds, new SystemClock());
    return result.isOk() ? result.value : result.error;
  }

  async function expectGivenUp(reason: string): Promise<void> {
    const error = (await receive()) as ExchangeError;
    expect(error.message).to.contain(reason);
    expect(intake.use).to.include({ incompleteBodies: 0, smallBodyBytes: 0, largeBodyBytes: 0 });
    expect(intake.use.heapBytes).to.equal(0);
  }

  const endless = (begin: string, repeated: string) => (socket: Socket) => {
    socket.write(begin);
    const write = (): void => {
      while (!socket.destroyed && socket.write(repeated)) {
        // Goes on until the buffer is full.
      }
    };
    socket.on('drain', write);
    write();
  };

  const endings: Readonly<Record<string, readonly [(socket: Socket) => void, string]>> = {
    'interim heads': [endless('', 'HTTP/1.1 103 Hints\r\n\r\n'.repeat(100)), 'interim-heads'],
    'fields of a head': [endless('HTTP/1.1 200 OK\r\n', 'a:\r\n'.repeat(1_000)), 'framing'],
    'a chunk extension': [endless(`${chunked}5;a=`, 'e'.repeat(4_096)), 'framing'],
    trailers: [endless(`${chunked}0\r\n`, 'T: t\r\n'.repeat(1_000)), 'framing'],
    'blank lines': [endless('', '\r\n'.repeat(2_048)), 'framing'],
    'a body': [endless(chunked, `1000\r\n${'x'.repeat(4_096)}\r\n`), 'exceeds'],
  };

  Object.entries(endings).forEach(([name, [answer, reason]]) => {
    it(`gives up ${name} without end`, async () => {
      answers = [answer];
      await start();
      await expectGivenUp(reason);
    });
  });

  it('gives up a body that states more than its largest size before it has arrived', async () => {
    answers = [(socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\nx')];
    await start();
    await expectGivenUp('exceeds');
  });

  it('passes on a body in chunks of one byte, and frees its memory', async () => {
    answers = [(socket) => socket.write(`${chunked}${'1\r\nx\r\n'.repeat(5_000)}0\r\n\r\n`)];
    await start();
    const { body } = (await receive()) as WholeAnswer;
    expect(body.toString()).to.equal('x'.repeat(5_000));
    expect(intake.use).to.include({ incompleteBodies: 0, smallBodyBytes: 0, largeBodyBytes: 0 });
  });

  it('lets an answer pause for as long as its request may take while there is room', async () => {
    let socket!: Socket;
    answers = [
      (each) => {
        socket = each;
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no');
      },
    ];
    const clock = new FakeClock();
    await start({}, clock);
    const answer = receive();
    while (intake.use.smallBodyBytes === 0) {
      await sleep(10);
    }
    clock.advance(15_000);
    socket.write('k');
    expect(((await answer) as WholeAnswer).body?.toString()).to.equal('ok');
  });

  it('gives up held bodies when others need their memory, and passes on those', async () => {
    const sized = `HTTP/1.1 200 OK\r\nContent-Length: ${maxBytes}\r\n\r\n`;
    const held = (socket: Socket) => socket.write(sized + 'x'.repeat(maxBytes - 1));
    const whole = (socket: Socket) => socket.write(sized + 'x'.repeat(maxBytes));
    answers = [held, held, whole];
    // Room for two such bodies.
    await start({
      memoryBytes: 300_000,
      smallBodyMemoryBytes: 50_000,
      yieldMs: 100,
      stallMs: 1_000,
    });
    const [first, second, third] = await Promise.all([receive(), receive(), receive()]);
    const yielded = [first, second].filter((each) => 'message' in each);
    expect(yielded).to.have.length.of.at.least(1);
    expect((third as WholeAnswer).body).to.have.length(maxBytes);
  });

  it('spares an answer with a head of moderate size when later heads use too much of the heap', async () => {
    const large = `X-Large: ${'x'.repeat(5_000)}`;
    const sound = (socket: Socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${large}\r\nContent-Length: 2\r\n\r\no`);
      setTimeout(() => socket.write('k'), 500);
    };
    const partial = (socket: Socket) =>
      socket.write(`HTTP/1.1 200 OK\r\n${'a:\r\n'.repeat(1_000)}`);
    answers = [sound, partial];
    await start({ heapBytes: 400_000 });
    const first = receive();
    await sleep(100);
    const others = [receive(), receive()];
    expect(((await first) as WholeAnswer).body?.toString()).to.equal('ok');
    await sender.close();
    await Promise.all(others);
  });

  it('closes the connections that hold heads for longest when all heads use too much', async () => {
    const partial = (socket: Socket) =>
      socket.write(`HTTP/1.1 200 OK\r\n${'a:\r\n'.repeat(1_000)}`);
    const whole = (socket: Socket) =>
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    answers = [partial, partial, whole];
    await start({ heapBytes: 400_000 });
    const first = receive();
    const second = receive();
    expect(((await first) as ExchangeError).message).to.contain('heap');
    expect(((await receive()) as WholeAnswer).body.toString()).to.equal('ok');
    await sender.close();
    expect(await second).to.have.property('message');
  });
});
