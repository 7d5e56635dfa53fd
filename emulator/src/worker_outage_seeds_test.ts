/**
 * Longer loads during outages whose seeds have failed before.
 */
import { test } from "node:test";
import type { Milliseconds } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  LONG_MILLISECONDS,
  type NamedOutages,
  runOutages,
  SILENT,
  SINGLE,
  TOGETHER,
} from "./outage_run.ts";

interface FailedRun {
  readonly failure: string;
  readonly outages: NamedOutages;
  readonly seed: number;
  readonly deadlyMilliseconds?: Milliseconds;
}

const RUNS: readonly FailedRun[] = [
  {
    failure: "two workers of one outage, before its other crashes are known",
    outages: SILENT,
    seed: 12,
  },
  {
    failure: "a crash by another job and one of an outage",
    outages: TOGETHER,
    seed: 27,
    deadlyMilliseconds: 5,
  },
  {
    failure: "crashes by another job near those of an outage",
    outages: SILENT,
    seed: 1,
    deadlyMilliseconds: 5,
  },
  {
    failure: "two outages of one worker each",
    outages: SINGLE,
    seed: 36,
    deadlyMilliseconds: 40,
  },
];

for (const { failure, outages: { outages }, ...options } of RUNS) {
  test(`no job is shown as failed for ${failure}, seed ${options.seed}`, () => {
    const { violations } = runOutages({
      ...options,
      outages,
      durationMilliseconds: LONG_MILLISECONDS,
    });
    expect(violations.map(({ rule, detail }) => `${rule}: ${detail}`))
      .toEqual([]);
  });
}
