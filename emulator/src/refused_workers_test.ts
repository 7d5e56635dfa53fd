/**
 * Workers whose connections are refused for a while although they run on, one after the other under one task.
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

const READY_MILLISECONDS: Milliseconds = 3_000;
/** Time from the start of a run until its worker's connections are refused. */
const RUNNING_MILLISECONDS: Milliseconds = 20;
const ANSWERED_MILLISECONDS: Milliseconds = 6_000;
const REFUSALS = 2;
const STEP = {
  taskCount: 1,
  resources: {
    processorMillicores: 1_000,
    memoryMegabytes: 64,
    accelerators: 0,
  },
  estimatedMilliseconds: 500,
  dependsOn: [],
};

test("a job is not shown as failed for workers that run on and whose connections are refused", () => {
  const refused = new Set<string>();
  const system: DispatchSystem = new DispatchSystem({
    seed: 1,
    fleet: { entries: 1, workers: 9, zones: 1 },
    capacityMillicores: 8_000,
    observer: {
      onStart: (worker) => {
        if (refused.size >= REFUSALS) return;
        refused.add(worker.options.id);
        system.time.after(
          RUNNING_MILLISECONDS,
          () => worker.isRefusingConnections = true,
        );
      },
      onEnd: () => {},
    },
    runMilliseconds: Number,
  });
  system.publish(SCAN_CONFIGURATION);
  system.runUntil(READY_MILLISECONDS);
  const [entry] = system.entries;
  if (entry === undefined) throw new Error("no entry");
  let answer = "unanswered";
  system.submit(
    entry,
    { host: HOST, path: "/scan/job" },
    {
      kind: JobRequestKind.Runnable,
      job: { content: "500", steps: [STEP] },
    },
    ANSWERED_MILLISECONDS,
    (received) => {
      answer = received.kind === ClientAnswerKind.Ended
        ? received.state
        : received.kind;
    },
  );
  system.runUntil(READY_MILLISECONDS + ANSWERED_MILLISECONDS);
  expect(refused.size).toEqual(REFUSALS);
  expect(answer).not.toEqual(BestEffortJobState.Failed);
});
