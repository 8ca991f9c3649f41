import type { IClock } from '../../../base/common/clock.js';
import {
  absentVersion,
  ObjectKind,
  type IObjectStore,
  type StoredObject,
} from '../../objects/common/objects.js';

/** Stored state of a lease. */
export interface LeaseRecord {
  /** Incarnation of the holder; empty after a release. */
  readonly holder: string;
  /** Fencing token of the holder's orders; increases with each change of holder. */
  readonly term: number;
  /** Increases with each renewal and each change of holder. */
  readonly renewals: number;
}

/** Identity and timing of a lease candidate. */
export interface LeaseOptions {
  /** Name of the lease object. */
  readonly name: string;
  /** Incarnation of this process. */
  readonly candidate: string;
  /** Time without a renewal after which another candidate may take the lease, in milliseconds. */
  readonly durationMs: number;
}

/**
 * Fraction of the lease duration, counted from the last renewal, after which the holder stops
 * acting. It is below 1, so that the holder stops before another candidate may take the lease.
 */
const holderExpiryFraction = 0.7;

interface ObservedVersion {
  readonly version: number;
  readonly firstSeenMs: number;
}

/**
 * Acquires and renews a lease that is stored in one object of the platform.
 *
 * Safety does not depend on clocks. Two processes may both believe that they hold the lease; the
 * term (fencing token) then shows which of their orders is the newer.
 */
export class LeaseCandidate {
  private observed: ObservedVersion | undefined;

  private heldTerm: number | undefined;

  private lastRenewalMs = 0;

  /** Record that this process wrote last; undefined if its last write was not confirmed. */
  private lastWritten: StoredObject<LeaseRecord> | undefined;

  /**
   * @param options - Identity of this candidate and duration of the lease.
   * @param store - Object store of the platform.
   * @param clock - Source of monotonic time.
   */
  constructor(
    private readonly options: LeaseOptions,
    private readonly store: IObjectStore,
    private readonly clock: IClock,
  ) {}

  /**
   * Returns the term under which this process may currently act.
   *
   * @returns The term, or undefined if this process does not hold the lease or renewed it too long
   *   ago.
   */
  term(): number | undefined {
    const ageMs = this.clock.monotonicMs() - this.lastRenewalMs;
    return ageMs < this.options.durationMs * holderExpiryFraction ? this.heldTerm : undefined;
  }

  /** Whether the last renewal was confirmed and is recent enough for this process to act. */
  get isConfirmed(): boolean {
    return this.lastWritten !== undefined && this.term() !== undefined;
  }

  /**
   * Takes or renews the lease if possible. Must be called several times per lease duration.
   *
   * @param isAbandoned - Whether the holder is known to have stopped. Its lease is then taken once
   *   it has remained unchanged from one call to the next, without waiting for the duration.
   */
  async acquireOrRenew(isAbandoned = false): Promise<void> {
    const startedMs = this.clock.monotonicMs();
    if (this.lastWritten) {
      // A renewal needs no read: the write fails on its version condition if another took over.
      await this.write(this.lastWritten, this.lastWritten.value.term, startedMs);
      return;
    }
    const read = await this.store.get<LeaseRecord>(ObjectKind.Leases, this.options.name);
    if (read.isErr()) {
      return;
    }
    const stored = read.value;
    if (stored?.value.holder === this.options.candidate) {
      await this.write(stored, stored.value.term, startedMs);
    } else if (
      stored === undefined ||
      stored.value.holder === '' ||
      this.canTakeOver(stored.version, startedMs, isAbandoned)
    ) {
      await this.write(stored, (stored?.value.term ?? 0) + 1, startedMs);
    } else {
      this.heldTerm = undefined;
    }
  }

  /** Releases the lease, so that another candidate can take it without waiting for its expiry. */
  async release(): Promise<void> {
    const read = await this.store.get<LeaseRecord>(ObjectKind.Leases, this.options.name);
    this.heldTerm = undefined;
    this.lastWritten = undefined;
    if (read.isOk() && read.value?.value.holder === this.options.candidate) {
      const { version, value } = read.value;
      await this.store.put(ObjectKind.Leases, this.options.name, { ...value, holder: '' }, version);
    }
  }

  /**
   * Whether the lease of another holder may be taken. Even an abandoned lease must remain
   * unchanged from one call to the next, because another candidate may just have taken it.
   */
  private canTakeOver(version: number, nowMs: number, isAbandoned: boolean): boolean {
    if (this.observed?.version !== version) {
      this.observed = { version, firstSeenMs: nowMs };
      return false;
    }
    return isAbandoned || nowMs - this.observed.firstSeenMs > this.options.durationMs;
  }

  private async write(
    stored: StoredObject<LeaseRecord> | undefined,
    term: number,
    startedMs: number,
  ): Promise<void> {
    const record: LeaseRecord = {
      holder: this.options.candidate,
      term,
      renewals: (stored?.value.renewals ?? 0) + 1,
    };
    const version = stored?.version ?? absentVersion;
    const { name } = this.options;
    const put = await this.store.put(ObjectKind.Leases, name, record, version);
    this.lastWritten = undefined;
    if (put.isOk()) {
      this.lastWritten = { kind: ObjectKind.Leases, name, version: put.value, value: record };
      this.heldTerm = term;
      this.lastRenewalMs = startedMs;
    }
  }
}
