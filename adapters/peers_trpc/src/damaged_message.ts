/**
 * Damaged copies of messages, for the tests of schemas.
 */

/**
 * Returns copies of a message in which one field, at any depth outside of lists, is missing or has another type.
 * Fields whose names are optional are never left out.
 */
export function damaged(
  value: object,
  optional: ReadonlySet<string>,
): readonly object[] {
  return Object.entries(value).flatMap(([name, field]) => {
    const { [name as never]: _, ...rest } = value;
    const isNested = typeof field === "object" && !Array.isArray(field);
    return [
      ...(optional.has(name) ? [] : [rest]),
      { ...value, [name]: Symbol("other type") },
      { ...value, [name]: null },
      ...(isNested
        ? damaged(field, optional).map((inner) => ({ ...value, [name]: inner }))
        : []),
    ];
  });
}
