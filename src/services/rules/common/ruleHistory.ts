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
