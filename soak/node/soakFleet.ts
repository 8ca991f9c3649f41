import { fileURLToPath } from 'node:url';
import { FakeReplica, type FakeReplicaOptions } from '../../platform/test/fakeReplica.js';
import {
  deployedFlags,
  deployedLimits,
  readPeakMemoryMb,
  smallestMachine,
} from '../../platform/test/gatewayProcess.js';
import { FakeStore, StoreMode, type StoreCopy } from '../../platform/test/fakeStore.js';
import {
  publishReplica,
  orderedLayers,
  observedArrivals,
  observedRuns,
  removeReplica,
  writeEntry,
  sharedParts,
  writeConfig,
  type ObservedArrival,
  type ObservedRun,
} from '../../platform/test/wireViews.js';
import { ProcessGroup, type RunningProcess } from '../../src/bench/node/processes.js';
import { FaultProxy } from '../../src/bench/node/faultProxy.js';
import { SeededRandom } from '../../src/base/common/random.js';
import { gatewaySchema } from '../../src/services/settings/common/settings.js';
import { maxEventsPerMessage } from '../../src/gateway/feeds/common/batchLog.js';
import { crashingPrefix, retryBudget } from '../common/checkers.js';
import {
  RequestKind,
  servicesByKind,
  type CrashRecord,
  type KeyRecord,
  type OrderRecord,
} from '../common/records.js';
import { longRouteTimeoutMs, shutdownGraceMs } from '../common/timeLimits.js';
import { oddEntries } from './oddEntries.js';

const dataCentres = ['a', 'b', 'c'];

/** Services of which the route of long streams uses one at a time. */
const longServices = servicesByKind[RequestKind.LongStream];

/** Number of endpoints of each of them. */
const longEndpointCount = 6;

/** Time between two events of a stream, and of a long one, in milliseconds. */
const eventMs = 10;
const minLongEventMs = 170;
const maxLongEventMs = 500;

/**
 * Number of layers that each kind of accelerator can hold: its memory divided by the size of a
 * layer.
 */
const maxLayersByKind: Readonly<Record<string, number>> = { big: 10, small: 5 };

/** Time after which the store entry of a crashed endpoint is removed, in milliseconds. */
const storeEntryExpiryMs = 1_000;

/** Time for which the store is away before it comes back from a copy, in milliseconds. */
const storeAwayMs = 300;

/** Time after which the operator and the endpoints write again what the store has lost, in ms. */
const rewriteDelayMs = 500;

/** Time for which an endpoint serves after its entry was removed, beyond the fault's, in milliseconds. */
const serveAfterRemovalMs = 6_000;

/** Time for which an endpoint is down after a request has crashed it, in milliseconds. */
const crashDownMs = 700;

/** Time for which it is down if a part of the prompt has crashed it, in milliseconds. */
const partCrashDownMs = 2_000;

/** Objects in a page of a list while pages show states of different ages. */
const smallPageSize = 8;

/** Time for which old pages are shown after more changes than an update holds, in milliseconds. */
const oldPagesMs = 1_500;

/** Entry of an endpoint of a service that no route uses. */
const idleEntry = {
  service: 'idle',
  addr: '127.0.0.1:9',
  zone: 'a',
  slots: 1,
  state: 'ready',
  born: 1,
};

/** First characters of the ids of parts of prompts that crash endpoints. */
export const crashingPartPrefix = 'dead';

/** Organisation whose key is never revoked. */
const permanentOrganisation = 'org-1';

/** Key that is never revoked. */
export const permanentKey = 'key-lasting';

/** Options of an endpoint whose streams take between one and three seconds. */
class LongStreamOptions implements FakeReplicaOptions {
  readonly hasRequestIdInBody = true;

  private readonly random: SeededRandom;

  /** @param index - Number of the endpoint, and seed of its pauses. */
  constructor(
    readonly id: string,
    readonly service: string,
    readonly zone: string,
    readonly kind: string | undefined,
    index: number,
  ) {
    this.random = new SeededRandom(index);
  }

  /** Time between two events of the next stream, in milliseconds. */
  get eventMs(): number {
    return this.random.integer(minLongEventMs, maxLongEventMs);
  }
}

/** A gateway process with one proxy between it and its callers and one between it and the store. */
export interface SoakGateway {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerProxy: FaultProxy;
  readonly storeProxy: FaultProxy;
  process: RunningProcess;
}

/** A stand-in endpoint behind a proxy. */
export interface SoakEndpoint {
  readonly name: string;
  readonly proxy: FaultProxy;
  replica: FakeReplica;
  /** Number of times that the endpoint was started. */
  startCount: number;
  /** Whether its entry was removed from the store although it still serves. */
  hasLeft: boolean;
}

/**
 * System under test: the gateways run as separate processes; the stand-in store, the stand-in
 * endpoints and all proxies run in this process.
 */
export class SoakFleet {
  readonly store = new FakeStore();

  readonly gateways: SoakGateway[] = [];

  readonly endpoints: SoakEndpoint[] = [];

  readonly keys: KeyRecord[] = [];

  /** Ends of endpoints' processes, whatever caused them. */
  readonly crashes: CrashRecord[] = [];

  /** Descriptions of gateway failures, such as a process that exited unexpectedly. */
  readonly incidents: string[] = [];

  /** Highest resident memory of a gateway that {@link checkMemory} has read, in megabytes. */
  peakMemoryMb = 0;

  private readonly group = new ProcessGroup(
    fileURLToPath(new URL('../../../build/', import.meta.url)),
    deployedFlags,
    smallestMachine.maxDescriptors,
  );

  private readonly replicas: FakeReplica[] = [];

  /** Endpoints that are down after a crash. */
  private readonly downEndpoints = new Set<SoakEndpoint>();

  private configVersion = 1;

  private unusedRouteCount = 0;

  private longService = longServices[0];

  private storePort = 0;

  /** Processes that were asked to end, so that their exit is not an incident. */
  private readonly expectedExits = new Set<RunningProcess>();

  /** Directory with the gateways' logs. */
  get directory(): string {
    return this.group.directory;
  }

  /**
   * Starts the store, the endpoints and the gateways.
   *
   * @param gatewayCount - Number of gateways, which are spread over three data centres.
   */
  async start(gatewayCount: number): Promise<void> {
    this.storePort = parsePort(await this.store.listen());
    this.recordKey(permanentKey, permanentOrganisation);
    this.publishConfig();
    for (let index = 0; index < 9; index += 1) {
      await this.addEndpoint(`engine-${index}`, 'model', index, index % 3 === 0 ? 'big' : 'small');
    }
    for (let index = 0; index < 3; index += 1) {
      await this.addEndpoint(`app-${index}`, 'app', index, undefined);
    }
    for (const service of longServices) {
      for (let index = 0; index < longEndpointCount; index += 1) {
        const kind = index % 3 === 0 ? 'big' : 'small';
        await this.addEndpoint(`${service}-${index}`, service, index, kind);
      }
    }
    for (let index = 0; index < gatewayCount; index += 1) {
      await this.addGateway(`gateway-${index}`, dataCentres[index % dataCentres.length]);
    }
  }

  /** Returns the requests that the endpoints ran, in the order of arrival at each endpoint. */
  runs(): readonly ObservedRun[] {
    const names = new Map(this.endpoints.map(({ name, proxy }) => [proxy.port, name]));
    return this.replicas.flatMap(observedRuns).map((run) => ({
      ...run,
      path: run.path.map((address) => names.get(parsePort(address)) ?? address),
    }));
  }

  /** Returns the requests that reached the endpoints, also those that they rejected. */
  arrivals(): readonly ObservedArrival[] {
    return this.replicas.flatMap(observedArrivals);
  }

  /** Returns the orders that the endpoints accepted. */
  orders(): readonly OrderRecord[] {
    return this.replicas.flatMap((replica) =>
      orderedLayers(replica).map((layers) => ({
        endpoint: replica.options.id,
        layers,
        maxLayers: maxLayersByKind[replica.options.kind ?? ''] ?? 0,
      })),
    );
  }

  /** Adds a key to the configuration. */
  addKey(): void {
    this.recordKey(`key-${this.keys.length}`, `org-${this.keys.length + 1}`);
    this.publishConfig();
  }

  /** Revokes the newest active key other than the permanent one, if there is one. */
  revokeKey(): void {
    const revocableFlags = this.keys.map(
      ({ key, toMs }) => toMs === Infinity && key !== permanentKey,
    );
    const index = revocableFlags.lastIndexOf(true);
    if (index >= 0) {
      this.publishConfig(this.keys[index].key);
      this.keys[index] = { ...this.keys[index], toMs: Date.now() };
    }
  }

  /** Adds 50 routes that no caller uses, to make the configuration larger. */
  growConfig(): void {
    this.unusedRouteCount += 50;
    this.publishConfig();
  }

  /** Lets the route of long streams go to the other one of its services. */
  moveRoute(): void {
    this.longService = longServices.find((service) => service !== this.longService) ?? '';
    this.publishConfig();
  }

  /** Kills or gracefully stops a gateway and starts it again. */
  async restartGateway(gateway: SoakGateway, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const { process } = gateway;
    this.checkMemory(gateway);
    this.expectedExits.add(process);
    process.signal(signal);
    const killTimer = setTimeout(() => {
      this.incidents.push(`${gateway.name} did not exit within ${shutdownGraceMs} ms`);
      process.signal('SIGKILL');
    }, shutdownGraceMs);
    await process.waitForExit();
    clearTimeout(killTimer);
    this.writeSettings(gateway.name, gateway.dataCentre, gateway.storeProxy.port, false);
    if (signal === 'SIGTERM' && process.exitStatus !== 0) {
      this.incidents.push(`${gateway.name} exited with status ${process.exitStatus ?? 'none'}`);
    }
    gateway.process = await this.startProcess(gateway);
  }

  /** Crashes an endpoint and restarts it without layers, under its old name or a new one. */
  async crashEndpoint(
    endpoint: SoakEndpoint,
    downMs: number,
    keepsName: boolean,
    part?: string,
  ): Promise<void> {
    if (this.downEndpoints.has(endpoint)) {
      return;
    }
    this.downEndpoints.add(endpoint);
    this.crashes.push({ endpoint: endpoint.replica.options.id, atMs: Date.now(), part });
    endpoint.replica.close();
    endpoint.proxy.resetConnections();
    endpoint.proxy.refuseConnections();
    const { id, service, zone, kind } = endpoint.replica.options;
    const expiryTimer = setTimeout(() => removeReplica(this.store, id), storeEntryExpiryMs);
    await sleep(downMs);
    clearTimeout(expiryTimer);
    removeReplica(this.store, id);
    endpoint.startCount += 1;
    const { limit, isLeaving, pauseText } = endpoint.replica;
    const saysNothing = limit === undefined && !isLeaving && pauseText === undefined;
    const isSameName = keepsName && !endpoint.hasLeft && saysNothing;
    const name = isSameName ? id : `${endpoint.name}-${endpoint.startCount}`;
    await this.startReplica(endpoint, name, service, zone, kind);
    await endpoint.proxy.acceptConnections();
    this.downEndpoints.delete(endpoint);
  }

  /**
   * Takes the store away for a moment and brings it back from a copy. The operator and the endpoints
   * write their objects again; entries of endpoints that have ended since then expire.
   */
  async bringStoreBack(copy: StoreCopy): Promise<void> {
    this.store.mode = StoreMode.Silent;
    await sleep(storeAwayMs);
    this.store.comeBackFrom(copy);
    this.store.mode = StoreMode.Serving;
    await sleep(rewriteDelayMs);
    this.writeConfig();
    const running = this.endpoints.filter(
      (endpoint) => !this.downEndpoints.has(endpoint) && !endpoint.hasLeft,
    );
    running.forEach(({ replica }) => publishReplica(this.store, replica));
    await sleep(storeEntryExpiryMs);
    const listed = this.endpoints.filter(({ hasLeft }) => !hasLeft);
    const current = new Set(listed.map(({ replica }) => replica.options.id));
    this.replicas
      .map(({ options }) => options.id)
      .filter((id) => !current.has(id))
      .forEach((id) => removeReplica(this.store, id));
  }

  /** Announces that an endpoint drains, then replaces it by one with a new name. */
  async drainEndpoint(endpoint: SoakEndpoint, durationMs: number): Promise<void> {
    const { replica } = endpoint;
    replica.state = 'draining';
    publishReplica(this.store, replica);
    await sleep(durationMs);
    await this.crashEndpoint(endpoint, 0, false);
  }

  /** Removes the entry of an endpoint that goes on serving, then replaces it by one with a new name. */
  async removeEntry(endpoint: SoakEndpoint, durationMs: number): Promise<void> {
    const { replica } = endpoint;
    endpoint.hasLeft = true;
    removeReplica(this.store, replica.options.id);
    await sleep(durationMs + serveAfterRemovalMs);
    if (endpoint.replica === replica) {
      await this.crashEndpoint(endpoint, 0, false);
    }
  }

  /** Writes entries of endpoints that don't exist, each with something that no endpoint writes. */
  writeOddEntries(prefix: string): void {
    oddEntries().forEach((entry, index) => writeEntry(this.store, `${prefix}-${index}`, entry));
  }

  /** Removes the entries that {@link writeOddEntries} wrote. */
  removeOddEntries(prefix: string): void {
    oddEntries().forEach((_entry, index) => removeReplica(this.store, `${prefix}-${index}`));
  }

  /**
   * Lets lists that may lag show pages of different ages for a time, and writes more changes meanwhile than
   * an update between gateways holds, so that those which follow the watchers read a list.
   */
  async showOldPages(durationMs: number): Promise<void> {
    const { store } = this;
    const { pageSize } = store;
    store.laggingCopy = store.copy();
    store.isFirstPageCurrent = true;
    store.pageSize = smallPageSize;
    await sleep(durationMs);
    const names = Array.from(
      { length: maxEventsPerMessage + 1 },
      (_unused, index) => `idle-${index}`,
    );
    names.forEach((name) => writeEntry(store, name, idleEntry));
    await sleep(oldPagesMs);
    store.laggingCopy = undefined;
    store.pageSize = pageSize;
    names.forEach((name) => removeReplica(store, name));
  }

  /** Lets an endpoint say in its answers that it leaves, then replaces it by one with a new name. */
  async sayLeaving(endpoint: SoakEndpoint, durationMs: number): Promise<void> {
    const { replica } = endpoint;
    replica.isLeaving = true;
    await sleep(durationMs + serveAfterRemovalMs);
    if (endpoint.replica === replica) {
      await this.crashEndpoint(endpoint, 0, false);
    }
  }

  /** Returns the number of requests to which endpoints wrote bytes that are no answer. */
  countFaultyAnswers(): number {
    return this.replicas.reduce((sum, { faultyAnswerCount }) => sum + faultyAnswerCount, 0);
  }

  /** Records an incident if a gateway has used more memory than the smallest machine has. */
  checkMemory({ name, process }: SoakGateway): void {
    const peakMb = readPeakMemoryMb(process.pid);
    this.peakMemoryMb = Math.max(this.peakMemoryMb, peakMb);
    if (peakMb >= smallestMachine.memoryMb) {
      this.incidents.push(`${name} used ${Math.round(peakMb)} MB`);
    }
  }

  /** Ends all processes and closes all sockets. */
  async close(): Promise<void> {
    this.gateways.forEach(({ process }) => this.expectedExits.add(process));
    await this.group.close();
    this.gateways.forEach(({ callerProxy, storeProxy }) => {
      callerProxy.close();
      storeProxy.close();
    });
    this.endpoints.forEach(({ proxy, replica }) => {
      proxy.close();
      replica.close();
    });
    this.store.close();
  }

  private recordKey(key: string, organisation: string): void {
    this.keys.push({ key, organisation, fromMs: Date.now(), toMs: Infinity });
  }

  private publishConfig(withoutKey?: string): void {
    this.configVersion += 3;
    this.writeConfig(withoutKey);
  }

  private writeConfig(withoutKey?: string): void {
    const activeKeys = this.keys.filter(({ key, toMs }) => toMs === Infinity && key !== withoutKey);
    writeConfig(
      this.store,
      this.configVersion,
      activeKeys,
      this.unusedRouteCount,
      {
        name: RequestKind.LongStream,
        timeoutMs: longRouteTimeoutMs,
        services: longServices,
        currentService: this.longService,
      },
      deployedLimits,
    );
  }

  private async addEndpoint(
    name: string,
    service: string,
    index: number,
    kind: string | undefined,
  ): Promise<void> {
    const proxy = new FaultProxy(0, 0);
    await proxy.listen();
    const zone = dataCentres[Math.floor(index / 3) % dataCentres.length];
    const endpoint = { name, proxy, startCount: 1, hasLeft: false } as SoakEndpoint;
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
    const replica = new FakeReplica(
      longServices.includes(service)
        ? new LongStreamOptions(id, service, zone, kind, this.replicas.length)
        : { id, service, zone, kind, eventMs, hasRequestIdInBody: true },
    );
    await replica.listen();
    endpoint.proxy.targetPort = parsePort(replica.address);
    replica.address = `127.0.0.1:${endpoint.proxy.port}`;
    endpoint.replica = replica;
    endpoint.hasLeft = false;
    this.replicas.push(replica);
    replica.crashesOn = (seen) => {
      const part = sharedParts(seen).find((each) => each.startsWith(crashingPartPrefix));
      if (part !== undefined || seen.target.includes(`/${crashingPrefix}`)) {
        const downMs = part === undefined ? crashDownMs : partCrashDownMs;
        void this.crashEndpoint(endpoint, downMs, this.replicas.length % 2 === 0, part);
      }
      return false;
    };
    replica.onOrder = () => {
      if (!endpoint.hasLeft) {
        publishReplica(this.store, replica);
      }
    };
    replica.onOrder();
  }

  private async addGateway(name: string, dataCentre: string): Promise<void> {
    const callerProxy = new FaultProxy(0, 0);
    const storeProxy = new FaultProxy(this.storePort, 0);
    await Promise.all([callerProxy.listen(), storeProxy.listen()]);
    this.writeSettings(name, dataCentre, storeProxy.port, true);
    const gateway = { name, dataCentre, callerProxy, storeProxy } as SoakGateway;
    gateway.process = await this.startProcess(gateway);
    this.gateways.push(gateway);
  }

  private writeSettings(
    name: string,
    dataCentre: string,
    storePort: number,
    isFirstStart: boolean,
  ): void {
    this.group.writeSettings(name, {
      instance: name,
      host: '127.0.0.1',
      place: dataCentre,
      region: 'r',
      callerAddress: '127.0.0.1:0',
      readyAddress: '127.0.0.1:0',
      peerPort: 0,
      metricsPort: 0,
      storeAddress: `127.0.0.1:${storePort}`,
      drainMs: shutdownGraceMs,
      retryRatio: retryBudget.ratio,
      retryWindowMs: retryBudget.windowMs,
      retrySlack: retryBudget.slack,
      isFirstStart,
      ...('memoryMb' in gatewaySchema.entries ? smallestMachine : {}),
    });
  }

  private async startProcess(gateway: SoakGateway): Promise<RunningProcess> {
    const args = ['--settings', `${this.group.directory}/${gateway.name}.yaml`];
    const startedPattern = /event=started .*callers=127\.0\.0\.1:(\d+)/;
    const process = await this.group.start(gateway.name, 'gateway', args, startedPattern);
    gateway.callerProxy.targetPort = Number(process.listenAddress);
    void process.waitForExit().then(() => {
      if (!this.expectedExits.has(process)) {
        this.incidents.push(
          `${gateway.name} exited unexpectedly with status ${process.exitStatus ?? 'none (signal)'}`,
        );
      }
    });
    return process;
  }
}

function parsePort(address: string): number {
  return Number(address.split(':')[1]);
}

/** Resolves after a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
