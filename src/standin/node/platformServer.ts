import { setTimeout as delay } from 'node:timers/promises';
import Fastify, { type FastifyInstance } from 'fastify';
import { SeededRandom } from '../../base/common/random.js';
import type { InstanceRecord } from '../../services/instances/common/instance.js';
import { ObjectTable, type TableCopy } from '../common/objectTable.js';

/** Faults that the platform stand-in injects until the time `untilMs`. */
interface PlatformFault {
  readonly untilMs: number;
  /** Share of calls that fail with status 503. */
  readonly outage: number;
  /** Delay of each answer, in milliseconds. */
  readonly slowMs: number;
  /** Share of writes that take effect but whose answer is lost. */
  readonly lostConfirmation: number;
  /** Share of reads that return the version before the newest. */
  readonly staleRead: number;
}

interface DelayedInstanceRecord extends InstanceRecord {
  readonly visibleAtMs: number;
}

const noActiveFault: PlatformFault = {
  untilMs: 0,
  outage: 0,
  slowMs: 0,
  lostConfirmation: 0,
  staleRead: 0,
};

/** Header in which all answers give the era of the objects. */
const eraHeader = 'platform-era';

/** Stand-in for the platform: object API, watches, instance list and weight store. */
export class PlatformServer {
  private readonly app: FastifyInstance = Fastify({
    bodyLimit: 1_048_576,
    forceCloseConnections: true,
  });

  private readonly table = new ObjectTable();

  private readonly random: SeededRandom;

  private readonly instances: DelayedInstanceRecord[] = [];

  private readonly counts = { reads: 0, writes: 0, watches: 0 };

  private readonly changeListeners = new Set<() => void>();

  private fault = noActiveFault;

  /** State that the table comes back to in a drill. */
  private copy: TableCopy;

  private weightStoreFreeAtMs = 0;

  /**
   * @param seed - Seed of the injected faults.
   * @param listLagMs - Delay until a change appears in the instance list, in milliseconds.
   * @param weightMiBPerSecond - Rate of the weight store, which serves one transfer at a time.
   */
  constructor(
    seed: number,
    private readonly listLagMs: number,
    private readonly weightMiBPerSecond: number,
  ) {
    this.random = new SeededRandom(seed);
    this.copy = this.table.copy();
    this.app.addHook('onSend', async (_req, reply) => {
      reply.header(eraHeader, this.table.era);
    });
    this.addObjectRoutes();
    this.addInstanceControlAndWeightRoutes();
  }

  /** Starts listening and returns the address. */
  listen(host: string, port: number): Promise<string> {
    return this.app.listen({ host, port });
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.changeListeners.forEach((notify) => notify());
    await this.app.close();
  }

  private addObjectRoutes(): void {
    this.app.addHook('preHandler', async (req, reply) => {
      const isFaulty = Date.now() < this.fault.untilMs && !req.url.startsWith('/control');
      if (!isFaulty) {
        return undefined;
      }
      await delay(this.fault.slowMs);
      if (this.random.float() < this.fault.outage) {
        return reply.code(503).send({ error: 'outage' });
      }
      return undefined;
    });
    this.app.get<{ Params: { kind: string; name: string } }>(
      '/objects/:kind/:name',
      (req, reply) => {
        this.counts.reads += 1;
        const isStaleRead =
          Date.now() < this.fault.untilMs && this.random.float() < this.fault.staleRead;
        const found = this.table.get(req.params.kind, req.params.name, isStaleRead);
        return found ? reply.send(found) : reply.code(404).send({ error: 'not found' });
      },
    );
    this.app.get<{ Params: { kind: string } }>('/objects/:kind', (req, reply) => {
      this.counts.reads += 1;
      return reply.send({ items: this.table.list(req.params.kind), sequence: this.table.sequence });
    });
    this.app.put<{ Params: { kind: string; name: string } }>(
      '/objects/:kind/:name',
      async (req, reply) => {
        this.counts.writes += 1;
        const expected = req.headers['if-none-match'] === '*' ? 0 : Number(req.headers['if-match']);
        const version = this.table.put(req.params.kind, req.params.name, req.body, expected);
        if (version === undefined) {
          return reply.code(412).send({ error: 'version does not match' });
        }
        this.changeListeners.forEach((notify) => notify());
        const isConfirmationLost =
          Date.now() < this.fault.untilMs && this.random.float() < this.fault.lostConfirmation;
        if (isConfirmationLost) {
          req.raw.destroy();
          return reply.hijack();
        }
        return reply.send({ version });
      },
    );
    this.app.get<{ Params: { kind: string }; Querystring: { after: string; waitMs: string } }>(
      '/watch/:kind',
      async (req, reply) => {
        this.counts.watches += 1;
        const after = Number(req.query.after);
        const untilMs = Date.now() + Number(req.query.waitMs);
        let names = this.table.changedAfter(req.params.kind, after);
        while (names.length === 0 && Date.now() < untilMs && !req.raw.destroyed) {
          await this.waitForChange(untilMs - Date.now());
          names = this.table.changedAfter(req.params.kind, after);
        }
        return reply.send({ sequence: this.table.sequence, names });
      },
    );
  }

  private waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(finish, Math.max(1, timeoutMs));
      const { changeListeners } = this;
      function finish(): void {
        clearTimeout(timer);
        changeListeners.delete(finish);
        resolve();
      }
      changeListeners.add(finish);
    });
  }

  private addInstanceControlAndWeightRoutes(): void {
    this.app.get('/instances', (_req, reply) => {
      this.counts.reads += 1;
      const now = Date.now();
      const latestById = new Map<string, InstanceRecord>();
      for (const { visibleAtMs, ...record } of this.instances) {
        if (visibleAtMs <= now) {
          latestById.set(record.id, record);
        }
      }
      const liveInstances = [...latestById.values()].filter((record) => record.address !== '');
      return reply.send({ instances: liveInstances });
    });
    this.app.post<{ Body: InstanceRecord }>('/control/instances', (req, reply) => {
      this.instances.push({ ...req.body, visibleAtMs: Date.now() + this.listLagMs });
      return reply.send({});
    });
    this.app.post<{ Body: Omit<PlatformFault, 'untilMs'> & { forMs: number } }>(
      '/control/fault',
      (req, reply) => {
        this.fault = { ...noActiveFault, ...req.body, untilMs: Date.now() + req.body.forMs };
        return reply.send({});
      },
    );
    this.app.post('/control/copy', (_req, reply) => {
      this.copy = this.table.copy();
      return reply.send({});
    });
    this.app.post('/control/come-back', (_req, reply) => {
      this.table.comeBackFrom(this.copy);
      this.changeListeners.forEach((notify) => notify());
      return reply.send({});
    });
    this.app.get('/control/counts', (_req, reply) => reply.send(this.counts));
    this.app.get<{ Querystring: { mib: string } }>('/weights', async (req, reply) => {
      const now = Date.now();
      const startsAtMs = Math.max(now, this.weightStoreFreeAtMs);
      this.weightStoreFreeAtMs =
        startsAtMs + (Number(req.query.mib) / this.weightMiBPerSecond) * 1_000;
      await delay(this.weightStoreFreeAtMs - now);
      return reply.send({});
    });
  }
}
