import { isPartSubject } from './subject.js';

/** A subject and the crashes that count against it. */
export interface Evidence {
  readonly subject: string;
  readonly crashes: readonly string[];
  /** Number of crashes that survivals outweigh, beside those that count. */
  readonly survivals: number;
  /** False for a part that only one request has held so far, which is then suspected itself. */
  readonly canBeConvicted: boolean;
}

/** Outcome of weighing the evidence against all subjects together. */
export interface Convictions {
  /** Subjects that cause crashes. */
  readonly convicted: ReadonlySet<string>;
  /** Number of crashes of each subject that no other convicted subject explains. */
  readonly unexplainedCrashes: ReadonlyMap<string, number>;
}

/** Crashes that convicted subjects explain. */
class ExplainedCrashes {
  private readonly byParts = new Set<string>();

  private readonly byRequests = new Set<string>();

  add({ subject, crashes }: Evidence): void {
    const explained = isPartSubject(subject) ? this.byParts : this.byRequests;
    crashes.forEach((crash) => explained.add(crash));
  }

  /**
   * Counts the crashes of a subject that are not explained. A request explains the crashes of its parts,
   * but not those of other requests, which may crash endpoints as well.
   */
  countOthers({ subject, crashes }: Evidence): number {
    const isPart = isPartSubject(subject);
    return crashes.filter(
      (crash) => !this.byParts.has(crash) && !(isPart && this.byRequests.has(crash)),
    ).length;
  }
}

/**
 * Compares subjects with equally many crashes: those that endpoints never survived come first, and parts
 * before whole requests, which may have been present by chance at all crashes of a part.
 */
function compareSubjects(a: Evidence, b: Evidence): number {
  const rank = Number(isPartSubject(b.subject)) - Number(isPartSubject(a.subject));
  const order = Number(a.subject > b.subject) - Number(a.subject < b.subject);
  return a.survivals - b.survivals || rank || order;
}

/**
 * Decides which subjects cause crashes. Convicts one at a time, the one with the most crashes, and then
 * disregards the crashes that it explains, since what was merely present at them is innocent. The outcome
 * depends only on the evidence, so processes that hold the same evidence agree, and a subject that was
 * convicted in place of the true cause is released at the first crash in its absence.
 *
 * @param evidence - All subjects with crashes.
 * @param minCrashes - Number of unexplained crashes that convicts.
 * @returns The convicted subjects, and the unexplained crashes of all.
 */
export function weighEvidence(evidence: readonly Evidence[], minCrashes: number): Convictions {
  const convicted = new Set<string>();
  const unexplainedCrashes = new Map<string, number>();
  const explained = new ExplainedCrashes();
  let candidates = evidence.filter(
    ({ crashes, canBeConvicted }) => canBeConvicted && crashes.length >= minCrashes,
  );
  while (candidates.length > 0) {
    const counted = candidates
      .map((candidate) => ({ candidate, count: explained.countOthers(candidate) }))
      .filter(({ count }) => count >= minCrashes);
    const worst = counted.reduce<(typeof counted)[number] | undefined>((a, b) => {
      const isWorse =
        a === undefined ||
        b.count > a.count ||
        (b.count === a.count && compareSubjects(b.candidate, a.candidate) < 0);
      return isWorse ? b : a;
    }, undefined);
    if (worst !== undefined) {
      convicted.add(worst.candidate.subject);
      unexplainedCrashes.set(worst.candidate.subject, worst.count);
      explained.add(worst.candidate);
    }
    candidates = counted
      .map(({ candidate }) => candidate)
      .filter((candidate) => candidate !== worst?.candidate);
  }
  evidence
    .filter(({ subject }) => !convicted.has(subject))
    .forEach((each) => unexplainedCrashes.set(each.subject, explained.countOthers(each)));
  return { convicted, unexplainedCrashes };
}
