import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { sleep } from '../../../base/node/systemClock.js';
import { ProcessGroup, type RunningProcess } from '../../node/processes.js';
import { DrainFleet, play, waitUntil } from './drainFixtures.js';

const drainMs = 4_000;

/** Time that a call takes, and in which it reaches the service, in milliseconds. */
const workMs = 800;
const sendMs = 250;

const callCount = 8;

/** Preloaded script that throws out of a timer on SIGUSR2. */
const preload = `data:text/javascript,${encodeURIComponent(
  "process.on('SIGUSR2', () => setTimeout(() => { throw new Error('planted'); }, 1))",
)}`;

describe('an exception that no code has handled', () => {
  let fleet: DrainFleet;
  let group: ProcessGroup;

  beforeEach(async () => {
    group = new ProcessGroup(fileURLToPath(new URL('../../../../../build/', import.meta.url)), [
      `--import=${preload}`,
    ]);
    fleet = new DrainFleet();
    await fleet.start();
  });

  afterEach(async () => {
    await group.close();
    await fleet.close();
  });

  /** Starts a program as a process; returns it with the port in its first line. */
  const startProgram = async (name: string, settings: object, pattern: RegExp) => {
    const path = group.writeSettings(name, { ...fleet.commonSettings(name), drainMs, ...settings });
    return group.start(name, name.split('-')[0], ['--settings', path], pattern);
  };

  /** Sends calls, lets the process throw while they run, and returns what their callers got. */
  const playCalls = async (port: number, program: RunningProcess) => {
    const calls = Array.from({ length: callCount }, (_each, index) =>
      play(port, { id: `c${index}`, path: `/services/work/${workMs}/c${index}`, key: `c${index}` }),
    );
    await sleep(sendMs);
    program.signal('SIGUSR2');
    const answers = await Promise.all(calls);
    await program.waitForExit();
    expect(program.exitStatus).to.equal(1);
    const log = readFileSync(join(group.directory, `${program.name}-1.log`), 'utf8');
    expect(log).to.match(/event=uncaught-exception .*planted.* stack="?at /);
    return answers.map(({ status, isComplete }) => ({ status, isComplete }));
  };

  const whole = Array.from({ length: callCount }, () => ({ status: 200, isComplete: true }));

  // Guards against a process that drops what its other callers have begun.
  it('lets an entry finish the calls of its callers before it ends', async () => {
    const agent = await fleet.addServiceAgent(1_000);
    const pattern = /entry-started.*address=http:\/\/127\.0\.0\.1:(\d+)/;
    const entry = await startProgram('entry-1', { httpPort: 0, instancePollMs: 100 }, pattern);
    const port = Number(entry.listenAddress);
    await waitUntil(
      async () => (await play(port, { id: 'a', path: '/services/work/0/a' })).status === 200,
    );
    expect(await playCalls(port, entry)).to.deep.equal(whole);
    await agent.program.close();
  });

  it('lets an agent finish the calls that it has begun before it ends', async () => {
    const url = await fleet.service.listen();
    const service = { service: { name: 'work', url } };
    const agent = await startProgram('agent-1', service, /agent-started.*port=(\d+)/);
    await fleet.publishAgent('agent-1', Number(agent.listenAddress));
    const entry = await fleet.addEntry(1_000, 1);
    expect(await playCalls(entry.port, agent)).to.deep.equal(whole);
    await entry.program.close();
    fleet.service.close();
  });
});
