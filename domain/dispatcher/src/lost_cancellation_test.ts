/**
 * Cancellations of an entry whose connection to a sidecar breaks. A client that got no answer submits its job
 * again at another entry, so the earlier run must not go on.
 */
import { test } from "node:test";
import { DispatchInputKind, DispatchRequestKind } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  CAPACITY_MILLICORES,
  DispatcherHarness,
} from "./dispatcher_harness.ts";

test("a cancellation lost with its connection does not leave the run of a job whose client has left", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.step({ kind: DispatchInputKind.ClientDisconnected, request: 1 });
  harness.loseConnection("only");
  harness.runTo(10);
  expect(harness.pendingKinds("only")).toEqual([
    DispatchRequestKind.CancelTaskAttempt,
    DispatchRequestKind.RunTask,
  ]);
});

test("a cancellation that alone is lost does not leave the run of a job whose client has left", () => {
  const harness = DispatcherHarness.ready(["only"], {
    only: CAPACITY_MILLICORES,
  });
  harness.submit(1, { id: "a", tasks: 1, millicores: 1_000 });
  harness.step({ kind: DispatchInputKind.ClientDisconnected, request: 1 });
  harness.loseRequests(DispatchRequestKind.CancelTaskAttempt);
  harness.runTo(10);
  expect(harness.sent(DispatchRequestKind.CancelTaskAttempt).length).toEqual(1);
});
