import { Behaviour } from '../../platform/test/fakeReplica.js';
import { StoreMode } from '../../platform/test/fakeStore.js';
import { Direction } from '../../src/bench/node/shaper.js';
import { FaultKind, type FaultRecord, type PlannedFault } from '../common/records.js';
import { sleep, type SoakEndpoint, type SoakFleet, type SoakGateway } from './soakFleet.js';

/** Delay of each piece of data on a slow link, in milliseconds. */
const slowLinkMs = 80;

const storeModes: Partial<Record<FaultKind, StoreMode>> = {
  [FaultKind.StoreBusy]: StoreMode.Busy,
  [FaultKind.StoreSilent]: StoreMode.Silent,
  [FaultKind.StoreLosesAnswers]: StoreMode.LosesAnswers,
  [FaultKind.StoreActsLate]: StoreMode.ActsLate,
  [FaultKind.StoreSlow]: StoreMode.Slow,
};

const behaviours: Partial<Record<FaultKind, Behaviour>> = {
  [FaultKind.Shedding]: Behaviour.Shed,
  [FaultKind.Failing]: Behaviour.Fail,
  [FaultKind.LosingAnswers]: Behaviour.LoseAnswer,
  [FaultKind.CuttingAnswers]: Behaviour.Cut,
  [FaultKind.ResettingAnswers]: Behaviour.Reset,
  [FaultKind.Hanging]: Behaviour.Hang,
  [FaultKind.Misanswering]: Behaviour.Misanswer,
};

/** Brings planned faults about, from outside the gateways, and records when each was in effect. */
export class FaultInjector {
  readonly faults: FaultRecord[] = [];

  /** Targets that a fault has for itself, with the aspect that it changes. */
  private readonly busy = new Set<string>();

  /** @param fleet - The system under test. */
  constructor(private readonly fleet: SoakFleet) {}

  /**
   * Brings a fault about and undoes it after its time.
   *
   * @param fault - The fault; left out while another one changes the same aspect of its target.
   */
  async cause(fault: PlannedFault): Promise<void> {
    const { kind, forMs } = fault;
    const gateway = pick(this.fleet.gateways, fault.choice);
    const endpoint = pick(this.fleet.endpoints, fault.choice);
    if (kind in storeModes || kind === FaultKind.StoreForgets) {
      await this.during(kind, 'store', 'store', () => this.onStore(kind, forMs));
    } else if (kind in behaviours) {
      const name = endpoint.replica.options.id;
      await this.during(kind, name, `${endpoint.name} replica`, () =>
        this.onReplica(kind, endpoint, forMs),
      );
    } else if (kind.endsWith('-gateway')) {
      await this.during(kind, gateway.name, `${gateway.name} process`, () =>
        this.onProcess(kind, gateway, forMs),
      );
    } else if (kind.endsWith('-callers')) {
      await this.during(kind, gateway.name, `${gateway.name} front`, () =>
        this.onLink(kind, gateway.front, forMs),
      );
    } else if (kind.endsWith('-store')) {
      await this.during(kind, gateway.name, `${gateway.name} store`, () =>
        this.onLink(kind, gateway.store, forMs),
      );
    } else if (kind === FaultKind.CrashEndpoint || kind === FaultKind.DrainEndpoint) {
      const name = endpoint.replica.options.id;
      await this.during(kind, name, `${endpoint.name} replica`, () =>
        kind === FaultKind.CrashEndpoint
          ? this.fleet.crashEndpoint(endpoint, forMs, fault.atMs % 2 === 0)
          : this.fleet.drainEndpoint(endpoint, forMs),
      );
    } else if (kind.endsWith('-endpoint')) {
      const name = endpoint.replica.options.id;
      await this.during(kind, name, `${endpoint.name} proxy`, () =>
        this.onLink(kind, endpoint.proxy, forMs),
      );
    } else {
      await this.during(kind, 'config', 'config', () => this.onConfig(kind));
    }
  }

  private async during(
    kind: FaultKind,
    target: string,
    aspect: string,
    act: () => Promise<void>,
  ): Promise<void> {
    if (this.busy.has(aspect)) {
      return;
    }
    this.busy.add(aspect);
    const record: FaultRecord = { kind, target, startMs: Date.now(), endMs: Infinity };
    this.faults.push(record);
    try {
      await act();
    } finally {
      record.endMs = Date.now();
      this.busy.delete(aspect);
    }
  }

  private async onStore(kind: FaultKind, forMs: number): Promise<void> {
    const { store } = this.fleet;
    if (kind === FaultKind.StoreForgets) {
      store.forgetHistory();
      return;
    }
    store.mode = storeModes[kind] ?? StoreMode.Serving;
    await sleep(forMs);
    store.mode = StoreMode.Serving;
  }

  private async onReplica(kind: FaultKind, endpoint: SoakEndpoint, forMs: number): Promise<void> {
    const { replica } = endpoint;
    replica.behaviour = behaviours[kind] ?? Behaviour.Serve;
    await sleep(forMs);
    replica.behaviour = Behaviour.Serve;
  }

  private async onProcess(kind: FaultKind, gateway: SoakGateway, forMs: number): Promise<void> {
    switch (kind) {
      case FaultKind.KillGateway:
        await this.fleet.restartGateway(gateway, 'SIGKILL');
        break;
      case FaultKind.StopGateway:
        await this.fleet.restartGateway(gateway, 'SIGTERM');
        break;
      case FaultKind.ReloadGateway:
        gateway.process.signal('SIGHUP');
        break;
      default:
        gateway.process.signal('SIGSTOP');
        await sleep(forMs);
        gateway.process.signal('SIGCONT');
    }
  }

  private async onLink(kind: FaultKind, link: SoakGateway['front'], forMs: number): Promise<void> {
    if (kind.startsWith('reset-') || kind.startsWith('cut-')) {
      link.cut();
    } else if (kind.startsWith('silence-')) {
      link.silence();
      await sleep(forMs);
    } else if (kind.startsWith('delay-')) {
      link.delayMs = slowLinkMs;
      await sleep(forMs);
      link.delayMs = 0;
    } else {
      const oneWay = kind.startsWith('one-way-') ? [Direction.ToClient] : Object.values(Direction);
      link.hold(...oneWay);
      await sleep(forMs);
      link.release();
    }
  }

  private async onConfig(kind: FaultKind): Promise<void> {
    if (kind === FaultKind.AddKey) {
      this.fleet.addKey();
    } else if (kind === FaultKind.RevokeKey) {
      this.fleet.revokeKey();
    } else {
      this.fleet.growConfig();
    }
    await Promise.resolve();
  }
}

function pick<T>(items: readonly T[], choice: number): T {
  return items[Math.floor(choice * items.length)];
}
