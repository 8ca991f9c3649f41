// The operator takes away the last keys; afterwards requests with an unknown key, and with none, must get 401.
import { Client, config, hasTrouble, route, runCase, sleep } from '../lib/standins.mjs';

const configMs = 2_000;
const tenants = (keys) => [{ name: 'tenant-1', api_keys: keys }];

await runCase(import.meta.url, async ({ recorder, ...world }) => {
  const store = await world.store();
  const routes = [route('book', 'unsafe', 'app', { max_attempts: 1 })];
  const write = (version, keys) => {
    store.put('config', 'main', config(version, routes, { tenants: tenants(keys) }));
    recorder.line('operator-acked', { version, keys });
  };
  write(3, ['key-1', 'key-2']);
  const replica = await world.replica({ id: 'app-1', service: 'app' }, store);
  const gateway = await world.gateway('front-a-1', store.address);
  await gateway.whenReady();
  const client = new Client(recorder);
  const path = '/book/seat';
  const before = await client.send(gateway, path);
  const strangerBefore = await client.send(gateway, path, { key: 'never-issued' });
  if (before.status !== 200 || strangerBefore.status !== 401) {
    throw new Error(`unexpected start: ${before.status}, ${strangerBefore.status}`);
  }
  if (hasTrouble) {
    write(5, ['key-2']);
    await sleep(1_500);
    write(8, []);
  }
  await sleep(2 * configMs);
  const broken = [];
  for (const key of ['never-issued', null, ...(hasTrouble ? ['key-1', 'key-2'] : [])]) {
    const { id, status } = await client.send(gateway, path, { key });
    const hasRun = replica.runs.some((run) => run.id === id);
    if (hasRun || status !== 401) {
      broken.push(`key ${key ?? '(none)'}: status ${status}${hasRun ? ', has run' : ''}`);
    }
    await sleep(100);
  }
  return broken.length > 0 ? `ROUTE, CONFIG: ${broken.join('; ')}` : undefined;
});
