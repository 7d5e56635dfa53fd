/**
 * Reads settings from INI text and checks them against a schema. Every fault is found at once; each
 * names the file, the line, the key, what was found and what is allowed.
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
  /** Line of the key, or of its section, from 1; missing where neither stands. */
  readonly line?: number;
}

/** Kinds of results. */
export enum SettingsResultKind {
  Read = "read",
  Invalid = "faulty",
}

/** Settings that keep the schema. */
export interface SettingsRead<Settings> {
  readonly kind: SettingsResultKind.Read;
  readonly settings: Settings;
}

/** Every fault that was found. */
export interface SettingsInvalid {
  readonly kind: SettingsResultKind.Invalid;
  readonly faults: readonly SettingsFault[];
}

/** Result of reading settings. */
export type SettingsResult<Settings> = SettingsRead<Settings> | SettingsInvalid;

/** Where the text comes from and what it must look like. */
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
    ...repeatedKeys(source.file, lines),
    ...issues.flatMap((issue) => faultsOf(source, values, issue)),
  ];
  if (parsed.success && faults.length === 0) {
    return { kind: SettingsResultKind.Read, settings: parsed.data };
  }
  return {
    kind: SettingsResultKind.Invalid,
    faults: faults.map((fault) => place(fault, lines)),
  };
}

/** Describes a fault in one line. */
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

function repeatedKeys(file: string, lines: IniLines): readonly SettingsFault[] {
  return lines.repeated.map(({ key, line, firstLine }) => ({
    file,
    key,
    line,
    found: "the key again",
    allowed: `once; it stands in line ${firstLine} too`,
  }));
}

function place(fault: SettingsFault, lines: IniLines): SettingsFault {
  const line = fault.line ?? lines.lineOf(fault.key);
  return line === undefined ? fault : { ...fault, line };
}
