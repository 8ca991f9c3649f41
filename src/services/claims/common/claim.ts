/** State of a claimed request, as stored in the platform. */
export enum ClaimState {
  /** The request is claimed. Only the target endpoint knows whether it has run. */
  Claimed = 'claimed',
  /** The request ran to completion. */
  Ran = 'ran',
}

/** Endpoint that a claim names, with the incarnation of its agent process. */
export interface ClaimTarget {
  readonly endpoint: string;
  readonly incarnation: string;
}

/** Exclusive right to run one attempt of a request that must not run twice. */
export interface Claim {
  /** Digest of organisation and idempotency key. */
  readonly key: string;
  /** Digest of the request, to detect an idempotency key that is reused for a different request. */
  readonly request: string;
  /** Number of the attempt. The next attempt is claimed only after this one has been sealed. */
  readonly attempt: number;
  /** Endpoint whose attempt gate decides whether the attempt runs. */
  readonly target: ClaimTarget;
  /** Endpoint that stores the answer. */
  readonly keeper: ClaimTarget;
  /** Unique to this write, so that the writer recognises its own claim when it reads the shard. */
  readonly nonce: string;
  /** Wall-clock time of the claim, in milliseconds since 1970. */
  readonly atMs: number;
  readonly state: ClaimState;
}

/** Reference to a segment: an immutable object that holds older claims of a shard. */
export interface SegmentReference {
  readonly name: string;
  /** Wall-clock time of the newest claim in the segment, in milliseconds since 1970. */
  readonly newestMs: number;
}

/** Head object of a claim shard: the recent claims and references to the segments. */
export interface ShardHead {
  /** Number that the next segment gets. */
  readonly nextSegment: number;
  /** Segments in order of creation, the newest last. */
  readonly segments: readonly SegmentReference[];
  /** Claims that are not in a segment yet, the newest last. */
  readonly claims: readonly Claim[];
}

/** Head of a shard that has not been written yet. */
export const emptyHead: ShardHead = { nextSegment: 1, segments: [], claims: [] };

/**
 * Returns the identifier of a claim's attempt, as used by attempt gates and in messages.
 *
 * @param claim - Key and attempt number of the claim.
 * @returns An identifier that is unique to the attempt.
 */
export function attemptIdOf(claim: Pick<Claim, 'key' | 'attempt'>): string {
  return `${claim.key}.${claim.attempt}`;
}

/** Change of one key's claim. It applies only if the current claim is the expected one. */
export interface ClaimChange {
  readonly key: string;
  /** Nonce that the current claim must have; undefined if the key must not be claimed. */
  readonly expected: string | undefined;
  /** New claim; undefined if the change only checks that the current claim is the expected one. */
  readonly next: Claim | undefined;
}

/** Result of applying changes to a shard head. */
export interface ApplyResult {
  readonly head: ShardHead;
  readonly applied: readonly ClaimChange[];
  readonly rejected: readonly ClaimChange[];
}

/**
 * Applies changes to the head of a shard, in memory only.
 *
 * @param head - Current head.
 * @param findCurrent - Looks up a key's claim in the current head and its segments.
 * @param changes - Changes in the order in which they apply.
 * @returns The new head, with the changes that applied and those that were rejected.
 */
export function applyChanges(
  head: ShardHead,
  findCurrent: (key: string) => Claim | undefined,
  changes: readonly ClaimChange[],
): ApplyResult {
  const claims = new Map(head.claims.map((claim) => [claim.key, claim]));
  const applied: ClaimChange[] = [];
  const rejected: ClaimChange[] = [];
  for (const change of changes) {
    const current = claims.get(change.key) ?? findCurrent(change.key);
    if (current?.nonce !== change.expected) {
      rejected.push(change);
      continue;
    }
    applied.push(change);
    if (change.next !== undefined) {
      claims.delete(change.key); // re-inserting the key keeps the map ordered by age
      claims.set(change.key, change.next);
    }
  }
  return { head: { ...head, claims: [...claims.values()] }, applied, rejected };
}

/**
 * Adds claims that a shard's head lacks, because the store came back from an older copy.
 *
 * @param head - Current head.
 * @param findCurrent - Looks up a key's claim in the current head and its segments.
 * @param known - Claims that were stored before, by key.
 * @returns The head with the forgotten claims; the same head if none is forgotten.
 */
export function restoreClaims(
  head: ShardHead,
  findCurrent: (key: string) => Claim | undefined,
  known: ReadonlyMap<string, Claim>,
): ShardHead {
  const forgotten = [...known.values()].filter((claim) => isLater(claim, findCurrent(claim.key)));
  const keys = new Set(forgotten.map(({ key }) => key));
  return forgotten.length === 0
    ? head
    : { ...head, claims: [...head.claims.filter(({ key }) => !keys.has(key)), ...forgotten] };
}

/**
 * Whether a known claim goes before the current one. Of two claims of one attempt, the current one was
 * written after the return of the store and isn't confirmed, unless it says that the attempt ran.
 */
function isLater(known: Claim, current: Claim | undefined): boolean {
  if (current === undefined || known.attempt !== current.attempt) {
    return known.attempt > (current?.attempt ?? 0);
  }
  return known.nonce !== current.nonce && current.state === ClaimState.Claimed;
}

/** New head and new segment that result from compacting a head. */
export interface HeadCompaction {
  readonly head: ShardHead;
  readonly segmentName: string;
  readonly segmentClaims: readonly Claim[];
}

/**
 * Moves the older half of a head's claims to a new segment if the head holds too many claims.
 *
 * @param shard - Name of the shard.
 * @param head - Head to compact.
 * @param maxHeadClaims - Maximum number of claims in a head.
 * @returns The objects to write, or undefined if the head is within the maximum.
 */
export function compactHead(
  shard: string,
  head: ShardHead,
  maxHeadClaims: number,
): HeadCompaction | undefined {
  if (head.claims.length <= maxHeadClaims) {
    return undefined;
  }
  const olderClaims = head.claims.slice(0, Math.ceil(head.claims.length / 2));
  const name = `${shard}-${head.nextSegment}`;
  const newestMs = Math.max(...olderClaims.map((claim) => claim.atMs));
  return {
    segmentName: name,
    segmentClaims: olderClaims,
    head: {
      nextSegment: head.nextSegment + 1,
      segments: [...head.segments, { name, newestMs }],
      claims: head.claims.slice(olderClaims.length),
    },
  };
}

/**
 * Removes the references to segments whose claims are all older than the retention time.
 *
 * @param head - Head to remove them from.
 * @param beforeMs - Claims older than this wall-clock time may be removed, in milliseconds since
 *   1970.
 * @returns A copy of the head without these segments.
 */
export function dropOldSegments(head: ShardHead, beforeMs: number): ShardHead {
  return { ...head, segments: head.segments.filter((segment) => segment.newestMs >= beforeMs) };
}
