/**
 * Three workers crash at the same moment, and the entry retries what ran there at one whose end its sidecar has not
 * noticed yet: the start call breaks with its connection, and the run never begins.
 */
import { test } from "node:test";
import {
  BestEffortJobState,
  ClientAnswerKind,
  JobRequestKind,
  type Milliseconds,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { DispatchSystem } from "./dispatch_system.ts";
import { HOST, SCAN_CONFIGURATION } from "./overlapping_runs_harness.ts";
import { SeededRandom } from "./seeded_random.ts";
import { CrashKind } from "./worker_crash.ts";

const SEEDS = 40;
const CRASHES = 3;
const READY_MILLISECONDS: Milliseconds = 3_000;
/** Time from the arrival of the job to the crashes. */
const RUNNING_MILLISECONDS: Milliseconds = 14;
/** Longest time until a sidecar notices the end of its worker. */
const MAXIMUM_BREAK_MILLISECONDS: Milliseconds = 50;
const ANSWERED_MILLISECONDS: Milliseconds = 6_000;
const TASKS = 3;
const STEP = {
  taskCount: TASKS,
  resources: {
    processorMillicores: 1_000,
    memoryMegabytes: 64,
    accelerators: 0,
  },
  estimatedMilliseconds: 100,
  dependsOn: [],
};

interface Played {
  readonly answer: string;
  readonly elapsed: Milliseconds;
  /** Number of workers that ended under a run of the job. */
  readonly crashes: number;
}

/** Crashes the worker of a job and two others of nine; nothing else runs. */
function play(seed: number): Played {
  const random = new SeededRandom(seed);
  const system = new DispatchSystem({
    seed,
    fleet: { entries: 1, workers: 9, zones: 1 },
    capacityMillicores: 8_000,
    observer: { onStart: () => {}, onEnd: () => {} },
    runMilliseconds: Number,
  });
  system.publish(SCAN_CONFIGURATION);
  system.runUntil(READY_MILLISECONDS);
  const [entry] = system.entries;
  if (entry === undefined) throw new Error("no entry");
  let answer = "unanswered";
  let elapsed: Milliseconds = 0;
  system.submit(
    entry,
    { host: HOST, path: "/scan/job" },
    {
      kind: JobRequestKind.Runnable,
      job: { content: "100", steps: [STEP] },
    },
    ANSWERED_MILLISECONDS,
    (received) => {
      answer = received.kind === ClientAnswerKind.Ended
        ? received.state
        : received.kind;
      elapsed = system.time.now - READY_MILLISECONDS;
    },
  );
  system.runUntil(READY_MILLISECONDS + RUNNING_MILLISECONDS);
  const workers = system.sidecars.flatMap(({ worker }) => worker ?? []);
  const busy = workers.filter(({ running }) => running.length > 0);
  const idle = workers.filter(({ running }) => running.length === 0);
  const crashing = [...busy];
  while (crashing.length < CRASHES) {
    crashing.push(...idle.splice(random.below(idle.length), 1));
  }
  for (const worker of crashing) {
    worker.crash({
      kind: CrashKind.Breaking,
      breakMilliseconds: random.between(0, MAXIMUM_BREAK_MILLISECONDS),
    });
  }
  system.runUntil(READY_MILLISECONDS + ANSWERED_MILLISECONDS);
  return { answer, elapsed, crashes: busy.length };
}

test("no job is shown as failed for a start call that broke with the connection to a crashed worker", () => {
  const wrong: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { answer, elapsed, crashes } = play(seed);
    if (answer === BestEffortJobState.Completed && crashes === 1) continue;
    wrong.push(
      `seed ${seed}: ${answer} after ${
        elapsed.toFixed(1)
      } ms, workers ended under it: ${crashes}`,
    );
  }
  expect(wrong).toEqual([]);
});
