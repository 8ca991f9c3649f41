import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import type { EngineStep } from '../../stage/common/stageContracts.js';
import { HttpStageEngine } from '../../node/httpStageEngine.js';

const stateMs = 100;

describe('HttpStageEngine', () => {
  let server: Server;
  let engine: HttpStageEngine;
  let isStateLate: boolean;
  let isHanging: boolean;

  const crashOfStep = async () => {
    const result = await engine.run({} as EngineStep);
    return result.unwrapErr().crash;
  };

  beforeEach(async () => {
    isStateLate = false;
    isHanging = false;
    server = createServer((req, res) => {
      if (req.url?.startsWith('/state')) {
        setTimeout(() => res.end('{}'), isStateLate ? 3 * stateMs : 0);
      } else if (!isHanging) {
        req.resume().once('end', () => req.socket.resetAndDestroy());
      }
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    const { port } = server.address() as AddressInfo;
    engine = new HttpStageEngine('i', `http://127.0.0.1:${port}`, { stepMs: 200, stateMs });
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
});
