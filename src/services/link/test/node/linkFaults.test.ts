import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import type { Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { pack, Packr } from 'msgpackr';
import { InstanceRole } from '../../../instances/common/instance.js';
import { linkVersion, MessageKind } from '../../common/messages.js';
import { frameHead, Opcode, openRawClient, startRawServer, writeForever } from './rawPeers.js';

/** Limits of the smallest deployed process. */
const flags = ['--max-old-space-size=160', '--max-semi-space-size=4'];
const maxResidentBytes = 250_000_000;

/** Largest delay of a timer: a third of the usual time between heartbeats and their deadline. */
const maxDelayMs = 300;

const peerCount = 50;
const attackMs = 2_000;
const heldBytes = 16 * 1_048_576;

const hello = {
  kind: MessageKind.Hello,
  version: linkVersion,
  instance: 'peer',
  incarnation: 'peer-1',
  role: InstanceRole.Entry,
  place: 'ragusa',
  region: 'sicilia-est',
  revision: 0,
};

interface Report {
  readonly delayMs: number;
  readonly residentBytes: number;
}

/** What a faulty peer writes; `isMasked` is set if it is the client. */
interface Attack {
  readonly name: string;
  readonly sendsHello: boolean;
  readonly write: (socket: Socket, isMasked: boolean) => void;
}

function frame(payload: Buffer, isMasked: boolean): Buffer {
  return Buffer.concat([frameHead(Opcode.Binary, true, payload.length, isMasked), payload]);
}

/** Writes one frame. */
function whole(payload: Buffer): Attack['write'] {
  return (socket, isMasked) => socket.write(frame(payload, isMasked));
}

/** Writes one array head of 32 bits, and the same element again and again. */
function longArray(element: Buffer, count: number): Buffer {
  const head = Buffer.alloc(5);
  head[0] = 0xdd;
  head.writeUInt32BE(count, 1);
  return Buffer.concat([head, Buffer.alloc(element.length * count, element)]);
}

/** Writes the same control or data frames without end. */
function forever(opcode: Opcode, isFinal: boolean, payload: Buffer): Attack['write'] {
  return (socket, isMasked) => {
    const one = Buffer.concat([frameHead(opcode, isFinal, payload.length, isMasked), payload]);
    writeForever(socket, Buffer.alloc(one.length * 4_096, one));
  };
}

/** Begins a frame and stops short of its end. */
function unfinished(bytes: number): Attack['write'] {
  return (socket, isMasked) => {
    socket.write(frameHead(Opcode.Binary, true, bytes, isMasked));
    socket.write(Buffer.alloc(bytes - 1));
  };
}

function pinnedFragments(socket: Socket, isMasked: boolean): void {
  const ping = Buffer.concat([frameHead(Opcode.Ping, true, 125, isMasked), Buffer.alloc(125)]);
  const part = Buffer.concat([
    frameHead(Opcode.Continuation, false, 1, isMasked),
    Buffer.alloc(1),
    Buffer.alloc(ping.length * 512, ping),
  ]);
  socket.write(Buffer.concat([frameHead(Opcode.Binary, false, 1, isMasked), Buffer.alloc(1)]));
  writeForever(socket, part);
}

const heartbeat = { kind: MessageKind.Heartbeat, revision: 1 };
const tinyMessages = new Packr({ sequential: true }).pack(
  Array.from({ length: 1_000_000 }, () => heartbeat),
);

const attacks: readonly Attack[] = [
  ...[false, true].map((sendsHello) => ({
    name: `unfinished frames ${sendsHello ? 'after' : 'before'} the hello`,
    sendsHello,
    write: unfinished(heldBytes),
  })),
  ...[
    { name: 'unfinished frames of a legal size', write: unfinished(2_000_000) },
    { name: 'fragments of one byte', write: forever(Opcode.Continuation, false, Buffer.alloc(1)) },
    { name: 'fragments between pings', write: pinnedFragments },
    { name: 'nested arrays', write: whole(Buffer.alloc(1_000_000, 0x91)) },
    { name: 'an array of empty maps', write: whole(longArray(Buffer.from([0x80]), 8_000_000)) },
    {
      name: 'an array that claims 4,294,967,295 elements',
      write: whole(Buffer.from('ddffffffff', 'hex')),
    },
    {
      name: 'a map that claims 4,294,967,295 entries',
      write: whole(Buffer.from('dfffffffff', 'hex')),
    },
    {
      name: 'a string that claims 4,294,967,295 bytes',
      write: whole(Buffer.from('91dbffffffff', 'hex')),
    },
    { name: 'a message that is null', write: whole(pack([null])) },
    { name: 'a batch that is a number', write: whole(pack(7)) },
    { name: 'a million tiny messages', write: whole(tinyMessages) },
    { name: 'pings', write: forever(Opcode.Ping, true, Buffer.alloc(0)) },
    { name: 'pongs', write: forever(Opcode.Pong, true, Buffer.alloc(0)) },
    { name: 'empty frames', write: forever(Opcode.Binary, true, Buffer.alloc(0)) },
    { name: 'empty batches', write: forever(Opcode.Binary, true, Buffer.from([0x90])) },
    { name: 'frames of one heartbeat', write: forever(Opcode.Binary, true, pack([heartbeat])) },
  ].map((attack) => ({ ...attack, sendsHello: true })),
];

/** What a faulty server writes instead of the head of its answer. */
const heads = [
  { name: 'a field without end', begin: 'HTTP/1.1 101 S\r\nA: ', again: 'a'.repeat(65_536) },
  { name: 'fields without end', begin: 'HTTP/1.1 101 S\r\n', again: 'A: b\r\n'.repeat(10_000) },
  { name: 'interim heads without end', begin: '', again: 'HTTP/1.1 103 E\r\n\r\n'.repeat(4_000) },
  {
    name: 'a body without end',
    begin: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    again: '1\r\na\r\n'.repeat(10_000),
  },
];

describe('Process with links to peers that misbehave', () => {
  let child: ChildProcess;
  let port: number;
  let peakBytes = 0;
  let peakDelayMs = 0;
  const sockets: Socket[] = [];
  const servers: Server[] = [];

  beforeEach(async () => {
    const program = fileURLToPath(new URL('linkProcessMain.js', import.meta.url));
    child = fork(program, { execArgv: flags, stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
    const [message] = (await once(child, 'message')) as [{ readonly port: number }];
    port = message.port;
    await sleep(200);
    peakBytes = 0;
    peakDelayMs = 0;
    child.on('message', ({ delayMs, residentBytes }: Report) => {
      peakBytes = Math.max(peakBytes, residentBytes);
      peakDelayMs = Math.max(peakDelayMs, delayMs);
    });
  });

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    servers.splice(0).forEach((server) => server.close());
    child.kill('SIGKILL');
  });

  async function expectCalm(name: string): Promise<void> {
    await sleep(attackMs);
    const hasExited = child.exitCode !== null || child.signalCode !== null;
    if (process.env.LINK_FIGURES !== undefined) {
      const memory = `${Math.round(peakBytes / 1e6)} MB`;
      process.stdout.write(
        `${name}: exited=${hasExited} ${memory}, ${Math.round(peakDelayMs)} ms\n`,
      );
    }
    expect(hasExited, 'the process ended').to.equal(false);
    expect(peakBytes).to.be.below(maxResidentBytes);
    expect(peakDelayMs).to.be.below(maxDelayMs);
  }

  attacks.forEach(({ name, sendsHello, write }) => {
    it(`lives and keeps its timers on time as a server: ${name}`, async () => {
      for (let index = 0; index < peerCount; index += 1) {
        const socket = await openRawClient(port);
        sockets.push(socket);
        if (sendsHello) {
          socket.write(frame(new Packr({ sequential: true }).pack([hello]), true));
        }
        write(socket, true);
      }
      await expectCalm(`server, ${name}`);
    });

    it(`lives and keeps its timers on time as a client: ${name}`, async () => {
      const { server, address } = await startRawServer((socket, head) => {
        sockets.push(socket);
        socket.write(`${head}\r\n`);
        if (sendsHello) {
          socket.write(frame(new Packr({ sequential: true }).pack([hello]), false));
        }
        write(socket, false);
      });
      servers.push(server);
      Array.from({ length: peerCount }, () => child.send(address));
      await expectCalm(`client, ${name}`);
    });
  });

  heads.forEach(({ name, begin, again }) => {
    it(`lives and keeps its timers on time as a client: ${name}`, async () => {
      const { server, address } = await startRawServer((socket) => {
        sockets.push(socket);
        socket.write(begin);
        writeForever(socket, Buffer.from(again));
      });
      servers.push(server);
      Array.from({ length: peerCount }, () => child.send(address));
      await expectCalm(`client, ${name}`);
    });
  });
});
