/** Value of a table cell; an undefined value prints as `-` in a table and as empty in CSV. */
export type Cell = string | number | undefined;

/**
 * Formats rows as a table with aligned columns.
 *
 * @param header - Titles of the columns.
 * @param rows - The rows.
 * @returns The lines, without a line break at the end.
 */
export function formatTable(header: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const textRows = [header, ...rows].map((row) => row.map((cell) => String(cell ?? '-')));
  const widths = header.map((_title, column) =>
    Math.max(...textRows.map((row) => row[column].length)),
  );
  return textRows
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
 * Formats rows as comma-separated values (CSV).
 *
 * @param header - Titles of the columns.
 * @param rows - The rows.
 * @returns The lines, without a line break at the end.
 */
export function formatCsv(header: readonly string[], rows: readonly (readonly Cell[])[]): string {
  return [header, ...rows].map((row) => row.map(csvCell).join(',')).join('\n');
}
