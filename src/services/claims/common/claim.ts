/** What is known of a claimed request. */
export enum ClaimState {
  /** Claimed; whether it ran is known at the endpoint only. */
  Claimed = 'claimed',
  /** It ran and ended. */
  Ran = 'ran',
}

/** Endpoint of a claim and the run of its agent. */
export interface ClaimTarget {
  readonly endpoint: string;
  readonly incarnation: string;
}

/** Right to run one attempt of a request that must not be repeated. */
export interface Claim {
  /** Digest of organisation and idempotency key. */
  readonly key: string;
  /** Digest of what was asked, to find a key that is used again for something else. */
  readonly request: string;
  /** Number of the attempt; a new one is claimed only after the one before was sealed. */
  readonly attempt: number;
  /** Endpoint whose gate decides whether the attempt runs. */
  readonly target: ClaimTarget;
  /** Endpoint that keeps the answer. */
  readonly keeper: ClaimTarget;
  /** Unique to this write, so that its writer finds it again. */
  readonly nonce: string;
  /** Wall-clock time of the claim, in milliseconds since 1970. */
  readonly atMs: number;
  readonly state: ClaimState;
}

/** Immutable object with older claims of a shard. */
export interface SegmentReference {
  readonly name: string;
  /** Newest claim in the segment, in milliseconds since 1970. */
  readonly newestMs: number;
}

/** Head object of a claim shard. */
export interface ShardHead {
  /** Number for the next segment. */
  readonly nextSegment: number;
  /** Segments, the newest last. */
  readonly segments: readonly SegmentReference[];
  /** Recent claims, the newest last. */
  readonly claims: readonly Claim[];
}

/** Head of a shard that was never written. */
export const emptyHead: ShardHead = { nextSegment: 1, segments: [], claims: [] };

/**
 * Names the attempt of a claim for gates and messages.
 *
 * @param claim - The claim.
 * @returns An identifier that no other attempt has.
 */
export function attemptIdOf(claim: Pick<Claim, 'key' | 'attempt'>): string {
  return `${claim.key}.${claim.attempt}`;
}

/** Change of one key's claim: it applies only if the current claim is the expected one. */
export interface ClaimChange {
  readonly key: string;
  /** Nonce of the claim that must be current; undefined if there must be none. */
  readonly expected: string | undefined;
  /** New claim; undefined to prove only that the current claim is the expected one. */
  readonly next: Claim | undefined;
}

/** Result of applying changes to a head. */
export interface ApplyResult {
  readonly head: ShardHead;
  readonly applied: readonly ClaimChange[];
  readonly rejected: readonly ClaimChange[];
}

/**
 * Applies changes to a shard.
 *
 * @param head - Current head.
 * @param current - Returns a key's current claim, from the head or its segments.
 * @param changes - The changes, in order.
 * @returns The new head, and which changes applied.
 */
export function applyChanges(
  head: ShardHead,
  current: (key: string) => Claim | undefined,
  changes: readonly ClaimChange[],
): ApplyResult {
  const claims = new Map(head.claims.map((claim) => [claim.key, claim]));
  const applied: ClaimChange[] = [];
  const rejected: ClaimChange[] = [];
  for (const change of changes) {
    const now = claims.get(change.key) ?? current(change.key);
    if (now?.nonce !== change.expected) {
      rejected.push(change);
      continue;
    }
    applied.push(change);
    if (change.next !== undefined) {
      claims.delete(change.key); // moves the key to the newest end
      claims.set(change.key, change.next);
    }
  }
  return { head: { ...head, claims: [...claims.values()] }, applied, rejected };
}

/** Claims that move out of a head into a segment. */
export interface Spill {
  readonly head: ShardHead;
  readonly name: string;
  readonly claims: readonly Claim[];
}

/**
 * Moves the older half of a head's claims to a segment once there are too many.
 *
 * @param shard - Name of the shard.
 * @param head - The head.
 * @param maxInline - Most claims that a head holds.
 * @returns What to write, or undefined if the head is small enough.
 */
export function spill(shard: string, head: ShardHead, maxInline: number): Spill | undefined {
  if (head.claims.length <= maxInline) {
    return undefined;
  }
  const moved = head.claims.slice(0, Math.ceil(head.claims.length / 2));
  const name = `${shard}-${head.nextSegment}`;
  const newestMs = Math.max(...moved.map((claim) => claim.atMs));
  return {
    name,
    claims: moved,
    head: {
      nextSegment: head.nextSegment + 1,
      segments: [...head.segments, { name, newestMs }],
      claims: head.claims.slice(moved.length),
    },
  };
}

/**
 * Drops segments whose claims are all past the retention.
 *
 * @param head - The head.
 * @param beforeMs - Claims older than this wall-clock time may be forgotten.
 * @returns The head without those segments.
 */
export function dropOldSegments(head: ShardHead, beforeMs: number): ShardHead {
  return { ...head, segments: head.segments.filter((segment) => segment.newestMs >= beforeMs) };
}
