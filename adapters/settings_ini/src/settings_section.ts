/**
 * Sections of a settings file, and what stands where in a schema.
 */
import { z } from "zod";
import { secret } from "./setting_types.ts";

/** A section with exactly these keys. */
export function section<Shape extends z.ZodRawShape>(
  shape: Shape,
): z.ZodObject<Shape, z.core.$strict> {
  return z.strictObject(shape, {
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
  return found instanceof z.ZodObject ? Object.keys(found.shape) : [];
}

/** Whether a path leads to a value that must not be shown. */
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
  return schema instanceof z.ZodOptional ? schema.unwrap() : schema;
}

function childOf(schema: unknown, key: string): unknown {
  if (schema instanceof z.ZodObject) return unwrap(schema.shape[key]);
  return schema instanceof z.ZodRecord ? schema.valueType : undefined;
}

function describeKeys(shape: z.ZodRawShape): string {
  return `a section with the keys ${Object.keys(shape).join(", ")}`;
}
