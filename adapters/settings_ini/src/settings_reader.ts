/**
 * Reads settings from INI text and checks them against a schema. Every fault is found at once; each
 * names the file, the key, what was found and what is allowed.
 */
import { parse } from "ini";
import type { z } from "zod";

/** One fault in a settings file. */
export interface SettingsFault {
  readonly file: string;
  readonly key: string;
  readonly found: string;
  readonly allowed: string;
}

/** Kinds of results. */
export enum SettingsResultKind {
  Read = "read",
  Faulty = "faulty",
}

/** Settings that keep the schema. */
export interface SettingsRead<Settings> {
  readonly kind: SettingsResultKind.Read;
  readonly settings: Settings;
}

/** Every fault that was found. */
export interface SettingsFaulty {
  readonly kind: SettingsResultKind.Faulty;
  readonly faults: readonly SettingsFault[];
}

/** Result of reading settings. */
export type SettingsResult<Settings> = SettingsRead<Settings> | SettingsFaulty;

/** Where the text comes from and what it must look like. */
export interface SettingsSource<Settings> {
  readonly file: string;
  readonly text: string;
  readonly schema: z.ZodType<Settings>;
}

/** Reads settings. */
export function readSettings<Settings>(
  source: SettingsSource<Settings>,
): SettingsResult<Settings> {
  const values: unknown = parse(source.text);
  const parsed = source.schema.safeParse(values);
  if (parsed.success) {
    return { kind: SettingsResultKind.Read, settings: parsed.data };
  }
  const faults = parsed.error.issues.flatMap((issue) =>
    faultsOf(source.file, values, issue)
  );
  return { kind: SettingsResultKind.Faulty, faults };
}

/** Describes a fault in one line. */
export function describeFault(fault: SettingsFault): string {
  return `${fault.file}: ${fault.key}: found ${fault.found}; allowed: ${fault.allowed}`;
}

type Issue = z.core.$ZodIssue;

function faultsOf(
  file: string,
  values: unknown,
  issue: Issue,
): readonly SettingsFault[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      file,
      key: [...issue.path.map(String), key].join("."),
      found: "an unknown key",
      allowed: "see docs/OPERATIONS.md for the keys",
    }));
  }
  const found = issue.path.reduce<unknown>(
    (value, key) => valueAt(value, key),
    values,
  );
  return [{
    file,
    key: issue.path.map(String).join("."),
    found: found === undefined ? "nothing" : JSON.stringify(found),
    allowed: issue.message,
  }];
}

function valueAt(value: unknown, key: PropertyKey): unknown {
  if (typeof value !== "object" || value === null) return undefined;
  return new Map<PropertyKey, unknown>(Object.entries(value)).get(key);
}
