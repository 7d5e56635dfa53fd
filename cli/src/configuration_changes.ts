/**
 * Compares two configurations for a review, with one line for each value that differs.
 */
import type { Configuration } from "@eelgrassfront/model";

/** Kinds of changes. */
export enum ChangeKind {
  Added = "added",
  Removed = "removed",
  Changed = "changed",
}

/** A value that only the new configuration has. */
export interface ValueAdded {
  readonly kind: ChangeKind.Added;
  readonly key: string;
  readonly after: string;
}

/** A value that only the old configuration has. */
export interface ValueRemoved {
  readonly kind: ChangeKind.Removed;
  readonly key: string;
  readonly before: string;
}

/** A value that differs between the configurations. */
export interface ValueChanged {
  readonly kind: ChangeKind.Changed;
  readonly key: string;
  readonly before: string;
  readonly after: string;
}

/** Any change. */
export type ConfigurationChange = ValueAdded | ValueRemoved | ValueChanged;

/** Lists the changes between two configurations, by key. */
export function changesBetween(
  before: Configuration | undefined,
  after: Configuration,
): readonly ConfigurationChange[] {
  const previous = before === undefined ? new Map() : valuesOf(before);
  const updated = valuesOf(after);
  const keys = [...new Set([...previous.keys(), ...updated.keys()])].sort();
  return keys.flatMap((key) =>
    changeOf(key, { before: previous.get(key), after: updated.get(key) })
  );
}

/** Formats a change as one line. */
export function describeChange(change: ConfigurationChange): string {
  switch (change.kind) {
    case ChangeKind.Added:
      return `+ ${change.key} = ${change.after}`;
    case ChangeKind.Removed:
      return `- ${change.key} = ${change.before}`;
    case ChangeKind.Changed:
      return `~ ${change.key}: ${change.before} -> ${change.after}`;
  }
}

interface Sides {
  readonly before: string | undefined;
  readonly after: string | undefined;
}

function changeOf(
  key: string,
  { before, after }: Sides,
): readonly ConfigurationChange[] {
  if (before === after) return [];
  if (before === undefined) {
    return after === undefined ? [] : [{ kind: ChangeKind.Added, key, after }];
  }
  return after === undefined
    ? [{ kind: ChangeKind.Removed, key, before }]
    : [{ kind: ChangeKind.Changed, key, before, after }];
}

function valuesOf(configuration: Configuration): Map<string, string> {
  const values = new Map<string, string>();
  for (const { name, ...kind } of configuration.kindsOfWork) {
    addAll(values, `kindOfWork.${name}`, kind);
  }
  for (const { name, ...team } of configuration.teams) {
    addAll(values, `team.${name}`, team);
  }
  addAll(values, "limits", configuration.limits);
  return values;
}

function addAll(
  values: Map<string, string>,
  prefix: string,
  fields: object,
): void {
  for (const [name, value] of Object.entries(fields)) {
    values.set(`${prefix}.${name}`, String(value));
  }
}
