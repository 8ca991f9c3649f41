import type { RestorePeriod } from '../../objects/common/restorePeriod.js';

/** Accepted change of the rule file, as listed in the manifest. */
export interface RuleChange {
  /** Idempotency key chosen by the operator's client: an edit with the same id is applied once. */
  readonly id: string;
  readonly revision: number;
  readonly by: string;
  /** Wall-clock time of the change, in milliseconds since 1970. */
  readonly atMs: number;
}

/** Revision of the rules with the changes that led to it. */
export interface RuleLine {
  readonly revision: number;
  /** Latest changes, oldest first. */
  readonly changes: readonly RuleChange[];
}

/** What a process knows of the rules besides what the store holds. */
export interface IRuleHistory {
  /** Whether the store may lack accepted changes that other processes still write again. */
  readonly isIncomplete: boolean;
  /** Highest revision that any process is known to have. */
  readonly highestRevision: number;
}

/** History of the rules over returns of the store from older copies. */
export class RuleHistory implements IRuleHistory {
  /**
   * @param restorePeriod - Tells whether other processes may still write again what the store has forgotten.
   * @param knownRevision - Returns the highest revision that any process is known to have.
   */
  constructor(
    private readonly restorePeriod: RestorePeriod,
    private readonly knownRevision: () => number,
  ) {}

  get isIncomplete(): boolean {
    return !this.restorePeriod.isOver;
  }

  get highestRevision(): number {
    return this.knownRevision();
  }
}

/** History of a system whose store forgets nothing. */
export const completeHistory: IRuleHistory = { isIncomplete: false, highestRevision: 0 };

/**
 * Returns the change that made a revision.
 *
 * @param line - The revision with its changes.
 * @returns The change, or undefined if an operator wrote the rules without the administration API.
 */
export function latestChange({ changes }: RuleLine): RuleChange | undefined {
  return changes[changes.length - 1];
}

/**
 * Returns whether a revision of the rules was made from another one, or is the same.
 *
 * @param later - The revision that may include the other one.
 * @param earlier - The other revision.
 * @returns True if it has the other's latest change among its own. Only the latest changes are listed; one
 *   that is older than those counts as included.
 */
export function includesChanges(later: RuleLine, earlier: RuleLine): boolean {
  const latest = latestChange(earlier);
  return (
    later.revision >= earlier.revision &&
    (latest === undefined ||
      later.changes.some(({ id }) => id === latest.id) ||
      (later.changes[0]?.revision ?? 0) > latest.revision)
  );
}
