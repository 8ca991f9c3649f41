import { once } from 'node:events';
import { connect as openConnection, type Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'chai';
import { SystemClock } from '../../../../base/node/systemClock.js';
import type { AnswerCut } from '../../../exchange/common/answerCut.js';
import { createAnswerIntake, type AnswerIntake } from '../../../exchange/node/answerIntake.js';
import { deriveBounds } from '../../../intake/common/intakeBounds.js';
import { CallerIntake } from '../../../intake/node/callerIntake.js';
import { InstanceRole } from '../../../instances/common/instance.js';
import { RunState } from '../../../problem/common/problem.js';
import {
  FailureReason,
  linkVersion,
  MessageKind,
  type CallResultMessage,
  type HeartbeatMessage,
  type HelloMessage,
  type LinkMessage,
} from '../../common/messages.js';
import { connect } from '../../node/connect.js';
import type { Link } from '../../node/link.js';
import { LinkServer } from '../../node/linkServer.js';

const timing = { heartbeatMs: 20, deadlineMs: 120 };

function createHello(instance: string): HelloMessage {
  return {
    kind: MessageKind.Hello,
    version: linkVersion,
    instance,
    incarnation: `${instance}-1`,
    role: InstanceRole.Agent,
    place: 'ragusa',
    region: 'sicilia-est',
    revision: 0,
  };
}

const createHeartbeat = (): HeartbeatMessage => ({ kind: MessageKind.Heartbeat, revision: 7 });

function nextMessage(link: Link, kind: MessageKind): Promise<LinkMessage> {
  return new Promise((resolve) => {
    const subscription = link.onDidReceive((message) => {
      if (message.kind === kind) {
        subscription.close();
        resolve(message);
      }
    });
  });
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await setImmediate();
  }
}

describe('Link', () => {
  let server: LinkServer;
  let port: number;

  beforeEach(async () => {
    server = new LinkServer(timing, () => createHello('server'), createHeartbeat);
    port = await server.listen('127.0.0.1', 0);
  });

  afterEach(() => server.close());

  async function openLink(address: string, answers?: AnswerIntake): Promise<Link> {
    const options = {
      address,
      timing,
      hello: createHello('client'),
      createHeartbeat,
      timeoutMs: 5_000,
      answers,
    };
    return (await connect(options)).unwrap();
  }

  it('delivers messages of different kinds in order, after the hellos', async () => {
    const accepted = new Promise<Link>((resolve) => {
      server.onDidAccept(resolve);
    });
    const client = await openLink(`127.0.0.1:${port}`);
    const peer = await accepted;
    expect(client.peer?.instance).to.equal('server');
    expect(peer.peer?.instance).to.equal('client');
    const received: LinkMessage[] = [];
    const leavingReceived = nextMessage(peer, MessageKind.Leaving);
    peer.onDidReceive((message) => received.push(message));
    const sent: LinkMessage[] = Array.from({ length: 50 }, (_unused, index) =>
      index % 2 === 0
        ? {
            kind: MessageKind.Step,
            attempt: `a${index}`,
            epoch: 1,
            stage: 0,
            step: index,
            data: [index],
          }
        : {
            kind: MessageKind.AttemptFailed,
            attempt: `a${index}`,
            epoch: 1,
            reason: FailureReason.Busy,
            run: RunState.NotRun,
            endpoint: 'e',
          },
    );
    sent.forEach((message) => client.send(message));
    client.send({ kind: MessageKind.Leaving });
    await leavingReceived;
    const kinds = new Set([MessageKind.Step, MessageKind.AttemptFailed]);
    expect(received.filter((message) => kinds.has(message.kind))).to.deep.equal(sent);
    client.close();
  });

  it('returns an error if the peer does not accept connections', async () => {
    server.close();
    const options = {
      address: `127.0.0.1:${port}`,
      timing,
      hello: createHello('client'),
      createHeartbeat,
    };
    const result = await connect({ ...options, timeoutMs: 5_000 });
    expect(result.isErr()).to.equal(true);
  });

  it('delivers answers of the largest size that come on many links at once, within the account', async () => {
    const clock = new SystemClock();
    const logger = { log: () => undefined };
    const cuts: AnswerCut[] = [];
    const answers = createAnswerIntake(
      { answerMemoryMb: 8 },
      (cut) => cuts.push(cut),
      clock,
      logger,
    );
    let peakBytes = 0;
    const timer = setInterval(() => {
      peakBytes = Math.max(peakBytes, answers.use.smallBodyBytes + answers.use.largeBodyBytes);
    }, 1);
    const peers: Link[] = [];
    server.onDidAccept((link) => peers.push(link));
    const clients = await Promise.all(
      Array.from({ length: 20 }, () => openLink(`127.0.0.1:${port}`, answers)),
    );
    const body = Buffer.alloc(2_097_152, 'a');
    const received = clients.map((client) => nextMessage(client, MessageKind.CallResult));
    const answer = { status: 200, headers: [], body };
    const run = RunState.Ran;
    await waitFor(() => peers.length === clients.length);
    peers.forEach((peer) => peer.send({ kind: MessageKind.CallResult, attempt: 'a', answer, run }));
    const messages = (await Promise.all(received)) as CallResultMessage[];
    messages.forEach((message) =>
      expect(Buffer.compare(Buffer.from(message.answer?.body ?? []), body)).to.equal(0),
    );
    clearInterval(timer);
    answers.close();
    clients.forEach((client) => client.close());
    expect(cuts).to.deep.equal([]);
    expect(peakBytes).to.be.within(2_000_000, 10_000_000);
  });

  describe('beside callers that misbehave', () => {
    let intake: CallerIntake;

    beforeEach(async () => {
      server.close();
      const bounds = deriveBounds({ callerMemoryMb: 4, maxCallerConnections: 20 }, 160_000_000);
      intake = new CallerIntake(bounds, () => undefined, new SystemClock(), {
        log: () => undefined,
      });
      server = new LinkServer(timing, () => createHello('server'), createHeartbeat, intake);
      port = await server.listen('127.0.0.1', 0);
    });

    afterEach(() => intake.close());

    async function openSocket(bytes = ''): Promise<Socket> {
      const socket = openConnection({ host: '127.0.0.1', port });
      socket.on('error', () => undefined);
      await once(socket, 'connect');
      socket.write(bytes);
      return socket;
    }

    it('stays open while silent connections give way, past the time for heads', async () => {
      const client = await openLink(`127.0.0.1:${port}`);
      let hasEnded = false;
      client.onDidEnd(() => {
        hasEnded = true;
      });
      const half = await openSocket('GET / HTTP/1.1\r\nHost:');
      const crowd = await Promise.all(Array.from({ length: 60 }, () => openSocket()));
      await once(half, 'close');
      const another = await openLink(`127.0.0.1:${port}`);
      expect(intake.use.connections).to.be.at.most(20);
      await new Promise((resolve) => {
        setTimeout(resolve, 3_500);
      });
      expect(hasEnded).to.equal(false);
      crowd.forEach((socket) => socket.destroy());
      client.close();
      another.close();
    });

    it('refuses requests without an upgrade, and reads no more than a bound of their bodies', async () => {
      const socket = await openSocket(
        'POST / HTTP/1.1\r\nHost: agent\r\nContent-Length: 100000000\r\n\r\n',
      );
      const received = once(socket, 'data');
      socket.write(Buffer.alloc(8_000_000));
      expect(String(await received)).to.match(/^HTTP\/1\.1 426 /);
      // The caller's later writes fail, which `once` would report as its own error.
      await new Promise((resolve) => {
        socket.once('close', resolve);
      });
      expect(intake.use.largeBodyBytes).to.equal(0);
    });
  });
});
