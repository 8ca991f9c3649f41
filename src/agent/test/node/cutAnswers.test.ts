import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '../../../base/node/systemClock.js';
import type { CallMessage } from '../../../services/link/common/messages.js';
import { RunState } from '../../../services/problem/common/problem.js';
import { createTestIntake } from '../../../services/exchange/test/node/answerFixtures.js';
import {
  CutEnd,
  cutAnswers,
  wholeAnswer,
  writeCut,
} from '../../../services/exchange/test/node/cutAnswers.js';
import { HttpPlainService } from '../../node/httpPlainService.js';
import { HttpStageEngine } from '../../node/httpStageEngine.js';
import type { EngineStep } from '../../stage/common/stageContracts.js';

const maxAnswerBytes = 1_000;

/** Time after which an answer is given up, in milliseconds; the cut ends it long before. */
const timeoutMs = 5_000;

const ends = Object.values(CutEnd);

const replies = '{"replies":[{"data":[],"token":1}]}';

describe('answers that are cut are taken for none by an agent', () => {
  let server: Server;
  let url: string;
  let answer: (socket: Socket) => void;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    server.close();
  });

  const callService = async () => {
    const service = new HttpPlainService(
      url,
      maxAnswerBytes,
      createTestIntake(),
      new SystemClock(),
    );
    const message = { method: 'POST', path: '/', headers: [], body: new Uint8Array() };
    const result = await service.call(
      { ...message, attempt: 'a', remainingMs: timeoutMs } as unknown as CallMessage,
      new AbortController().signal,
    );
    await service.close();
    return result;
  };

  const createEngine = () =>
    new HttpStageEngine(
      'i',
      url,
      { stepMs: timeoutMs, stateMs: timeoutMs },
      maxAnswerBytes,
      createTestIntake(),
      new SystemClock(),
    );

  const runStep = async () => {
    const engine = createEngine();
    const result = await engine.run({} as EngineStep);
    await engine.close();
    return result;
  };

  it('unlike whole ones', async () => {
    answer = (socket) => socket.end(wholeAnswer(replies));
    expect((await callService()).unwrap().status).to.equal(200);
    expect((await runStep()).unwrap().token).to.equal(1);
  });

  ends.forEach((end) => {
    Object.entries(cutAnswers(replies)).forEach(([where, begin]) => {
      it(`of its plain service, ${where}, by ${end}`, async () => {
        answer = (socket) => writeCut(socket, begin, end);
        expect((await callService()).unwrapErr().run).to.equal(RunState.Unknown);
      });
    });

    Object.entries(cutAnswers(replies)).forEach(([where, begin]) => {
      it(`of its engine to a step, ${where}, by ${end}`, async () => {
        answer = (socket) => writeCut(socket, begin, end);
        expect((await runStep()).isErr()).to.equal(true);
      });
    });
  });

  it('of its engine when its state is read', async () => {
    const state = '{"model":"m","capacity":1}';
    for (const end of ends) {
      for (const [where, begin] of Object.entries(cutAnswers(state))) {
        answer = (socket) => writeCut(socket, begin, end);
        const engine = createEngine();
        expect(await engine.readState(0), `${where}, by ${end}`).to.equal(undefined);
        expect(engine.isAnswering).to.equal(false);
        await engine.close();
      }
    }
  });
});
