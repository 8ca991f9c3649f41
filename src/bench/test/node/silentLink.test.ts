import { expect } from 'chai';
import { InstanceRole } from '../../../services/instances/common/instance.js';
import {
  linkVersion,
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
} from '../../../services/link/common/messages.js';
import { connect } from '../../../services/link/node/connect.js';
import { LinkEndReason, type Link } from '../../../services/link/node/link.js';
import { LinkServer } from '../../../services/link/node/linkServer.js';
import { FaultProxy } from '../../node/faultProxy.js';

const timing = { heartbeatMs: 20, deadlineMs: 120 };

function hello(instance: string): HelloMessage {
  return {
    kind: MessageKind.Hello,
    version: linkVersion,
    instance,
    incarnation: `${instance}-1`,
    role: InstanceRole.Agent,
    place: 'ragusa',
    region: 'sicilia-est',
    revision: 0,
  };
}

const createHeartbeat = (): HeartbeatMessage => ({ kind: MessageKind.Heartbeat, revision: 7 });

async function open(address: string): Promise<Link> {
  const options = { address, timing, hello: hello('client'), createHeartbeat, timeoutMs: 5_000 };
  return (await connect(options)).unwrap();
}

// A partition can leave a connection open without delivering data. Only the heartbeat deadline ends
// such a link; without it, the entry would never open a new one.
describe('a link whose connection goes silent', () => {
  it('ends with a heartbeat timeout after the deadline, and can be reopened', async () => {
    const server = new LinkServer(timing, () => hello('server'), createHeartbeat);
    const proxy = new FaultProxy(await server.listen('127.0.0.1', 0), 0);
    await proxy.listen();
    const client = await open(`127.0.0.1:${proxy.port}`);
    const ended = new Promise<LinkEndReason>((resolve) => {
      client.onDidEnd(resolve);
    });
    proxy.discardData();
    expect(await ended).to.equal(LinkEndReason.HeartbeatTimeout);
    const replacement = await open(`127.0.0.1:${proxy.port}`);
    expect(replacement.isOpen).to.equal(true);
    replacement.close();
    proxy.close();
    server.close();
  });
});
