/** Lines that only one of two texts contains. */
export interface LineDiff {
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

/**
 * Compares two rule files line by line. The order of lines is ignored.
 *
 * @param before - The earlier text.
 * @param after - The later text.
 * @returns The lines that only one of the texts contains.
 */
export function diffLines(before: string, after: string): LineDiff {
  const beforeLines = before.split('\n');
  const afterLines = after.split('\n');
  const beforeSet = new Set(beforeLines);
  const afterSet = new Set(afterLines);
  return {
    removed: beforeLines.filter((line) => !afterSet.has(line)),
    added: afterLines.filter((line) => !beforeSet.has(line)),
  };
}

/**
 * Formats a difference as text.
 *
 * @param diff - The difference.
 * @returns The removed lines with the prefix `- `, then the added lines with the prefix `+ `.
 */
export function formatDiff(diff: LineDiff): string {
  const removed = diff.removed.map((line) => `- ${line}`);
  const added = diff.added.map((line) => `+ ${line}`);
  return [...removed, ...added].join('\n');
}
