import type { SeededRandom } from '../../../base/common/random.js';
import { sleep } from '../../../base/node/systemClock.js';
import { InstanceState } from '../../../services/instances/common/instance.js';
import { restoreMs } from '../../../services/objects/common/restorePeriod.js';
import type { Fleet, FleetEndpoint } from '../../node/fleet.js';
import { CallEnd, FaultKind, type FaultRecord } from '../common/records.js';
import type { Operators } from './operators.js';
import type { Workload } from './workload.js';

/** Time within which a fault and the recovery from it must end, in milliseconds. */
const faultTimeoutMs = 90_000;

/** Duration of a process freeze and of the wait after a link goes silent, in milliseconds. */
const freezeMs = 3_500;

/** Duration of a platform fault, in milliseconds. */
const platformFaultMs = 4_000;

/** Shortest and longest age of the copy that the platform comes back from, in milliseconds. */
const copyAgeMs = { min: 500, max: 4_000 };

/** Time for which the platform is away before it comes back from a copy, in milliseconds. */
const drillAwayMs = 1_000;

/** Time for links and placement to recover after a fault, in milliseconds. */
const settleMs = 1_200;

/** Time for which an endpoint is marked as leaving in the instance list, in milliseconds. */
const listedLeavingMs = 6_000;

/** Injects faults, waits until the system has recovered and records the faults. */
export class FaultDriver {
  readonly faults: FaultRecord[] = [];

  /** Violations that the driver detects itself; see `FaultHistory.badExits`. */
  readonly badExits: string[] = [];

  /**
   * Targets of the faults in progress. Endpoints, entries and the platform receive no second fault
   * meanwhile.
   */
  private readonly busyTargets = new Set<string>();

  /**
   * @param fleet - The system under test.
   * @param operators - Simulated operators that change the rules in an operator race.
   * @param workload - Simulated callers; the driver sends crashing requests through it.
   * @param random - Chooses the targets.
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly operators: Operators,
    private readonly workload: Workload,
    private readonly random: SeededRandom,
  ) {}

  /**
   * Injects a fault and waits for the recovery. Does nothing if no target is free.
   *
   * @param kind - Kind of the fault.
   * @throws Error if the fault and the recovery exceed the time limit.
   */
  async inject(kind: FaultKind): Promise<void> {
    const target = this.chooseTarget(kind);
    if (target === undefined) {
      return;
    }
    this.busyTargets.add(target);
    const startMs = Date.now();
    const fault = { kind, target, startMs, endMs: Number.MAX_SAFE_INTEGER };
    this.faults.push(fault);
    try {
      await Promise.race([this.applyFault(kind, target), this.rejectAfterTimeout(kind, target)]);
    } finally {
      fault.endMs = Math.min(fault.endMs, Date.now());
      this.busyTargets.delete(target);
    }
  }

  private async rejectAfterTimeout(kind: FaultKind, target: string): Promise<never> {
    await sleep(faultTimeoutMs);
    throw new Error(
      `fault ${kind} on ${target} and its recovery took longer than ${faultTimeoutMs} ms`,
    );
  }

  private chooseTarget(kind: FaultKind): string | undefined {
    switch (kind) {
      case FaultKind.KillEntry:
      case FaultKind.FreezeEntry:
      case FaultKind.StopEntry:
        return this.pickFreeTarget(this.fleet.entries.map((entry) => entry.name));
      case FaultKind.KillService:
        return this.pickFreeTarget(this.endpointNames((endpoint) => endpoint.isService));
      case FaultKind.PlatformOutage:
      case FaultKind.PlatformSlow:
      case FaultKind.LostConfirmations:
      case FaultKind.StaleReads:
      case FaultKind.StoreDrill:
        return this.busyTargets.has('platform') ? undefined : 'platform';
      case FaultKind.OperatorRace:
        return 'rules';
      case FaultKind.KillStage:
      case FaultKind.KillEngine:
      case FaultKind.FreezeEngine:
        return this.pickFreeTarget(this.endpointNames((endpoint) => !endpoint.isService));
      case FaultKind.CrashingRequest:
        return 'request';
      default:
        return this.pickFreeTarget(this.endpointNames(() => true));
    }
  }

  private endpointNames(accept: (endpoint: FleetEndpoint) => boolean): readonly string[] {
    return [...this.fleet.endpoints.values()].filter(accept).map((endpoint) => endpoint.name);
  }

  private pickFreeTarget(names: readonly string[]): string | undefined {
    const freeNames = names.filter((name) => !this.busyTargets.has(name));
    return freeNames.length === 0 ? undefined : this.random.pick(freeNames);
  }

  private async applyFault(kind: FaultKind, target: string): Promise<void> {
    const endpoint = this.fleet.endpoints.get(target);
    if (endpoint) {
      await this.applyEndpointFault(kind, endpoint);
    } else if (target === 'platform') {
      await this.applyPlatformFault(kind);
    } else if (kind === FaultKind.OperatorRace) {
      await this.operators.race();
    } else if (kind === FaultKind.CrashingRequest) {
      await this.sendCrashingRequests();
    } else {
      await this.applyEntryFault(kind, target);
    }
  }

  private async applyEndpointFault(kind: FaultKind, endpoint: FleetEndpoint): Promise<void> {
    const { name, agent, standin, proxy } = endpoint;
    switch (kind) {
      case FaultKind.KillStage:
      case FaultKind.KillService:
        agent.signal('SIGKILL');
        standin.signal('SIGKILL');
        await sleep(settleMs);
        await this.fleet.restartStandin(name, standin);
        await this.fleet.restartAgent(name);
        break;
      case FaultKind.KillEngine:
        standin.signal('SIGKILL');
        await sleep(settleMs);
        await this.fleet.restartStandin(name, standin);
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
        proxy?.discardData();
        await sleep(freezeMs);
        break;
      case FaultKind.ResetLink:
        proxy?.resetConnections();
        break;
      case FaultKind.StopAgent:
        await this.stopAgent(endpoint);
        break;
      case FaultKind.ListLeaving:
        await this.fleet.writeInstanceRecord(name, InstanceState.Leaving);
        await sleep(listedLeavingMs);
        this.recordEnd(kind, name);
        await this.fleet.writeInstanceRecord(name, InstanceState.Live);
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

  /** Sets the end of the latest fault of a kind on a target, before its recovery begins. */
  private recordEnd(kind: FaultKind, target: string): void {
    const matchingFaults = this.faults.filter(
      (fault) => fault.kind === kind && fault.target === target,
    );
    Object.assign(matchingFaults[matchingFaults.length - 1], { endMs: Date.now() });
  }

  private async stopAgent({ name, agent }: FleetEndpoint): Promise<void> {
    agent.signal('SIGTERM');
    await agent.waitForExit();
    this.recordEnd(FaultKind.StopAgent, name); // the restarted agent may take new work
    if (agent.exitStatus !== 0) {
      this.badExits.push(`agent ${name} exited with status ${agent.exitStatus} after SIGTERM`);
    }
    await this.fleet.restartAgent(name);
  }

  private async applyPlatformFault(kind: FaultKind): Promise<void> {
    const faultSettings: Partial<Record<FaultKind, Record<string, number>>> = {
      [FaultKind.PlatformOutage]: { outage: 1 },
      [FaultKind.PlatformSlow]: { slowMs: 400 },
      [FaultKind.LostConfirmations]: { lostConfirmation: 0.4 },
      [FaultKind.StaleReads]: { staleRead: 0.5 },
    };
    if (kind === FaultKind.StoreDrill) {
      await this.comeBackFromCopy();
      return;
    }
    await this.fleet.postControl('fault', { ...faultSettings[kind], forMs: platformFaultMs });
    await sleep(platformFaultMs + settleMs);
  }

  /** Lets the platform forget its last seconds, and waits until the processes have written them again. */
  private async comeBackFromCopy(): Promise<void> {
    await this.fleet.postControl('copy', {});
    await sleep(this.random.integer(copyAgeMs.min, copyAgeMs.max));
    await this.fleet.postControl('fault', { outage: 1, forMs: drillAwayMs });
    await this.fleet.postControl('come-back', {});
    await sleep(drillAwayMs + restoreMs + settleMs);
  }

  private async applyEntryFault(kind: FaultKind, name: string): Promise<void> {
    const index = this.fleet.entries.findIndex((entry) => entry.name === name);
    const { process } = this.fleet.entries[index];
    if (kind === FaultKind.FreezeEntry) {
      await this.freeze(process);
      return;
    }
    process.signal(kind === FaultKind.StopEntry ? 'SIGTERM' : 'SIGKILL');
    await process.waitForExit();
    if (kind === FaultKind.StopEntry && process.exitStatus !== 0) {
      this.badExits.push(`${name} exited with status ${process.exitStatus} after SIGTERM`);
    }
    await this.fleet.restartEntry(index);
    await sleep(settleMs);
  }

  /**
   * Sends the same request that kills engines through each entry, and restarts the killed engines.
   * The request must not be answered and may kill two engines at most.
   */
  private async sendCrashingRequests(): Promise<void> {
    const content = `!crash! ${this.faults.length}`;
    for (let entryIndex = 0; entryIndex < this.fleet.entries.length; entryIndex += 1) {
      const { end } = await this.workload.chat(entryIndex, content);
      if (end === CallEnd.Complete) {
        this.badExits.push('a request that kills engines was answered');
      }
    }
    const deadEngines = this.endpointNames(
      ({ standin, isService }) => !standin.isRunning && !isService,
    );
    const killedByRequest = deadEngines.filter((name) => !this.isBeingKilled(name));
    if (killedByRequest.length > 2) {
      this.badExits.push(`one request killed ${killedByRequest.length} engines, limit 2`);
    }
    await Promise.all(
      deadEngines.map((name) =>
        this.fleet.restartStandin(name, this.fleet.getEndpoint(name).standin),
      ),
    );
    await sleep(settleMs);
  }

  /** Returns whether another fault that is in progress kills an engine itself. */
  private isBeingKilled(name: string): boolean {
    return this.faults.some(
      ({ kind, target, endMs }) =>
        target === name &&
        endMs === Number.MAX_SAFE_INTEGER &&
        (kind === FaultKind.KillStage || kind === FaultKind.KillEngine),
    );
  }
}
