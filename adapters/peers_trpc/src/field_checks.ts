/**
 * Checks of single fields of messages. They allocate nothing, since each message between processes passes several of them.
 */

/** The fields of an object that a peer sent. */
export type Fields = Readonly<Record<string, unknown>>;

const PROCESS_IDENTIFIER = /^[^~]*~.*$/;

/** The fields of an object; undefined for an array and for any other value. */
export function fieldsOf(value: unknown): Fields | undefined {
  const isObject = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  return isObject ? value as Fields : undefined;
}

/** Whether a field is absent or passes its check. */
export function isOptional(
  value: unknown,
  check: (value: unknown) => boolean,
): boolean {
  return value === undefined || check(value);
}

/** Whether a value is an array whose elements all pass a check. */
export function isArrayOf(
  value: unknown,
  check: (element: unknown) => boolean,
): boolean {
  if (!Array.isArray(value)) return false;
  const elements: readonly unknown[] = value;
  // `every` would skip the holes of an array, which are no valid elements.
  for (const element of elements) {
    if (!check(element)) return false;
  }
  return true;
}

/** Whether a value is a whole number from 0 that is exact. */
export function isCount(value: unknown): boolean {
  return isInteger(value) && value >= 0;
}

/** Whether a value is a whole number that is exact. */
export function isInteger(value: unknown): value is number {
  return Number.isSafeInteger(value);
}

/** Whether a value is a finite number. */
export function isAmount(value: unknown): boolean {
  return Number.isFinite(value);
}

/** Whether a value is a string. */
export function isText(value: unknown): value is string {
  return typeof value === "string";
}

/** Whether a value is a string that is not empty. */
export function isNonEmptyText(value: unknown): boolean {
  return isText(value) && value !== "";
}

/** Whether a value is a boolean. */
export function isBoolean(value: unknown): boolean {
  return typeof value === "boolean";
}

/** Whether a value has the form of a process identifier. */
export function isProcessIdentifier(value: unknown): boolean {
  return isText(value) && PROCESS_IDENTIFIER.test(value);
}
