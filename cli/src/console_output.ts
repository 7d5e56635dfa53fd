/**
 * Output of the tool: results on standard output, progress and errors on standard error.
 */

/** Writes a line of the result. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes a result as JSON, for scripts. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value));
}

/** Writes a line of progress or an error, which is not part of the result. */
export function printDiagnostic(line: string): void {
  process.stderr.write(`${line}\n`);
}
