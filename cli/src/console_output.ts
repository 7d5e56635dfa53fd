/**
 * What the tool writes: results on standard output, progress and errors on standard error.
 */

/** Writes a line of the result. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes a result for pipelines. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value));
}

/** Writes a line that is no part of the result. */
export function tell(line: string): void {
  process.stderr.write(`${line}\n`);
}
