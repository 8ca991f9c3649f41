/*
 * Program that sends calls to a store which then falls silent, and exits once the last call has ended.
 * Needs the flag --expose-gc.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { createTestIntake } from '../../../exchange/test/node/answerFixtures.js';
import { StoreConnections } from '../../node/storeConnections.js';

/** Number of calls after which the code has been optimised. */
const answeredCalls = 200;

const timeoutMs = 300;

/** Interval between collections of garbage, in milliseconds. */
const collectionIntervalMs = 10;

let isSilent = false;
const server = createServer((_req, res) => {
  if (!isSilent) {
    res.end('{}');
  }
});
await new Promise<void>((resolve) => {
  server.listen(0, '127.0.0.1', resolve);
});
const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
const connections = new StoreConnections(
  {
    origin,
    eraHeader: 'era',
    maxConnections: 4,
    connectTimeoutMs: 500,
    intake: createTestIntake(),
  },
  () => undefined,
);
const { signal } = new AbortController();
const read = () =>
  connections.call({
    method: 'GET',
    path: '/a',
    timeoutMs,
    signals: [signal],
    fallback: { path: '/a', timeoutMs },
  });
for (let count = 0; count < answeredCalls; count += 1) {
  await read();
}
isSilent = true;
let hasEnded = false;
void read().then(() => {
  hasEnded = true;
});
while (!hasEnded) {
  await delay(collectionIntervalMs);
  globalThis.gc?.();
}
process.exit(0);
