import murmurhash from 'murmurhash';

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
  return candidates
    .map((candidate) => ({ candidate, weight: rendezvousWeight(key, candidate) }))
    .sort((a, b) => b.weight - a.weight || a.candidate.localeCompare(b.candidate))
    .slice(0, count)
    .map((entry) => entry.candidate);
}
