import type { IClock } from '../../../base/common/clock.js';
import {
  absentVersion,
  ObjectKind,
  type IObjectStore,
  type StoredObject,
} from '../../objects/common/objects.js';

/** Stored state of a lease. */
export interface LeaseRecord {
  /** Incarnation of the holder. */
  readonly holder: string;
  /** Grows with each change of holder; the fencing number of the holder's orders. */
  readonly term: number;
  /** Grows with each renewal. */
  readonly renewals: number;
}

/** Identity and timing of a lease candidate. */
export interface LeaseOptions {
  /** Name of the lease object. */
  readonly name: string;
  /** Incarnation of this process. */
  readonly candidate: string;
  /** Time without a renewal after which others may take the lease, in milliseconds. */
  readonly durationMs: number;
}

/** Share of the duration after its last renewal at which a holder stops itself. */
const holderShare = 0.7;

interface Observed {
  readonly version: number;
  readonly atMs: number;
}

/**
 * A candidate for a lease that lives in one object of the platform.
 *
 * Safety does not rest on clocks: two processes may believe at once that they hold the lease, and
 * the term tells their orders apart.
 */
export class LeaseCandidate {
  private observed: Observed | undefined;

  private heldTerm: number | undefined;

  private renewedMs = 0;

  /** What this process wrote last, while nothing speaks against its being in force. */
  private written: StoredObject<LeaseRecord> | undefined;

  /**
   * @param options - Identity and timing.
   * @param store - The platform's objects.
   * @param clock - Source of time.
   */
  constructor(
    private readonly options: LeaseOptions,
    private readonly store: IObjectStore,
    private readonly clock: IClock,
  ) {}

  /**
   * Returns the term under which this process may act now.
   *
   * @returns The term, or undefined if this process does not hold the lease.
   */
  term(): number | undefined {
    const ageMs = this.clock.monotonicMs() - this.renewedMs;
    return ageMs < this.options.durationMs * holderShare ? this.heldTerm : undefined;
  }

  /** Whether the last renewal was confirmed and is recent enough to act on. */
  get isConfirmed(): boolean {
    return this.written !== undefined && this.term() !== undefined;
  }

  /**
   * Takes or renews the lease if possible; call this a few times per duration.
   *
   * @param isAbandoned - Whether the holder is known to act no more; its lease is taken if it
   *   stands still for one step.
   */
  async step(isAbandoned = false): Promise<void> {
    const startedMs = this.clock.monotonicMs();
    if (this.written) {
      // A renewal needs no read: the condition on the version finds out if another took over.
      await this.write(this.written, this.written.value.term, startedMs);
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
      this.mayTake(stored.version, startedMs, isAbandoned)
    ) {
      await this.write(stored, (stored?.value.term ?? 0) + 1, startedMs);
    } else {
      this.heldTerm = undefined;
    }
  }

  /** Gives the lease up, so that another candidate need not wait for its end. */
  async release(): Promise<void> {
    const read = await this.store.get<LeaseRecord>(ObjectKind.Leases, this.options.name);
    this.heldTerm = undefined;
    this.written = undefined;
    if (read.isOk() && read.value?.value.holder === this.options.candidate) {
      const { version, value } = read.value;
      await this.store.put(ObjectKind.Leases, this.options.name, { ...value, holder: '' }, version);
    }
  }

  /** An abandoned lease has to stand still from one step to the next: another may just have taken it. */
  private mayTake(version: number, nowMs: number, isAbandoned: boolean): boolean {
    if (this.observed?.version !== version) {
      this.observed = { version, atMs: nowMs };
      return false;
    }
    return isAbandoned || nowMs - this.observed.atMs > this.options.durationMs;
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
    const written = await this.store.put(ObjectKind.Leases, name, record, version);
    this.written = undefined;
    if (written.isOk()) {
      this.written = { kind: ObjectKind.Leases, name, version: written.value, value: record };
      this.heldTerm = term;
      this.renewedMs = startedMs;
    }
  }
}
