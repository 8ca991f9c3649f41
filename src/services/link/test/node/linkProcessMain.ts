import { SystemClock } from '../../../../base/node/systemClock.js';
import { createAnswerIntake } from '../../../exchange/node/answerIntake.js';
import { deriveBounds } from '../../../intake/common/intakeBounds.js';
import { CallerIntake } from '../../../intake/node/callerIntake.js';
import { InstanceRole } from '../../../instances/common/instance.js';
import { linkVersion, MessageKind } from '../../common/messages.js';
import { connect } from '../../node/connect.js';
import { LinkServer } from '../../node/linkServer.js';

/*
 * Process that accepts links, and opens one to each address that its parent sends. It reports what it uses and
 * how late its timers are.
 */

const timing = { heartbeatMs: 200, deadlineMs: 3_000 };
const connectTimeoutMs = 1_000;
const reportIntervalMs = 20;

const clock = new SystemClock();
const logger = { log: () => undefined };
const createHello = () =>
  ({
    kind: MessageKind.Hello,
    version: linkVersion,
    instance: 'observed',
    incarnation: 'observed-1',
    role: InstanceRole.Agent,
    place: 'ragusa',
    region: 'sicilia-est',
    revision: 0,
  }) as const;
const createHeartbeat = () => ({ kind: MessageKind.Heartbeat, revision: 1 }) as const;

const bounds = deriveBounds({ maxCallerConnections: 200 }, 160_000_000);
const intake = new CallerIntake(bounds, () => undefined, clock, logger);
const answers = createAnswerIntake({}, () => undefined, clock, logger);
const server = new LinkServer(timing, createHello, createHeartbeat, intake, answers);

let expectedMs = performance.now() + reportIntervalMs;
let usage = process.cpuUsage();
setInterval(() => {
  const { user, system } = process.cpuUsage(usage);
  usage = process.cpuUsage();
  // A busy machine makes timers late too, but no work of this process.
  const delayMs = Math.min(performance.now() - expectedMs, (user + system) / 1_000);
  expectedMs = performance.now() + reportIntervalMs;
  process.send?.({ delayMs, residentBytes: process.memoryUsage.rss(), links: server.links.size });
}, reportIntervalMs);

process.on('message', (address: string) => {
  void connect({
    address,
    timing,
    hello: createHello(),
    createHeartbeat,
    timeoutMs: connectTimeoutMs,
    answers,
  });
});
process.on('disconnect', () => process.exit());
process.send?.({ port: await server.listen('127.0.0.1', 0) });
