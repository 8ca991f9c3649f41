import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '../../../base/node/systemClock.js';
import { createTestIntake } from '../../../services/exchange/test/node/answerFixtures.js';
import type { OrderMessage } from '../../../services/link/common/messages.js';
import type { EngineStep } from '../../stage/common/stageContracts.js';
import { HttpStageEngine } from '../../node/httpStageEngine.js';

const stateMs = 100;

const maxAnswerBytes = 10_000;

describe('HttpStageEngine', () => {
  let server: Server;
  let engine: HttpStageEngine;
  let isStateLate: boolean;
  let status: number;
  let isHanging: boolean;
  let hasEndlessAnswers: boolean;

  const crashOfStep = async () => {
    const result = await engine.run({} as EngineStep);
    return result.unwrapErr().crash;
  };

  beforeEach(async () => {
    isStateLate = false;
    status = 200;
    isHanging = false;
    hasEndlessAnswers = false;
    server = createServer((req, res) => {
      if (hasEndlessAnswers) {
        const write = () => res.write('x'.repeat(1_000)) && setImmediate(write);
        res.on('drain', write);
        write();
      } else if (req.url?.startsWith('/state')) {
        res.statusCode = status;
        setTimeout(() => res.end('{}'), isStateLate ? 3 * stateMs : 0);
      } else if (status !== 200) {
        res.statusCode = status;
        res.end('{"replies":[{}]}');
      } else if (!isHanging) {
        req.resume().once('end', () => req.socket.resetAndDestroy());
      }
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    const { port } = server.address() as AddressInfo;
    engine = new HttpStageEngine(
      'i',
      `http://127.0.0.1:${port}`,
      { stepMs: 200, stateMs },
      maxAnswerBytes,
      createTestIntake(),
      new SystemClock(),
    );
    await engine.readState(0);
  });

  afterEach(async () => {
    await engine.close();
    server.closeAllConnections();
    server.close();
  });

  it('names the crash under which a step ended', async () => {
    expect(await crashOfStep()).to.equal('i#1');
  });

  it('names the crash of an engine whose state was read too late before', async () => {
    isStateLate = true;
    await engine.readState(0);
    expect(await crashOfStep()).to.equal('i#1');
  });

  // Guards against an engine whose refusal is read as its state, or as the outcome of a step.
  [302, 404, 409, 500, 503, 600, 999].forEach((each) => {
    it(`takes an answer with status ${each} for no state and no step`, async () => {
      status = each;
      expect(await engine.readState(0)).to.equal(undefined);
      expect((await engine.run({} as EngineStep)).isErr()).to.equal(true);
    });
  });

  it('names no crash for steps that a silent engine never took', async () => {
    isStateLate = true;
    isHanging = true;
    await engine.readState(0);
    expect(await crashOfStep()).to.equal(undefined);
  });

  it('names no crash for steps sent to an engine that is gone', async () => {
    server.closeAllConnections();
    server.close();
    await engine.readState(0);
    expect(await crashOfStep()).to.equal(undefined);
  });

  // Guards against an engine that makes the agent keep an answer without end.
  it('gives up answers without end to steps and orders, and serves on', async () => {
    hasEndlessAnswers = true;
    const order = { term: 1, model: 'm', version: '1', range: { from: 0, to: 1 } };
    expect(await engine.loadLayers(order as OrderMessage, 1)).to.equal(undefined);
    const failed = (await engine.run({} as EngineStep)).unwrapErr();
    expect(failed.message).to.include(`exceeds ${maxAnswerBytes} bytes`);
    expect(engine.isAnswering).to.equal(false);
    hasEndlessAnswers = false;
    expect(await engine.readState(0)).to.not.equal(undefined);
    expect(engine.isAnswering).to.equal(true);
  });

  it('lets requests wait while others use all connections', async () => {
    const states = await Promise.all(Array.from({ length: 40 }, () => engine.readState(0)));
    expect(states.every((state) => state !== undefined)).to.equal(true);
  });
});
