import type { Socket } from 'node:net';
import { expect } from 'chai';
import { WebSocket } from 'ws';
import { sleep } from '../../../base/node/systemClock.js';
import type { AgentProgram } from '../../../agent/node/agentProgram.js';
import type { EntryProgram } from '../../../entry/node/entryProgram.js';
import { InstanceRole } from '../../../services/instances/common/instance.js';
import {
  linkVersion,
  MessageKind,
  type CallMessage,
  type CallResultMessage,
} from '../../../services/link/common/messages.js';
import { Link } from '../../../services/link/node/link.js';
import { RunState } from '../../../services/problem/common/problem.js';
import { CallEnd } from '../../faults/common/records.js';
import { chat } from '../../node/caller.js';
import type { RunningProcess } from '../../node/processes.js';
import { DrainFleet, faultOf, host, organisation, play, waitUntil } from './drainFixtures.js';

const drainMs = 3_000;

/** Size of the largest frame, in bytes; three large answers may come in one. */
const maxFrameBytes = 16 * 1_048_576;

/** Longest time that the end may take beyond the drain time: links, and the records of the usage. */
const endSlackMs = 2_000;

/** Time for which a call that was sent may be on its way when the links close, in milliseconds. */
const crossingMs = 100;

/** Size of three answers that exceed the buffers of a connection, below the bound of a link, in bytes. */
const largeAnswerBytes = 2_000_000;

/** Time for which an entry reads nothing, below the time after which a silent peer is lost, in milliseconds. */
const readPauseMs = 1_200;

describe('calls to an agent that drains', () => {
  let fleet: DrainFleet;
  let agent: RunningProcess;
  let socket: WebSocket;
  let link: Link;
  let incarnation: string;
  let linkEndMs: number | undefined;

  const results = new Map<string, CallResultMessage>();

  const sentMs = new Map<string, number>();

  beforeEach(async () => {
    results.clear();
    sentMs.clear();
    linkEndMs = undefined;
    fleet = new DrainFleet();
    await fleet.start();
    agent = await fleet.addServiceAgentProcess(drainMs);
    const url = `ws://${host}:${agent.listenAddress}`;
    socket = new WebSocket(url, { perMessageDeflate: false, maxPayload: maxFrameBytes });
    let connection: Socket;
    socket.once('upgrade', (res) => {
      connection = res.socket;
    });
    await new Promise<void>((resolve) => {
      socket.once('open', () => {
        // At once, because the agent's hello may follow in the same turn of the event loop.
        const timing = { heartbeatMs: 200, deadlineMs: 5_000 };
        const linkSocket = { socket, connection, maxFrameBytes };
        link = new Link(linkSocket, timing, () => ({ kind: MessageKind.Heartbeat, revision: 0 }));
        resolve();
      });
    });
    link.send({
      kind: MessageKind.Hello,
      version: linkVersion,
      instance: 'e',
      incarnation: 'e-1',
      role: InstanceRole.Entry,
      place: 'p',
      region: 'r',
      revision: 0,
    });
    await waitUntil(() => link.peer !== undefined);
    incarnation = link.peer?.incarnation ?? '';
    link.onDidReceive((message) => {
      if (message.kind === MessageKind.CallResult) {
        results.set(message.attempt, message);
      }
    });
    link.onDidEnd(() => {
      linkEndMs = performance.now();
    });
  });

  afterEach(async () => {
    link.close();
    await fleet.close();
  });

  const send = (attempt: string, workMs: number, submission: boolean) => {
    const message: CallMessage = {
      kind: MessageKind.Call,
      attempt,
      incarnation,
      service: 'work',
      organisation,
      revision: 1,
      method: submission ? 'POST' : 'GET',
      path: `/${workMs}/${attempt}`,
      headers: [],
      body: new Uint8Array(),
      submission,
      remainingMs: 60_000,
    };
    sentMs.set(attempt, performance.now());
    link.send(message);
  };

  it('are answered or refused as not run, also if entries send them until the end', async () => {
    let count = 0;
    const sendNext = () => {
      count += 1;
      const workMs = [30, 400, 1_500, 60_000][count % 4];
      send(`a${count}`, workMs, count % 3 === 0);
      return sleep(5);
    };
    while (count < 50) {
      await sendNext();
    }
    const startedMs = performance.now();
    agent.signal('SIGTERM');
    while (linkEndMs === undefined) {
      await sendNext();
    }
    const endedMs: number = linkEndMs;
    await agent.waitForExit();
    expect(performance.now() - startedMs).to.be.below(drainMs + endSlackMs);
    const { runs } = fleet.service;
    const unanswered = [...sentMs].filter(
      ([attempt, atMs]) =>
        !results.has(attempt) && (runs.has(attempt) || endedMs - atMs > crossingMs),
    );
    expect(unanswered.map(([attempt]) => attempt)).to.deep.equal([]);
    const untrue = [...results.values()].filter(
      ({ attempt, run }) => (run === RunState.NotRun) === runs.has(attempt),
    );
    expect(untrue).to.deep.equal([]);
    expect([...runs].filter(([, times]) => times > 1)).to.deep.equal([]);
    const ended = [...results.values()].map(({ run }) => run);
    expect(ended).to.include.members([RunState.Ran, RunState.NotRun, RunState.Unknown]);
  });

  it('have reached an entry that reads late when the agent ends', async () => {
    fleet.service.fillerBytes = largeAnswerBytes;
    const attempts = ['a1', 'a2', 'a3'];
    attempts.forEach((attempt) => send(attempt, 300, true));
    await waitUntil(() => fleet.service.runs.size === attempts.length);
    socket.pause();
    agent.signal('SIGTERM');
    await sleep(readPauseMs);
    socket.resume();
    await waitUntil(() => linkEndMs !== undefined);
    expect([...results.keys()].sort()).to.deep.equal(attempts);
  });

  it('of callers of an entry are answered, or refused as not run', async () => {
    const entry = await fleet.addEntry(1_000, 1);
    const played: ReturnType<typeof play>[] = [];
    const callUntilExit = async (): Promise<void> => {
      while (agent.isRunning) {
        const id = `c${played.length}`;
        const path = `/services/work/${[30, 200][played.length % 2]}/${id}`;
        const call = play(entry.port, {
          id,
          path,
          ...(played.length % 3 === 0 ? {} : { key: id }),
        });
        played.push(call);
        await call;
      }
    };
    const callers = Array.from({ length: 16 }, callUntilExit);
    await sleep(300);
    agent.signal('SIGTERM');
    await Promise.all(callers);
    const all = await Promise.all(played);
    const faults = all.flatMap((each) => faultOf(each, fleet.service.runs.get(each.id) ?? 0) ?? []);
    expect(faults).to.deep.equal([]);
    expect(all.filter(({ status }) => status !== 200 && status !== 503)).to.deep.equal([]);
    expect(all.map(({ status }) => status)).to.include.members([200, 503]);
    await entry.program.drain();
    await entry.program.close();
  });
});

describe('chat streams over an agent that drains', () => {
  it('continue at another agent, and are not suspected of a crash', async () => {
    const fleet = new DrainFleet();
    await fleet.start();
    const agents: AgentProgram[] = [];
    for (const name of ['engine-1', 'engine-2']) {
      agents.push((await fleet.addEngineAgent(name, 10, 1_000)).program);
    }
    const entry = await fleet.addEntry(1_000, 2);
    const stream = (content: string, maxTokens: number) => {
      const url = `http://${host}:${entry.port}`;
      return chat({ url, organisation, model: 'm', layers: 2, content, maxTokens });
    };
    while ((await stream('ready?', 1)).end !== CallEnd.Complete) {
      await sleep(50);
    }
    await sleep(500);
    const streams = Array.from({ length: 6 }, (_unused, index) => stream(`s${index}`, 80));
    await sleep(200);
    await agents[0].drain();
    await agents[0].close();
    const ends = (await Promise.all(streams)).map(({ end }) => end);
    const suspicions = entry.events.filter(({ event }) =>
      /suspect|isolat|crash/.test(String(event)),
    );
    await stopEntry(entry.program);
    await agents[1].close();
    await fleet.close();
    expect(ends).to.deep.equal(streams.map(() => CallEnd.Complete));
    expect(suspicions).to.deep.equal([]);
  });
});

async function stopEntry(entry: EntryProgram): Promise<void> {
  await entry.drain();
  await entry.close();
}
