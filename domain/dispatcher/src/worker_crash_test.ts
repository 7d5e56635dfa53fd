/**
 * What an entry does with a task under which workers have crashed.
 */
import { test } from "node:test";
import {
  BestEffortJobState,
  ClientAnswerKind,
  InterruptionReason,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  CAPACITY_MILLICORES,
  DispatcherHarness,
} from "./dispatcher_harness.ts";

const SIDECARS = ["a", "b", "c", "d", "e", "f"];

function readyHarness(): DispatcherHarness {
  const free = SIDECARS.map((name) => [name, CAPACITY_MILLICORES] as const);
  return DispatcherHarness.ready(SIDECARS, Object.fromEntries(free));
}

function crashWorkers(harness: DispatcherHarness): void {
  harness.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.WorkerCrashed,
  });
}

test("a task that crashes each worker that starts it is started twice, and its job fails at once", () => {
  const harness = readyHarness();
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  for (let crash = 1; crash <= 5; crash += 1) crashWorkers(harness);
  expect(harness.placementAddresses().length).toEqual(2);
  expect(harness.answerTo(1)).toEqual({
    kind: ClientAnswerKind.Ended,
    state: BestEffortJobState.Failed,
  });
});
