import { Agent } from 'node:http';
import { connect } from 'node:net';
import { expect } from 'chai';
import { sleep } from '../../../base/node/systemClock.js';
import type { AgentProgram } from '../../../agent/node/agentProgram.js';
import type { EntryProgram } from '../../../entry/node/entryProgram.js';
import { RunState } from '../../../services/problem/common/problem.js';
import { CallEnd } from '../../faults/common/records.js';
import { chat, type CallResult } from '../../node/caller.js';
import {
  DrainFleet,
  faultOf,
  headersOf,
  host,
  organisation,
  play,
  type PlayedRequest,
} from './drainFixtures.js';

/** Longest drain of the entry, in milliseconds. */
const drainMs = 3_000;

/** Time after SIGTERM in which the load balancer still sends new connections, in milliseconds. */
const newConnectionsMs = 950;

/** Longest time that a drain may take beyond its bound, for the records of the usage, in milliseconds. */
const endSlackMs = 700;

describe('requests to an entry that drains', () => {
  let fleet: DrainFleet;
  let entry: EntryProgram;
  let port: number;
  let closeAgent: () => Promise<void>;
  let lastId = 0;
  let drained: Promise<void>;

  const nextId = () => {
    lastId += 1;
    return `r${lastId}`;
  };

  beforeEach(async () => {
    fleet = new DrainFleet();
    await fleet.start();
    const agent = await fleet.addServiceAgent(1_000);
    closeAgent = () => agent.program.close();
    ({ program: entry, port } = await fleet.addEntry(drainMs, 1));
    drained = Promise.resolve();
  });

  afterEach(async () => {
    await drained;
    await closeAgent();
    await fleet.close();
  });

  const work = (workMs: number, isSubmission: boolean, options: object = {}) => {
    const id = nextId();
    const key = isSubmission ? { key: id } : {};
    return play(port, { id, path: `/services/work/${workMs}/${id}`, ...key, ...options });
  };

  /** Drains and closes the entry; returns the time that it took, in milliseconds. */
  const stop = async (): Promise<number> => {
    const startedMs = performance.now();
    const stopped = entry.drain().then(() => entry.close());
    drained = stopped;
    await stopped;
    return performance.now() - startedMs;
  };

  const faultsOf = (played: readonly PlayedRequest[]) =>
    played.flatMap((each) => faultOf(each, fleet.service.runs.get(each.id) ?? 0) ?? []);

  /** Sends raw requests at once on one connection; returns what arrived until its end. */
  const sendAhead = async (requests: readonly string[]): Promise<string> => {
    let received = '';
    const socket = connect(port, host);
    socket.on('data', (data) => {
      received += data.toString();
    });
    socket.on('error', () => undefined);
    socket.write(requests.join(''));
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    return received;
  };

  const rawLookup = (workMs: number) => {
    const headers = Object.entries(headersOf()).map(([name, value]) => `${name}: ${value}\r\n`);
    return `GET /services/work/${workMs}/${nextId()} HTTP/1.1\r\nHost: e\r\n${headers.join('')}\r\n`;
  };

  it('are all answered if callers send two at once on one connection', async () => {
    const stopping = stop();
    await sleep(100);
    const received = await sendAhead([rawLookup(150), rawLookup(50)]);
    await stopping;
    expect(received.match(/HTTP\/1\.1 200/g)).to.have.length(2);
    expect(received.match(/connection: close/gi)).to.have.length(1);
  });

  it('are not run if they arrive after the last answer of their connection began', async () => {
    const stopping = stop();
    await sleep(100);
    let received = '';
    const socket = connect(port, host);
    socket.on('error', () => undefined);
    socket.write(rawLookup(50));
    const lateId = `r${lastId + 1}`;
    socket.once('data', () => socket.write(rawLookup(50)));
    socket.on('data', (data) => {
      received += data.toString();
    });
    await stopping;
    expect(received.match(/HTTP\/1\.1 200/g)).to.have.length(1);
    expect(fleet.service.runs.has(lateId)).to.equal(false);
  });

  it('get a final status before the end if their calls last beyond it', async () => {
    const calls = [work(60_000, false), work(60_000, true), work(drainMs - 1_000, true)];
    await sleep(200);
    const tookMs = await stop();
    expect(tookMs).to.be.below(drainMs + endSlackMs);
    const played = await Promise.all(calls);
    expect(faultsOf(played)).to.deep.equal([]);
    expect(played.map(({ status }) => status)).to.deep.equal([502, 502, 200]);
  });

  it('get a final status before the end if their bodies never do', async () => {
    const call = work(30, true, { bodyDelayMs: 10 * drainMs });
    await sleep(100);
    expect(await stop()).to.be.below(drainMs + endSlackMs);
    const { status, body } = await call;
    expect(status).to.equal(503);
    expect(body).to.include('"run":"not-run"');
  });

  it('are answered or refused truthfully, of every kind and at every moment', async () => {
    const played: Promise<PlayedRequest>[] = [];
    const keep = (call: Promise<PlayedRequest>) => {
      played.push(call);
      return call;
    };
    let isOver = false;
    const agent = new Agent({ keepAlive: true });
    const keepCalling = async (index: number) => {
      for (let count = 0; !isOver; count += 1) {
        const workMs = [30, 120, 400, 900, 4_000][(index + count) % 5];
        const { status } = await keep(work(workMs, index % 2 === 0, { agent }));
        if (status !== 200) {
          await sleep(20);
        }
      }
    };
    const callers = Array.from({ length: 20 }, (_unused, index) => keepCalling(index));
    await sleep(300);
    const stopping = stop();
    for (let elapsedMs = 0; elapsedMs < newConnectionsMs; elapsedMs += 25) {
      void keep(work(elapsedMs % 2 === 0 ? 30 : 1_500, elapsedMs % 3 === 0));
      void keep(work(30, true, { bodyDelayMs: 20 + elapsedMs }));
      await sleep(25);
    }
    expect(await stopping).to.be.below(drainMs + endSlackMs);
    isOver = true;
    await Promise.all(callers);
    const all = await Promise.all(played);
    agent.destroy();
    expect(faultsOf(all)).to.deep.equal([]);
    expect([...fleet.service.runs].filter(([, runs]) => runs > 1)).to.deep.equal([]);
    expect(all.map(({ status }) => status)).to.include.members([200, 503]);
  });
});

describe('chat streams of an entry that drains', () => {
  const tokenMs = 10;
  let fleet: DrainFleet;
  let entry: EntryProgram;
  let agent: AgentProgram;
  let port: number;

  const stream = (content: string, maxTokens: number, idempotencyKey?: string) => {
    const url = `http://${host}:${port}`;
    const call = { url, organisation, model: 'm', layers: 2, content, maxTokens };
    return chat({ ...call, ...(idempotencyKey === undefined ? {} : { idempotencyKey }) });
  };

  beforeEach(async () => {
    fleet = new DrainFleet();
    await fleet.start();
    ({ program: agent } = await fleet.addEngineAgent('engine-1', tokenMs / 2, 1_000));
    ({ program: entry, port } = await fleet.addEntry(drainMs, 1));
    while ((await stream('ready?', 1)).end !== CallEnd.Complete) {
      await sleep(50);
    }
  });

  afterEach(async () => {
    await agent.close();
    await fleet.close();
  });

  it('are whole, refused as not run, or end with an event that tells their end', async () => {
    const long = (drainMs * 2) / tokenMs;
    const early = [stream('a', long), stream('b', long, 'key-b'), stream('c', 40)];
    await sleep(300);
    const startedMs = performance.now();
    const stopped = entry.drain().then(() => entry.close());
    const late: Promise<CallResult>[] = [];
    for (let count = 0; count < 35; count += 1) {
      late.push(stream(`late ${count}`, 20, count % 2 === 0 ? undefined : `late-${count}`));
      await sleep(25);
    }
    await stopped;
    expect(performance.now() - startedMs).to.be.below(drainMs + endSlackMs);
    const results = await Promise.all(early);
    expect(results.map(({ end }) => end)).to.deep.equal([
      CallEnd.Problem,
      CallEnd.Problem,
      CallEnd.Complete,
    ]);
    expect(results.map(({ run }) => run).slice(0, 2)).to.deep.equal([
      RunState.Unknown,
      RunState.Unknown,
    ]);
    const ends = (await Promise.all(late)).map(({ end, run }) =>
      end === CallEnd.Problem ? run : end,
    );
    expect(ends.filter((end) => end !== CallEnd.Complete && end !== RunState.NotRun)).to.deep.equal(
      [],
    );
    expect(ends).to.include(CallEnd.Complete);
  });
});
