import { Err, Ok, type Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import type { IClock } from '../../../base/common/clock.js';
import {
  absentVersion,
  ObjectKind,
  VersionConflictError,
  type IObjectStore,
} from '../../objects/common/objects.js';
import {
  applyChanges,
  dropOldSegments,
  emptyHead,
  compactHead,
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

  private pending: PendingChange[] = [];

  private isCommitting = false;

  constructor(
    private readonly name: string,
    private readonly options: ClaimLedgerOptions,
    private readonly store: IObjectStore,
    private readonly clock: IClock,
  ) {}

  submit(change: PendingChange): void {
    this.pending.push(change);
    if (!this.isCommitting) {
      void this.commitAll();
    }
  }

  private async commitAll(): Promise<void> {
    this.isCommitting = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      await this.commit(batch);
    }
    this.isCommitting = false;
  }

  private async commit(batch: readonly PendingChange[]): Promise<void> {
    let remaining = batch;
    while (remaining.length > 0) {
      remaining = this.rejectExpired(remaining);
      const cached = this.cached ?? (await this.loadHead());
      if (cached === undefined) {
        remaining.forEach((pending) => resolveUnavailable(pending));
        return;
      }
      remaining = await this.tryWrite(cached, remaining);
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
    const unresolved = remaining.filter((pending) => !this.resolveIfApplied(pending));
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
      this.cached = { version, head };
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
    this.cached = { version, head };
    return this.cached;
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

function resolveUnavailable(pending: PendingChange): void {
  pending.resolve(
    Err(new ClaimsUnavailableError('the platform did not confirm the claim in time')),
  );
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
   * @param clock - Source of monotonic and wall-clock time.
   */
  constructor(
    private readonly options: ClaimLedgerOptions,
    store: IObjectStore,
    private readonly clock: IClock,
  ) {
    this.shards = Array.from(
      { length: options.shards },
      (_unused, index) => new ClaimShard(String(index), options, store, clock),
    );
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
