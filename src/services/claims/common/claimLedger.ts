import { Err, Ok, type Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import {
  absentVersion,
  ObjectKind,
  VersionConflictError,
  type IObjectStore,
  type IStoreEra,
} from '../../objects/common/objects.js';
import { RestorePeriod } from '../../objects/common/restorePeriod.js';
import {
  applyChanges,
  dropOldSegments,
  emptyHead,
  compactHead,
  restoreClaims,
  type Claim,
  type ClaimChange,
  type ShardHead,
} from './claim.js';

/** The claims cannot currently be read or written. The change may still take effect later. */
export class ClaimsUnavailableError extends IbissparError {
  readonly code = 'claims-unavailable';
}

/** Outcome of a change. If it did not apply, `claim` is the one that it conflicted with. */
export interface ClaimOutcome {
  readonly applied: boolean;
  /** Current claim of the key after the change; undefined if the key is not claimed. */
  readonly claim: Claim | undefined;
}

/** Options of a claim ledger. */
export interface ClaimLedgerOptions {
  readonly shards: number;
  /** Maximum number of claims in the head object of a shard. */
  readonly maxHeadClaims: number;
  /** Minimum time for which a claim is kept, in milliseconds. */
  readonly retentionMs: number;
  /** Time after which a change that is not confirmed fails, in milliseconds. */
  readonly timeoutMs: number;
}

/** Pause before another try to write claims again, in milliseconds. */
const restoreRetryMs = 200;

/**
 * Interval at which a process checks again that the store holds its claims, in milliseconds, while another
 * that hasn't noticed the return yet may overwrite them under a version that was given out again.
 */
const restoreCheckMs = 1_000;

/** Age up to which claims are written again that the store has forgotten, in milliseconds. */
const restorableAgeMs = 60_000;

interface PendingChange {
  readonly change: ClaimChange;
  /** Monotonic time at which the change fails if it is not confirmed, in milliseconds. */
  readonly deadlineMs: number;
  readonly resolve: (result: Result<ClaimOutcome, ClaimsUnavailableError>) => void;
}

interface CachedHead {
  readonly version: number;
  readonly head: ShardHead;
}

/** One shard of the claims. Changes are batched: one conditional update writes many of them. */
class ClaimShard {
  private cached: CachedHead | undefined;

  private readonly claimsBySegment = new Map<string, Map<string, Claim>>();

  /** Recent claims of the last head that was read or written, by key. */
  private known = new Map<string, Claim>();

  /** Whether the store may lack known claims. */
  private mustRestore = false;

  private cancelCheck: CancelTimer | undefined;

  private pending: PendingChange[] = [];

  private isCommitting = false;

  /** Number of claims that were written again. */
  restored = 0;

  constructor(
    private readonly name: string,
    private readonly options: ClaimLedgerOptions,
    private readonly store: IObjectStore,
    private readonly clock: IClock & ITimers,
    private readonly mayClaimFirst: () => boolean,
  ) {}

  /** Writes the known claims again that the store has forgotten. */
  restore(): void {
    this.cached = undefined;
    this.mustRestore = this.known.size > 0;
    this.continueRestoring();
  }

  submit(change: PendingChange): void {
    this.pending.push(change);
    if (!this.isCommitting) {
      void this.commitAll();
    }
  }

  private async commitAll(): Promise<void> {
    this.isCommitting = true;
    if (this.mustRestore) {
      await this.restoreForgotten();
    }
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      await this.commit(batch);
    }
    this.isCommitting = false;
    if (this.mustRestore) {
      this.clock.after(restoreRetryMs, () => this.continueRestoring());
    }
  }

  private continueRestoring(): void {
    if (this.mustRestore && !this.isCommitting) {
      void this.commitAll();
    }
  }

  private async commit(batch: readonly PendingChange[]): Promise<void> {
    let remaining = batch;
    while (remaining.length > 0) {
      remaining = this.rejectExpired(remaining);
      const cached = await this.currentHead();
      if (cached === undefined) {
        remaining.forEach((pending) => resolveUnavailable(pending));
        return;
      }
      remaining = await this.tryWrite(cached, remaining);
    }
  }

  /** Returns the head, once it contains all known claims; undefined if the store can't be read or written. */
  private async currentHead(): Promise<CachedHead | undefined> {
    if (this.cached === undefined && !this.mustRestore) {
      await this.loadHead();
    }
    // A read may be the first call that tells of a new era.
    if (this.mustRestore) {
      await this.restoreForgotten();
    }
    return this.mustRestore ? undefined : this.cached;
  }

  /** Writes the claims again that the head lacks, unless the store fails or another process is faster. */
  private async restoreForgotten(): Promise<void> {
    const cached = await this.loadHead();
    if (cached === undefined) {
      return;
    }
    const head = restoreClaims(cached.head, (key) => this.findClaim(cached.head, key), this.known);
    const version =
      head === cached.head ? cached.version : await this.putHead(head, cached.version);
    if (version === undefined) {
      this.cached = undefined;
      return;
    }
    const stored = new Set(cached.head.claims);
    this.restored += head.claims.filter((claim) => !stored.has(claim)).length;
    this.remember({ version, head });
    this.mustRestore = false;
    this.cancelCheck?.();
    if (!this.mayClaimFirst()) {
      this.cancelCheck = this.clock.after(restoreCheckMs, () => this.restore());
    }
  }

  private rejectExpired(remaining: readonly PendingChange[]): readonly PendingChange[] {
    const nowMs = this.clock.monotonicMs();
    const expired = remaining.filter((pending) => pending.deadlineMs <= nowMs);
    expired.forEach((pending) => resolveUnavailable(pending));
    return remaining.filter((pending) => pending.deadlineMs > nowMs);
  }

  /** Tries one conditional update; returns the changes whose outcome is not known yet. */
  private async tryWrite(
    cached: CachedHead,
    remaining: readonly PendingChange[],
  ): Promise<readonly PendingChange[]> {
    const unresolved = remaining.filter(
      (pending) => !this.rejectIfRestoring(cached, pending) && !this.resolveIfApplied(pending),
    );
    const changes = unresolved.map((pending) => pending.change);
    const result = applyChanges(cached.head, (key) => this.findClaim(cached.head, key), changes);
    const rejected = unresolved.filter((pending) => result.rejected.includes(pending.change));
    const conflicting = rejected.filter((pending) => this.hasConflict(cached.head, pending.change));
    conflicting.forEach((pending) => this.resolve(pending, false));
    // The other rejected changes conflict with a change of the same batch. They are resolved after
    // that change is written.
    const deferred = rejected.filter((pending) => !conflicting.includes(pending));
    const writing = unresolved.filter((pending) => result.applied.includes(pending.change));
    if (writing.length === 0) {
      return [];
    }
    const head = await this.compact(result.head);
    const version = head && (await this.putHead(head, cached.version));
    if (head !== undefined && version !== undefined) {
      this.remember({ version, head });
      writing.forEach((pending) => this.resolve(pending, true));
      return deferred;
    }
    // The head is read again before the next try. If only the confirmation was lost, the nonces
    // show that the update applied. If the version is unchanged, the next try repeats the same
    // update under the same condition.
    this.cached = undefined;
    return [...writing, ...deferred];
  }

  private async putHead(head: ShardHead, expectedVersion: number): Promise<number | undefined> {
    const put = await this.store.put(ObjectKind.Claims, this.name, head, expectedVersion);
    return put.isOk() ? put.value : undefined;
  }

  private hasConflict(head: ShardHead, change: ClaimChange): boolean {
    return this.findClaim(head, change.key)?.nonce !== change.expected;
  }

  private resolveIfApplied(pending: PendingChange): boolean {
    const head = this.cached?.head;
    const { key, next } = pending.change;
    const current = head && this.findClaim(head, key);
    if (next === undefined || current?.nonce !== next.nonce) {
      return false;
    }
    this.resolve(pending, true);
    return true;
  }

  /**
   * Rejects a change that relies on the absence of a claim while others may still write it again. A first
   * claim that took effect in that time isn't confirmed either, and gives way to the one written again.
   */
  private rejectIfRestoring({ head }: CachedHead, { change, resolve }: PendingChange): boolean {
    const current = this.findClaim(head, change.key);
    const isAbsent = current === undefined || current.nonce === change.next?.nonce;
    if (change.expected !== undefined || !isAbsent || this.mayClaimFirst()) {
      return false;
    }
    resolve(Err(unconfirmedError()));
    return true;
  }

  private remember(cached: CachedHead): void {
    this.cached = cached;
    // First claims of this time may give way to claims that others write again.
    if (!this.mayClaimFirst()) {
      return;
    }
    const oldestMs = this.clock.wallMs() - restorableAgeMs;
    const inSegments = [...this.claimsBySegment.values()].flatMap((claims) => [...claims.values()]);
    const recent = [...inSegments, ...cached.head.claims].filter(({ atMs }) => atMs >= oldestMs);
    this.known = new Map(recent.map((claim) => [claim.key, claim]));
  }

  private resolve(pending: PendingChange, applied: boolean): void {
    const head = this.cached?.head ?? emptyHead;
    pending.resolve(Ok({ applied, claim: this.findClaim(head, pending.change.key) }));
  }

  private findClaim(head: ShardHead, key: string): Claim | undefined {
    const inlineClaim = head.claims.find((claim) => claim.key === key);
    if (inlineClaim) {
      return inlineClaim;
    }
    const newestFirst = head.segments.map((segment) => segment.name).reverse();
    const segmentName = newestFirst.find((name) => this.claimsBySegment.get(name)?.has(key));
    return segmentName === undefined ? undefined : this.claimsBySegment.get(segmentName)?.get(key);
  }

  private async loadHead(): Promise<CachedHead | undefined> {
    const read = await this.store.get<ShardHead>(ObjectKind.Claims, this.name);
    if (read.isErr()) {
      return undefined;
    }
    const version = read.value?.version ?? absentVersion;
    const head = read.value?.value ?? emptyHead;
    const names = head.segments.map((segment) => segment.name);
    for (const name of names) {
      if (!this.claimsBySegment.has(name) && !(await this.loadSegment(name))) {
        return undefined;
      }
    }
    [...this.claimsBySegment.keys()]
      .filter((name) => !names.includes(name))
      .forEach((name) => this.claimsBySegment.delete(name));
    if (!this.mustRestore) {
      this.remember({ version, head });
    }
    return { version, head };
  }

  private async loadSegment(name: string): Promise<boolean> {
    const read = await this.store.get<readonly Claim[]>(ObjectKind.ClaimSegments, name);
    if (read.isErr() || read.value === undefined) {
      return false;
    }
    this.claimsBySegment.set(name, indexClaims(read.value.value));
    return true;
  }

  /** Moves old claims to a segment if the head is full; returns undefined if that write failed. */
  private async compact(head: ShardHead): Promise<ShardHead | undefined> {
    const retained = dropOldSegments(head, this.clock.wallMs() - this.options.retentionMs);
    const compaction = compactHead(this.name, retained, this.options.maxHeadClaims);
    if (compaction === undefined) {
      return retained;
    }
    // Another writer may have written a segment with this number and other claims, and then failed
    // to update the head. The nonce of the newest claim makes the segment's name unique.
    const uniqueName = `${compaction.segmentName}-${compaction.segmentClaims[compaction.segmentClaims.length - 1].nonce}`;
    const put = await this.store.put(
      ObjectKind.ClaimSegments,
      uniqueName,
      compaction.segmentClaims,
      absentVersion,
    );
    if (put.isErr() && !(put.error instanceof VersionConflictError)) {
      return undefined;
    }
    this.claimsBySegment.set(uniqueName, indexClaims(compaction.segmentClaims));
    const segments = compaction.head.segments.map((segment) =>
      segment.name === compaction.segmentName ? { ...segment, name: uniqueName } : segment,
    );
    return { ...compaction.head, segments };
  }
}

function indexClaims(claims: readonly Claim[]): Map<string, Claim> {
  return new Map(claims.map((claim) => [claim.key, claim]));
}

function unconfirmedError(): ClaimsUnavailableError {
  return new ClaimsUnavailableError('the platform did not confirm the claim in time');
}

function resolveUnavailable(pending: PendingChange): void {
  pending.resolve(Err(unconfirmedError()));
}

/**
 * Claims of requests that must not run twice, stored in the platform.
 *
 * Any process may write any shard. Conditional updates decide which of several concurrent writers
 * succeeds.
 */
export class ClaimLedger {
  private readonly shards: readonly ClaimShard[];

  /**
   * @param options - Number of shards, limits and times.
   * @param store - Object store of the platform.
   * @param clock - Source of monotonic and wall-clock time and of timers.
   * @param restorePeriod - Tells whether other processes may still write claims again.
   */
  constructor(
    private readonly options: ClaimLedgerOptions,
    store: IObjectStore & IStoreEra,
    private readonly clock: IClock & ITimers,
    restorePeriod = new RestorePeriod(store, clock),
  ) {
    this.shards = Array.from(
      { length: options.shards },
      (_unused, index) =>
        new ClaimShard(String(index), options, store, clock, () => restorePeriod.isOver),
    );
    store.onDidChangeEra(() => this.shards.forEach((shard) => shard.restore()));
  }

  /** Number of claims that were written again because the store had forgotten them. */
  get restored(): number {
    return this.shards.reduce((sum, shard) => sum + shard.restored, 0);
  }

  /**
   * Changes a key's claim if the current claim is the expected one. A change without a new claim
   * determines the current claim. It uses a conditional update because a read may be stale.
   *
   * @param change - Change to apply.
   * @returns Whether the change applied and which claim is current now, or an error if the platform
   *   could not be read or did not confirm the change in time.
   */
  change(change: ClaimChange): Promise<Result<ClaimOutcome, ClaimsUnavailableError>> {
    const shardIndex = Number.parseInt(change.key.slice(0, 8), 16) % this.options.shards;
    const deadlineMs = this.clock.monotonicMs() + this.options.timeoutMs;
    return new Promise((resolve) => {
      this.shards[shardIndex].submit({ change, deadlineMs, resolve });
    });
  }
}
