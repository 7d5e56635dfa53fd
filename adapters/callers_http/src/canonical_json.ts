/**
 * One text for each JSON value, whatever the order in which its keys were written.
 */

/** Encodes a JSON value with the keys of every object sorted. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => sortKeys(inner));
}

function sortKeys(value: unknown): unknown {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value);
  return Object.fromEntries(
    entries.sort(([left], [right]) => left < right ? -1 : 1),
  );
}
