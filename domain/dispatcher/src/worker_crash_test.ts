/**
 * What an entry does with a task under which workers have crashed.
 */
import { test } from "node:test";
import {
  CrashProof,
  DispatchRequestKind,
  InputKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  completeAll,
  COMPLETED,
  crashWorkers,
  crashWorkersBeside,
  FAILED,
  readyHarness,
  SIDECARS,
} from "./crash_harness.ts";
import type { DispatcherHarness } from "./dispatcher_harness.ts";

/** The job, address and kind of work, if it runs apart, of each task that was sent and not settled. */
function runs(harness: DispatcherHarness) {
  return harness.sent(DispatchRequestKind.RunTask)
    .flatMap(({ address, message }) =>
      message.kind === DispatchRequestKind.RunTask
        ? [{
          job: message.task.job,
          address,
          apart: message.suspectRoute,
        }]
        : []
    );
}

test("a task that crashes each worker that starts it is started twice, and its job fails at once", () => {
  const harness = readyHarness();
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  for (let crash = 1; crash <= 5; crash += 1) crashWorkers(harness);
  expect(harness.placementAddresses().length).toEqual(2);
  expect(harness.answerTo(1)).toEqual(FAILED);
});

test("suspects use at most a third of the workers, and other jobs use the others", () => {
  const harness = readyHarness();
  for (let request = 1; request <= 6; request += 1) {
    harness.submit(request, { id: `j${request}`, tasks: 1, millicores: 8_000 });
  }
  crashWorkers(harness);
  const suspects = runs(harness);
  const trial = new Set(suspects.map(({ address }) => address));
  expect(suspects.every(({ apart }) => apart === "scan")).toEqual(true);
  expect(trial.size).toEqual(SIDECARS.length / 3);
  harness.submit(7, { id: "other", tasks: 4, millicores: 8_000 });
  const others = runs(harness).filter(({ job }) => job === "other");
  expect(others.length).toEqual(4);
  expect(others.some(({ address }) => trial.has(address))).toEqual(false);
});

test("after a task has crashed a worker where it ran apart, all jobs of its kind run apart", () => {
  const harness = readyHarness();
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  crashWorkers(harness);
  crashWorkers(harness);
  harness.submit(2, { id: "b", tasks: 1, millicores: 1_000 });
  harness.submit(3, {
    id: "c",
    tasks: 1,
    millicores: 1_000,
    prefix: "/later/",
  });
  const apart = runs(harness).map((run) => [run.job, run.apart]);
  expect(apart).toEqual([["b", "scan"], ["c", undefined]]);
  completeAll(harness);
  harness.runTo(5_000);
  harness.submit(4, { id: "d", tasks: 1, millicores: 1_000 });
  expect(runs(harness).map((run) => run.apart)).toEqual([undefined]);
});

test("a job is not failed for two workers that crashed because of other tasks", () => {
  const harness = readyHarness();
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  crashWorkersBeside(harness);
  crashWorkers(harness);
  crashWorkersBeside(harness);
  completeAll(harness);
  expect(harness.answerTo(1)).toEqual(COMPLETED);
});

test("a job under which a worker has crashed at another entry runs apart, and fails with the next crash", () => {
  const harness = readyHarness();
  harness.step({
    kind: InputKind.PeerRequestArrived,
    from: "a~a",
    request: 900,
    message: {
      kind: DispatchRequestKind.ReportCrash,
      suspects: [{
        task: { job: "a", step: 0, index: 0 },
        proof: CrashProof.Alone,
      }],
    },
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  expect(runs(harness).map((run) => run.apart)).toEqual(["scan"]);
  crashWorkers(harness);
  expect(harness.answerTo(1)).toEqual(FAILED);
});
