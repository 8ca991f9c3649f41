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
  spill,
  type Claim,
  type ClaimChange,
  type ShardHead,
} from './claim.js';

/** The claims cannot be read or written now; the change may still take effect. */
export class ClaimsUnavailableError extends IbissparError {
  readonly code = 'claims-unavailable';
}

/** Outcome of a change: `applied`, or the claim that stood in its way. */
export interface ClaimOutcome {
  readonly applied: boolean;
  /** Claim of the key after the change. */
  readonly claim: Claim | undefined;
}

/** Limits of a claim ledger. */
export interface ClaimLedgerOptions {
  readonly shards: number;
  /** Most claims in a shard's head object. */
  readonly maxInline: number;
  /** Time for which a claim is remembered at least, in milliseconds. */
  readonly retentionMs: number;
  /** Time after which a change is given up, in milliseconds. */
  readonly timeoutMs: number;
}

interface PendingChange {
  readonly change: ClaimChange;
  readonly limitMs: number;
  readonly resolve: (result: Result<ClaimOutcome, ClaimsUnavailableError>) => void;
}

interface CachedHead {
  readonly version: number;
  readonly head: ShardHead;
}

/** One shard of the claims, changed by conditional updates with many changes in each. */
class ClaimShard {
  private cached: CachedHead | undefined;

  private readonly segments = new Map<string, Map<string, Claim>>();

  private pending: PendingChange[] = [];

  private committing = false;

  constructor(
    private readonly name: string,
    private readonly options: ClaimLedgerOptions,
    private readonly store: IObjectStore,
    private readonly clock: IClock,
  ) {}

  submit(change: PendingChange): void {
    this.pending.push(change);
    if (!this.committing) {
      void this.commitAll();
    }
  }

  private async commitAll(): Promise<void> {
    this.committing = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      await this.commit(batch);
    }
    this.committing = false;
  }

  private async commit(batch: readonly PendingChange[]): Promise<void> {
    let open = batch;
    while (open.length > 0) {
      open = this.expire(open);
      const cached = this.cached ?? (await this.load());
      if (cached === undefined) {
        open.forEach((pending) => giveUp(pending));
        return;
      }
      open = await this.write(cached, open);
    }
  }

  private expire(open: readonly PendingChange[]): readonly PendingChange[] {
    const nowMs = this.clock.monotonicMs();
    const expired = open.filter((pending) => pending.limitMs <= nowMs);
    expired.forEach((pending) => giveUp(pending));
    return open.filter((pending) => pending.limitMs > nowMs);
  }

  /** Tries one conditional update; returns the changes whose outcome is still open. */
  private async write(
    cached: CachedHead,
    open: readonly PendingChange[],
  ): Promise<readonly PendingChange[]> {
    const undecided = open.filter((pending) => !this.resolveIfPresent(pending));
    const changes = undecided.map((pending) => pending.change);
    const result = applyChanges(cached.head, (key) => this.find(cached.head, key), changes);
    const rejected = undecided.filter((pending) => result.rejected.includes(pending.change));
    const blocked = rejected.filter((pending) => this.isBlockedBy(cached.head, pending.change));
    blocked.forEach((pending) => this.resolve(pending, false));
    // The others lost to a change of the same batch; they are decided once that one is written.
    const deferred = rejected.filter((pending) => !blocked.includes(pending));
    const writing = undecided.filter((pending) => result.applied.includes(pending.change));
    if (writing.length === 0) {
      return [];
    }
    const head = await this.compact(result.head);
    const version = head && (await this.update(head, cached.version));
    if (head !== undefined && version !== undefined) {
      this.cached = { version, head };
      writing.forEach((pending) => this.resolve(pending, true));
      return deferred;
    }
    // The head is read again. After a lost confirmation the nonces tell whether the update applied;
    // if the version did not move, the same update is tried again under the same condition.
    this.cached = undefined;
    return [...writing, ...deferred];
  }

  private async update(head: ShardHead, expected: number): Promise<number | undefined> {
    const put = await this.store.put(ObjectKind.Claims, this.name, head, expected);
    return put.isOk() ? put.value : undefined;
  }

  private isBlockedBy(head: ShardHead, change: ClaimChange): boolean {
    return this.find(head, change.key)?.nonce !== change.expected;
  }

  private resolveIfPresent(pending: PendingChange): boolean {
    const head = this.cached?.head;
    const { key, next } = pending.change;
    const current = head && this.find(head, key);
    if (next === undefined || current?.nonce !== next.nonce) {
      return false;
    }
    this.resolve(pending, true);
    return true;
  }

  private resolve(pending: PendingChange, applied: boolean): void {
    const head = this.cached?.head ?? emptyHead;
    pending.resolve(Ok({ applied, claim: this.find(head, pending.change.key) }));
  }

  private find(head: ShardHead, key: string): Claim | undefined {
    const inline = head.claims.find((claim) => claim.key === key);
    if (inline) {
      return inline;
    }
    const names = head.segments.map((segment) => segment.name).reverse();
    const holder = names.find((name) => this.segments.get(name)?.has(key));
    return holder === undefined ? undefined : this.segments.get(holder)?.get(key);
  }

  private async load(): Promise<CachedHead | undefined> {
    const read = await this.store.get<ShardHead>(ObjectKind.Claims, this.name);
    if (read.isErr()) {
      return undefined;
    }
    const version = read.value?.version ?? absentVersion;
    const head = read.value?.value ?? emptyHead;
    const names = head.segments.map((segment) => segment.name);
    for (const name of names) {
      if (!this.segments.has(name) && !(await this.loadSegment(name))) {
        return undefined;
      }
    }
    [...this.segments.keys()]
      .filter((name) => !names.includes(name))
      .forEach((name) => this.segments.delete(name));
    this.cached = { version, head };
    return this.cached;
  }

  private async loadSegment(name: string): Promise<boolean> {
    const read = await this.store.get<readonly Claim[]>(ObjectKind.ClaimSegments, name);
    if (read.isErr() || read.value === undefined) {
      return false;
    }
    this.segments.set(name, indexClaims(read.value.value));
    return true;
  }

  /** Spills old claims to a segment if the head is full; undefined if that failed. */
  private async compact(head: ShardHead): Promise<ShardHead | undefined> {
    const kept = dropOldSegments(head, this.clock.wallMs() - this.options.retentionMs);
    const moved = spill(this.name, kept, this.options.maxInline);
    if (moved === undefined) {
      return kept;
    }
    // Another writer may have used this segment number in a head update that failed; its content
    // can differ, so the name carries the newest nonce.
    const name = `${moved.name}-${moved.claims[moved.claims.length - 1].nonce}`;
    const put = await this.store.put(ObjectKind.ClaimSegments, name, moved.claims, absentVersion);
    if (put.isErr() && !(put.error instanceof VersionConflictError)) {
      return undefined;
    }
    this.segments.set(name, indexClaims(moved.claims));
    const segments = moved.head.segments.map((segment) =>
      segment.name === moved.name ? { ...segment, name } : segment,
    );
    return { ...moved.head, segments };
  }
}

function indexClaims(claims: readonly Claim[]): Map<string, Claim> {
  return new Map(claims.map((claim) => [claim.key, claim]));
}

function giveUp(pending: PendingChange): void {
  pending.resolve(
    Err(new ClaimsUnavailableError('the platform did not confirm the claim in time')),
  );
}

/**
 * Claims of requests that must not be repeated, kept in the platform.
 *
 * Any process may write any shard; conditional updates decide races.
 */
export class ClaimLedger {
  private readonly shards: readonly ClaimShard[];

  /**
   * @param options - Limits.
   * @param store - The platform's objects.
   * @param clock - Source of time.
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
   * Changes a key's claim if the current one is the expected one. A change without a new claim
   * proves by a conditional update, not by a read that may be stale, what the current claim is.
   *
   * @param change - The change.
   * @returns Whether it applied and the claim that is now current.
   */
  change(change: ClaimChange): Promise<Result<ClaimOutcome, ClaimsUnavailableError>> {
    const shard = Number.parseInt(change.key.slice(0, 8), 16) % this.options.shards;
    const limitMs = this.clock.monotonicMs() + this.options.timeoutMs;
    return new Promise((resolve) => {
      this.shards[shard].submit({ change, limitMs, resolve });
    });
  }
}
