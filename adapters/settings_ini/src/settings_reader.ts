/**
 * Reads settings from INI text and checks them against a schema. All faults are reported at once; each
 * names the file, the line, the key, the value found and the values allowed.
 */
import { parse } from "ini";
import type * as zod from "zod";
import { IniLines } from "./ini_lines.ts";
import { allowedKeys, isSecretAt } from "./settings_section.ts";

/** One fault in a settings file. */
export interface SettingsFault {
  readonly file: string;
  readonly key: string;
  readonly found: string;
  readonly allowed: string;
  /** Line of the key, or of its section, from 1; missing when the file has neither. */
  readonly line?: number;
}

/** Kinds of results. */
export enum SettingsResultKind {
  Read = "read",
  Invalid = "faulty",
}

/** Settings that conform to the schema. */
export interface SettingsRead<Settings> {
  readonly kind: SettingsResultKind.Read;
  readonly settings: Settings;
}

/** Every fault of settings that do not conform to the schema. */
export interface SettingsInvalid {
  readonly kind: SettingsResultKind.Invalid;
  readonly faults: readonly SettingsFault[];
}

/** Result of reading settings. */
export type SettingsResult<Settings> = SettingsRead<Settings> | SettingsInvalid;

/** An INI text, the name of its file, and its schema. */
export interface SettingsSource<Settings> {
  readonly file: string;
  readonly text: string;
  readonly schema: zod.ZodType<Settings>;
}

/** Reads settings. */
export function readSettings<Settings>(
  source: SettingsSource<Settings>,
): SettingsResult<Settings> {
  const values: unknown = parse(source.text);
  const lines = new IniLines(source.text);
  const parsed = source.schema.safeParse(values);
  const issues = parsed.error?.issues ?? [];
  const faults = [
    ...duplicateKeyFaults(source.file, lines),
    ...issues.flatMap((issue) => faultsOf(source, values, issue)),
  ];
  if (parsed.success && faults.length === 0) {
    return { kind: SettingsResultKind.Read, settings: parsed.data };
  }
  return {
    kind: SettingsResultKind.Invalid,
    faults: faults.map((fault) => addLine(fault, lines)),
  };
}

/** Formats a fault as one line. */
export function describeFault(fault: SettingsFault): string {
  const { file, line, key, found, allowed } = fault;
  const place = line === undefined ? file : `${file}:${line}`;
  return `${place}: ${key}: found ${found}; allowed: ${allowed}`;
}

type Issue = zod.core.$ZodIssue;

function faultsOf<Settings>(
  { file, schema }: SettingsSource<Settings>,
  values: unknown,
  issue: Issue,
): readonly SettingsFault[] {
  if (issue.code === "unrecognized_keys") {
    const keys = allowedKeys(schema, issue.path).join(", ");
    return issue.keys.map((key) => ({
      file,
      key: [...issue.path.map(String), key].join("."),
      found: "an unknown key",
      allowed: keys,
    }));
  }
  const found = isSecretAt(schema, issue.path)
    ? "a value that is not shown"
    : describeValue(values, issue.path);
  const key = issue.path.map(String).join(".");
  return [{ file, key, found, allowed: issue.message }];
}

function describeValue(
  values: unknown,
  path: readonly PropertyKey[],
): string {
  const found = path.reduce<unknown>(valueAt, values);
  return found === undefined ? "nothing" : JSON.stringify(found);
}

function valueAt(value: unknown, key: PropertyKey): unknown {
  if (typeof value !== "object" || value === null) return undefined;
  return new Map<PropertyKey, unknown>(Object.entries(value)).get(key);
}

function duplicateKeyFaults(
  file: string,
  lines: IniLines,
): readonly SettingsFault[] {
  return lines.duplicates.map(({ key, line, firstLine }) => ({
    file,
    key,
    line,
    found: "a duplicate key",
    allowed: `once; already set in line ${firstLine}`,
  }));
}

function addLine(fault: SettingsFault, lines: IniLines): SettingsFault {
  const line = fault.line ?? lines.lineOf(fault.key);
  return line === undefined ? fault : { ...fault, line };
}
