import * as v from 'valibot';
import { describeIssues, wholeNumberSchema } from '../../../base/common/boundedValues.js';
import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import {
  absentVersion,
  ObjectKind,
  type IObjectStore,
  type StoredObject,
} from '../../objects/common/objects.js';
import { eraOf, revisionOf } from '../../objects/common/eraTracker.js';

/**
 * Number of terms that an era of the store can hold. A fencing token is a term together with the era, so
 * that it is higher than every token of an earlier era, although the store may have forgotten terms.
 */
const termsPerEra = 2 ** 32;

const leaseSchema = v.object({
  /** Incarnation of the holder; empty after a release. */
  holder: v.string(),
  /** Fencing token of the holder's orders; increases with each change of holder. */
  term: v.pipe(wholeNumberSchema, v.maxValue(termsPerEra - 1)),
  /** Increases with each renewal and each change of holder. */
  renewals: wholeNumberSchema,
  /** Era of the store in which the record was written. */
  era: v.optional(wholeNumberSchema),
});

/** Stored state of a lease. */
export type LeaseRecord = Readonly<v.InferOutput<typeof leaseSchema>>;

/** Holder of a lease whose record can't be read; no candidate has this name. */
const unknownHolder = '?';

/** Identity and timing of a lease candidate. */
export interface LeaseOptions {
  /** Name of the lease object. */
  readonly name: string;
  /** Incarnation of this process. */
  readonly candidate: string;
  /** Time without a renewal after which another candidate may take the lease, in milliseconds. */
  readonly durationMs: number;
  /**
   * Whether a lease that the store doesn't hold may be held all the same, because the store came back from
   * a copy that is older than the lease. False while the whole system starts for the first time.
   */
  readonly mustWaitIfAbsent?: boolean;
}

/**
 * Fraction of the lease duration, counted from the last renewal, after which the holder stops
 * acting. It is below 1, so that the holder stops before another candidate may take the lease.
 */
const holderExpiryFraction = 0.7;

/**
 * Returns the fencing token that stands for a term in an era.
 *
 * @param era - Era of the store in which the term began.
 * @param term - The term; 0 for a token that is below all tokens of the era.
 * @returns The token.
 */
export function toFencingToken(era: number, term: number): number {
  return era * termsPerEra + term;
}

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

  /** Wall-clock time of the last renewal, in milliseconds since 1970. */
  private lastRenewalWallMs = 0;

  /** Monotonic time before which no lease of another process may be taken, in milliseconds. */
  private noTakeoverUntilMs = Number.NEGATIVE_INFINITY;

  /** Whether the next write must raise the term, because an endpoint refused the current token. */
  private mustRaiseTerm = false;

  /** Whether this process held the lease when the era changed and hasn't written it since. */
  private mustReclaim = false;

  private heldEra = 0;

  /** Era in which the record was seen to be absent or of an earlier era. */
  private outdatedIn: number | undefined;

  /** Record that this process wrote last; undefined if its last write was not confirmed. */
  private lastWritten: StoredObject<LeaseRecord> | undefined;

  /**
   * @param options - Identity of this candidate and duration of the lease.
   * @param store - Object store of the platform.
   * @param clock - Source of time.
   * @param currentEra - Returns the era of the store.
   * @param logger - Receives a stored record that can't be read.
   */
  constructor(
    private readonly options: LeaseOptions,
    private readonly store: IObjectStore,
    private readonly clock: IClock,
    private readonly currentEra: () => number = () => 0,
    private readonly logger?: ILogger,
  ) {}

  /**
   * Returns the term under which this process may currently act.
   *
   * @returns The term, or undefined if this process does not hold the lease or renewed it too long
   *   ago.
   */
  term(): number | undefined {
    // The monotonic clock doesn't count the time for which the machine was suspended.
    const ageMs = Math.max(
      this.clock.monotonicMs() - this.lastRenewalMs,
      this.clock.wallMs() - this.lastRenewalWallMs,
    );
    return ageMs < this.options.durationMs * holderExpiryFraction ? this.heldTerm : undefined;
  }

  /**
   * Returns the fencing token for orders under the current term.
   *
   * @returns The token, or undefined if this process may not act.
   */
  fencingToken(): number | undefined {
    const term = this.term();
    return term === undefined ? undefined : toFencingToken(this.heldEra, term);
  }

  /**
   * Called when the store came back from an older copy, which may not hold the lease or may show an
   * earlier holder. Only a process that held the lease until now may write it again at once; the others
   * wait until every holder of the previous era has stopped.
   */
  handleEraChange(): void {
    const wasHolder = this.term() !== undefined;
    this.lastWritten = undefined;
    this.observed = undefined;
    if (wasHolder) {
      this.mustReclaim = true;
    } else {
      this.heldTerm = undefined;
      this.forbidTakeover(this.clock.monotonicMs());
    }
  }

  /** Called when an endpoint refused the current token as too low; the next term is higher. */
  handleFencedOrder(): void {
    this.heldTerm = undefined;
    this.mustRaiseTerm = true;
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
    if (this.lastWritten && !this.mustRaiseTerm) {
      // A renewal needs no read: the write fails on its version condition if another took over.
      await this.write(this.lastWritten, this.lastWritten.value.term, startedMs);
      return;
    }
    const read = await this.store.get(ObjectKind.Leases, this.options.name);
    if (read.isErr()) {
      return;
    }
    const stored = read.value && this.toLease(read.value);
    if (this.mustReclaim) {
      await this.reclaim(stored, startedMs);
      return;
    }
    const isOutdated = stored === undefined ? this.mustWaitIfAbsent : this.isFromPastEra(stored);
    if (isOutdated && this.outdatedIn !== this.currentEra()) {
      this.outdatedIn = this.currentEra();
      this.forbidTakeover(startedMs);
    }
    if (startedMs < this.noTakeoverUntilMs) {
      return;
    }
    if (stored?.value.holder === this.options.candidate) {
      const mustRaise = this.mustRaiseTerm || this.isFromPastEra(stored);
      await this.write(stored, mustRaise ? this.nextTerm(stored) : stored.value.term, startedMs);
    } else if (
      stored === undefined ||
      stored.value.holder === '' ||
      this.canTakeOver(stored.version, startedMs, isAbandoned)
    ) {
      await this.write(stored, this.nextTerm(stored), startedMs);
    } else {
      this.heldTerm = undefined;
    }
  }

  /** Releases the lease, so that another candidate can take it without waiting for its expiry. */
  async release(): Promise<void> {
    const read = await this.store.get(ObjectKind.Leases, this.options.name);
    this.heldTerm = undefined;
    this.lastWritten = undefined;
    const stored = read.isOk() && read.value ? this.toLease(read.value) : undefined;
    if (stored?.value.holder === this.options.candidate) {
      const { version, value } = stored;
      await this.store.put(ObjectKind.Leases, this.options.name, { ...value, holder: '' }, version);
    }
  }

  /**
   * Validates a stored record. One that can't be read counts as the lease of an unknown holder, whose term
   * can't exceed the revision of the record.
   */
  private toLease(stored: StoredObject): StoredObject<LeaseRecord> {
    const parsed = v.safeParse(leaseSchema, stored.value);
    if (parsed.success) {
      return { ...stored, value: parsed.output };
    }
    this.logger?.log(LogLevel.Error, 'lease-invalid', {
      lease: this.options.name,
      fault: describeIssues(parsed.issues),
    });
    const term = revisionOf(stored.version);
    const value = { holder: unknownHolder, term, renewals: 0, era: eraOf(stored.version) };
    return { ...stored, value };
  }

  private get mustWaitIfAbsent(): boolean {
    return this.options.mustWaitIfAbsent ?? false;
  }

  /** Writes the lease again that the store has forgotten, unless another process may have taken it. */
  private async reclaim(
    stored: StoredObject<LeaseRecord> | undefined,
    startedMs: number,
  ): Promise<void> {
    if (this.term() === undefined || (stored !== undefined && !this.isFromPastEra(stored))) {
      this.mustReclaim = false;
      this.heldTerm = undefined;
      this.forbidTakeover(startedMs);
    } else {
      await this.write(stored, this.nextTerm(stored), startedMs);
    }
  }

  /** Whether a record was written before the store came back from a copy of it. */
  private isFromPastEra(stored: StoredObject<LeaseRecord> | undefined): boolean {
    return stored !== undefined && (stored.value.era ?? 0) < this.currentEra();
  }

  /**
   * Returns a term that no process has held in this era. A record of an earlier era may have replaced
   * one of this era, but terms don't exceed the revision of the record that they were written with.
   */
  private nextTerm(stored: StoredObject<LeaseRecord> | undefined): number {
    if (stored === undefined) {
      return 1;
    }
    return (this.isFromPastEra(stored) ? revisionOf(stored.version) : stored.value.term) + 1;
  }

  /** Waits until a holder of which the store knows nothing has stopped. */
  private forbidTakeover(nowMs: number): void {
    this.noTakeoverUntilMs = nowMs + this.options.durationMs;
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
    const era = this.currentEra();
    const record: LeaseRecord = {
      holder: this.options.candidate,
      term,
      renewals: (stored?.value.renewals ?? 0) + 1,
      era,
    };
    const version = stored?.version ?? absentVersion;
    const { name } = this.options;
    const startedWallMs = this.clock.wallMs() - (this.clock.monotonicMs() - startedMs);
    const put = await this.store.put(ObjectKind.Leases, name, record, version);
    this.lastWritten = undefined;
    if (put.isOk()) {
      this.lastWritten = { kind: ObjectKind.Leases, name, version: put.value, value: record };
      this.heldTerm = term;
      this.heldEra = era;
      this.lastRenewalMs = startedMs;
      this.lastRenewalWallMs = startedWallMs;
      this.mustRaiseTerm = false;
      this.mustReclaim = false;
    }
  }
}
