import { fork, type ChildProcess } from 'node:child_process';
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { setImmediate, setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { pack } from 'msgpackr';

/** Limits of the smallest deployed process. */
const flags = ['--max-old-space-size=160', '--max-semi-space-size=4'];
const maxResidentBytes = 250_000_000;

/** Largest delay of a timer: an interval of the messages between gateways. */
const maxDelayMs = 100;

const floodMs = 3_000;
const datagramBytes = 65_000;
/** Each of 64 unlisted senders is heard and lost once; other lines are limited to a few per second. */
const maxLogLines = 200;

interface Report {
  readonly delayMs: number;
  readonly residentBytes: number;
  readonly honestCount: number;
  readonly lineCount: number;
  readonly knownCount: number;
}

function messageOf(sender: string, loads: unknown): Buffer {
  return pack([sender, 1, loads, [], [], 0]);
}

function arrayOf(count: number, byte: number): Buffer {
  const head = Buffer.from([0xdd, 0, 0, 0, 0]);
  head.writeUInt32BE(count, 1);
  return Buffer.concat([head, Buffer.alloc(count, byte)]);
}

let senderCount = 0;
const load = ['127.0.0.1:1', 1, 1, 1, 1];
const loads = Array.from({ length: 3_000 }, () => load);

/** Datagrams that a faulty peer sends without end. */
const floods: readonly { readonly name: string; readonly create: () => Buffer }[] = [
  {
    name: 'messages with thousands of fields of the wrong type',
    create: () =>
      messageOf(
        'faulty',
        Array.from({ length: 60_000 }, () => 1),
      ),
  },
  { name: 'messages with thousands of loads', create: () => messageOf('faulty', loads) },
  { name: 'arrays of empty maps', create: () => arrayOf(datagramBytes, 0x80) },
  { name: 'nested arrays', create: () => Buffer.alloc(datagramBytes, 0x91) },
  { name: 'bytes that are no message', create: () => Buffer.alloc(10, 0xc1) },
  {
    name: 'messages of ever new senders',
    create: () => {
      senderCount += 1;
      return messageOf(`sender-${senderCount}`, []);
    },
  },
].map(({ name, create }) => {
  const datagrams = Array.from({ length: name.endsWith('senders') ? 50_000 : 1 }, create);
  let index = 0;
  return {
    name,
    create: () => {
      index = (index + 1) % datagrams.length;
      return datagrams[index];
    },
  };
});

describe('PeerExchange beside a peer that sends datagrams without end', () => {
  let child: ChildProcess;
  let port: number;
  let reports: Report[];
  let sockets: Socket[];
  let isOver: boolean;

  beforeEach(async () => {
    const program = fileURLToPath(new URL('peerExchangeMain.js', import.meta.url));
    child = fork(program, { execArgv: flags });
    const [message] = (await once(child, 'message')) as [{ readonly port: number }];
    port = message.port;
    reports = [];
    isOver = false;
    sockets = [createSocket('udp4'), createSocket('udp4')];
    await sleep(200);
    child.on('message', (report: Report) => reports.push(report));
  });

  afterEach(() => {
    isOver = true;
    sockets.forEach((socket) => socket.close());
    child.kill('SIGKILL');
  });

  async function flood(socket: Socket, create: () => Buffer): Promise<void> {
    const target = port;
    while (!isOver) {
      for (let count = 0; count < 32; count += 1) {
        socket.send(create(), target, '127.0.0.1', () => undefined);
      }
      await setImmediate();
    }
  }

  floods.forEach(({ name, create }) => {
    it(`keeps its timers on time and hears others: ${name}`, async () => {
      const [faulty, honest] = sockets;
      honest.bind(0, '127.0.0.1');
      await once(honest, 'listening');
      child.send(honest.address().port);
      void flood(faulty, create);
      const honestTimer = setInterval(
        () => honest.send(messageOf('honest', [load]), port, '127.0.0.1'),
        50,
      );
      await sleep(floodMs);
      clearInterval(honestTimer);
      const delayMs = Math.max(...reports.map((report) => report.delayMs));
      const residentBytes = Math.max(...reports.map((report) => report.residentBytes));
      const { honestCount, lineCount, knownCount } = reports[reports.length - 1];
      if (process.env.LINK_FIGURES !== undefined) {
        process.stdout.write(
          `${name}: ${Math.round(delayMs)} ms, ${Math.round(residentBytes / 1e6)} MB, ` +
            `${honestCount} heard, ${lineCount} lines, ${knownCount} known\n`,
        );
      }
      expect(child.exitCode).to.equal(null);
      expect(delayMs).to.be.below(maxDelayMs);
      expect(residentBytes).to.be.below(maxResidentBytes);
      expect(honestCount).to.be.greaterThan(0);
      expect(lineCount).to.be.below(maxLogLines);
    });
  });
});
