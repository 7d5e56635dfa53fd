/**
 * Canonical JSON: one text for each JSON value, regardless of the order of its keys.
 */

/** Encodes a JSON value with the keys of every object sorted. */
export function canonicalJson(value: unknown): string {
  if (typeof value !== "object" || value === null) return JSON.stringify(value);
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join()}]`;
  const members = new Map<string, unknown>(Object.entries(value));
  const encoded = [...members.keys()].sort().map((key) =>
    `${JSON.stringify(key)}:${canonicalJson(members.get(key))}`
  );
  return `{${encoded.join()}}`;
}
