import type { IClock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { EndpointState, incarnationOf, type Endpoint, type LayerRange } from './endpoint.js';

/**
 * Time after the store's return within which entries that lapsed during an outage come back, in
 * milliseconds; the platform states about two seconds.
 */
export const lapseGraceMs = 2_200;

/** Time for which a silent endpoint is passed over unless it is probed before, in milliseconds. */
export const silenceMs = 2_500;

/** Time for which an endpoint that refused work is passed over at first, in milliseconds. */
export const refusalMs = 400;

/** The longest time for which one that keeps refusing is passed over, in milliseconds. */
const maxRefusalMs = 1_600;

/** Time for which an endpoint is passed over that isn't the one that was expected, in ms. */
const misdirectedMs = 10_000;

/** Time for which what a peer told holds, in milliseconds; peers tell it several times a second. */
const toldMs = 600;

/** Why an endpoint is passed over. */
export enum Suspicion {
  /** It doesn't answer, or endpoints before it on a path wait for it. */
  Silent = 'silent',
  /** It refused work, for want of room or because it leaves. */
  Refusing = 'refusing',
  /** Another endpoint has its address, or it holds other layers. */
  Misdirected = 'misdirected',
  /** A peer found it silent or knows that it leaves. */
  ReportedByPeer = 'told',
}

interface Known {
  endpoint: Endpoint;
  /** Monotonic time at which the entry counts as gone unless it comes back. */
  lapsesAtMs: number | undefined;
}

interface Suspect {
  readonly kind: Suspicion;
  readonly untilMs: number;
  readonly incarnation: string;
  /** How long it is passed over this time, in milliseconds. */
  readonly forMs: number;
}

/** Endpoints by incarnation: what the store says, corrected by what this process observed. */
export class EndpointDirectory {
  private readonly byId = new Map<string, Known>();

  private readonly suspicions = new Map<string, Suspect>();

  private readonly removals = new Emitter<Endpoint>();

  /** Fires when an endpoint is gone, or replaced by another incarnation. */
  readonly onDidRemove = this.removals.event;

  /** Time of the store's last return, in monotonic milliseconds. */
  private storeReturnedMs = Number.NEGATIVE_INFINITY;

  /**
   * @param clock - Source of time.
   * @param logger - Receives changes.
   */
  constructor(
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {}

  /**
   * Takes over an entry.
   *
   * @param endpoint - The entry as decoded.
   */
  update(endpoint: Endpoint): void {
    const known = this.byId.get(endpoint.id);
    if (known && endpoint.startedMs < known.endpoint.startedMs) {
      return;
    }
    if (known && known.endpoint.startedMs !== endpoint.startedMs) {
      this.forget(known.endpoint);
    }
    this.byId.set(endpoint.id, { endpoint, lapsesAtMs: undefined });
    const before = known?.endpoint;
    if (
      before?.state !== endpoint.state ||
      before.startedMs !== endpoint.startedMs ||
      before.layers?.from !== endpoint.layers?.from ||
      before.layers?.to !== endpoint.layers?.to
    ) {
      this.logger.log(LogLevel.Info, 'endpoint-changed', {
        endpoint: endpoint.id,
        address: endpoint.address,
        service: endpoint.service,
        place: endpoint.dataCentre,
        state: endpoint.state,
        from: endpoint.layers?.from,
        to: endpoint.layers?.to,
        startedMs: endpoint.startedMs,
      });
    }
  }

  /**
   * Takes note that an entry is no longer in the store.
   *
   * Entries that lapsed while the store was away may come back, so right after an outage a removal
   * is delayed.
   *
   * @param id - Name of the entry.
   */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (known === undefined) {
      return;
    }
    const graceEndsMs = this.storeReturnedMs + lapseGraceMs;
    if (this.clock.monotonicMs() < graceEndsMs) {
      known.lapsesAtMs ??= graceEndsMs;
      return;
    }
    this.drop(known.endpoint, 'removed');
  }

  /**
   * Compares with a whole list, as after missed history.
   *
   * @param ids - Names of all entries in the store.
   */
  retainOnly(ids: ReadonlySet<string>): void {
    for (const id of [...this.byId.keys()]) {
      if (!ids.has(id)) {
        this.remove(id);
      }
    }
  }

  /** Takes note that the store answers again after a failure. */
  recordStoreRecovery(): void {
    this.storeReturnedMs = this.clock.monotonicMs();
  }

  /** Drops entries whose grace after an outage is over; call this a few times a second. */
  removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    for (const { endpoint, lapsesAtMs } of [...this.byId.values()]) {
      if (lapsesAtMs !== undefined && lapsesAtMs <= nowMs) {
        this.drop(endpoint, 'lapsed');
      }
    }
  }

  /**
   * Passes an endpoint over for a while.
   *
   * @param address - Where it listens.
   * @param kind - Why.
   * @param reason - What it did, for the log.
   */
  suspect(address: string, kind: Suspicion, reason: string): void {
    const endpoint = this.atAddress(address);
    if (endpoint === undefined) {
      return;
    }
    const nowMs = this.clock.monotonicMs();
    const known = this.suspicions.get(address);
    const forMs = this.durationOf(kind, known, nowMs);
    const incarnation = incarnationOf(endpoint);
    if (known && known.untilMs > nowMs + forMs && known.incarnation === incarnation) {
      return;
    }
    this.suspicions.set(address, { kind, untilMs: nowMs + forMs, incarnation, forMs });
    if (known === undefined || known.untilMs < nowMs || known.kind !== kind) {
      this.logger.log(LogLevel.Warn, 'endpoint-suspected', {
        endpoint: endpoint.id,
        address,
        kind,
        reason,
        forMs,
      });
    }
  }

  /**
   * Ends a suspicion after the endpoint was seen to work.
   *
   * @param address - Where it listens.
   */
  clearSuspicion(address: string): void {
    if (this.suspicions.delete(address)) {
      this.logger.log(LogLevel.Info, 'endpoint-cleared', { address });
    }
  }

  /** Whether an endpoint is passed over. */
  isSuspect(endpoint: Endpoint): boolean {
    return this.suspicionOf(endpoint) !== undefined;
  }

  /** Whether an endpoint doesn't answer, as far as this process or a peer knows. */
  isSilent(endpoint: Endpoint): boolean {
    const kind = this.suspicionOf(endpoint)?.kind;
    return kind === Suspicion.Silent || kind === Suspicion.ReportedByPeer;
  }

  /** Addresses that this process found silent. */
  silentAddresses(): readonly string[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.suspicions].flatMap(([address, { untilMs, kind }]) =>
      untilMs > nowMs && kind === Suspicion.Silent ? [address] : [],
    );
  }

  /** Addresses of endpoints that are about to leave. */
  drainingAddresses(): readonly string[] {
    return [...this.byId.values()].flatMap(({ endpoint }) =>
      endpoint.state === EndpointState.Draining ? [endpoint.address] : [],
    );
  }

  /**
   * Corrects the layers of an endpoint by what it reported itself.
   *
   * @param endpoint - The incarnation that reported.
   * @param layers - Its layers.
   */
  observeLayers(endpoint: Endpoint, layers: LayerRange | undefined): void {
    const known = this.byId.get(endpoint.id);
    if (known && known.endpoint.startedMs === endpoint.startedMs) {
      this.update({ ...known.endpoint, layers });
    }
  }

  /** All endpoints of a service that the store lists. */
  ofService(service: string): readonly Endpoint[] {
    return [...this.byId.values()]
      .map(({ endpoint }) => endpoint)
      .filter((endpoint) => endpoint.service === service);
  }

  /** Endpoints of a service that may be sent new work. */
  usable(service: string): readonly Endpoint[] {
    return this.ofService(service).filter(
      (endpoint) => endpoint.state === EndpointState.Ready && !this.isSuspect(endpoint),
    );
  }

  /** The endpoint that listens at an address now. */
  atAddress(address: string): Endpoint | undefined {
    let newest: Endpoint | undefined;
    for (const { endpoint } of this.byId.values()) {
      if (endpoint.address === address && endpoint.startedMs >= (newest?.startedMs ?? 0)) {
        newest = endpoint;
      }
    }
    return newest;
  }

  /** Removes every listener. */
  close(): void {
    this.removals.close();
  }

  private suspicionOf(endpoint: Endpoint): Suspect | undefined {
    const suspect = this.suspicions.get(endpoint.address);
    return suspect !== undefined &&
      suspect.untilMs > this.clock.monotonicMs() &&
      suspect.incarnation === incarnationOf(endpoint)
      ? suspect
      : undefined;
  }

  /** Doubles the time with each refusal that follows the one before closely. */
  private durationOf(kind: Suspicion, known: Suspect | undefined, nowMs: number): number {
    switch (kind) {
      case Suspicion.Silent:
        return silenceMs;
      case Suspicion.Misdirected:
        return misdirectedMs;
      case Suspicion.ReportedByPeer:
        return toldMs;
      default: {
        const isRepeated = known?.kind === Suspicion.Refusing && known.untilMs > nowMs - silenceMs;
        return isRepeated ? Math.min(maxRefusalMs, known.forMs * 2) : refusalMs;
      }
    }
  }

  private drop(endpoint: Endpoint, reason: string): void {
    this.byId.delete(endpoint.id);
    this.logger.log(LogLevel.Info, 'endpoint-gone', {
      endpoint: endpoint.id,
      address: endpoint.address,
      reason,
    });
    this.forget(endpoint);
  }

  private forget(endpoint: Endpoint): void {
    this.removals.fire(endpoint);
  }
}
