import { SystemClock } from '../../../../base/node/systemClock.js';
import type { PeerMessage } from '../../common/peerMessage.js';
import { PeerExchange } from '../../node/peerExchange.js';

/*
 * Process that receives the datagrams of peers. It reports how late its timers are, what it uses, and whether
 * it still hears the gateway `honest`.
 */

const reportIntervalMs = 20;

const message: PeerMessage = {
  sender: 'observed',
  configVersion: 1,
  loads: new Map(),
  suspects: [],
  full: [],
  draining: [],
  rejecting: [],
  departed: [],
  limits: [],
  placingTerm: 0,
  demand: [],
  suspectRequests: [],
  isolated: [],
};
const self = { instance: 'observed', host: '127.0.0.1', port: 0 };
let honestCount = 0;
let lineCount = 0;
const exchange = new PeerExchange(
  self,
  () => message,
  ({ sender }) => {
    honestCount += sender === 'honest' ? 1 : 0;
  },
  () => undefined,
  new SystemClock(),
  {
    log: () => {
      lineCount += 1;
    },
  },
);

let expectedMs = performance.now() + reportIntervalMs;
let usage = process.cpuUsage();
setInterval(() => {
  const { user, system } = process.cpuUsage(usage);
  usage = process.cpuUsage();
  // A busy machine makes timers late too, but no work of this process.
  const delayMs = Math.min(performance.now() - expectedMs, (user + system) / 1_000);
  expectedMs = performance.now() + reportIntervalMs;
  const residentBytes = process.memoryUsage.rss();
  process.send?.({
    delayMs,
    residentBytes,
    honestCount,
    lineCount,
    knownCount: exchange.possibleCount,
  });
}, reportIntervalMs);

process.on('message', (port: number) =>
  exchange.add({ instance: 'honest', host: '127.0.0.1', port }),
);
process.on('disconnect', () => process.exit());
process.send?.({ port: await exchange.start() });
