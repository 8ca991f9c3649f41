// An entry of another writer makes the gateways that do not watch the store read it; a page of that list is
// some seconds old and still holds a replica that has left.
import { Agent } from 'node:http';
import { Client, bounds, config, hasTrouble, route, runCase, sleep } from '../lib/standins.mjs';

const pageSize = 50;
const otherCount = 55;
const staleMs = 3_000;

/** Time from each removal to the change of the other writer's entry, in milliseconds. */
const foreignDelaysMs = [0, 1_000];
const gatewayNames = ['front-a-1', 'front-a-2', 'front-a-3', 'front-a-4'];

await runCase(import.meta.url, async ({ recorder, ...world }) => {
  const store = await world.store();
  store.pageSize = pageSize;
  store.staleMs = (kind, after) => (kind === 'servers' && after !== '' ? staleMs : 0);
  store.onCall = (method, url) => {
    if (url.searchParams.has('allow_stale')) {
      recorder.line('store-call', { method, query: `${url.pathname}${url.search}` });
    }
  };
  const routes = [route('look', 'safe', 'app')];
  store.put('config', 'main', config(3, routes));
  for (let index = 0; index < otherCount; index += 1) {
    const id = `a-${String(index).padStart(2, '0')}`;
    await world.replica({ id, service: 'other' }, store);
  }
  const leaving = [];
  for (const id of ['z-1', 'z-2']) {
    leaving.push(await world.replica({ id, service: 'app', slots: 8, workMs: 5 }, store));
  }
  await world.replica({ id: 'z-3', service: 'app', slots: 8, workMs: 50 }, store);
  const gateways = [];
  for (const name of gatewayNames) {
    gateways.push(await world.gateway(name, store.address));
  }
  await Promise.all(gateways.map((gateway) => gateway.whenReady()));
  await sleep(6_000); // the gateways hear each other and choose who watches
  const client = new Client(recorder);
  const agents = new Map(gateways.map(({ name }) => [name, new Agent({ keepAlive: true })]));
  const sent = new Map();
  const sendRound = () =>
    Promise.all(
      gateways.flatMap((gateway) =>
        [1, 2, 3, 4, 5, 6].map(async () => {
          const agent = agents.get(gateway.name);
          const { id, sentMs } = await client.send(gateway, '/look/up', { method: 'GET', agent });
          sent.set(id, { gateway: gateway.name, sentMs });
        }),
      ),
    );
  await sendRound();
  const late = [];
  for (const replica of leaving) {
    const { id: name } = replica.options;
    const writeForeignEntry = () => {
      if (hasTrouble) {
        store.put('servers', 'b-foreign', { service: 'other', zone: 7, writer: name });
        recorder.line('foreign-entry-written');
      }
    };
    const delayMs = foreignDelaysMs.shift();
    if (delayMs === 0) {
      writeForeignEntry();
    } else {
      setTimeout(writeForeignEntry, delayMs);
    }
    store.delete('servers', name);
    const ackedMs = recorder.nowMs;
    recorder.line('removal-acked', { replica: name });
    while (recorder.nowMs < ackedMs + 4 * bounds.drain_ms) {
      await sendRound();
      await sleep(200);
    }
    replica.arrivals
      .filter(({ id }) => (sent.get(id)?.sentMs ?? 0) > ackedMs)
      .filter(({ atMs }) => atMs > ackedMs + bounds.drain_ms)
      .forEach(({ id, atMs }) => late.push({ id, name, afterMs: Math.round(atMs - ackedMs) }));
  }
  const counts = {};
  late.forEach(({ id, name }) => {
    const key = `${name} from ${sent.get(id).gateway}`;
    counts[key] = (counts[key] ?? 0) + 1;
  });
  return late.length > 0
    ? `DRAIN: ${late.length} requests reached a replica over ${bounds.drain_ms} ms after its removal was ` +
        `acked, the last one ${late.at(-1).afterMs} ms after it: ${JSON.stringify(counts)}`
    : undefined;
});
