import type { SeededRandom } from '../../../base/common/random.js';
import { sleep } from '../../../base/node/systemClock.js';
import { InstanceState } from '../../../services/instances/common/instance.js';
import type { Fleet, FleetEndpoint } from '../../node/fleet.js';
import { CallEnd, FaultKind, type FaultRecord } from '../common/records.js';
import type { Operators } from './operators.js';
import type { Workload } from './workload.js';

/** Longest time that a fault and its recovery may take, in milliseconds. */
const actLimitMs = 90_000;

/** How long a frozen process stays frozen, in milliseconds. */
const freezeMs = 3_500;

/** How long a fault of the platform lasts, in milliseconds. */
const platformFaultMs = 4_000;

/** Time after a restart for links and placement, in milliseconds. */
const settleMs = 1_200;

/** How long an endpoint stays marked as leaving in the instance list, in milliseconds. */
const leavingMs = 6_000;

/** Brings faults about, waits for the end of their effects and records them. */
export class FaultDriver {
  readonly faults: FaultRecord[] = [];

  readonly badExits: string[] = [];

  private readonly busy = new Set<string>();

  /**
   * @param fleet - The system under test.
   * @param operators - Change rules.
   * @param workload - Sends requests.
   * @param random - Chooses targets.
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly operators: Operators,
    private readonly workload: Workload,
    private readonly random: SeededRandom,
  ) {}

  /**
   * Brings a fault about and returns when its effects are over.
   *
   * @param kind - Kind of the fault.
   */
  async cause(kind: FaultKind): Promise<void> {
    const target = this.targetOf(kind);
    if (target === undefined) {
      return;
    }
    this.busy.add(target);
    const startMs = Date.now();
    const fault = { kind, target, startMs, endMs: Number.MAX_SAFE_INTEGER };
    this.faults.push(fault);
    try {
      await Promise.race([this.act(kind, target), this.giveUp(kind, target)]);
    } finally {
      fault.endMs = Math.min(fault.endMs, Date.now());
      this.busy.delete(target);
    }
  }

  private async giveUp(kind: FaultKind, target: string): Promise<never> {
    await sleep(actLimitMs);
    throw new Error(`${kind} of ${target} took longer than ${actLimitMs} ms`);
  }

  private targetOf(kind: FaultKind): string | undefined {
    switch (kind) {
      case FaultKind.KillEntry:
      case FaultKind.FreezeEntry:
      case FaultKind.StopEntry:
        return this.choose(this.fleet.entries.map((entry) => entry.name));
      case FaultKind.KillService:
        return this.choose(this.names((endpoint) => endpoint.isService));
      case FaultKind.PlatformOutage:
      case FaultKind.PlatformSlow:
      case FaultKind.LostConfirmations:
      case FaultKind.StaleReads:
        return this.busy.has('platform') ? undefined : 'platform';
      case FaultKind.OperatorRace:
        return 'rules';
      case FaultKind.KillStage:
      case FaultKind.KillEngine:
      case FaultKind.FreezeEngine:
        return this.choose(this.names((endpoint) => !endpoint.isService));
      case FaultKind.CrashingRequest:
        return 'request';
      default:
        return this.choose(this.names(() => true));
    }
  }

  private names(accept: (endpoint: FleetEndpoint) => boolean): readonly string[] {
    return [...this.fleet.endpoints.values()].filter(accept).map((endpoint) => endpoint.name);
  }

  private choose(names: readonly string[]): string | undefined {
    const free = names.filter((name) => !this.busy.has(name));
    return free.length === 0 ? undefined : this.random.pick(free);
  }

  private async act(kind: FaultKind, target: string): Promise<void> {
    const endpoint = this.fleet.endpoints.get(target);
    if (endpoint) {
      await this.actOnEndpoint(kind, endpoint);
    } else if (target === 'platform') {
      await this.actOnPlatform(kind);
    } else if (kind === FaultKind.OperatorRace) {
      await this.operators.race();
    } else if (kind === FaultKind.CrashingRequest) {
      await this.crashWithRequest();
    } else {
      await this.actOnEntry(kind, target);
    }
  }

  private async actOnEndpoint(kind: FaultKind, endpoint: FleetEndpoint): Promise<void> {
    const { name, agent, standin, shaper } = endpoint;
    switch (kind) {
      case FaultKind.KillStage:
      case FaultKind.KillService:
        agent.signal('SIGKILL');
        standin.signal('SIGKILL');
        await sleep(settleMs);
        await this.fleet.restartStandin(name);
        await this.fleet.restartAgent(name);
        break;
      case FaultKind.KillEngine:
        standin.signal('SIGKILL');
        await sleep(settleMs);
        await this.fleet.restartStandin(name);
        break;
      case FaultKind.KillAgent:
        agent.signal('SIGKILL');
        await this.fleet.restartAgent(name);
        break;
      case FaultKind.FreezeAgent:
        await this.freeze(agent);
        break;
      case FaultKind.FreezeEngine:
        await this.freeze(standin);
        break;
      case FaultKind.SilenceLink:
        shaper?.silence();
        await sleep(freezeMs);
        break;
      case FaultKind.CutLink:
        shaper?.cut();
        break;
      case FaultKind.StopAgent:
        await this.stopAgent(endpoint);
        break;
      case FaultKind.ListLeaving:
        await this.fleet.list(name, InstanceState.Leaving);
        await sleep(leavingMs);
        this.endFault(kind, name);
        await this.fleet.list(name, InstanceState.Live);
        break;
      default:
        break;
    }
    await sleep(settleMs);
  }

  private async freeze(process: { signal(name: NodeJS.Signals): void }): Promise<void> {
    process.signal('SIGSTOP');
    await sleep(freezeMs);
    process.signal('SIGCONT');
  }

  private endFault(kind: FaultKind, target: string): void {
    const open = this.faults.filter((fault) => fault.kind === kind && fault.target === target);
    Object.assign(open[open.length - 1], { endMs: Date.now() });
  }

  private async stopAgent({ name, agent }: FleetEndpoint): Promise<void> {
    agent.signal('SIGTERM');
    await agent.ended();
    this.endFault(FaultKind.StopAgent, name); // what follows is a new run of the agent
    if (agent.status !== 0) {
      this.badExits.push(`agent ${name} exited with ${agent.status}`);
    }
    await this.fleet.restartAgent(name);
  }

  private async actOnPlatform(kind: FaultKind): Promise<void> {
    const shares: Partial<Record<FaultKind, Record<string, number>>> = {
      [FaultKind.PlatformOutage]: { outage: 1 },
      [FaultKind.PlatformSlow]: { slowMs: 400 },
      [FaultKind.LostConfirmations]: { lostConfirmation: 0.4 },
      [FaultKind.StaleReads]: { staleRead: 0.5 },
    };
    await this.fleet.control('fault', { ...shares[kind], forMs: platformFaultMs });
    await sleep(platformFaultMs + settleMs);
  }

  private async actOnEntry(kind: FaultKind, name: string): Promise<void> {
    const index = this.fleet.entries.findIndex((entry) => entry.name === name);
    const { process } = this.fleet.entries[index];
    if (kind === FaultKind.FreezeEntry) {
      await this.freeze(process);
      return;
    }
    process.signal(kind === FaultKind.StopEntry ? 'SIGTERM' : 'SIGKILL');
    await process.ended();
    if (kind === FaultKind.StopEntry && process.status !== 0) {
      this.badExits.push(`${name} exited with ${process.status}`);
    }
    await this.fleet.restartEntry(index);
    await sleep(settleMs);
  }

  /** Sends a request that kills engines through each entry, and restarts the engines it killed. */
  private async crashWithRequest(): Promise<void> {
    const content = `!crash! ${this.faults.length}`;
    for (let tries = 0; tries < this.fleet.entries.length; tries += 1) {
      const { end } = await this.workload.chat(tries, content);
      if (end === CallEnd.Whole) {
        this.badExits.push('a request that kills endpoints was answered');
      }
    }
    const dead = this.names(({ standin, isService }) => !standin.running && !isService);
    if (dead.length > 2) {
      this.badExits.push(`one request killed ${dead.length} endpoints`);
    }
    await Promise.all(dead.map((name) => this.fleet.restartStandin(name)));
    await sleep(settleMs);
  }
}
