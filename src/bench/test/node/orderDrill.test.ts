import { expect } from 'chai';
import type { LogFields } from '../../../base/common/logger.js';
import { sleep, SystemClock } from '../../../base/node/systemClock.js';
import { InstanceRole } from '../../../services/instances/common/instance.js';
import {
  linkVersion,
  MessageKind,
  type OrderResultMessage,
} from '../../../services/link/common/messages.js';
import { connect } from '../../../services/link/node/connect.js';
import type { Link } from '../../../services/link/node/link.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { ObjectKind } from '../../../services/objects/common/objects.js';
import { createTestIntake } from '../../../services/exchange/test/node/answerFixtures.js';
import { HttpObjectStore } from '../../../services/objects/node/httpObjectStore.js';
import { agentSchema, checkSettings } from '../../../services/settings/common/settings.js';
import { EngineServer } from '../../../standin/node/engineServer.js';
import { HistoryWriter } from '../../../standin/node/history.js';
import { PlatformServer } from '../../../standin/node/platformServer.js';
import { AgentProgram } from '../../../agent/node/agentProgram.js';

/** Fencing token of a term in an era. */
const tokenOf = (era: number, term: number) => era * 2 ** 32 + term;

/** Number of waits for a result before a test fails. */
const maxWaits = 2_000;

const range = { from: 0, to: 2 };

const metrics = {
  increment: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => Promise.resolve(),
};

/** Agent with a link from an entry, which sends it orders. */
class OrderedAgent {
  readonly results: OrderResultMessage[] = [];

  private constructor(
    readonly store: HttpObjectStore,
    private readonly program: AgentProgram,
    private readonly link: Link,
  ) {
    link.onDidReceive((message) => {
      if (message.kind === MessageKind.OrderResult) {
        this.results.push(message);
      }
    });
  }

  static async start(platformUrl: string, engineUrl: string): Promise<OrderedAgent> {
    const settings = checkSettings(agentSchema, {
      instance: 'a',
      place: 'p',
      region: 'r',
      linkPort: 0,
      platformUrl,
      engineUrl,
    }).unwrap();
    const store = new HttpObjectStore(platformUrl, 1_000, createTestIntake());
    let port = 0;
    const log = (_level: unknown, event: string, fields: LogFields = {}) => {
      port = event === 'agent-started' ? Number(fields.port) : port;
    };
    const clock = new SystemClock();
    const program = new AgentProgram({ settings, clock, logger: { log }, metrics, store });
    await program.start();
    const link = await connect({
      address: `127.0.0.1:${port}`,
      timing: { heartbeatMs: 500, deadlineMs: 60_000 },
      hello: {
        kind: MessageKind.Hello,
        version: linkVersion,
        instance: 'e',
        incarnation: 'e-1',
        role: InstanceRole.Entry,
        place: 'p',
        region: 'r',
        revision: 0,
      },
      createHeartbeat: () => ({ kind: MessageKind.Heartbeat, revision: 0 }),
      timeoutMs: 5_000,
    });
    return new OrderedAgent(store, program, link.unwrap());
  }

  /** Sends an order; returns the first result. */
  async order(term: number): Promise<OrderResultMessage> {
    const count = this.results.length;
    this.link.send({ kind: MessageKind.Order, term, model: 'm', version: '1', range });
    return this.waitForResult(count);
  }

  async waitForResult(index: number): Promise<OrderResultMessage> {
    for (let wait = 0; this.results.length <= index && wait < maxWaits; wait += 1) {
      await sleep(5);
    }
    expect(this.results).to.have.length.greaterThan(index);
    return this.results[index];
  }

  async close(): Promise<void> {
    this.link.close();
    await this.program.close();
    await this.store.close();
  }
}

describe('orders to an agent over returns of the store from older copies', () => {
  let platform: PlatformServer;
  let engine: EngineServer;
  let operator: HttpObjectStore;
  let platformUrl: string;
  let engineUrl: string;
  let agents: OrderedAgent[];

  beforeEach(async () => {
    platform = new PlatformServer(1, 0, 100_000);
    platformUrl = await platform.listen('127.0.0.1', 0);
    operator = new HttpObjectStore(platformUrl, 1_000, createTestIntake());
    const options = {
      accelerator: AcceleratorKind.Medium,
      memoryMiB: 100,
      layerMicros: 1,
      capacity: 1,
      checksTerm: true,
      platformUrl,
      crashText: '!crash!',
    };
    engine = new EngineServer(options, new HistoryWriter(undefined, 'a'));
    engineUrl = await engine.listen('127.0.0.1', 0);
    agents = [];
    (await operator.put(ObjectKind.Models, 'm', { name: 'm', layers: 2, layerMiB: 1 }, 0)).unwrap();
  });

  afterEach(async () => {
    for (const agent of agents) {
      await agent.close();
    }
    await operator.close();
    await engine.close();
    await platform.close();
  });

  const startAgent = async () => {
    const agent = await OrderedAgent.start(platformUrl, engineUrl);
    agents.push(agent);
    return agent;
  };

  const writeLease = async (term: number) => {
    const record = { holder: 'e-1', term, renewals: 1, era: 1 };
    (await operator.put(ObjectKind.Leases, 'placement-r', record, 0)).unwrap();
  };

  const control = (path: string) => fetch(`${platformUrl}/control/${path}`, { method: 'POST' });

  it('are refused if they are older than the lease that a restarted agent reads', async () => {
    await writeLease(7);
    const agent = await startAgent();
    expect((await agent.order(tokenOf(1, 6))).accepted).to.equal(false);
    expect((await agent.order(tokenOf(1, 7))).accepted).to.equal(true);
  });

  it('are refused if a restarted agent finds a later era, although the copy lacks the lease', async () => {
    await control('copy');
    await writeLease(7);
    await control('come-back');
    const agent = await startAgent();
    expect((await agent.order(tokenOf(1, 7))).accepted).to.equal(false);
    expect((await agent.order(tokenOf(2, 1))).accepted).to.equal(true);
  });

  it('of the era before are refused once an agent has heard of the next one', async () => {
    await writeLease(7);
    const agent = await startAgent();
    expect((await agent.order(tokenOf(1, 7))).accepted).to.equal(true);
    await control('copy');
    await control('come-back');
    await agent.store.get(ObjectKind.Models, 'm');
    expect((await agent.order(tokenOf(1, 8))).accepted).to.equal(false);
  });

  it('are not accepted again with a token that the engine refused', async () => {
    await writeLease(8);
    const held = { from: 0, to: 1 };
    const body = { term: tokenOf(1, 9), model: 'm', version: '1', range: held, layerMiB: 1 };
    const headers = { 'content-type': 'application/json' };
    await fetch(`${engineUrl}/order`, { method: 'PUT', headers, body: JSON.stringify(body) });
    const agent = await startAgent();
    expect((await agent.order(tokenOf(1, 8))).accepted).to.equal(true);
    const refusal = await agent.waitForResult(1);
    expect(refusal).to.include({ accepted: false, highestTerm: tokenOf(1, 9) });
    expect((await agent.order(tokenOf(1, 8))).accepted).to.equal(false);
    expect((await agent.order(tokenOf(1, 10))).accepted).to.equal(true);
  });
});
