import { expect } from 'chai';
import { InstanceRole } from '../../../services/instances/common/instance.js';
import {
  linkVersion,
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
} from '../../../services/link/common/messages.js';
import { connect } from '../../../services/link/node/connect.js';
import { LinkEnd, type Link } from '../../../services/link/node/link.js';
import { LinkServer } from '../../../services/link/node/linkServer.js';
import { Shaper } from '../../node/shaper.js';

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

const heartbeat = (): HeartbeatMessage => ({ kind: MessageKind.Heartbeat, revision: 7 });

async function open(address: string): Promise<Link> {
  const options = { address, timing, hello: hello('client'), heartbeat, timeoutMs: 5_000 };
  return (await connect(options)).unwrap();
}

// A partition can leave a connection open without delivering data. Only the heartbeat deadline ends
// such a link; without it, the entry would never open a new one.
describe('a link whose connection goes silent', () => {
  it('ends with the reason silent after the heartbeat deadline, and can be reopened', async () => {
    const server = new LinkServer(timing, () => hello('server'), heartbeat);
    const shaper = new Shaper(await server.listen('127.0.0.1', 0), 0);
    await shaper.listen();
    const client = await open(`127.0.0.1:${shaper.port}`);
    const ended = new Promise<LinkEnd>((resolve) => {
      client.onDidEnd(resolve);
    });
    shaper.silence();
    expect(await ended).to.equal(LinkEnd.Silent);
    const replacement = await open(`127.0.0.1:${shaper.port}`);
    expect(replacement.open).to.equal(true);
    replacement.close();
    shaper.close();
    server.close();
  });
});
