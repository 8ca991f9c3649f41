import type { IClock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { EndpointState, incarnationOf, type Endpoint, type LayerRange } from './endpoint.js';

/**
 * Time after the store's return within which entries that lapsed during an outage come back, in
 * milliseconds; the platform states about two seconds.
 */
export const lapseGraceMs = 2_200;

/** Time for which an endpoint at fault is passed over before it is probed, in milliseconds. */
export const suspicionMs = 2_500;

interface Known {
  endpoint: Endpoint;
  /** Monotonic time at which the entry counts as gone unless it comes back. */
  lapsesAtMs: number | undefined;
}

interface Suspicion {
  readonly untilMs: number;
  readonly incarnation: string;
  /** Whether this process saw the fault itself, rather than a peer. */
  readonly isFirstHand: boolean;
}

/** Endpoints by incarnation: what the store says, corrected by what this process observed. */
export class EndpointDirectory {
  private readonly byId = new Map<string, Known>();

  private readonly suspicions = new Map<string, Suspicion>();

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
        place: endpoint.place,
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
  storeReturned(): void {
    this.storeReturnedMs = this.clock.monotonicMs();
  }

  /** Drops entries whose grace after an outage is over; call this a few times a second. */
  sweep(): void {
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
   * @param reason - What it did, for the log.
   * @param forMs - How long, in milliseconds.
   * @param isFirstHand - Whether this process saw the fault itself, rather than a peer.
   */
  suspect(address: string, reason: string, forMs = suspicionMs, isFirstHand = true): void {
    const endpoint = this.atAddress(address);
    if (endpoint === undefined) {
      return;
    }
    const untilMs = this.clock.monotonicMs() + forMs;
    const known = this.suspicions.get(address);
    if (known && known.untilMs > untilMs) {
      return;
    }
    this.suspicions.set(address, { untilMs, incarnation: incarnationOf(endpoint), isFirstHand });
    if (known === undefined || known.untilMs < this.clock.monotonicMs()) {
      this.logger.log(LogLevel.Warn, 'endpoint-suspected', {
        endpoint: endpoint.id,
        address,
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
  clear(address: string): void {
    if (this.suspicions.delete(address)) {
      this.logger.log(LogLevel.Info, 'endpoint-cleared', { address });
    }
  }

  /** Whether an endpoint is passed over. */
  isSuspect(endpoint: Endpoint): boolean {
    const suspicion = this.suspicions.get(endpoint.address);
    return (
      suspicion !== undefined &&
      suspicion.untilMs > this.clock.monotonicMs() &&
      suspicion.incarnation === incarnationOf(endpoint)
    );
  }

  /** Addresses that are passed over now for what this process saw itself. */
  suspects(): readonly string[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.suspicions].flatMap(([address, { untilMs, isFirstHand }]) =>
      untilMs > nowMs && isFirstHand ? [address] : [],
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

  /** Addresses that this process found silent and that are to be probed. */
  silent(): readonly string[] {
    const nowMs = this.clock.monotonicMs();
    return this.suspects().filter((address) => {
      const { untilMs = 0 } = this.suspicions.get(address) ?? {};
      return untilMs - nowMs > suspicionMs / 5;
    });
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
