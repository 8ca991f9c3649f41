/** Value of a cell. */
export type Cell = string | number | undefined;

/**
 * Formats rows as a table with aligned columns.
 *
 * @param head - Titles of the columns.
 * @param rows - The rows.
 * @returns Lines of text.
 */
export function formatTable(head: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const all = [head, ...rows].map((row) => row.map((cell) => String(cell ?? '-')));
  const widths = head.map((_title, column) => Math.max(...all.map((row) => row[column].length)));
  return all
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function csvCell(cell: Cell): string {
  const text = String(cell ?? '');
  return /[",\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}

/**
 * Formats rows as comma-separated values.
 *
 * @param head - Titles of the columns.
 * @param rows - The rows.
 * @returns Lines of text.
 */
export function formatCsv(head: readonly string[], rows: readonly (readonly Cell[])[]): string {
  return [head, ...rows].map((row) => row.map(csvCell).join(',')).join('\n');
}
