import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { request } from 'undici';
import { sha256Hex } from '../../base/common/digest.js';
import { sleep, SystemClock } from '../../base/node/systemClock.js';
import { hashKey } from '../../entry/http/common/callerDirectory.js';
import {
  InstanceRole,
  InstanceState,
  type InstanceRecord,
} from '../../services/instances/common/instance.js';
import type { AcceleratorKind } from '../../services/model/common/model.js';
import { absentVersion, ObjectKind } from '../../services/objects/common/objects.js';
import { HttpObjectStore } from '../../services/objects/node/httpObjectStore.js';
import { createStoreIntake } from '../../services/objects/node/storeConnections.js';
import type { RuleManifest } from '../../services/rules/common/ruleStore.js';
import type { HistoryEvent } from '../../standin/common/historyEvent.js';
import { ProcessGroup, ProcessRestarts, type RunningProcess } from './processes.js';
import { FaultProxy } from './faultProxy.js';

/** Configuration of an engine and its agent. */
export interface EngineSpec {
  readonly name: string;
  readonly dataCentre: string;
  readonly accelerator: AcceleratorKind;
  readonly memoryMiB: number;
  /** Time to run one layer, in microseconds. */
  readonly layerMicros: number;
  readonly capacity: number;
  /** True if the engine accepts orders with an outdated fencing token. */
  readonly ignoreTerm?: boolean;
}

/** Configuration of a replica of a plain service and its agent. */
export interface ServiceSpec {
  readonly name: string;
  readonly dataCentre: string;
  readonly service: string;
  /** Duration of each call, in milliseconds. */
  readonly workMs: number;
}

/** Model that a fleet serves. Its record is written to the platform. */
export interface FleetModel {
  readonly name: string;
  readonly layers: number;
  readonly layerMiB: number;
  readonly replicas: number;
}

/** Configuration of a fleet. */
export interface FleetSpec {
  readonly entries: number;
  readonly engines: readonly EngineSpec[];
  readonly services: readonly ServiceSpec[];
  readonly models: readonly FleetModel[];
  readonly organisations: readonly string[];
  readonly rules: string;
  readonly seed: number;
  /** Delay of the proxy in front of each agent, in milliseconds; undefined for no proxies. */
  readonly linkDelayMs?: number;
  /** Delay of the instance list after a change, in milliseconds; 300 by default. */
  readonly listLagMs?: number;
  /** Additional settings of all entries or all agents. */
  readonly entrySettings?: Record<string, unknown>;
  readonly agentSettings?: Record<string, unknown>;
  /** Additional settings of single entries, in the order of the entries. */
  readonly entrySettingsByIndex?: readonly Record<string, unknown>[];
}

/** Bearer key of the administration API in all fleets. */
export const adminKey = 'fleet-administration-key';

/**
 * Returns the bearer key of an organisation.
 *
 * @param organisation - Name of the organisation.
 * @returns The key.
 */
export function bearerKeyOf(organisation: string): string {
  return `key-of-${organisation}`;
}

/** A running endpoint: the stand-in for an engine or plain service, and its agent. */
export interface FleetEndpoint {
  readonly name: string;
  readonly dataCentre: string;
  readonly isService: boolean;
  /** Proxy in front of the agent, if any. */
  readonly proxy: FaultProxy | undefined;
  standin: RunningProcess;
  agent: RunningProcess;
  agentPort: number;
}

/** A running entry. */
export interface FleetEntry {
  readonly name: string;
  readonly port: number;
  process: RunningProcess;
}

const region = 'sicilia-est';

/** Time within which an entry, or the endpoints it sees, must become ready, in milliseconds. */
const readyTimeoutMs = 30_000;

const readyPollMs = 25;

/** Runs a complete system on loopback: platform, endpoints and entries as separate processes. */
export class Fleet {
  readonly group = new ProcessGroup();

  readonly endpoints = new Map<string, FleetEndpoint>();

  readonly entries: FleetEntry[] = [];

  private readonly standinRestarts = new ProcessRestarts();

  private platformProcess: RunningProcess | undefined;

  platformUrl = '';

  private readonly storeAnswers = createStoreIntake(() => undefined, new SystemClock(), {
    log: () => undefined,
  });

  private store = new HttpObjectStore('http://127.0.0.1', 1, this.storeAnswers);

  /** @param spec - Configuration of the fleet. */
  constructor(readonly spec: FleetSpec) {}

  /** Starts all processes and waits until the entries see the models' chains and the services. */
  async start(): Promise<void> {
    await this.startPlatform();
    await this.writeConfiguration();
    const { engines, services } = this.spec;
    await Promise.all([
      ...engines.map((engine) => this.startEngineEndpoint(engine)),
      ...services.map((service) => this.startServiceEndpoint(service)),
    ]);
    for (let index = 0; index < this.spec.entries; index += 1) {
      this.entries.push(await this.startEntry(`entry-${index + 1}`, 0));
    }
    await this.waitUntilReady();
  }

  /** Returns the base URL of an entry; the index wraps around. */
  url(index: number): string {
    return `http://127.0.0.1:${this.entries[index % this.entries.length].port}`;
  }

  /** Posts to the control interface of the platform stand-in. */
  async postControl(path: string, body: unknown): Promise<void> {
    const res = await request(`${this.platformUrl}/control/${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await res.body.dump();
  }

  /** Returns the numbers of reads, writes and watches that the platform has received. */
  async getPlatformCounts(): Promise<{ reads: number; writes: number; watches: number }> {
    const res = await request(`${this.platformUrl}/control/counts`);
    return (await res.body.json()) as { reads: number; writes: number; watches: number };
  }

  /** Reads a resource of an entry's administration API. */
  async getAdmin<T>(entry: number, path: string): Promise<T> {
    const res = await request(`${this.url(entry)}/admin/v1/${path}`, {
      headers: { authorization: `Bearer ${adminKey}` },
    });
    return (await res.body.json()) as T;
  }

  /** Applies a rule file through an entry. Returns the status and the body of the answer. */
  async applyRules(
    entry: number,
    text: string,
    baseRevision: number,
    author: string,
    id = `${author}-${baseRevision}-${Date.now()}`,
  ): Promise<{ readonly status: number; readonly body: { revision?: number } }> {
    const res = await request(`${this.url(entry)}/admin/v1/rules`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${adminKey}`, 'content-type': 'application/json' },
      body: JSON.stringify({ id, baseRevision, text, by: author }),
    });
    return { status: res.statusCode, body: (await res.body.json()) as { revision?: number } };
  }

  /** Reads the ids of the rule changes stored in the platform; none if the read fails. */
  async readStoredChanges(): Promise<readonly string[]> {
    const read = await this.store.get<RuleManifest>(ObjectKind.RuleManifest, 'rules');
    return read.isOk() ? (read.value?.value.changes ?? []).map((change) => change.id) : [];
  }

  /** Reads the events that the stand-ins recorded so far. */
  readHistory(): readonly HistoryEvent[] {
    try {
      const lines = readFileSync(this.historyPath, 'utf8').split('\n');
      return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as HistoryEvent);
    } catch {
      return [];
    }
  }

  /** Starts an engine and its agent, and adds the agent to the instance list. */
  async startEngineEndpoint(spec: EngineSpec): Promise<FleetEndpoint> {
    const standin = await this.startEngine(spec, 0);
    return this.startAgent(spec.name, spec.dataCentre, standin, {
      engineUrl: standin.listenAddress,
    });
  }

  /** Starts an engine process; port 0 selects a free port. */
  startEngine(spec: EngineSpec, port: number): Promise<RunningProcess> {
    const args = [
      ...['engine', '--name', spec.name, '--port', String(port)],
      ...['--platform-url', this.platformUrl, '--accelerator', spec.accelerator],
      ...['--memory-mib', String(spec.memoryMiB), '--layer-micros', String(spec.layerMicros)],
      ...['--capacity', String(spec.capacity), '--history', this.historyPath],
      ...(spec.ignoreTerm ? ['--ignore-term'] : []),
    ];
    return this.group.start(spec.name, 'standin', args, /listening (\S+)/);
  }

  /** Starts a plain service and its agent, and adds the agent to the instance list. */
  async startServiceEndpoint(spec: ServiceSpec): Promise<FleetEndpoint> {
    const standin = await this.startService(spec, 0);
    const service = { name: spec.service, url: standin.listenAddress };
    return this.startAgent(spec.name, spec.dataCentre, standin, { service });
  }

  /** Starts a plain service process; port 0 selects a free port. */
  startService(spec: ServiceSpec, port: number): Promise<RunningProcess> {
    const args = ['service', '--name', spec.name, '--work-ms', String(spec.workMs)];
    const moreArgs = ['--port', String(port), '--history', this.historyPath];
    return this.group.start(spec.name, 'standin', [...args, ...moreArgs], /listening (\S+)/);
  }

  /** Waits until an agent has exited and starts it again on the same port. */
  async restartAgent(name: string): Promise<void> {
    const endpoint = this.getEndpoint(name);
    await endpoint.agent.waitForExit();
    endpoint.agent = await this.spawnAgent(name, endpoint.agentPort);
  }

  /**
   * Waits until an engine or service has exited and starts it again on the same port, unless another fault
   * has ended it too and has started it again already.
   *
   * @param name - Name of the endpoint.
   * @param ended - Process that was ended.
   */
  async restartStandin(name: string, ended: RunningProcess): Promise<void> {
    const endpoint = this.getEndpoint(name);
    const port = Number(new URL(ended.listenAddress).port);
    const engine = this.spec.engines.find((spec) => spec.name === name);
    const service = this.spec.services.find((spec) => spec.name === name);
    if (engine) {
      endpoint.standin = await this.standinRestarts.restart(ended, () =>
        this.startEngine(engine, port),
      );
    } else if (service) {
      endpoint.standin = await this.standinRestarts.restart(ended, () =>
        this.startService(service, port),
      );
    }
  }

  /**
   * Waits until an entry has exited, starts it again on the same port and waits until it is ready.
   */
  async restartEntry(index: number): Promise<void> {
    const entry = this.entries[index];
    await entry.process.waitForExit();
    const started = await this.startEntry(entry.name, entry.port);
    entry.process = started.process;
    await this.waitUntilEntryReady(entry);
  }

  /** Starts an entry; port 0 selects a free port. */
  async startEntry(name: string, port: number): Promise<FleetEntry> {
    const path = this.group.writeSettings(name, {
      instance: name,
      place: 'ragusa',
      region,
      linkPort: 0,
      httpPort: port,
      platformUrl: this.platformUrl,
      adminKeyHashes: [hashKey(adminKey)],
      ...this.spec.entrySettings,
      ...this.spec.entrySettingsByIndex?.[this.entryIndexOf(name)],
    });
    const readyPattern = /entry-started.*address=http:\/\/127\.0\.0\.1:(\d+)/;
    const started = await this.group.start(name, 'entry', ['--settings', path], readyPattern);
    return { name, port: Number(started.listenAddress), process: started };
  }

  private entryIndexOf(entryName: string): number {
    return Number(entryName.split('-')[1]) - 1;
  }

  /** Waits until an entry reports ready on `/healthz`. */
  async waitUntilEntryReady(entry: FleetEntry): Promise<void> {
    await this.waitUntil(async () => {
      const res = await request(`http://127.0.0.1:${entry.port}/healthz`);
      await res.body.dump();
      return res.statusCode === 200;
    });
  }

  /** Writes the record of an endpoint's agent in the instance list. */
  async writeInstanceRecord(name: string, state: InstanceState): Promise<void> {
    const endpoint = this.getEndpoint(name);
    const record: InstanceRecord = {
      id: name,
      role: InstanceRole.Agent,
      address: `127.0.0.1:${endpoint.proxy?.port ?? endpoint.agentPort}`,
      place: endpoint.dataCentre,
      region,
      state,
    };
    await this.postControl('instances', record);
  }

  /** Returns an endpoint by name; throws if there is none. */
  getEndpoint(name: string): FleetEndpoint {
    const found = this.endpoints.get(name);
    if (found === undefined) {
      throw new Error(`fleet has no endpoint named ${name}`);
    }
    return found;
  }

  /** Closes the proxies and kills all processes. */
  async close(): Promise<void> {
    this.endpoints.forEach((endpoint) => endpoint.proxy?.close());
    await this.store.close();
    this.storeAnswers.close();
    await this.group.close();
  }

  /** Waits until each entry is ready and sees enough ready engines and all service replicas. */
  async waitUntilReady(): Promise<void> {
    for (const entry of this.entries) {
      await this.waitUntilEntryReady(entry);
    }
    const engineCount = this.spec.engines.length;
    const hasModels = this.spec.models.length > 0;
    for (let index = 0; index < this.entries.length; index += 1) {
      await this.waitUntil(async () => {
        const { endpoints } = await this.getAdmin<{ endpoints: { report: EndpointReadiness }[] }>(
          index,
          'endpoints',
        );
        const ready = endpoints.filter(({ report }) => report.ready);
        const engines = ready.filter(({ report }) => !report.service);
        const hasEnoughEngines =
          !hasModels || engines.length >= Math.min(engineCount, this.requiredEngineCount());
        return hasEnoughEngines && ready.length - engines.length >= this.spec.services.length;
      });
    }
  }

  /** Returns the number of ready engines to wait for: two stages for each replica of a model. */
  private requiredEngineCount(): number {
    return this.spec.models.reduce((sum, model) => sum + model.replicas * 2, 0);
  }

  private async waitUntil(condition: () => Promise<boolean>): Promise<void> {
    const untilMs = Date.now() + readyTimeoutMs;
    while (Date.now() < untilMs) {
      if (await condition().catch(() => false)) {
        return;
      }
      await sleep(readyPollMs);
    }
    throw new Error(`fleet did not become ready within ${readyTimeoutMs} ms`);
  }

  private get historyPath(): string {
    return join(this.group.directory, 'history.jsonl');
  }

  private async startPlatform(): Promise<void> {
    const args = ['platform', '--seed', String(this.spec.seed)];
    const lagArgs = ['--list-lag-ms', String(this.spec.listLagMs ?? 300)];
    const readyPattern = /listening (\S+)/;
    this.platformProcess = await this.group.start(
      'platform',
      'standin',
      [...args, ...lagArgs],
      readyPattern,
    );
    this.platformUrl = this.platformProcess.listenAddress;
    this.store = new HttpObjectStore(this.platformUrl, 2_000, this.storeAnswers);
  }

  private async writeConfiguration(): Promise<void> {
    for (const model of this.spec.models) {
      const record = { ...model, contextTokens: 100_000, version: '1' };
      await this.store.put(ObjectKind.Models, model.name, record, absentVersion);
    }
    for (const name of new Set(this.spec.services.map((service) => service.service))) {
      await this.store.put(ObjectKind.Services, name, { name }, absentVersion);
    }
    for (const name of this.spec.organisations) {
      const record = { name, keyHashes: [hashKey(bearerKeyOf(name))] };
      await this.store.put(ObjectKind.Organisations, name, record, absentVersion);
    }
    const chunk = sha256Hex(this.spec.rules);
    await this.store.put(ObjectKind.RuleChunks, chunk, { text: this.spec.rules }, absentVersion);
    const manifest = { revision: 1, chunks: [chunk], changes: [] };
    await this.store.put(ObjectKind.RuleManifest, 'rules', manifest, absentVersion);
  }

  private async startAgent(
    name: string,
    dataCentre: string,
    standin: RunningProcess,
    endpointSettings: Record<string, unknown>,
  ): Promise<FleetEndpoint> {
    this.group.writeSettings(`agent-${name}`, {
      instance: name,
      place: dataCentre,
      region,
      linkPort: 0,
      platformUrl: this.platformUrl,
      ...endpointSettings,
      ...this.spec.agentSettings,
    });
    const agent = await this.spawnAgent(name, undefined);
    const agentPort = Number(agent.listenAddress);
    const { linkDelayMs } = this.spec;
    const proxy = linkDelayMs === undefined ? undefined : new FaultProxy(agentPort, linkDelayMs);
    await proxy?.listen();
    const isService = 'service' in endpointSettings;
    const endpoint = { name, dataCentre, isService, proxy, standin, agent, agentPort };
    this.endpoints.set(name, endpoint);
    await this.writeInstanceRecord(name, InstanceState.Live);
    return endpoint;
  }

  private spawnAgent(name: string, port: number | undefined): Promise<RunningProcess> {
    const path = join(this.group.directory, `agent-${name}.yaml`);
    const args = ['--settings', path, ...(port === undefined ? [] : ['--link-port', String(port)])];
    return this.group.start(`agent-${name}`, 'agent', args, /agent-started.*port=(\d+)/);
  }
}

/** Part of an endpoint's report in the administration API. */
interface EndpointReadiness {
  readonly ready: boolean;
  readonly service: boolean;
}
