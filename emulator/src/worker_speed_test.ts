/**
 * Workers of two kinds, of which one takes 2.4 times as long: jobs must not miss their objective on slow workers while
 * fast ones have free capacity, and the slow kind must get the work that the fast one has no capacity for.
 */
import { test } from "node:test";
import {
  ClientAnswerKind,
  JobRequestKind,
  type Milliseconds,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { DispatchSystem } from "./dispatch_system.ts";
import { HOST, SCAN_CONFIGURATION } from "./overlapping_runs_harness.ts";

const READY_MILLISECONDS: Milliseconds = 3_000;
const FAST_RUN_MILLISECONDS: Milliseconds = 100;
const SLOW_FACTOR = 2.4;
/** Time in which the kinds' run times become known. */
const LEARNING_MILLISECONDS: Milliseconds = 4_000;
const COUNTED_MILLISECONDS: Milliseconds = 4_000;
const TASK_MILLICORES = 6_600;
const LABELS = ["a", "a", "b"];

interface PlayedSpeeds {
  /** Counted jobs that were completed, by their elapsed time. */
  readonly elapsed: readonly Milliseconds[];
  readonly submitted: number;
  /** Counted starts by the kind of the worker. */
  readonly starts: ReadonlyMap<string, number>;
}

/** Submits jobs of one task at a fixed interval. */
function play(intervalMilliseconds: Milliseconds): PlayedSpeeds {
  const elapsed: Milliseconds[] = [];
  const starts = new Map<string, number>();
  let isCounting = false;
  let submitted = 0;
  const system = new DispatchSystem({
    seed: 1,
    fleet: { entries: 1, workers: 6, zones: 1 },
    capacityMillicores: 64_000,
    workerLabels: [...LABELS, ...LABELS].map((kind) => [kind]),
    observer: {
      onStart: ({ options: { labels: [kind = ""] } }) => {
        if (isCounting) starts.set(kind, (starts.get(kind) ?? 0) + 1);
      },
      onEnd: () => {},
    },
    runMilliseconds: Number,
  });
  system.publish(SCAN_CONFIGURATION);
  for (const { worker } of system.sidecars) {
    const isSlow = worker?.options.labels.includes("a") === true;
    if (worker !== undefined && isSlow) worker.slowdown = SLOW_FACTOR;
  }
  system.runUntil(READY_MILLISECONDS);
  const [entry] = system.entries;
  if (entry === undefined) throw new Error("no entry");
  const countFrom = READY_MILLISECONDS + LEARNING_MILLISECONDS;
  const end = countFrom + COUNTED_MILLISECONDS;
  for (let number = 0; system.time.now < end; number += 1) {
    const { now } = system.time;
    isCounting = now >= countFrom;
    if (isCounting) submitted += 1;
    system.submit(
      entry,
      { host: HOST, path: `/scan/job-${number}` },
      {
        kind: JobRequestKind.Runnable,
        job: { content: String(FAST_RUN_MILLISECONDS), steps: [STEP] },
      },
      1_500,
      ({ kind }) => {
        const isCounted = kind === ClientAnswerKind.Ended && now >= countFrom;
        if (isCounted) elapsed.push(system.time.now - now);
      },
    );
    system.runUntil(now + intervalMilliseconds);
  }
  system.runUntil(end + 3_000);
  return { elapsed, submitted, starts };
}

const STEP = {
  taskCount: 1,
  resources: {
    processorMillicores: TASK_MILLICORES,
    memoryMegabytes: 64,
    accelerators: 0,
  },
  estimatedMilliseconds: FAST_RUN_MILLISECONDS,
  dependsOn: [],
};

test("jobs run at the fast kind while it has free capacity", () => {
  // The fast workers run 18 tasks at a time, and ten are needed.
  const { elapsed, submitted } = play(10);
  const inTime = elapsed.filter((time) => time <= 1.6 * FAST_RUN_MILLISECONDS);
  expect(inTime.length).toEqual(submitted);
});

test("the slow kind runs what the fast one has no capacity for, and does not count as slow", () => {
  // 30 tasks would have to run at a time at the fast kind alone.
  const { elapsed, submitted, starts } = play(10 / 3);
  expect(elapsed.length).toEqual(submitted);
  expect((starts.get("a") ?? 0) > submitted / 4).toEqual(true);
});
