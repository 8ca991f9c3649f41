/**
 * The settings change: a bound becomes a fraction. The machines are then stopped and started in turn. Each
 * process must start again with the settings that the platform fills in from the project's template.
 */
import { fileURLToPath } from 'node:url';
import { Gateway, Replica, Store, runCase, send, sleep, smallConfig } from '../lib-2/standins.mjs';

const directory = fileURLToPath(new URL('.', import.meta.url));

/** `grace_s` before and after the change. */
const graceS = 8;
const changedGraceS = 7.5;

/** Starts of a process that the platform tries, and the time between them. */
const maxStarts = 5;
const restartMs = 1_000;
const startTimeoutMs = 5_000;

await runCase(directory, async ({ record, keep, hasTrouble }) => {
  const store = keep(new Store());
  await store.listen();
  store.put('config', 'main', smallConfig());
  for (const id of ['app-0', 'app-1', 'app-2']) {
    const replica = keep(new Replica({ id, service: 'app', workMs: 43 }));
    await replica.listen();
    store.put('servers', id, replica.entry());
  }
  const gateways = ['front-a-1', 'front-b-1'].map((name) =>
    keep(new Gateway(name, store, { bounds: { grace_s: graceS } })),
  );
  await Promise.all(gateways.map((gateway) => gateway.start()));
  record('both gateways are ready');

  if (hasTrouble) {
    for (const gateway of gateways) {
      gateway.bounds = { grace_s: changedGraceS };
      await gateway.writeSettings();
      gateway.signal('SIGHUP');
    }
    record(`the settings change: grace_s ${changedGraceS} in place of ${graceS}; SIGHUP to both`);
    await sleep(500);
  }

  let callCount = 0;
  async function callAll() {
    const statuses = {};
    for (const gateway of gateways) {
      for (let call = 0; call < 10; call += 1) {
        callCount += 1;
        const { status } = await send(
          gateway.front,
          `GET /look/1 HTTP/1.1\r\nHost: test.example\r\nX-Ibisspar-Request-Id: look-${callCount}\r\n` +
            'X-Ibisspar-Deadline-Ms: 1000\r\nAuthorization: Token key-1\r\n\r\n',
        ).catch((err) => ({ status: err.code }));
        statuses[status] = (statuses[status] ?? 0) + 1;
      }
    }
    return JSON.stringify(statuses);
  }
  record(`answers before the stops: ${await callAll()}`);

  const down = [];
  for (const gateway of gateways) {
    gateway.signal('SIGTERM');
    await gateway.ended;
    record(`${gateway.name} was stopped, ${JSON.stringify(gateway.exit)}`);
    let isReady = false;
    for (let start = 1; start <= maxStarts && !isReady; start += 1) {
      await sleep(restartMs);
      await gateway.start({ waitReady: false });
      const endMs = Date.now() + startTimeoutMs;
      while (!isReady && gateway.exit === undefined && Date.now() < endMs) {
        await sleep(50);
        isReady = (await gateway.readyStatus()) === 200;
      }
      record(
        isReady
          ? `${gateway.name} is ready again`
          : `${gateway.name} did not start: ${JSON.stringify(gateway.exit)}, ${gateway.log().trim().split('\n').at(-1)}`,
      );
    }
    if (!isReady) {
      down.push(gateway.name);
    }
  }
  record(`answers after the stops: ${await callAll()}`);
  return down.map((name) => `Fault: ${name} doesn't start in ${maxStarts} tries`);
});
