/**
 * Schemas of sections of a settings file, and look-ups of a key in a schema.
 */
import * as zod from "zod";
import { secret } from "./setting_types.ts";

/** A section with exactly these keys. */
export function section<Shape extends zod.ZodRawShape>(
  shape: Shape,
): zod.ZodObject<Shape, zod.core.$strict> {
  return zod.strictObject(shape, {
    error: (issue) =>
      issue.code === "invalid_type" ? describeKeys(shape) : undefined,
  });
}

/** The keys that a schema allows at a path. */
export function allowedKeys(
  schema: unknown,
  path: readonly PropertyKey[],
): readonly string[] {
  const found = schemaAt(schema, path);
  return found instanceof zod.ZodObject ? Object.keys(found.shape) : [];
}

/** Whether the value at a path is a secret, which must not be shown. */
export function isSecretAt(
  schema: unknown,
  path: readonly PropertyKey[],
): boolean {
  return schemaAt(schema, path) === secret;
}

function schemaAt(schema: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (inner, key) => childOf(unwrap(inner), String(key)),
    unwrap(schema),
  );
}

function unwrap(schema: unknown): unknown {
  return schema instanceof zod.ZodOptional ? schema.unwrap() : schema;
}

function childOf(schema: unknown, key: string): unknown {
  if (schema instanceof zod.ZodObject) return unwrap(schema.shape[key]);
  return schema instanceof zod.ZodRecord ? schema.valueType : undefined;
}

function describeKeys(shape: zod.ZodRawShape): string {
  return `a section with the keys ${Object.keys(shape).join(", ")}`;
}
