import { createServer, request, type Agent, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { sha256Hex } from '../../../base/common/digest.js';
import type { LogFields } from '../../../base/common/logger.js';
import { sleep, SystemClock } from '../../../base/node/systemClock.js';
import { AgentProgram } from '../../../agent/node/agentProgram.js';
import { hashKey } from '../../../entry/http/common/callerDirectory.js';
import { EntryProgram } from '../../../entry/node/entryProgram.js';
import { InstanceRole, InstanceState } from '../../../services/instances/common/instance.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import { ObjectKind } from '../../../services/objects/common/objects.js';
import { HttpObjectStore } from '../../../services/objects/node/httpObjectStore.js';
import { RunState, type Problem } from '../../../services/problem/common/problem.js';
import {
  agentSchema,
  checkSettings,
  entrySchema,
} from '../../../services/settings/common/settings.js';
import { createTestIntake } from '../../../services/exchange/test/node/answerFixtures.js';
import { EngineServer } from '../../../standin/node/engineServer.js';
import { HistoryWriter } from '../../../standin/node/history.js';
import { PlatformServer } from '../../../standin/node/platformServer.js';
import { bearerKeyOf } from '../../node/fleet.js';
import { ProcessGroup, type RunningProcess } from '../../node/processes.js';

export const host = '127.0.0.1';

export const organisation = 'org';

/** Time that a connection's end may take to reach the caller, in milliseconds. */
const crossingMs = 200;

const metrics = {
  increment: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => Promise.resolve(),
};

/** Headers of an authenticated request. */
export function headersOf(idempotencyKey?: string): Record<string, string> {
  return {
    authorization: `Bearer ${bearerKeyOf(organisation)}`,
    'content-type': 'application/json',
    ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
  };
}

/** A request to an entry, and what its caller received. */
export interface PlayedRequest {
  readonly id: string;
  /** Status; undefined if no head arrived. */
  readonly status: number | undefined;
  readonly body: string;
  readonly isComplete: boolean;
  /** Whether the entry accepted no connection any more. */
  readonly wasRefused: boolean;
  /** Time from the last byte of the request to the end of the answer or the connection, in milliseconds. */
  readonly tookMs: number;
}

/** Plain service whose paths name the duration of a call: `/MILLISECONDS/ID`. */
export class TimedService {
  /** Number of calls that began, by id. */
  readonly runs = new Map<string, number>();

  /** Size of the filler in each answer, in bytes. */
  fillerBytes = 0;

  private readonly server: Server = createServer((req, res) => {
    const [, workMs, id = ''] = (req.url ?? '').split('/');
    if (id !== '') {
      this.runs.set(id, (this.runs.get(id) ?? 0) + 1); // the probes of agents have no id
    }
    req.resume();
    setTimeout(
      () => res.end(JSON.stringify({ id, filler: 'x'.repeat(this.fillerBytes) })),
      Number(workMs),
    );
  });

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, host, resolve);
    });
    return `http://${host}:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Program under test, with the port that it logs when it starts. */
interface StartedProgram<T> {
  readonly program: T;
  readonly port: number;
  readonly events: readonly LogFields[];
}

/** Platform, stand-ins, agents and entries in this process. */
export class DrainFleet {
  readonly service = new TimedService();

  private readonly platform = new PlatformServer(1, 0, 100_000);

  private readonly closers: (() => Promise<void> | void)[] = [];

  platformUrl = '';

  private operator = new HttpObjectStore('http://127.0.0.1', 1, createTestIntake());

  async start(): Promise<void> {
    this.platformUrl = await this.platform.listen(host, 0);
    this.operator = new HttpObjectStore(this.platformUrl, 1_000, createTestIntake());
    this.closers.push(() => this.platform.close());
    this.closers.push(() => this.operator.close());
    const records: readonly (readonly [ObjectKind, string, unknown])[] = [
      [ObjectKind.Services, 'work', { name: 'work' }],
      [
        ObjectKind.Organisations,
        organisation,
        { name: organisation, keyHashes: [hashKey(bearerKeyOf(organisation))] },
      ],
      [ObjectKind.RuleChunks, sha256Hex(''), { text: '' }],
      [ObjectKind.RuleManifest, 'rules', { revision: 1, chunks: [sha256Hex('')], changes: [] }],
      [
        ObjectKind.Models,
        'm',
        { name: 'm', layers: 2, layerMiB: 1, replicas: 1, contextTokens: 100_000, version: '1' },
      ],
    ];
    for (const [kind, name, value] of records) {
      (await this.operator.put(kind, name, value, 0)).unwrap();
    }
  }

  /** Starts an agent beside the timed service. */
  async addServiceAgent(drainMs: number): Promise<StartedProgram<AgentProgram>> {
    const url = await this.service.listen();
    this.closers.push(() => this.service.close());
    return this.addServiceAgentAt(url, drainMs);
  }

  /** Starts an agent beside a service at a URL. */
  addServiceAgentAt(url: string, drainMs: number): Promise<StartedProgram<AgentProgram>> {
    return this.addAgent('work-1', { service: { name: 'work', url }, drainMs });
  }

  /** Starts an agent process beside the timed service. */
  async addServiceAgentProcess(drainMs: number): Promise<RunningProcess> {
    const url = await this.service.listen();
    const group = new ProcessGroup(
      fileURLToPath(new URL('../../../../../build/', import.meta.url)),
    );
    this.closers.push(() => this.service.close());
    this.closers.push(() => group.close());
    const path = group.writeSettings('work-1', {
      ...this.commonSettings('work-1'),
      service: { name: 'work', url },
      drainMs,
    });
    const pattern = /agent-started.*port=(\d+)/;
    const agent = await group.start('work-1', 'agent', ['--settings', path], pattern);
    await this.publishAgent('work-1', Number(agent.listenAddress));
    return agent;
  }

  /** Starts an engine that takes `layerMs` for each layer of a token, and its agent. */
  async addEngineAgent(
    name: string,
    layerMs: number,
    drainMs: number,
  ): Promise<StartedProgram<AgentProgram>> {
    const options = {
      accelerator: AcceleratorKind.Medium,
      memoryMiB: 100,
      layerMicros: layerMs * 1_000,
      capacity: 32,
      checksTerm: true,
      platformUrl: this.platformUrl,
      crashText: '!crash!',
    };
    const engine = new EngineServer(options, new HistoryWriter(undefined, name));
    const engineUrl = await engine.listen(host, 0);
    this.closers.push(() => engine.close());
    return this.addAgent(name, { engineUrl, drainMs });
  }

  /** Starts an entry and waits until it serves. */
  async addEntry(
    drainMs: number,
    endpointCount: number,
    isServing: () => Promise<boolean> = () => Promise.resolve(true),
  ): Promise<StartedProgram<EntryProgram>> {
    const settings = checkSettings(entrySchema, {
      ...this.commonSettings('entry-1'),
      httpPort: 0,
      drainMs,
      instancePollMs: 100,
    }).unwrap();
    const { dependencies, events } = this.dependencies();
    const program = new EntryProgram({ settings, ...dependencies });
    await program.start();
    const started = events.find(({ event }) => event === 'entry-started');
    const port = Number(new URL(String(started?.address)).port);
    const isReady = async () => {
      const joined = events.filter(({ event }) => event === 'endpoint-joined').length;
      const res = await fetch(`http://${host}:${port}/healthz`, {
        headers: { connection: 'close' },
      });
      await res.text();
      return res.status === 200 && joined >= endpointCount && (await isServing());
    };
    await waitUntil(isReady);
    return { program, port, events };
  }

  /** Closes everything but the programs, which the tests drain and close. */
  async close(): Promise<void> {
    for (const close of this.closers.reverse()) {
      await close();
    }
  }

  private async addAgent(name: string, extra: object): Promise<StartedProgram<AgentProgram>> {
    const settings = checkSettings(agentSchema, {
      ...this.commonSettings(name),
      ...extra,
    }).unwrap();
    const { dependencies, events } = this.dependencies();
    const program = new AgentProgram({ settings, ...dependencies });
    await program.start();
    const port = Number(events.find(({ event }) => event === 'agent-started')?.port);
    await this.publishAgent(name, port);
    return { program, port, events };
  }

  /** Writes an agent to the platform's instance list. */
  async publishAgent(name: string, port: number): Promise<void> {
    const record = {
      id: name,
      role: InstanceRole.Agent,
      address: `${host}:${port}`,
      place: 'p',
      region: 'r',
      state: InstanceState.Live,
    };
    await fetch(`${this.platformUrl}/control/instances`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', connection: 'close' },
      body: JSON.stringify(record),
    });
  }

  /** Returns the settings that entries and agents have in common. */
  commonSettings(instance: string): object {
    return { instance, place: 'p', region: 'r', linkPort: 0, platformUrl: this.platformUrl };
  }

  private dependencies() {
    const events: LogFields[] = [];
    const log = (_level: unknown, event: string, fields: LogFields = {}) =>
      events.push({ event, ...fields });
    const store = new HttpObjectStore(this.platformUrl, 1_000, createTestIntake());
    this.closers.push(() => store.close());
    return { events, dependencies: { clock: new SystemClock(), logger: { log }, metrics, store } };
  }
}

/** Polls a condition until it holds; the test's own timeout bounds the wait. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await sleep(10);
  }
}

/** What to send, and how. */
export interface RequestOptions {
  readonly id: string;
  readonly path: string;
  /** Key of a submission; a lookup without one. */
  readonly key?: string;
  readonly body?: string;
  /** Time between the two halves of the body, in milliseconds. */
  readonly bodyDelayMs?: number;
  readonly agent?: Agent;
}

/** Sends a request and waits for the end of its answer or of the connection; never rejects. */
export function play(port: number, options: RequestOptions): Promise<PlayedRequest> {
  const { id, path, key, bodyDelayMs = 0 } = options;
  const body = options.body ?? (key === undefined ? '' : '{"a":1}');
  return new Promise((resolve) => {
    let sentMs = performance.now();
    const finish = (
      status: number | undefined,
      text: string,
      isComplete: boolean,
      wasRefused = false,
    ) =>
      resolve({
        id,
        status,
        body: text,
        isComplete,
        wasRefused,
        tookMs: performance.now() - sentMs,
      });
    const req = request(
      {
        host,
        port,
        path,
        method: body === '' ? 'GET' : 'POST',
        agent: options.agent ?? false,
        headers: {
          ...headersOf(key),
          ...(body === '' ? {} : { 'content-length': Buffer.byteLength(body) }),
        },
      },
      (res) => {
        let text = '';
        res.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        res.on('error', () => undefined);
        res.on('close', () => finish(res.statusCode, text, res.complete));
      },
    );
    req.on('error', (err: NodeJS.ErrnoException) =>
      finish(undefined, '', false, err.code === 'ECONNREFUSED'),
    );
    const half = Math.floor(body.length / 2);
    if (bodyDelayMs > 0) {
      req.write(body.slice(0, half));
    }
    setTimeout(() => {
      sentMs = performance.now();
      req.end(body.slice(bodyDelayMs > 0 ? half : 0));
    }, bodyDelayMs);
  });
}

/** Returns why an answer breaks a promise of the planned stop; undefined if it keeps all. */
export function faultOf(
  { id, status, body, isComplete, wasRefused, tookMs }: PlayedRequest,
  runs: number,
): string | undefined {
  if (!isComplete) {
    const crossedTheClose =
      status === undefined && runs === 0 && (wasRefused || tookMs <= crossingMs);
    return crossedTheClose ? undefined : `${id}: no whole answer after ${Math.round(tookMs)} ms`;
  }
  if (status === 200) {
    return (JSON.parse(body) as { id: string }).id === id ? undefined : `${id}: other answer`;
  }
  const { run } = JSON.parse(body) as Problem;
  return (run === RunState.NotRun) === (runs === 0) ? undefined : `${id}: ${status} ${run} ${runs}`;
}
