/**
 * Tables for people.
 */

/** Lays rows out in columns, the first row as the head. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  return rows.map((row) => formatRow(row, widths)).join("\n");
}

function formatRow(
  row: readonly string[],
  widths: readonly number[],
): string {
  return row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join("  ").trimEnd();
}
