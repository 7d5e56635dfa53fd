/**
 * Checks that a manifest is parsed, and that all its faults are reported at once with their lines.
 */
import { test } from "node:test";
import { expect } from "earl";
import {
  ChangeKind,
  changesBetween,
  describeChange,
} from "./configuration_changes.ts";
import { ManifestResultKind, readManifest } from "./configuration_manifest.ts";
import { describeFault } from "@eelgrassfront/settings-ini";

const MANIFEST = `[limits]
maximum_tasks_per_job = 220
retry_budget = 0.1
maximum_queued_tasks = 20000

[kind_of_work.check]
service = dossier
weight = 2
floor = 0.3
maximum_attempts = 5
default_deadline = 30s
price_per_second = 40

[team.assessors]
weight = 1
maximum_tasks_in_flight = 20000
`;

test("a valid manifest is parsed into a configuration", () => {
  expect(read(MANIFEST)).toEqual({
    kindsOfWork: [{
      name: "check",
      service: "dossier",
      weight: 2,
      floor: 0.3,
      maximumAttempts: 5,
      defaultDeadlineMilliseconds: 30_000,
      pricePerSecond: 40,
    }],
    teams: [{ name: "assessors", weight: 1, maximumTasksInFlight: 20_000 }],
    limits: {
      maximumTasksPerJob: 220,
      retryBudget: 0.1,
      maximumQueuedTasks: 20_000,
    },
  });
});

test("all faults are reported at once, each with its line", () => {
  const text = MANIFEST
    .replace("weight = 2", "weight = heavy")
    .replace("floor = 0.3", "floor = 1.5")
    .replace("default_deadline = 30s", "default_deadline = 30")
    .replace("retry_budget = 0.1\n", "")
    .replace("[team.assessors]", "[team.assessors]\ncolour = blue");
  expect(faultsOf(text)).toEqual([
    "terms.ini:1: limits.retry_budget: found nothing; allowed: a share from 0 to 1, such as 0.25",
    'terms.ini:7: kind_of_work.check.weight: found "heavy"; allowed: a number above 0, such as 2 or 0.5',
    'terms.ini:8: kind_of_work.check.floor: found "1.5"; allowed: a share from 0 to 1, such as 0.25',
    'terms.ini:10: kind_of_work.check.default_deadline: found "30"; allowed: a duration such as 250ms, 5s or 10min',
    "terms.ini:14: team.assessors.colour: found an unknown key; allowed: weight, maximum_tasks_in_flight",
  ]);
});

test("each required section that an empty manifest lacks is a fault", () => {
  expect(faultsOf("")).toEqual([
    "terms.ini: limits: found nothing; allowed: a section [limits]",
    "terms.ini: kind_of_work: found nothing; allowed: at least one section [kind_of_work.NAME]",
    "terms.ini: team: found nothing; allowed: at least one section [team.NAME]",
  ]);
});

test("a duplicate key is a fault", () => {
  const text = MANIFEST.replace("weight = 2", "weight = 2\nweight = 3");
  expect(faultsOf(text)).toEqual([
    "terms.ini:9: kind_of_work.check.weight: found a duplicate key; allowed: once; already set in line 8",
  ]);
});

test("floors whose sum exceeds 1 are a fault", () => {
  const text = `${MANIFEST}
[kind_of_work.batch]
service = dossier
weight = 1
floor = 0.8
maximum_attempts = 5
default_deadline = 60s
price_per_second = 10
`;
  expect(faultsOf(text)).toEqual([
    "terms.ini:21: kind_of_work.batch.floor: found floors of 1.10 together; allowed: at most 1 over all kinds of work",
  ]);
});

test("each value that differs is listed, with its value before and after", () => {
  const before = read(MANIFEST);
  const after = read(
    MANIFEST.replace("price_per_second = 40", "price_per_second = 45")
      .replace("[team.assessors]", "[team.secretaries]"),
  );
  const changes = changesBetween(before, after);
  expect(changes.map(describeChange)).toEqual([
    "~ kindOfWork.check.pricePerSecond: 40 -> 45",
    "- team.assessors.maximumTasksInFlight = 20000",
    "- team.assessors.weight = 1",
    "+ team.secretaries.maximumTasksInFlight = 20000",
    "+ team.secretaries.weight = 1",
  ]);
  expect(changesBetween(after, after)).toEqual([]);
  const kinds = changesBetween(undefined, after).map(({ kind }) => kind);
  expect(new Set(kinds)).toEqual(new Set([ChangeKind.Added]));
});

function read(text: string) {
  const result = readManifest("terms.ini", text);
  if (result.kind === ManifestResultKind.Read) return result.configuration;
  throw new Error(result.faults.map(describeFault).join("\n"));
}

function faultsOf(text: string): readonly string[] {
  const result = readManifest("terms.ini", text);
  return result.kind === ManifestResultKind.Read
    ? []
    : result.faults.map(describeFault);
}
