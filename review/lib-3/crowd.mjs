/**
 * Case in which a crowd of callers connects to each of two gateways, each sends one request, and ordinary
 * callers go on. The rule is broken if the process of each gateway ends by itself three times.
 */
import { connect } from 'node:net';
import { Gateway, pause, plainConfig, Record } from './gateway.mjs';
import { PlainReplica } from './plainReplica.mjs';
import { Store } from './store.mjs';

/** Callers of the crowd at each gateway; its machine allows for 4,100 descriptors. */
const crowdSize = 1_500;

/** Ends of a process in a day that break the rule. */
const endsOfBrokenRule = 3;

/** Rounds that are played at most. */
const maxRounds = 7;

/** Time for which a round lasts if the gateway lives, in milliseconds. */
const roundMs = 10_000;

const ordinaryIntervalMs = 100;

export const head = (method, path, id, extra = '') =>
  `${method} ${path} HTTP/1.1\r\nHost: review.example\r\nX-Ibisspar-Request-Id: ${id}\r\n` +
  `X-Ibisspar-Deadline-Ms: 1000\r\nAuthorization: Token key-a\r\n${extra}\r\n`;

/** A short field. */
const field = 'ab:cd\r\n';

/**
 * Returns short fields.
 *
 * @param bytes - Their size at most.
 */
export const shortFields = (bytes) => field.repeat(Math.floor(bytes / field.length));

/** Sends one lookup, and returns the status of its answer; 0 if there is none. */
function lookUp(port, id) {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(port, '127.0.0.1');
    socket.setTimeout(2_000, () => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      text += bytes;
    });
    socket.on('close', () => resolve(Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0)));
    socket.write(head('GET', '/look/x', id, 'Connection: close\r\n'));
  });
}

async function waitForExit(gateway, ms) {
  const untilMs = Date.now() + ms;
  while (gateway.exit === undefined && Date.now() < untilMs) {
    await pause(50);
  }
}

/**
 * Plays rounds at one gateway, and returns how often its process ended by itself.
 *
 * @param gateway - The gateway.
 * @param name - Its name in the record.
 * @param crowd - First and last bytes that each caller of the crowd sends, by the id of its request.
 * @param record - Receives what was seen.
 */
async function play(gateway, name, { first, last }, record) {
  let endCount = 0;
  for (let round = 1; round <= maxRounds && endCount < endsOfBrokenRule; round += 1) {
    const statuses = new Map();
    const ordinary = setInterval(async () => {
      const status = await lookUp(gateway.callerPort, `${name}-${round}-${Date.now()}`);
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
    }, ordinaryIntervalMs);
    const crowd = [];
    let answered = 0;
    for (let index = 0; index < crowdSize; index += 1) {
      const socket = connect(gateway.callerPort, '127.0.0.1');
      socket.on('error', () => undefined);
      socket.once('data', () => {
        answered += 1;
      });
      socket.write(first(`${name}-${round}-crowd-${index}`));
      crowd.push(socket);
    }
    await pause(500);
    crowd.forEach((socket) => socket.write(last));
    record.write(`${name} round ${round}: ${crowdSize} callers have sent their requests`);
    await waitForExit(gateway, roundMs);
    clearInterval(ordinary);
    await pause(300);
    const counts = [...statuses].map(([status, count]) => `${count} x ${status}`).join(', ');
    const exit = gateway.exit ? `ended: ${JSON.stringify(gateway.exit)}` : 'runs';
    record.write(
      `${name} round ${round}: process ${exit}; peak ${gateway.exit ? 'unknown' : `${gateway.memoryMb('VmHWM')} MB`}; ` +
        `${answered} of the crowd answered; ordinary lookups: ${counts}`,
    );
    crowd.forEach((socket) => socket.destroy());
    if (gateway.exit !== undefined) {
      endCount += 1;
      const reason = gateway.readLog(60).find((line) => line.startsWith('FATAL ERROR'));
      record.write(`${name} round ${round}: ${reason ?? 'no fatal error in the log'}`);
      gateway.settings.isFirstStart = false;
      await gateway.start();
    }
  }
  return endCount;
}

/**
 * Plays the case, writes `record.txt`, and returns the exit status of the script.
 *
 * @param crowd - What the callers of the crowd send.
 */
export async function playCrowd(crowd) {
  const record = new Record('record.txt');
  const store = new Store();
  const gateways = [];
  const replicas = [];
  try {
    const storeAddress = await store.listen();
    store.put('config', 'main', plainConfig(7));
    for (const id of ['i-1', 'i-2', 'i-3']) {
      const replica = new PlainReplica(id);
      await replica.start();
      store.put('servers', id, replica.entry());
      replicas.push(replica);
    }
    for (const instance of ['front-a-1', 'front-a-2']) {
      const gateway = new Gateway(storeAddress, { instance });
      await gateway.start();
      gateways.push(gateway);
    }
    const ends = await Promise.all(
      gateways.map((gateway) => play(gateway, gateway.settings.instance, crowd, record)),
    );
    record.write(`processes that ended by themselves: ${ends.join(' and ')} times on 2 machines`);
    record.write(`requests that ran: ${replicas.reduce((sum, { runs }) => sum + runs.length, 0)}`);
    const isBroken = ends.every((count) => count >= endsOfBrokenRule);
    record.write(isBroken ? 'Fault: broken' : 'Fault: held');
    return isBroken ? 1 : 0;
  } catch (err) {
    record.write(`the case could not run: ${err.stack}`);
    return 2;
  } finally {
    await Promise.all(gateways.map((gateway) => gateway.close()));
    replicas.forEach((replica) => replica.stop());
    store.close();
  }
}
