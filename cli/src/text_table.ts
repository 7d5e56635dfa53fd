/**
 * Text tables with aligned columns and one row per line.
 */

const GAP = "  ";

/** Formats rows that have the same fields; the field names are the headings. */
export function formatTable(rows: readonly object[]): string {
  const [first] = rows;
  if (first === undefined) return "none";
  const headings = Object.keys(first);
  const cells = rows.map((row) => Object.values(row).map(String));
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...cells.map((row) => row[column]?.length ?? 0))
  );
  const formatRow = (row: readonly string[]) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(GAP)
      .trimEnd();
  return [headings, ...cells].map(formatRow).join("\n");
}
