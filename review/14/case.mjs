/**
 * Three gateways: a primary and a backup watch the store, and a follower hears of changes from them. Two model
 * replicas leave by the removal of their entries, one shortly after the other. Between the two, the primary is cut
 * from the store for a moment. Callers use the follower, which is not disturbed. TROUBLE=0: the same without the cut.
 */
import { connect } from 'node:net';
import { Gateway, pause, plainConfig, Record } from '../lib-3/gateway.mjs';
import { engine, ModelReplica } from '../lib-3/modelReplica.mjs';
import { Store } from '../lib-3/store.mjs';
import { StoreProxy } from '../lib-3/storeProxy.mjs';

const hasTrouble = process.env.TROUBLE !== '0';

/** Length of the cut, in milliseconds; `core_cut` lasts for up to 5,500 ms. */
const cutMs = 450;

/** Time between the two removals, in milliseconds. */
const removalGapMs = 120;

/** Bound of the installation, in milliseconds. */
const drainMs = 2_000;

/** Time for which the replica goes on serving beyond `drain_ms`, in milliseconds. */
const lingerMs = 4_000;

const requestIntervalMs = 25;

const record = new Record('record.txt');
const store = new Store();
const proxies = [];
const gateways = [];
const statuses = new Map();
const loaded = (replica) => store.put('servers', replica.id, replica.entry());
const leaving = new ModelReplica('i-1', true);
const spare = new ModelReplica('i-2', false, () => loaded(spare));
const empty = new ModelReplica('i-3', false);

function modelConfig() {
  const { routes, services, ...rest } = plainConfig(7);
  const stream = {
    ...routes[0],
    name: 'draft',
    path_prefix: '/draft/',
    kind: 'stream',
    service: 'llm',
    timeout_ms: 20_000,
    slo_ms: 500,
    sticky: true,
    resumable: true,
    gap_aim_ms: 200,
  };
  const service = { ...services[0], name: 'llm', max_conns: 978, engine };
  return { ...rest, routes: [...routes, stream], services: [...services, service] };
}

/** Sends one request for a draft on a new channel. */
function draft(port, id) {
  let text = '';
  const socket = connect(port, '127.0.0.1');
  socket.setTimeout(3_000, () => socket.destroy());
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    text += bytes;
  });
  socket.on('close', () => {
    const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  });
  socket.write(
    `POST /draft/x HTTP/1.1\r\nHost: review.example\r\nX-Ibisspar-Request-Id: ${id}\r\nConnection: close\r\n` +
      'X-Ibisspar-Model: m\r\nX-Ibisspar-Token-Count: 200,30\r\n' +
      `X-Ibisspar-Prefix-Hash: 5c1e07a2:40,${Buffer.from(id).toString('hex')}:160\r\n` +
      'X-Ibisspar-Deadline-Ms: 20000\r\nAuthorization: Token key-a\r\nContent-Length: 0\r\n\r\n',
  );
}

/** Returns the role of a gateway, as its log says; all begin as primaries. */
function roleOf(gateway) {
  const changes = gateway.readLog(1_000).filter((line) => line.includes('event=feed-role-changed'));
  return / role=(\w+)/.exec(changes.at(-1) ?? '')?.[1] ?? 'primary';
}

/** Waits until the gateways have different roles, and returns their indices by role. */
async function findRoles() {
  for (let tries = 0; tries < 60; tries += 1) {
    const roles = gateways.map(roleOf);
    if (new Set(roles).size === 3) {
      return Object.fromEntries(roles.map((role, index) => [role, index]));
    }
    await pause(250);
  }
  throw new Error('the roles are not as expected');
}

let traffic;
let exitStatus = 2;
try {
  const storeAddress = await store.listen();
  store.put('config', 'main', modelConfig());
  for (const replica of [leaving, spare, empty]) {
    await replica.start();
    store.put('servers', replica.id, replica.entry());
  }
  for (const number of [1, 2, 3]) {
    const proxy = new StoreProxy(storeAddress);
    proxies.push(proxy);
    const gateway = new Gateway(await proxy.listen(), { instance: `front-a-${number}` });
    await gateway.usePorts(['peerPort']);
    gateways.push(gateway);
  }
  await Promise.all(gateways.map((gateway) => gateway.start()));
  await pause(3_000);
  const { primary, backup, follower } = await findRoles();
  const names = gateways.map(({ settings }) => settings.instance);
  record.write(`primary ${names[primary]}, backup ${names[backup]}, follower ${names[follower]}`);
  let sent = 0;
  traffic = setInterval(() => {
    sent += 1;
    draft(gateways[follower].callerPort, `draft-${sent}`);
  }, requestIntervalMs);
  await pause(4_000);

  store.delete('servers', empty.id);
  record.write(`the store has accepted that ${empty.id} is gone`);
  await pause(removalGapMs / 2);
  if (hasTrouble) {
    proxies[primary].cut();
    record.write(`${names[primary]} is cut from the store`);
  }
  await pause(removalGapMs / 2);
  store.delete('servers', leaving.id);
  const ackMs = Date.now();
  record.write(`the store has accepted that ${leaving.id} is gone`);
  await pause(cutMs - removalGapMs / 2);
  proxies[primary].heal();
  record.write('the cut has healed');
  await pause(drainMs + lingerMs - cutMs);
  clearInterval(traffic);
  await pause(1_000);

  const late = leaving.runs.filter(({ atMs }) => atMs > ackMs + drainMs);
  late.forEach(({ id, atMs }) =>
    record.write(`${id} reached ${leaving.id} ${atMs - ackMs} ms after`),
  );
  const counts = [...statuses].map(([status, count]) => `${count} x ${status}`).join(', ');
  record.write(`${sent} drafts sent; answers: ${counts}; ${leaving.id} ran ${leaving.runs.length}`);
  record.write(`requests later than ${drainMs} ms after the acknowledgement: ${late.length}`);
  record.write(late.length > 0 ? 'DRAIN: broken' : 'DRAIN: held');
  exitStatus = late.length > 0 ? 1 : 0;
} catch (err) {
  record.write(`the case could not run: ${err.stack}`);
} finally {
  clearInterval(traffic);
  await Promise.all(gateways.map((gateway) => gateway.close()));
  proxies.forEach((proxy) => proxy.close());
  [leaving, spare, empty].forEach((replica) => replica.stop());
  store.close();
}
process.exit(exitStatus);
