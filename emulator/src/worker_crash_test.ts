/**
 * Loads with jobs that crash each worker that starts one of their tasks; a crashed worker is back after 3 s.
 */
import { test } from "node:test";
import {
  BestEffortJobState,
  ClientAnswerKind,
  JobRequestKind,
  jobTaskKey,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { DispatchSystem } from "./dispatch_system.ts";
import {
  addOutcomes,
  type KindOutcome,
  playLoad,
  shareInObjective,
} from "./load_player.ts";
import { kindsAtUtilisation, LOAD_MILLISECONDS } from "./user_loads.ts";

const SECOND = 1_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** The users give a task up once two workers have crashed under it. */
const MAXIMUM_CRASHES = 2;
/** The users' target for days with trouble, for kinds of work that crash no worker. */
const OTHER_KINDS_SHARE = 0.9;

interface CrashResults {
  readonly outcomes: readonly KindOutcome[];
  /** Starts of tasks under which the maximum number of workers had crashed. */
  readonly excessStarts: readonly string[];
  /** Jobs that crash no worker and were shown as failed. */
  readonly falseFailures: number;
}

/** Plays a load in which a tenth of the scans crash their workers. */
function playCrashes(seed: number, crashMilliseconds: number): CrashResults {
  const crashes = new Map<string, number>();
  const excessStarts: string[] = [];
  let falseFailures = 0;
  const outcomes = playLoad({
    seed,
    durationMilliseconds: LOAD_MILLISECONDS,
    kinds: kindsAtUtilisation(0.5),
    crashingJobs: {
      kind: "scan",
      share: 0.1,
      from: 1 * SECOND,
      until: 9 * SECOND,
      crashMilliseconds,
    },
    observer: {
      onStart: (_, { task }) => {
        const count = crashes.get(jobTaskKey(task)) ?? 0;
        if (count >= MAXIMUM_CRASHES) excessStarts.push(jobTaskKey(task));
      },
      onEnd: () => {},
      onCrash: (_, { task }) => {
        const key = jobTaskKey(task);
        crashes.set(key, (crashes.get(key) ?? 0) + 1);
      },
    },
    onAnswer: (answer) => {
      const isFailed = answer.kind === ClientAnswerKind.Ended &&
        answer.state === BestEffortJobState.Failed;
      if (isFailed) falseFailures += 1;
    },
  });
  return { outcomes, excessStarts, falseFailures };
}

for (const crashMilliseconds of [5, 40]) {
  const results = SEEDS.map((seed) => playCrashes(seed, crashMilliseconds));
  const when = `${crashMilliseconds} ms after the start`;

  test(`no task is started after two workers have crashed under it, ${when}`, () => {
    expect(results.flatMap(({ excessStarts }) => excessStarts)).toEqual([]);
  });

  test(`while scans crash workers, 90% of the jobs of each other kind meet their objective, ${when}`, () => {
    const shares = addOutcomes(results.map(({ outcomes }) => outcomes))
      .filter(({ kind }) => kind !== "scan")
      .map((outcome) => shareInObjective([outcome]));
    expect(Math.min(...shares)).toBeGreaterThanOrEqual(OTHER_KINDS_SHARE);
  });

  test(`no job is shown as failed for a worker that another job crashed, ${when}`, () => {
    const failures = results.reduce((sum, run) => sum + run.falseFailures, 0);
    expect(failures).toEqual(0);
  });
}

test("a job that is sent again to another entry after each crash crashes two workers in total", () => {
  let crashes = 0;
  const system = new DispatchSystem({
    seed: 1,
    fleet: { entries: 5, workers: 9, zones: 1 },
    capacityMillicores: 8_000,
    runMilliseconds: () => 100,
    crashMilliseconds: () => 20,
    observer: {
      onStart: () => {},
      onEnd: () => {},
      onCrash: () => {
        crashes += 1;
      },
    },
  });
  system.publish({
    version: 1,
    routes: [{
      name: "scan",
      host: "checks.example",
      requestPrefix: "/scan/",
      service: "service",
      priority: 0,
      maximumAttempts: 3,
      slackFactor: 1.6,
      latencyAllowanceMilliseconds: 60,
    }],
  });
  const resources = {
    processorMillicores: 3_000,
    memoryMegabytes: 64,
    accelerators: 0,
  };
  for (const [index, entry] of system.entries.entries()) {
    const at = 3 * SECOND + index * 1_300;
    system.time.after(at, () => {
      system.submit(
        entry,
        { host: "checks.example", path: "/scan/a" },
        {
          kind: JobRequestKind.Runnable,
          job: {
            content: "",
            steps: [{
              taskCount: 1,
              resources,
              estimatedMilliseconds: 100,
              dependsOn: [],
            }],
          },
        },
        5 * SECOND,
        () => {},
      );
    });
    system.time.after(at + 60, () => system.kill(entry));
  }
  system.runUntil(12 * SECOND);
  expect(crashes).toEqual(MAXIMUM_CRASHES);
});
