import type { PathRequest } from '../../routing/common/pathFinder.js';

interface FailedSearch {
  readonly reservedTokens: number;
  readonly headroomShare: number;
}

/**
 * Maximum numbers of searches without a path in one pass over the queue: for one rank, so that large
 * requests of a rank don't block the ranks behind it, and in total.
 */
const maxFailuresPerRank = 3;
const maxFailures = 18;

/**
 * Searches of one pass over the queue that found no path. Free capacity only shrinks during a pass, so a
 * request that asks for as much as one that failed doesn't need a search.
 */
export class PassFailures {
  private readonly searches: FailedSearch[] = [];

  private readonly countByRank = new Map<string, number>();

  private count = 0;

  /**
   * Returns whether a request can't get a path in this pass, or its rank has used up its searches.
   *
   * @param rank - Name of the request's rank.
   * @param req - Request for a path.
   */
  mustSkip(rank: string, { reservedTokens, headroomShare = 0 }: PathRequest): boolean {
    return (
      this.count >= maxFailures ||
      (this.countByRank.get(rank) ?? 0) >= maxFailuresPerRank ||
      this.searches.some(
        (failed) =>
          failed.reservedTokens <= reservedTokens && failed.headroomShare <= headroomShare,
      )
    );
  }

  /**
   * Records a search without a path.
   *
   * @param rank - Name of the request's rank.
   * @param req - Request for a path.
   */
  record(rank: string, req: PathRequest): void {
    const { reservedTokens, headroomShare = 0 } = req;
    this.count += 1;
    this.countByRank.set(rank, (this.countByRank.get(rank) ?? 0) + 1);
    const isRestricted =
      (req.excludedAddresses?.size ?? 0) > 0 || req.allowedFirstAddresses !== undefined;
    if (!isRestricted) {
      this.searches.push({ reservedTokens, headroomShare });
    }
  }
}
