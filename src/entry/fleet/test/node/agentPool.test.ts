import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import {
  InstanceRole,
  InstanceState,
  type InstanceRecord,
} from '../../../../services/instances/common/instance.js';
import { linkVersion, MessageKind } from '../../../../services/link/common/messages.js';
import { AgentPool } from '../../node/agentPool.js';

describe('AgentPool', () => {
  let silentAgent: Server;
  let sockets: Socket[];
  let records: readonly InstanceRecord[];
  let pool: AgentPool;

  beforeEach(async () => {
    sockets = [];
    silentAgent = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
    });
    silentAgent.listen(0, '127.0.0.1');
    await once(silentAgent, 'listening');
    records = [];
    const common = { place: 'p', region: 'r', revision: 0 };
    const options = {
      timing: { heartbeatMs: 500, deadlineMs: 1_500 },
      pollMs: 20,
      createHello: () => ({
        kind: MessageKind.Hello as const,
        version: linkVersion,
        instance: 'e',
        incarnation: 'e-1',
        role: InstanceRole.Entry,
        ...common,
      }),
      createHeartbeat: () => ({ kind: MessageKind.Heartbeat as const, revision: 0 }),
    };
    const list = { read: () => Promise.resolve(records) };
    pool = new AgentPool(options, list, { log: () => undefined });
  });

  afterEach(async () => {
    pool.close();
    silentAgent.close();
    sockets.forEach((socket) => socket.destroy());
    await once(silentAgent, 'close');
  });

  it('does not take a running entry for a starting one while it connects to an agent that is silent', async () => {
    pool.start();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect(pool.hasTriedAll).to.equal(true);
    const { port } = silentAgent.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    const { Live: state } = InstanceState;
    records = [{ id: 'a', role: InstanceRole.Agent, address, place: 'p', region: 'r', state }];
    await once(silentAgent, 'connection');
    expect(pool.hasTriedAll).to.equal(true);
  });

  it('takes an entry for a starting one until it has tried each agent that was listed at its start', async () => {
    const { port } = silentAgent.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    const { Live: state } = InstanceState;
    records = [{ id: 'a', role: InstanceRole.Agent, address, place: 'p', region: 'r', state }];
    pool.start();
    await once(silentAgent, 'connection');
    expect(pool.hasTriedAll).to.equal(false);
  });
});
