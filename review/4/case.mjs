// All open channels to the store go silent for good, while new ones work; meanwhile a key is taken away.
import { connect, createServer } from 'node:net';
import { Client, bounds, config, hasTrouble, route, runCase, sleep } from '../lib/standins.mjs';

const stableWindowMs = 3_000;

/** Times from a configuration to the silence, in milliseconds, one for each round. */
const leadsMs = [1_250, 1_150, 1_050, 1_350, 1_200, 950, 1_250, 1_100];
const gatewayNames = ['front-a-1', 'front-a-2', 'front-a-3', 'front-a-4'];

/** Relays bytes to the store until all its channels are silenced; those opened later work again. */
class SilencingProxy {
  channels = new Set();

  constructor(targetPort, recorder) {
    this.server = createServer((near) => {
      const far = connect(targetPort, '127.0.0.1');
      const channel = { near, far, isSilent: false };
      this.channels.add(channel);
      const relay = (from, to) => {
        from.on('data', (chunk) => channel.isSilent || to.write(chunk));
        from.on('error', () => {});
        from.on('close', () => {
          this.channels.delete(channel);
          to.destroy();
        });
      };
      relay(near, far);
      relay(far, near);
      near.on('data', (chunk) => {
        if (channel.isSilent) {
          recorder.line('call-on-silent-channel', {
            call: chunk.toString('latin1').split('\r\n')[0],
          });
        }
      });
    });
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  silence() {
    this.channels.forEach((channel) => {
      channel.isSilent = true;
    });
    return this.channels.size;
  }
}

await runCase(import.meta.url, async ({ recorder, ...world }) => {
  const store = await world.store();
  const routes = [route('look', 'safe', 'app')];
  let version = 1;
  const writeKeys = (keys) => {
    version += 2;
    const tenants = [{ name: 'tenant-1', api_keys: ['key-lasting', ...keys] }];
    store.put('config', 'main', config(version, routes, { tenants }));
    recorder.line('operator-acked', { version, keys });
    return recorder.nowMs;
  };
  writeKeys(['key-0']);
  const replica = await world.replica({ id: 'app-1', service: 'app' }, store);
  const proxy = new SilencingProxy(Number(store.address.split(':')[1]), recorder);
  await proxy.listen();
  const gateways = [];
  for (const name of gatewayNames) {
    gateways.push(await world.gateway(name, proxy.address));
  }
  await Promise.all(gateways.map((gateway) => gateway.whenReady()));
  const client = new Client(recorder);
  const broken = [];
  for (const [round, leadMs] of leadsMs.entries()) {
    await sleep(5_500);
    const oldKey = `key-${round}`;
    const newKey = `key-${round + 1}`;
    replica.options.slots = 17 + round;
    replica.publish(store);
    writeKeys([oldKey, newKey]);
    await sleep(leadMs);
    const silencedMs = recorder.nowMs;
    if (hasTrouble) {
      recorder.line('channels-silenced', { count: proxy.silence() });
    }
    await sleep(500);
    const ackedMs = writeKeys([newKey]);
    const boundMs = Math.max(
      ackedMs + bounds.config_ms,
      hasTrouble ? silencedMs + stableWindowMs : 0,
    );
    await sleep(boundMs + 20 - recorder.nowMs);
    while (recorder.nowMs < silencedMs + 5_000) {
      await Promise.all(
        gateways.map(async (gateway) => {
          const path = '/look/up';
          const { id, sentMs, status } = await client.send(gateway, path, {
            method: 'GET',
            key: oldKey,
          });
          if (status === 200 && replica.runs.some((run) => run.id === id)) {
            broken.push({ gateway: gateway.name, round, lateMs: Math.round(sentMs - boundMs) });
          }
        }),
      );
      await sleep(50);
    }
  }
  return broken.length > 0
    ? `CONFIG: ${broken.length} requests with a key that was taken away ran later than config_ms after ` +
        `the ack, at gateways in touch; the latest: ${JSON.stringify(broken.at(-1))}`
    : undefined;
});
