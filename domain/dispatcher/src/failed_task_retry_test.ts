/**
 * Where a task that has failed is tried again.
 */
import { test } from "node:test";
import { SettlementKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { DispatcherHarness } from "./dispatcher_harness.ts";

const FAILED = { kind: SettlementKind.Failed, runMilliseconds: 10 } as const;
const COMPLETED = {
  kind: SettlementKind.Completed,
  runMilliseconds: 10,
} as const;

test("a task does not use up its attempts at two workers that fail everything", () => {
  const harness = DispatcherHarness.ready(
    ["a", "b", "c"],
    { a: 8_000, b: 7_000, c: 6_000 },
  );
  harness.submit(1, { id: "job", tasks: 1, millicores: 1_000 });
  harness.settleAll(FAILED);
  harness.settleAll(FAILED);
  harness.settleAll(COMPLETED);
  expect(harness.placementAddresses()).toEqual(["a", "b", "c"]);
});

test("a task that failed is tried again without another worker", () => {
  const harness = DispatcherHarness.ready(
    ["a", "b"],
    { a: 8_000, b: 7_000 },
  );
  harness.submit(1, { id: "job", tasks: 1, millicores: 1_000 });
  harness.settleAll(FAILED);
  harness.settleAll(FAILED);
  harness.settleAll(COMPLETED);
  expect(harness.placementAddresses()).toEqual(["a", "b", "a"]);
});
