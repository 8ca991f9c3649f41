import { createServer, type AddressInfo, type Server } from 'node:net';
import { expect } from 'chai';
import type { AgentProgram } from '../../../agent/node/agentProgram.js';
import type { EntryProgram } from '../../../entry/node/entryProgram.js';
import {
  CutEnd,
  cutAnswers,
  wholeAnswer,
  writeCut,
} from '../../../services/exchange/test/node/cutAnswers.js';
import { DrainFleet, host, play } from './drainFixtures.js';

const body = '{"id":"whole"}';

describe('callers of an entry whose service closes in the middle of its answer', () => {
  let fleet: DrainFleet;
  let service: Server;
  let agent: AgentProgram;
  let entry: EntryProgram;
  let port: number;
  let begin: string | undefined;
  let end: CutEnd;

  beforeEach(async () => {
    service = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (data) => {
        const isProbe = data.toString().startsWith('HEAD');
        if (isProbe || begin === undefined) {
          socket.write(wholeAnswer(isProbe ? '' : body));
        } else {
          writeCut(socket, begin, end);
        }
      });
    });
    await new Promise<void>((resolve) => {
      service.listen(0, host, resolve);
    });
    fleet = new DrainFleet();
    await fleet.start();
    const url = `http://${host}:${(service.address() as AddressInfo).port}`;
    agent = (await fleet.addServiceAgentAt(url, 1_000)).program;
    ({ program: entry, port } = await fleet.addEntry(1_000, 1));
  });

  afterEach(async () => {
    await entry.close();
    await agent.close();
    await fleet.close();
    service.close();
  });

  it('get a whole failure, of lookups and submissions, wherever it is cut', async () => {
    const work = (id: string, key?: string) =>
      play(port, { id, path: `/services/work/${id}`, ...(key === undefined ? {} : { key }) });
    begin = undefined;
    expect(await work('whole')).to.include({ status: 200, isComplete: true, body });
    for (const cutEnd of Object.values(CutEnd)) {
      for (const [where, text] of Object.entries(cutAnswers(body))) {
        begin = text;
        end = cutEnd;
        const id = `${where.replaceAll(' ', '-')}-${cutEnd}`;
        const answers = await Promise.all([work(id), work(id, id)]);
        const seen = answers.map(({ status, isComplete }) => ({ where, status, isComplete }));
        const expected = { where, status: 502, isComplete: true };
        // A lookup is repeated; there is no other endpoint.
        expect(seen).to.deep.equal([{ ...expected, status: 503 }, expected]);
      }
    }
  });
});
