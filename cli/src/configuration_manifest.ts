/**
 * Parses the operators' manifest, an INI file that a build pipeline generates, into a complete
 * configuration. All faults are reported at once, each with its line.
 */
import type { Configuration, KindOfWork, Team } from "@eelgrassfront/model";
import {
  count,
  duration,
  IniLines,
  readSettings,
  type SettingsFault,
  SettingsResultKind,
  text,
} from "@eelgrassfront/settings-ini";
import * as zod from "zod";

/** Kinds of results. */
export enum ManifestResultKind {
  Read = "read",
  Invalid = "faulty",
}

/** The configuration of a valid manifest. */
export interface ManifestRead {
  readonly kind: ManifestResultKind.Read;
  readonly configuration: Configuration;
}

/** Every fault of an invalid manifest, in the order of their lines. */
export interface ManifestInvalid {
  readonly kind: ManifestResultKind.Invalid;
  readonly faults: readonly SettingsFault[];
}

/** Result of reading a manifest. */
export type ManifestResult = ManifestRead | ManifestInvalid;

const SHARE_MESSAGE = "a share from 0 to 1, such as 0.25";
const WEIGHT_MESSAGE = "a number above 0, such as 2 or 0.5";
const PRICE_MESSAGE = "a number from 0";
const NUMBER_PATTERN = /^\d+(\.\d+)?$/;
const FLOOR_PATTERN = /^kind_of_work\.[^.]+\.floor$/;
const NAME_MESSAGE = "a name of lower-case letters, digits and hyphens";

const share = numberText(SHARE_MESSAGE, (value) => value <= 1);
const weight = numberText(WEIGHT_MESSAGE, (value) => value > 0);
const price = numberText(PRICE_MESSAGE, () => true);
const name = zod.string().regex(/^[a-z][a-z0-9-]*$/, NAME_MESSAGE);

const manifestSchema = zod.strictObject({
  limits: zod.strictObject({
    maximum_tasks_per_job: count,
    retry_budget: share,
    maximum_queued_tasks: count,
  }, { error: "a section [limits]" }),
  kind_of_work: zod.record(
    name,
    zod.strictObject({
      service: text,
      weight,
      floor: share,
      maximum_attempts: count,
      default_deadline: duration,
      price_per_second: price,
    }),
    { error: "at least one section [kind_of_work.NAME]" },
  ),
  team: zod.record(
    name,
    zod.strictObject({ weight, maximum_tasks_in_flight: count }),
    { error: "at least one section [team.NAME]" },
  ),
});

type Manifest = zod.infer<typeof manifestSchema>;

/** Parses a manifest. */
export function readManifest(file: string, content: string): ManifestResult {
  const result = readSettings({ file, text: content, schema: manifestSchema });
  const faults = result.kind === SettingsResultKind.Invalid
    ? result.faults
    : [];
  const all = [...faults, ...crossKeyFaults(file, new IniLines(content))];
  if (all.length > 0 || result.kind === SettingsResultKind.Invalid) {
    return { kind: ManifestResultKind.Invalid, faults: all.sort(byLine) };
  }
  return {
    kind: ManifestResultKind.Read,
    configuration: configurationOf(result.settings),
  };
}

/** Finds faults that involve several keys: floors whose sum exceeds 1. */
function crossKeyFaults(
  file: string,
  lines: IniLines,
): readonly SettingsFault[] {
  const floors = lines.valuesWhere(FLOOR_PATTERN);
  const sum = floors.reduce((total, [, floor]) => total + parseFloor(floor), 0);
  if (sum <= 1) return [];
  const key = floors.at(-1)?.[0] ?? "";
  return [{
    file,
    key,
    line: lines.lineOf(key) ?? 1,
    found: `floors of ${sum.toFixed(2)} together`,
    allowed: "at most 1 over all kinds of work",
  }];
}

/** Parses a floor; a floor that is a fault by itself counts as 0. */
function parseFloor(floor: string): number {
  const value = NUMBER_PATTERN.test(floor) ? Number(floor) : 0;
  return value <= 1 ? value : 0;
}

function byLine(left: SettingsFault, right: SettingsFault): number {
  return (left.line ?? 0) - (right.line ?? 0);
}

function configurationOf(manifest: Manifest): Configuration {
  const { limits } = manifest;
  return {
    kindsOfWork: Object.entries(manifest.kind_of_work).map(kindOfWorkOf),
    teams: Object.entries(manifest.team).map(teamOf),
    limits: {
      maximumTasksPerJob: limits.maximum_tasks_per_job,
      retryBudget: limits.retry_budget,
      maximumQueuedTasks: limits.maximum_queued_tasks,
    },
  };
}

function kindOfWorkOf(
  [name, kind]: [string, Manifest["kind_of_work"][string]],
): KindOfWork {
  return {
    name,
    service: kind.service,
    weight: kind.weight,
    floor: kind.floor,
    maximumAttempts: kind.maximum_attempts,
    defaultDeadlineMilliseconds: kind.default_deadline,
    pricePerSecond: kind.price_per_second,
  };
}

function teamOf([name, team]: [string, Manifest["team"][string]]): Team {
  return {
    name,
    weight: team.weight,
    maximumTasksInFlight: team.maximum_tasks_in_flight,
  };
}

function numberText(
  message: string,
  isAllowed: (value: number) => boolean,
): zod.ZodType<number> {
  return zod.string({ error: message })
    .refine(
      (value) => NUMBER_PATTERN.test(value) && isAllowed(Number(value)),
      message,
    )
    .transform(Number);
}
