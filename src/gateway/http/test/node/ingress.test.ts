import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { request } from 'undici';
import { SeededRandom } from '../../../../base/common/random.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { deriveBounds } from '../../../../services/intake/common/intakeBounds.js';
import { CallerIntake } from '../../../../services/intake/node/callerIntake.js';
import { ConfigHolder } from '../../../config/common/configHolder.js';
import { configWith } from '../../../config/test/common/fixtures.js';
import { GatewayMetrics } from '../../../node/gatewayMetrics.js';
import { RefusalStatus } from '../../../relay/common/callerRequest.js';
import type { IDialect } from '../../../relay/common/dialect.js';
import { Ingress, type StartRelay } from '../../node/ingress.js';

const logger = { log: () => undefined };

/** Dialect of callers that send an id and a key with each request. */
const dialect: IDialect = {
  readRequest: () => ({
    requestId: 'id-1',
    waitMs: undefined,
    apiKey: 'key',
    promptTokens: 0,
    maxOutputTokens: 0,
    expectedOutputTokens: undefined,
    lastEventId: undefined,
    sharedParts: [],
  }),
  endpointHeaders: () => [],
  readAnswer: () => {
    throw new Error('no endpoint answers');
  },
  callerHeaders: () => [],
};

describe('Ingress', () => {
  let ingress: Ingress;
  let config: ConfigHolder;

  async function listen(startRelay: StartRelay): Promise<string> {
    config = new ConfigHolder(logger);
    config.applyIfNewer(configWith({}));
    ingress = new Ingress(
      config,
      dialect,
      new SeededRandom(1),
      async () => undefined,
      startRelay,
      new CallerIntake(deriveBounds({}, 160_000_000), () => undefined, new FakeClock(), logger),
      new GatewayMetrics(),
      new FakeClock(),
      logger,
    );
    await ingress.listen('127.0.0.1', 0);
    return `http://127.0.0.1:${ingress.port}/a/x`;
  }

  afterEach(() => ingress.close());

  it('answers with a status that promises nothing if relaying a request fails', async () => {
    const url = await listen(() => {
      throw new Error('the relay failed');
    });
    const { statusCode } = await request(url, { headers: { host: 'a.example' } });
    expect(statusCode).to.equal(502);
  });

  it('refuses a request without a route before its body has arrived', async () => {
    const url = await listen(() => {
      throw new Error('must not be relayed');
    });
    const socket = connect(Number(new URL(url).port), '127.0.0.1');
    socket.write('POST /none HTTP/1.1\r\nHost: none.example\r\nContent-Length: 4000000\r\n\r\n');
    const [answer] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    expect(answer.toString()).to.match(/^HTTP\/1\.1 404 [^]*Connection: close/);
  });

  it('releases the body of an answer that waited for an earlier one when its connection closed', async () => {
    let isHeld = false;
    let requestCount = 0;
    const url = await listen((_req, caller) => {
      requestCount += 1;
      if (requestCount === 2) {
        isHeld = true;
        const close = () => {
          isHeld = false;
        };
        caller.answer(200, [], { bytes: Buffer.from('second'), close });
      }
      return undefined;
    });
    const socket = connect(Number(new URL(url).port), '127.0.0.1');
    socket.write('GET /a/x HTTP/1.1\r\nHost: a.example\r\n\r\n'.repeat(2));
    await sleep(100);
    expect(isHeld).to.equal(true);
    socket.destroy();
    await sleep(100);
    expect(isHeld).to.equal(false);
  });

  it('decides again which route a request takes if the configuration changes during its body', async () => {
    let routeName: string | undefined;
    const url = await listen((req, caller) => {
      routeName = req.route.name;
      caller.refuse({ status: RefusalStatus.Unavailable, detail: 'seen', retryAfterMs: 1 });
      return undefined;
    });
    const socket = connect(Number(new URL(url).port), '127.0.0.1');
    socket.write('POST /a/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{');
    await sleep(100);
    const current = config.current!.config;
    config.applyIfNewer({
      ...current,
      version: current.version + 1,
      routes: current.routes.map((route) => ({ ...route, name: 'renamed' })),
    });
    socket.write('}');
    await once(socket, 'data');
    socket.destroy();
    expect(routeName).to.equal('renamed');
  });
});
