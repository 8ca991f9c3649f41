/** Lines that differ between two texts. */
export interface LineDiff {
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

/**
 * Compares two rule files line by line, without regard to the order of lines.
 *
 * @param before - The earlier text.
 * @param after - The later text.
 * @returns Lines that only one of them has.
 */
export function diffLines(before: string, after: string): LineDiff {
  const linesBefore = before.split('\n');
  const linesAfter = after.split('\n');
  const inBefore = new Set(linesBefore);
  const inAfter = new Set(linesAfter);
  return {
    removed: linesBefore.filter((line) => !inAfter.has(line)),
    added: linesAfter.filter((line) => !inBefore.has(line)),
  };
}

/**
 * Formats a difference.
 *
 * @param diff - The difference.
 * @returns One line each, with `-` or `+` in front.
 */
export function formatDiff(diff: LineDiff): string {
  const removed = diff.removed.map((line) => `- ${line}`);
  const added = diff.added.map((line) => `+ ${line}`);
  return [...removed, ...added].join('\n');
}
