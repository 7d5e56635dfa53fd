/**
 * Idle workers that crash and come back as another kind: no task that requires the earlier kind starts there.
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
const DOWN_MILLISECONDS: Milliseconds = 800;
const RUN_MILLISECONDS: Milliseconds = 40;
const JOBS = 12;
/** Jobs arrive for so long before the crash. */
const BEFORE_CRASH_MILLISECONDS: Milliseconds = 45;
/** Time in which jobs arrive steadily, beyond the restart. */
const STEADY_MILLISECONDS: Milliseconds = 150;
const STEADY_INTERVAL_MILLISECONDS: Milliseconds = 6;

interface Replacement {
  readonly isSameName: boolean;
  /** Time from the crash to the start of the new worker. */
  readonly downMilliseconds?: Milliseconds;
  /** Whether jobs arrive from before the crash until after the restart. */
  readonly isSteady?: boolean;
  /** Time from the start of the new worker to the first job; its report takes 1 ms. */
  readonly firstJobAfter: Milliseconds;
}

/** Replaces the first worker of kind b by one of kind a, and submits jobs that require kind b. */
function play(
  {
    isSameName,
    downMilliseconds = DOWN_MILLISECONDS,
    isSteady = false,
    firstJobAfter,
  }: Replacement,
) {
  const startsOnOtherKind: string[] = [];
  let submitted = 0;
  let completed = 0;
  const system = new DispatchSystem({
    seed: 1,
    fleet: { entries: 1, workers: 3, zones: 1 },
    capacityMillicores: 32_000,
    workerLabels: [["b"], [isSteady ? "a" : "b"], ["a"]],
    observer: {
      onStart: ({ options }, { task }) => {
        const hasKind = options.labels.includes("b");
        if (!hasKind) startsOnOtherKind.push(`${task.job} on ${options.id}`);
      },
      onEnd: () => {},
    },
    runMilliseconds: Number,
  });
  system.publish(SCAN_CONFIGURATION);
  const advance = (milliseconds: Milliseconds) =>
    system.runUntil(system.time.now + milliseconds);
  advance(READY_MILLISECONDS);
  const [entry] = system.entries;
  const [vm] = system.sidecars;
  if (entry === undefined || vm === undefined) throw new Error("no fleet");
  const submit = () => {
    submitted += 1;
    system.submit(
      entry,
      { host: HOST, path: `/scan/job-${submitted}` },
      {
        kind: JobRequestKind.Runnable,
        job: { content: String(RUN_MILLISECONDS), steps: [STEP] },
      },
      1_500,
      ({ kind }) => {
        if (kind === ClientAnswerKind.Ended) completed += 1;
      },
    );
  };
  const submitSteadily = (end: Milliseconds) => {
    if (system.time.now >= end) return;
    submit();
    system.time.after(STEADY_INTERVAL_MILLISECONDS, () => submitSteadily(end));
  };
  if (isSteady) submitSteadily(system.time.now + STEADY_MILLISECONDS);
  advance(BEFORE_CRASH_MILLISECONDS);
  vm.worker?.crash();
  advance(downMilliseconds);
  system.startWorker(vm, isSameName, ["a"]);
  advance(firstJobAfter);
  for (let index = 0; index < JOBS; index += 1) {
    submit();
    advance(25);
  }
  advance(1_500);
  return { startsOnOtherKind, unanswered: submitted - completed };
}

const STEP = {
  taskCount: 1,
  resources: {
    processorMillicores: 3_100,
    memoryMegabytes: 64,
    accelerators: 0,
  },
  estimatedMilliseconds: RUN_MILLISECONDS,
  requiredLabel: "b",
  dependsOn: [],
};

for (const isSameName of [false, true]) {
  for (const firstJobAfter of [0.2, 1.2, 2, 10, 100, 250]) {
    const name = isSameName ? "the same" : "a new";
    test(`a task starts on no worker without its label ${firstJobAfter} ms after a restart under ${name} identifier`, () => {
      const played = play({ isSameName, firstJobAfter });
      expect(played).toEqual({ startsOnOtherKind: [], unanswered: 0 });
    });
  }
}

// A worker that is back under its identifier before the next poll looks like the earlier one to a start call.
for (const isSameName of [false, true]) {
  for (const downMilliseconds of [0.5, 2, 5, 10, 15, 19, 25, 100]) {
    const name = isSameName ? "the same" : "a new";
    test(`a task starts on no worker without its label while jobs arrive and it is down for ${downMilliseconds} ms under ${name} identifier`, () => {
      const played = play({
        isSameName,
        downMilliseconds,
        isSteady: true,
        firstJobAfter: 0,
      });
      // No worker of the kind is left, so the later jobs are not completed.
      expect(played.startsOnOtherKind).toEqual([]);
    });
  }
}
