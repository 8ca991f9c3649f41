import type { IClock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { Departures, restoredCopyMs } from './departures.js';
import { EndpointState, incarnationOf, type Endpoint, type LayerRange } from './endpoint.js';

/**
 * Time after the end of a store outage within which entries that expired during the outage reappear,
 * in milliseconds. The platform states about two seconds.
 */
export const outageGraceMs = 2_000;

/** Time for which a silent endpoint is skipped unless a probe clears it earlier, in milliseconds. */
export const silentSuspicionMs = 2_500;

/** Time for which an endpoint is skipped after its first refusal, in milliseconds. */
export const refusalSuspicionMs = 400;

/** Longest time for which an endpoint is skipped after repeated refusals, in milliseconds. */
const maxRefusalSuspicionMs = 1_600;

/** Bounds of the time for which an endpoint is skipped that rejects all streams, in milliseconds. */
const minRejectingSuspicionMs = 800;
const maxRejectingSuspicionMs = 3_200;

/**
 * Time for which an address is skipped, in milliseconds, after the endpoint that answered there was not
 * the expected one or held different layers.
 */
const misdirectedSuspicionMs = 10_000;

/**
 * Time for which a suspicion reported by a peer holds, in milliseconds. Peers repeat their reports
 * several times a second.
 */
const peerSuspicionMs = 600;

/**
 * Time for which an endpoint that drained is remembered, in milliseconds. Covers a store that comes back
 * from an older copy, in which the endpoint is still ready.
 */
const drainMemoryMs = 60_000;

/** Why an endpoint is skipped. */
export enum Suspicion {
  /** It doesn't answer, or earlier stages of a path are waiting for it. */
  Silent = 'silent',
  /** It broke a connection; whether it still answers is being found out. */
  Disconnected = 'disconnected',
  /** It refused a request, for lack of capacity or because it is draining. */
  Refusing = 'refusing',
  /** It refused several streams in a row, most likely because it leaves or gives up its layers. */
  Rejecting = 'rejecting',
  /** Another endpoint uses its address, or it holds other layers than expected. */
  Misdirected = 'misdirected',
  /** A peer found it silent. */
  ReportedByPeer = 'told',
  /** A peer found that it rejects all streams. */
  RejectingAtPeer = 'told-rejecting',
  /** A peer knows that it is draining. */
  DrainingAtPeer = 'told-draining',
}

/** Suspicions that an endpoint doesn't end by going on with the requests that it has. */
const lastingSuspicions: ReadonlySet<Suspicion> = new Set([
  Suspicion.Rejecting,
  Suspicion.RejectingAtPeer,
  Suspicion.DrainingAtPeer,
]);

interface DirectoryEntry {
  endpoint: Endpoint;
  /** Monotonic time at which the entry is dropped unless it has reappeared in the store. */
  expiresAtMs: number | undefined;
}

interface Suspect {
  readonly kind: Suspicion;
  readonly untilMs: number;
  readonly incarnation: string;
  /** Time for which it is skipped, in milliseconds; doubled by the next refusal. */
  readonly durationMs: number;
}

/** Known endpoints: the entries of the store, corrected by observations of this process and peers. */
export class EndpointDirectory {
  private readonly byId = new Map<string, DirectoryEntry>();

  private readonly suspicions = new Map<string, Suspect>();

  /** Monotonic time at which each incarnation was last seen to drain. */
  private readonly drainedAtMs = new Map<string, number>();

  /** Monotonic time at which incarnations last said themselves that they leave. */
  private readonly leavingSeenMs = new Map<string, number>();

  private readonly departures: Departures;

  private readonly disconnections = new Emitter<Endpoint>();

  /** Fires when an endpoint broke a connection, so that it must be probed. */
  readonly onDidDisconnect = this.disconnections.event;

  private readonly removals = new Emitter<Endpoint>();

  /** Fires when an endpoint was removed or replaced by a later incarnation. */
  readonly onDidRemove = this.removals.event;

  /** Whether this process has lost the store, so that peers may know more of the endpoints. */
  private isStoreLost = false;

  /** Monotonic time at which the store last recovered from an outage, in milliseconds. */
  private storeRecoveredMs = Number.NEGATIVE_INFINITY;

  /** Monotonic time until which the store may list endpoints from an older copy, in milliseconds. */
  private mayBeCopyUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * @param clock - Source of time.
   * @param logger - Receives changes of endpoints and suspicions.
   */
  constructor(
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {
    this.departures = new Departures(clock);
  }

  /**
   * Adds or replaces an entry unless a later incarnation is already known. An incarnation that drains
   * never becomes ready again, whatever an outdated entry says.
   *
   * @param listed - Decoded entry of the store.
   */
  update(listed: Endpoint): void {
    const endpoint = this.withKnownDrain(listed);
    const entry = this.byId.get(endpoint.id);
    if (entry && endpoint.startedMs < entry.endpoint.startedMs) {
      return;
    }
    if (entry && entry.endpoint.startedMs !== endpoint.startedMs) {
      this.notifyRemoved(entry.endpoint);
    }
    this.byId.set(endpoint.id, { endpoint, expiresAtMs: undefined });
    const incarnation = incarnationOf(endpoint);
    this.departures.forget(incarnation);
    if (entry === undefined && this.departures.isHeld(incarnation)) {
      const { id, address } = endpoint;
      this.logger.log(LogLevel.Warn, 'endpoint-listed-after-leaving', { endpoint: id, address });
    }
    this.logChange(entry?.endpoint, endpoint);
  }

  /**
   * Removes an entry that is no longer in the store.
   *
   * Entries that expired during an outage of the store may reappear, so a removal right after an
   * outage is delayed, unless a peer saw the endpoint leave.
   *
   * @param id - Id of the endpoint.
   */
  remove(id: string): void {
    const entry = this.byId.get(id);
    if (entry === undefined) {
      return;
    }
    if (this.departures.hasLeft(incarnationOf(entry.endpoint))) {
      this.drop(entry.endpoint, 'a peer saw it leave');
      return;
    }
    const graceEndsMs = this.storeRecoveredMs + outageGraceMs;
    const forMs = graceEndsMs - this.clock.monotonicMs();
    if (forMs > 0) {
      if (entry.expiresAtMs === undefined) {
        entry.expiresAtMs = graceEndsMs;
        const { address } = entry.endpoint;
        this.logger.log(LogLevel.Info, 'endpoint-missing', {
          endpoint: id,
          address,
          keptForMs: Math.round(forMs),
        });
      }
      return;
    }
    this.drop(entry.endpoint, 'removed from the store');
  }

  /**
   * Removes all entries that are missing from a complete list of the store, because watch events may
   * have been missed.
   *
   * @param ids - Ids of all endpoints in the store.
   */
  retainOnly(ids: ReadonlySet<string>): void {
    for (const id of [...this.byId.keys()]) {
      if (!ids.has(id)) {
        this.remove(id);
      }
    }
  }

  /** Called when the store no longer answers this process. */
  recordStoreLoss(): void {
    this.isStoreLost = true;
  }

  /** Called when the store answers again after a failure. */
  recordStoreRecovery(): void {
    this.isStoreLost = false;
    this.storeRecoveredMs = this.clock.monotonicMs();
  }

  /** Called when the store has come back from an older copy, which may list endpoints that left since. */
  recordStoreCopy(): void {
    this.recordStoreRecovery();
    this.expectCopy();
    this.departures.holdSeen();
  }

  /**
   * Lets peers' departures count for a while although the store answers. A process that starts calls it, since it
   * doesn't know whether the store has just come back from an older copy.
   */
  expectCopy(): void {
    this.mayBeCopyUntilMs = this.clock.monotonicMs() + restoredCopyMs;
  }

  /** Drops entries whose grace period after an outage is over; call this a few times a second. */
  removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [incarnation, atMs] of this.drainedAtMs) {
      if (nowMs - atMs > drainMemoryMs) {
        this.drainedAtMs.delete(incarnation);
      }
    }
    for (const [incarnation, atMs] of this.leavingSeenMs) {
      if (nowMs - atMs > drainMemoryMs && this.findIncarnation(incarnation) === undefined) {
        this.leavingSeenMs.delete(incarnation);
      }
    }
    this.departures.removeExpired();
    for (const { endpoint, expiresAtMs } of [...this.byId.values()]) {
      if (expiresAtMs !== undefined && expiresAtMs <= nowMs) {
        this.drop(endpoint, 'did not reappear after a store outage');
      }
    }
  }

  /** Returns incarnations that this process saw leave, for the next message to the peers. */
  nextDepartures(): readonly string[] {
    return this.departures.nextReport();
  }

  /**
   * Takes over from a peer which endpoints left, as far as this process can't know it from the store: it has
   * lost the store, or the store may have come back from an older copy. A peer that has lost the store itself
   * may report an endpoint that has come back since.
   *
   * @param peer - Instance name of the peer.
   * @param incarnations - Incarnations that the peer saw leave.
   */
  handleDepartures(peer: string, incarnations: readonly string[]): void {
    const reported = new Set(incarnations);
    const isListOutdated = this.isStoreLost || this.clock.monotonicMs() < this.mayBeCopyUntilMs;
    for (const { endpoint, expiresAtMs } of [...this.byId.values()]) {
      const isMissing = expiresAtMs !== undefined;
      const mayBeGone = isMissing || isListOutdated;
      const incarnation = incarnationOf(endpoint);
      if (!mayBeGone || !reported.has(incarnation)) {
        continue;
      }
      if (isMissing) {
        this.drop(endpoint, `${peer} saw it leave`);
        continue;
      }
      if (!this.departures.hasLeft(incarnation)) {
        const { id, address } = endpoint;
        this.logger.log(LogLevel.Info, 'endpoint-reported-gone', { endpoint: id, address, peer });
      }
      this.departures.recordReport(incarnation);
    }
  }

  /**
   * Records that an endpoint said itself that it leaves. Whatever the store lists, that incarnation counts
   * as draining from now on.
   *
   * @param endpoint - Incarnation that answered.
   */
  recordLeaving(endpoint: Endpoint): void {
    const incarnation = incarnationOf(endpoint);
    const isKnown = this.leavingSeenMs.has(incarnation);
    this.leavingSeenMs.set(incarnation, this.clock.monotonicMs());
    if (isKnown) {
      return;
    }
    const { id, address } = endpoint;
    this.logger.log(LogLevel.Info, 'endpoint-leaving', { endpoint: id, address });
    const entry = this.byId.get(id);
    if (entry && incarnationOf(entry.endpoint) === incarnation) {
      this.update(entry.endpoint);
    }
  }

  /**
   * Skips an endpoint for a time that depends on the kind of suspicion. Never shortens an existing
   * suspicion of the same incarnation, and remembers that the endpoint drains.
   *
   * @param address - Address of the endpoint.
   * @param kind - Kind of the suspicion.
   * @param reason - Observed behaviour, for the log.
   * @param startedMs - Start time of the incarnation that was observed, in Unix milliseconds; a later one
   *   at the address isn't skipped. Undefined if only the address is known.
   */
  suspect(address: string, kind: Suspicion, reason: string, startedMs?: number): void {
    const endpoint = this.findByAddress(address);
    if (endpoint === undefined || (startedMs !== undefined && endpoint.startedMs > startedMs)) {
      return;
    }
    const nowMs = this.clock.monotonicMs();
    const previous = this.suspicions.get(address);
    const durationMs = this.suspicionDurationMs(kind, previous, nowMs);
    const incarnation = incarnationOf(endpoint);
    const current = this.suspicionOf(endpoint);
    const isDraining = [kind, current?.kind].includes(Suspicion.DrainingAtPeer);
    const newKind = isDraining ? Suspicion.DrainingAtPeer : kind;
    const isSubsumed = !isDraining || current?.kind === newKind;
    if (current && current.untilMs > nowMs + durationMs && isSubsumed) {
      return;
    }
    const untilMs = Math.max(nowMs + durationMs, current?.untilMs ?? 0);
    this.suspicions.set(address, { kind: newKind, untilMs, incarnation, durationMs });
    if (previous === undefined || previous.untilMs < nowMs || previous.kind !== newKind) {
      this.logger.log(LogLevel.Warn, 'endpoint-suspected', {
        endpoint: endpoint.id,
        address,
        kind: newKind,
        reason,
        forMs: Math.round(untilMs - nowMs),
      });
    }
  }

  /**
   * Skips an endpoint that broke a connection until a probe tells whether it still answers; listeners of
   * {@link onDidDisconnect} probe it. A stronger suspicion stays.
   *
   * @param endpoint - Incarnation that broke the connection.
   * @param reason - How the connection ended, for the log.
   */
  recordDisconnection(endpoint: Endpoint, reason: string): void {
    const { address, startedMs } = endpoint;
    const kind = this.suspicionOf(endpoint)?.kind;
    if (kind === undefined || kind === Suspicion.ReportedByPeer) {
      this.suspect(address, Suspicion.Disconnected, reason, startedMs);
    }
    this.disconnections.fire(endpoint);
  }

  /**
   * Ends the suspicion of an endpoint that was seen to work, unless it is known to drain or rejects new
   * streams while it goes on with the others.
   *
   * @param address - Address of the endpoint.
   */
  clearSuspicion(address: string): void {
    const kind = this.suspicions.get(address)?.kind;
    const isLasting = kind !== undefined && lastingSuspicions.has(kind);
    if (!isLasting && this.suspicions.delete(address)) {
      this.logger.log(LogLevel.Info, 'endpoint-cleared', { address });
    }
  }

  /**
   * Ends the suspicion that an endpoint rejects all streams.
   *
   * @param endpoint - Incarnation that accepted a stream sent after the last one that it refused.
   */
  recordAcceptance(endpoint: Endpoint): void {
    const kind = this.suspicionOf(endpoint)?.kind;
    if (kind === Suspicion.Rejecting || kind === Suspicion.RejectingAtPeer) {
      this.suspicions.delete(endpoint.address);
      this.logger.log(LogLevel.Info, 'endpoint-cleared', { address: endpoint.address });
    }
  }

  /**
   * Ends the suspicion that an endpoint is silent.
   *
   * @param endpoint - Incarnation that answered a request.
   */
  recordAnswer(endpoint: Endpoint): void {
    const kind = this.suspicionOf(endpoint)?.kind;
    if (
      kind === Suspicion.Silent ||
      kind === Suspicion.Disconnected ||
      kind === Suspicion.ReportedByPeer
    ) {
      this.clearSuspicion(endpoint.address);
    }
  }

  /**
   * Ends the suspicion of an endpoint that broke a connection, unless there is another reason by now.
   *
   * @param endpoint - Incarnation that answered a probe sent after the connection ended.
   */
  recordProbeAnswer(endpoint: Endpoint): void {
    if (this.suspicionOf(endpoint)?.kind === Suspicion.Disconnected) {
      this.clearSuspicion(endpoint.address);
    }
  }

  /** Returns whether an endpoint is skipped at present. */
  isSuspect(endpoint: Endpoint): boolean {
    return this.suspicionOf(endpoint) !== undefined;
  }

  /** Returns whether this process or a peer knows an endpoint to be silent, or a peer that it is draining. */
  isSilent(endpoint: Endpoint): boolean {
    const kind = this.suspicionOf(endpoint)?.kind;
    return (
      kind === Suspicion.Silent ||
      kind === Suspicion.Disconnected ||
      kind === Suspicion.ReportedByPeer ||
      kind === Suspicion.DrainingAtPeer
    );
  }

  /** Returns the endpoints that this process itself found silent, to be reported to peers. */
  silentEndpoints(): readonly Endpoint[] {
    return this.endpointsWith(Suspicion.Silent);
  }

  /** Returns the endpoints that rejected all streams of this process, to be reported to peers. */
  rejectingEndpoints(): readonly Endpoint[] {
    return this.endpointsWith(Suspicion.Rejecting);
  }

  /** Returns the draining endpoints. */
  drainingEndpoints(): readonly Endpoint[] {
    return [...this.byId.values()].flatMap(({ endpoint }) =>
      endpoint.state === EndpointState.Draining ? [endpoint] : [],
    );
  }

  /**
   * Replaces the layers of an endpoint by those that it reported itself. An endpoint that is missing from
   * the store stays so: one that leaves goes on answering.
   *
   * @param endpoint - Incarnation that reported.
   * @param layers - Reported layers; undefined if it holds none.
   */
  observeLayers(endpoint: Endpoint, layers: LayerRange | undefined): void {
    const entry = this.byId.get(endpoint.id);
    if (entry && entry.endpoint.startedMs === endpoint.startedMs) {
      const before = entry.endpoint;
      entry.endpoint = { ...before, layers };
      this.logChange(before, entry.endpoint);
    }
  }

  /** Returns all known endpoints of a service, including draining and suspect ones. */
  findByService(service: string): readonly Endpoint[] {
    return [...this.byId.values()]
      .map(({ endpoint }) => endpoint)
      .filter((endpoint) => endpoint.service === service);
  }

  /** Returns the endpoints of a service that accept new requests and are neither suspect nor gone. */
  findUsable(service: string): readonly Endpoint[] {
    return this.findAccepting(service).filter((endpoint) => !this.isSuspect(endpoint));
  }

  /**
   * Returns the endpoints of a service that are skipped for one reason only.
   *
   * @param service - Name of the service.
   * @param kind - Reason for which they are skipped.
   */
  findSuspects(service: string, kind: Suspicion): readonly Endpoint[] {
    return this.findAccepting(service).filter(
      (endpoint) => this.suspicionOf(endpoint)?.kind === kind,
    );
  }

  /** Returns the endpoints of a service that accept new requests and aren't gone, including suspect ones. */
  findAccepting(service: string): readonly Endpoint[] {
    return this.findByService(service).filter(
      (endpoint) =>
        endpoint.state === EndpointState.Ready &&
        !this.departures.hasLeft(incarnationOf(endpoint)) &&
        !this.hasExpired(endpoint),
    );
  }

  /**
   * Returns whether the store lists an endpoint, as far as this process knows. One that it has lacked
   * since an outage may have left.
   */
  isConfirmed(endpoint: Endpoint): boolean {
    return this.byId.get(endpoint.id)?.expiresAtMs === undefined;
  }

  /** Returns the endpoint of an incarnation, unless it is unknown or another one has replaced it. */
  findIncarnation(incarnation: string): Endpoint | undefined {
    const endpoint = this.byId.get(incarnation.slice(0, incarnation.lastIndexOf('@')))?.endpoint;
    return endpoint && incarnationOf(endpoint) === incarnation ? endpoint : undefined;
  }

  /** Returns the endpoint that listens at an address: of all entries with it, the one started last. */
  findByAddress(address: string): Endpoint | undefined {
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
    this.disconnections.close();
  }

  private endpointsWith(kind: Suspicion): readonly Endpoint[] {
    return [...this.suspicions.keys()].flatMap((address) => {
      const endpoint = this.findByAddress(address);
      return endpoint && this.suspicionOf(endpoint)?.kind === kind ? [endpoint] : [];
    });
  }

  private withKnownDrain(endpoint: Endpoint): Endpoint {
    const incarnation = incarnationOf(endpoint);
    if (endpoint.state === EndpointState.Draining) {
      this.drainedAtMs.set(incarnation, this.clock.monotonicMs());
    }
    return this.drainedAtMs.has(incarnation) || this.leavingSeenMs.has(incarnation)
      ? { ...endpoint, state: EndpointState.Draining }
      : endpoint;
  }

  private hasExpired(endpoint: Endpoint): boolean {
    const expiresAtMs = this.byId.get(endpoint.id)?.expiresAtMs;
    return expiresAtMs !== undefined && expiresAtMs <= this.clock.monotonicMs();
  }

  private logChange(before: Endpoint | undefined, endpoint: Endpoint): void {
    if (
      before?.state === endpoint.state &&
      before.startedMs === endpoint.startedMs &&
      before.layers?.from === endpoint.layers?.from &&
      before.layers?.to === endpoint.layers?.to
    ) {
      return;
    }
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

  private suspicionOf(endpoint: Endpoint): Suspect | undefined {
    const suspect = this.suspicions.get(endpoint.address);
    return suspect !== undefined &&
      suspect.untilMs > this.clock.monotonicMs() &&
      suspect.incarnation === incarnationOf(endpoint)
      ? suspect
      : undefined;
  }

  /** Returns how long to skip an endpoint; doubles with each refusal that soon follows another. */
  private suspicionDurationMs(
    kind: Suspicion,
    previous: Suspect | undefined,
    nowMs: number,
  ): number {
    switch (kind) {
      case Suspicion.Silent:
      case Suspicion.Disconnected:
        return silentSuspicionMs;
      case Suspicion.Misdirected:
        return misdirectedSuspicionMs;
      case Suspicion.ReportedByPeer:
      case Suspicion.RejectingAtPeer:
      case Suspicion.DrainingAtPeer:
        return peerSuspicionMs;
      default: {
        const [firstMs, maxMs] =
          kind === Suspicion.Rejecting
            ? [minRejectingSuspicionMs, maxRejectingSuspicionMs]
            : [refusalSuspicionMs, maxRefusalSuspicionMs];
        const isRepeated = previous?.kind === kind && previous.untilMs > nowMs - silentSuspicionMs;
        return isRepeated ? Math.min(maxMs, previous.durationMs * 2) : firstMs;
      }
    }
  }

  private drop(endpoint: Endpoint, reason: string): void {
    this.byId.delete(endpoint.id);
    this.departures.recordSeen(incarnationOf(endpoint));
    this.logger.log(LogLevel.Info, 'endpoint-gone', {
      endpoint: endpoint.id,
      address: endpoint.address,
      reason,
    });
    this.notifyRemoved(endpoint);
  }

  private notifyRemoved(endpoint: Endpoint): void {
    this.removals.fire(endpoint);
  }
}
