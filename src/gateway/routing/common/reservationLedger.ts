import type { IClock } from '../../../base/common/clock.js';

/** Work that requests put on one endpoint. */
export interface EndpointLoad {
  /** Cache memory reserved, in tokens times layers. */
  tokenLayers: number;
  /** Requests whose path includes the endpoint. */
  requests: number;
  /** Requests that it takes as the first of a path. */
  firstStageRequests: number;
  /** Reading of prompts that hasn't shown a first event yet, in milliseconds. */
  prefillMs: number;
}

/** What a request reserves at one endpoint. */
export interface Reservation {
  readonly address: string;
  readonly tokenLayers: number;
  readonly prefillMs: number;
  readonly isFirstStage: boolean;
}

/**
 * Age past which a peer's figures no longer count, in milliseconds; several of its messages were
 * lost by then, or it stopped.
 */
const peerTimeoutMs = 1_000;

/** Share by which a learned limit grows each second; it is forgotten once it no longer binds. */
const limitGrowthPerSecond = 0.25;

/** Time after which a learned limit no longer counts, in milliseconds; most streams last as long. */
const limitMs = 3_000;

/** Time for which peers are told that an endpoint was full, in milliseconds; a few messages. */
const tellFullMs = 250;

const millisecondsPerSecond = 1_000;

/** What was reserved at an endpoint when it refused a request for want of room. */
interface LearnedLimit {
  readonly tokenLayers: number;
  readonly atMs: number;
}

function emptyLoad(): EndpointLoad {
  return { tokenLayers: 0, requests: 0, firstStageRequests: 0, prefillMs: 0 };
}

function addTo(load: EndpointLoad, other: EndpointLoad): void {
  load.tokenLayers += other.tokenLayers;
  load.requests += other.requests;
  load.firstStageRequests += other.firstStageRequests;
  load.prefillMs += other.prefillMs;
}

/** Room taken at the endpoints: exact for this process, as last told for its peers. */
export class ReservationLedger {
  private readonly own = new Map<string, EndpointLoad>();

  private readonly peers = new Map<
    string,
    { readonly atMs: number; readonly loads: ReadonlyMap<string, EndpointLoad> }
  >();

  private readonly limits = new Map<string, LearnedLimit>();

  /** Times at which endpoints refused requests of this process, by address. */
  private readonly refusedMs = new Map<string, number>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /**
   * Reserves room.
   *
   * @param parts - What is taken at each endpoint.
   */
  reserve(parts: readonly Reservation[]): void {
    parts.forEach((part) => this.change(part, 1));
  }

  /**
   * Gives room back.
   *
   * @param parts - What was reserved.
   */
  release(parts: readonly Reservation[]): void {
    parts.forEach((part) => this.change(part, -1));
  }

  /** Takes note that prompts were read: their reading no longer delays others. */
  finishPrefill(parts: readonly Reservation[]): void {
    for (const { address, prefillMs } of parts) {
      const load = this.own.get(address);
      if (load) {
        load.prefillMs = Math.max(0, load.prefillMs - prefillMs);
      }
    }
  }

  /**
   * Replaces what a peer has reserved.
   *
   * @param peer - Name of the peer.
   * @param loads - Its reservations by address.
   */
  updatePeer(peer: string, loads: ReadonlyMap<string, EndpointLoad>): void {
    this.peers.set(peer, { atMs: this.clock.monotonicMs(), loads });
  }

  /**
   * Learns the room of an endpoint from a refusal: what is reserved now is as much as it holds.
   *
   * Answers differ in length from what was expected, so that an endpoint may be full before the
   * reservations say so.
   *
   * @param address - The endpoint.
   * @param isOwn - Whether it refused a request of this process; peers are told of those.
   */
  recordFull(address: string, isOwn: boolean): void {
    const atMs = this.clock.monotonicMs();
    const { tokenLayers } = this.loadAt(address);
    this.limits.set(address, { tokenLayers: Math.min(tokenLayers, this.limitAt(address)), atMs });
    if (isOwn) {
      this.refusedMs.set(address, atMs);
    }
  }

  /** Room learned from refusals, in tokens times layers; infinite if none is known. */
  limitAt(address: string): number {
    const limit = this.limits.get(address);
    if (limit === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const ageMs = this.clock.monotonicMs() - limit.atMs;
    if (ageMs > limitMs) {
      this.limits.delete(address);
      return Number.POSITIVE_INFINITY;
    }
    return limit.tokenLayers * (1 + (limitGrowthPerSecond * ageMs) / millisecondsPerSecond);
  }

  /** Endpoints that refused requests of this process just now, for want of room. */
  recentlyFull(): readonly string[] {
    const oldestMs = this.clock.monotonicMs() - tellFullMs;
    for (const [address, atMs] of this.refusedMs) {
      if (atMs < oldestMs) {
        this.refusedMs.delete(address);
      }
    }
    return [...this.refusedMs.keys()];
  }

  /** Forgets what was learned of an endpoint, as when another one has its address. */
  forget(address: string): void {
    this.limits.delete(address);
    this.refusedMs.delete(address);
  }

  /** What this process has reserved, by address. */
  ownLoads(): ReadonlyMap<string, EndpointLoad> {
    return this.own;
  }

  /** Reservations of this process and its peers at one endpoint. */
  loadAt(address: string): EndpointLoad {
    const total = emptyLoad();
    const own = this.own.get(address);
    if (own) {
      addTo(total, own);
    }
    const nowMs = this.clock.monotonicMs();
    for (const { atMs, loads } of this.peers.values()) {
      const load = loads.get(address);
      if (load && nowMs - atMs <= peerTimeoutMs) {
        addTo(total, load);
      }
    }
    return total;
  }

  private change(part: Reservation, sign: 1 | -1): void {
    const load = this.own.get(part.address) ?? emptyLoad();
    load.tokenLayers += sign * part.tokenLayers;
    load.requests += sign;
    load.firstStageRequests += part.isFirstStage ? sign : 0;
    load.prefillMs = Math.max(0, load.prefillMs + (sign > 0 ? part.prefillMs : 0));
    if (load.requests <= 0) {
      this.own.delete(part.address);
    } else {
      this.own.set(part.address, load);
    }
  }
}
