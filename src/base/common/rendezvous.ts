import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';
import murmurhash from 'murmurhash';

interface Weighted {
  readonly candidate: string;
  readonly weight: number;
}

const byWeightDown = pipe(
  N.Ord,
  Ord.reverse,
  Ord.contramap((one: Weighted) => one.weight),
);

const byName = pipe(
  S.Ord,
  Ord.contramap((one: Weighted) => one.candidate),
);

/**
 * Weight of a candidate for a key under rendezvous hashing.
 *
 * @param key - The key to place.
 * @param candidate - Identifier of the candidate.
 * @returns An unsigned 32-bit weight; the highest weight owns the key.
 */
export function rendezvousWeight(key: string, candidate: string): number {
  return murmurhash.v3(candidate, murmurhash.v3(key, 0));
}

/**
 * Chooses the candidates with the highest rendezvous weights for a key.
 *
 * @param key - The key to place.
 * @param candidates - Identifiers of the candidates, in any order.
 * @param count - How many to return at most.
 * @returns The chosen candidates, the highest weight first.
 */
export function rendezvousTop(
  key: string,
  candidates: readonly string[],
  count: number,
): readonly string[] {
  return pipe(
    candidates,
    RA.map((candidate): Weighted => ({ candidate, weight: rendezvousWeight(key, candidate) })),
    RA.sortBy([byWeightDown, byName]),
    RA.takeLeft(count),
    RA.map((one) => one.candidate),
  );
}
