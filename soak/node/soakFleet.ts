import { fileURLToPath } from 'node:url';
import { FakeReplica } from '../../platform/test/fakeReplica.js';
import { FakeStore } from '../../platform/test/fakeStore.js';
import {
  publishReplica,
  orderedLayers,
  runsAt,
  removeReplica,
  writeConfig,
  type ObservedRun,
} from '../../platform/test/wireViews.js';
import { ProcessGroup, type RunningProcess } from '../../src/bench/node/processes.js';
import { Shaper } from '../../src/bench/node/shaper.js';
import { graceMs } from '../common/checkers.js';
import type { KeyRecord, OrderRecord } from '../common/records.js';

const places = ['a', 'b', 'c'];

/** Layers that each kind of card has room for: its memory over the size of a layer. */
const maxLayers: Readonly<Record<string, number>> = { big: 10, small: 5 };

/** Time after which the entry of a crashed endpoint is removed, in milliseconds. */
const lapseMs = 1_000;

/** Name of the organisation whose key is never taken away. */
const mainOrganisation = 'org-1';

/** Key that is never taken away. */
export const lastingKey = 'key-lasting';

/** A gateway as a process of its own, with proxies towards its callers and the store. */
export interface SoakGateway {
  readonly name: string;
  readonly front: Shaper;
  readonly store: Shaper;
  process: RunningProcess;
}

/** A back end behind a proxy. */
export interface SoakEndpoint {
  readonly name: string;
  readonly proxy: Shaper;
  replica: FakeReplica;
  /** How often it was started. */
  starts: number;
}

/** Gateways as processes; the store, the back ends and all proxies live in this process. */
export class SoakFleet {
  readonly store = new FakeStore();

  readonly gateways: SoakGateway[] = [];

  readonly endpoints: SoakEndpoint[] = [];

  readonly keys: KeyRecord[] = [];

  /** What gateways did that they must not. */
  readonly incidents: string[] = [];

  private readonly group = new ProcessGroup(
    fileURLToPath(new URL('../../../build/', import.meta.url)),
  );

  private readonly replicas: FakeReplica[] = [];

  private configVersion = 1;

  private idleRoutes = 0;

  private storePort = 0;

  /** Processes that were told to end. */
  private readonly ending = new Set<RunningProcess>();

  /** Directory with the gateways' logs. */
  get directory(): string {
    return this.group.directory;
  }

  /**
   * Starts everything.
   *
   * @param gatewayCount - Gateways, spread over three data centres.
   */
  async start(gatewayCount: number): Promise<void> {
    this.storePort = portOf(await this.store.listen());
    this.holdKey(lastingKey, mainOrganisation);
    this.writeConfig();
    for (let index = 0; index < 9; index += 1) {
      await this.addEndpoint(`engine-${index}`, 'model', index, index % 3 === 0 ? 'big' : 'small');
    }
    for (let index = 0; index < 3; index += 1) {
      await this.addEndpoint(`app-${index}`, 'app', index, undefined);
    }
    for (let index = 0; index < gatewayCount; index += 1) {
      await this.addGateway(`gateway-${index}`, places[index % places.length]);
    }
  }

  /** Requests that back ends ran, in the order in which each of them saw them. */
  runs(): readonly ObservedRun[] {
    return this.replicas.flatMap(runsAt);
  }

  /** Orders that back ends took. */
  orders(): readonly OrderRecord[] {
    return this.replicas.flatMap((replica) =>
      orderedLayers(replica).map((layers) => ({
        endpoint: replica.options.id,
        layers,
        maxLayers: maxLayers[replica.options.kind ?? ''] ?? 0,
      })),
    );
  }

  /** Adds a key to the configuration. */
  addKey(): void {
    this.holdKey(`key-${this.keys.length}`, `org-${this.keys.length + 1}`);
    this.writeConfig();
  }

  /** Takes the newest key away that isn't the lasting one. */
  revokeKey(): void {
    const held = this.keys.map(({ key, toMs }) => toMs === Infinity && key !== lastingKey);
    const index = held.lastIndexOf(true);
    if (index >= 0) {
      this.writeConfig(this.keys[index].key);
      this.keys[index] = { ...this.keys[index], toMs: Date.now() };
    }
  }

  /** Adds routes that nobody asks for. */
  growConfig(): void {
    this.idleRoutes += 50;
    this.writeConfig();
  }

  /** Kills or stops a gateway and starts it again. */
  async restartGateway(gateway: SoakGateway, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const { process } = gateway;
    this.ending.add(process);
    process.signal(signal);
    const limit = setTimeout(() => {
      this.incidents.push(`${gateway.name} did not end within its grace`);
      process.signal('SIGKILL');
    }, graceMs);
    await process.ended();
    clearTimeout(limit);
    if (signal === 'SIGTERM' && process.status !== 0) {
      this.incidents.push(`${gateway.name} ended with status ${process.status ?? 'none'}`);
    }
    gateway.process = await this.startProcess(gateway);
  }

  /** Crashes an endpoint; it comes back empty, under its old name or a new one. */
  async crashEndpoint(endpoint: SoakEndpoint, downMs: number, keepsName: boolean): Promise<void> {
    endpoint.replica.close();
    endpoint.proxy.cut();
    const { id, service, zone, kind } = endpoint.replica.options;
    const lapse = setTimeout(() => removeReplica(this.store, id), lapseMs);
    await sleep(downMs);
    clearTimeout(lapse);
    removeReplica(this.store, id);
    endpoint.starts += 1;
    const name = keepsName ? id : `${endpoint.name}-${endpoint.starts}`;
    await this.startReplica(endpoint, name, service, zone, kind);
  }

  /** Announces that an endpoint leaves, then replaces it. */
  async drainEndpoint(endpoint: SoakEndpoint, forMs: number): Promise<void> {
    const { replica } = endpoint;
    replica.state = 'draining';
    publishReplica(this.store, replica);
    await sleep(forMs);
    await this.crashEndpoint(endpoint, 0, false);
  }

  /** Ends all processes and closes all sockets. */
  async close(): Promise<void> {
    this.gateways.forEach(({ process }) => this.ending.add(process));
    await this.group.close();
    this.gateways.forEach(({ front, store }) => {
      front.close();
      store.close();
    });
    this.endpoints.forEach(({ proxy, replica }) => {
      proxy.close();
      replica.close();
    });
    this.store.close();
  }

  private holdKey(key: string, organisation: string): void {
    this.keys.push({ key, organisation, fromMs: Date.now(), toMs: Infinity });
  }

  private writeConfig(withoutKey?: string): void {
    this.configVersion += 3;
    const held = this.keys.filter(({ key, toMs }) => toMs === Infinity && key !== withoutKey);
    writeConfig(this.store, this.configVersion, held, this.idleRoutes);
  }

  private async addEndpoint(
    name: string,
    service: string,
    index: number,
    kind: string | undefined,
  ): Promise<void> {
    const proxy = new Shaper(0, 0);
    await proxy.listen();
    const zone = places[Math.floor(index / 3) % places.length];
    const endpoint = { name, proxy, starts: 1 } as SoakEndpoint;
    await this.startReplica(endpoint, name, service, zone, kind);
    this.endpoints.push(endpoint);
  }

  private async startReplica(
    endpoint: SoakEndpoint,
    id: string,
    service: string,
    zone: string,
    kind: string | undefined,
  ): Promise<void> {
    const replica = new FakeReplica({ id, service, zone, kind, eventMs: 10, namesRequest: true });
    await replica.listen();
    endpoint.proxy.targetPort = portOf(replica.address);
    replica.address = `127.0.0.1:${endpoint.proxy.port}`;
    endpoint.replica = replica;
    this.replicas.push(replica);
    replica.onOrder = () => publishReplica(this.store, replica);
    replica.onOrder();
  }

  private async addGateway(name: string, place: string): Promise<void> {
    const front = new Shaper(0, 0);
    const store = new Shaper(this.storePort, 0);
    await Promise.all([front.listen(), store.listen()]);
    this.group.writeSettings(name, {
      instance: name,
      host: '127.0.0.1',
      place,
      region: 'r',
      callerAddress: '127.0.0.1:0',
      readyAddress: '127.0.0.1:0',
      peerPort: 0,
      metricsPort: 0,
      storeAddress: `127.0.0.1:${store.port}`,
      drainMs: graceMs,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      retrySlack: 200,
    });
    const gateway = { name, front, store } as SoakGateway;
    gateway.process = await this.startProcess(gateway);
    this.gateways.push(gateway);
  }

  private async startProcess(gateway: SoakGateway): Promise<RunningProcess> {
    const args = ['--settings', `${this.group.directory}/${gateway.name}.yaml`];
    const started = /event=started .*callers=127\.0\.0\.1:(\d+)/;
    const process = await this.group.start(gateway.name, 'gateway', args, started);
    gateway.front.targetPort = Number(process.started);
    void process.ended().then(() => {
      if (!this.ending.has(process)) {
        this.incidents.push(`${gateway.name} ended by itself with ${process.status ?? 'a signal'}`);
      }
    });
    return process;
  }
}

function portOf(address: string): number {
  return Number(address.split(':')[1]);
}

/** Waits. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
