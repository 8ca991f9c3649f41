import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';
import murmurhash from 'murmurhash';

interface WeightedCandidate {
  readonly candidate: string;
  readonly weight: number;
}

const byDescendingWeight = pipe(
  N.Ord,
  Ord.reverse,
  Ord.contramap((weighted: WeightedCandidate) => weighted.weight),
);

const byName = pipe(
  S.Ord,
  Ord.contramap((weighted: WeightedCandidate) => weighted.candidate),
);

/**
 * Returns the weight of a candidate for a key under rendezvous hashing.
 *
 * @param key - Key to assign.
 * @param candidate - Identifier of the candidate.
 * @returns Unsigned 32-bit weight; the candidate with the highest weight owns the key.
 */
export function rendezvousWeight(key: string, candidate: string): number {
  return murmurhash.v3(candidate, murmurhash.v3(key, 0));
}

/**
 * Chooses the candidates with the highest rendezvous weights for a key.
 *
 * @param key - Key to assign.
 * @param candidates - Identifiers of the candidates, in any order.
 * @param count - Maximum number of candidates to return.
 * @returns The chosen candidates, in descending order of their weights.
 */
export function rendezvousTop(
  key: string,
  candidates: readonly string[],
  count: number,
): readonly string[] {
  return pipe(
    candidates,
    RA.map((candidate): WeightedCandidate => ({
      candidate,
      weight: rendezvousWeight(key, candidate),
    })),
    RA.sortBy([byDescendingWeight, byName]),
    RA.takeLeft(count),
    RA.map((weighted) => weighted.candidate),
  );
}
