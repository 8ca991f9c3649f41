import type { IClock } from '../../../base/common/clock.js';
import type { IRandom } from '../../../base/common/random.js';
import { ContendedCapacity } from './contendedCapacity.js';
import { addLoad, addPromptTokens, emptyLoad, type EndpointLoad } from './endpointLoad.js';
import { PeerLoads } from './peerLoads.js';

/** Capacity that a request reserves at one endpoint. */
export interface Reservation {
  readonly address: string;
  readonly tokenLayers: number;
  readonly prefillMs: number;
  readonly isFirstStage: boolean;
  /** Tokens of the prompt, which count until the first event; undefined if prompts aren't paced. */
  readonly promptTokens?: number;
  /** The same of a long prompt; undefined for others. */
  readonly longPromptTokens?: number;
}

/** Growth of a learned limit per second, as a share of the limit, until it no longer has an effect. */
const limitGrowthPerSecond = 0.1;

/**
 * Time after which a learned limit expires, in milliseconds. Most streams last about as long, so the
 * load of the endpoint has changed by then.
 */
const limitTtlMs = 3_000;

/**
 * Time for which messages to peers list an endpoint as full, in milliseconds. A few messages are sent
 * in this time, in case one is lost.
 */
const fullReportMs = 250;

const millisecondsPerSecond = 1_000;

/** Amount that was reserved at an endpoint when it refused a request for lack of capacity. */
interface LearnedLimit {
  readonly tokenLayers: number;
  readonly atMs: number;
}

/**
 * Load of each endpoint: exact for requests of this process, as last reported for requests of its
 * peers.
 */
export class ReservationLedger {
  private readonly own = new Map<string, EndpointLoad>();

  private readonly peers: PeerLoads;

  /** Reservations of this process whose prefill is not complete. */
  private readonly prefilling = new Set<Reservation>();

  private readonly limits = new Map<string, LearnedLimit>();

  /** Times at which endpoints refused requests of this process, by address. */
  private readonly refusedAtMs = new Map<string, number>();

  private readonly contention: ContendedCapacity;

  /**
   * @param clock - Source of time.
   * @param random - Draws the gateways that use what is left of a nearly full endpoint.
   */
  constructor(
    private readonly clock: IClock,
    random: IRandom,
  ) {
    this.peers = new PeerLoads(clock);
    this.contention = new ContendedCapacity(clock, random);
  }

  /**
   * Adds reservations of this process.
   *
   * @param reservations - Capacity to reserve at each endpoint.
   */
  reserve(reservations: readonly Reservation[]): void {
    reservations.forEach((reservation) => {
      this.apply(reservation, 1);
      this.prefilling.add(reservation);
    });
  }

  /**
   * Releases reservations of this process.
   *
   * @param reservations - The same reservations as were passed to `reserve`.
   */
  release(reservations: readonly Reservation[]): void {
    this.finishPrefill(reservations);
    reservations.forEach((reservation) => this.apply(reservation, -1));
  }

  /**
   * Runs a search as if reservations of this process were released.
   *
   * @param reservations - The same reservations as were passed to `reserve`.
   * @param search - The search; must not change other reservations of the same endpoints.
   * @returns The result of the search.
   */
  without<T>(reservations: readonly Reservation[], search: () => T): T {
    const prefilled = reservations.filter((reservation) => !this.prefilling.has(reservation));
    this.release(reservations);
    const result = search();
    this.reserve(reservations);
    this.finishPrefill(prefilled);
    return result;
  }

  /** Records that a request's prefill is complete, so that it no longer delays other requests. */
  finishPrefill(reservations: readonly Reservation[]): void {
    for (const reservation of reservations) {
      const load = this.own.get(reservation.address);
      if (this.prefilling.delete(reservation) && load) {
        load.prefillMs = Math.max(0, load.prefillMs - reservation.prefillMs);
        addPromptTokens(load, reservation, -1);
      }
    }
  }

  /**
   * Replaces the reservations of a peer.
   *
   * @param peer - Name of the peer.
   * @param loads - Its reservations by address.
   */
  updatePeer(peer: string, loads: ReadonlyMap<string, EndpointLoad>): void {
    this.peers.update(peer, loads);
  }

  /**
   * Limits the capacity of an endpoint that refused a request to what is reserved there now.
   *
   * Answers may be longer than expected, so an endpoint can be full before the reservations reach its
   * computed capacity.
   *
   * @param address - Address of the endpoint.
   * @param isOwn - Whether it refused a request of this process; only these are reported to peers.
   */
  recordFull(address: string, isOwn: boolean): void {
    const atMs = this.clock.monotonicMs();
    const { tokenLayers } = this.loadAt(address);
    this.limits.set(address, {
      tokenLayers: Math.min(tokenLayers, this.sharedLimitAt(address)),
      atMs,
    });
    if (isOwn) {
      this.refusedAtMs.set(address, atMs);
    }
  }

  /**
   * Returns the capacity that this gateway may use of an endpoint according to its refusals, in tokens times
   * layers; infinite if it has refused nothing recently. The capacity that is free within the limit is
   * divided among the gateways that use the endpoint.
   */
  learnedLimitAt(address: string): number {
    const limit = this.sharedLimitAt(address);
    const peerCount = this.peers.countAt(address);
    if (!Number.isFinite(limit) || peerCount === 0) {
      return limit;
    }
    const load = this.loadAt(address);
    const usable = this.contention.usableAt(address, {
      freeTokenLayers: limit - load.tokenLayers,
      ownTokenLayers: this.own.get(address)?.tokenLayers ?? 0,
      meanTokenLayers: load.tokenLayers / Math.max(1, load.requests),
      gatewayCount: 1 + peerCount,
    });
    return Math.min(limit, load.tokenLayers + usable);
  }

  /**
   * Returns the capacity of an endpoint for all gateways together that was learned from refusals, in tokens
   * times layers; infinite if no limit is known. Grows with the time since the last refusal.
   */
  sharedLimitAt(address: string): number {
    const limit = this.limits.get(address);
    if (limit === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const ageMs = this.clock.monotonicMs() - limit.atMs;
    if (ageMs > limitTtlMs) {
      this.clearLearnedLimit(address);
      return Number.POSITIVE_INFINITY;
    }
    return limit.tokenLayers * (1 + (limitGrowthPerSecond * ageMs) / millisecondsPerSecond);
  }

  /** Returns the endpoints that recently refused a request of this process for lack of capacity. */
  recentlyFull(): readonly string[] {
    const earliestMs = this.clock.monotonicMs() - fullReportMs;
    for (const [address, atMs] of this.refusedAtMs) {
      if (atMs < earliestMs) {
        this.refusedAtMs.delete(address);
      }
    }
    return [...this.refusedAtMs.keys()];
  }

  /** Removes the learned limit of an address, for example because another endpoint now uses it. */
  clearLearnedLimit(address: string): void {
    this.limits.delete(address);
    this.refusedAtMs.delete(address);
    this.contention.forget(address);
  }

  /** Returns the reservations of this process, by address. */
  ownLoads(): ReadonlyMap<string, EndpointLoad> {
    return this.own;
  }

  /** Returns the reservations of this process and its peers at one endpoint. */
  loadAt(address: string): EndpointLoad {
    const total = emptyLoad();
    const own = this.own.get(address);
    if (own) {
      addLoad(total, own);
    }
    const reported = this.peers.at(address);
    if (reported) {
      addLoad(total, reported);
    }
    return total;
  }

  private apply(reservation: Reservation, sign: 1 | -1): void {
    const load = this.own.get(reservation.address) ?? emptyLoad();
    load.tokenLayers += sign * reservation.tokenLayers;
    load.requests += sign;
    load.firstStageRequests += reservation.isFirstStage ? sign : 0;
    load.prefillMs = Math.max(0, load.prefillMs + (sign > 0 ? reservation.prefillMs : 0));
    if (sign > 0) {
      addPromptTokens(load, reservation, 1);
    }
    if (load.requests <= 0) {
      this.own.delete(reservation.address);
    } else {
      this.own.set(reservation.address, load);
    }
  }
}
