/**
 * Tests of a sidecar whose availability zone is evacuated.
 */
import { describe, it } from "node:test";
import {
  DispatchInputKind,
  DispatchReplyKind,
  EvacuationReadKind,
  NotStartedReason,
  RunEndKind,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { notStarted } from "./run_settlement.ts";
import { BORN_AT, ENTRY, WorkerGuardHarness } from "./worker_guard_harness.ts";

const ZONE = "zone-a";
const EVACUATED = notStarted(NotStartedReason.ZoneEvacuated);
const COLD_MILLISECONDS = 800;

function read(
  harness: WorkerGuardHarness,
  offset: number,
  zones: readonly string[],
): void {
  harness.step({
    kind: DispatchInputKind.EvacuationsRead,
    read: { kind: EvacuationReadKind.Complete, state: { offset, zones } },
  });
}

describe("a sidecar of an evacuated zone", () => {
  it("refuses a task of an entry that has not learnt of the evacuation, with a reason that every version knows", () => {
    const harness = WorkerGuardHarness.ready();
    read(harness, 1, [ZONE]);
    harness.runTask(10, { job: "a", millicores: 1_000 });
    expect(harness.settlementOf(10)).toEqual(
      notStarted(NotStartedReason.Draining),
    );
    expect(harness.startedJobs()).toEqual([]);
  });

  it("returns a task that waits there, which would start when the worker has been checked", () => {
    const harness = WorkerGuardHarness.ready();
    harness.report({ bornAt: BORN_AT + 500 });
    harness.answerPoll({ running: ["old"] });
    harness.runTask(10, { job: "a", millicores: 1_000 });
    expect(harness.settlementOf(10)).toEqual(undefined);
    harness.renewSession(ENTRY, 2, {
      evacuations: { offset: 1, zones: [ZONE] },
    });
    harness.answerPoll({});
    expect(harness.settlementOf(10)).toEqual(EVACUATED);
    expect(harness.startedJobs()).toEqual([]);
  });

  it("lets an active run end normally", () => {
    const harness = WorkerGuardHarness.ready();
    harness.runTask(10, { job: "a", millicores: 1_000 });
    harness.acceptStarts();
    read(harness, 1, [ZONE]);
    expect(harness.takeCalls("stop")).toEqual([]);
    harness.advanceTo(200);
    harness.answerPoll({ ended: [{ job: "a", kind: RunEndKind.Completed }] });
    expect(harness.settlementOf(10)?.kind).toEqual(SettlementKind.Completed);
  });

  it("reports that it takes no work, and takes work again after the restoration", () => {
    const harness = WorkerGuardHarness.ready();
    read(harness, 1, [ZONE]);
    harness.renewSession(ENTRY, 2);
    expect(harness.sessionLoadOf(2)?.isTakingWork).toEqual(false);
    read(harness, 2, []);
    harness.renewSession(ENTRY, 3);
    expect(harness.sessionLoadOf(3)?.isTakingWork).toEqual(true);
    harness.runTask(10, { job: "a", millicores: 1_000 });
    expect(harness.startedJobs()).toEqual(["a"]);
  });

  it("takes the state from an entry's renewal when it cannot reach the store", () => {
    const harness = WorkerGuardHarness.ready();
    harness.renewSession(ENTRY, 2, {
      evacuations: { offset: 5, zones: [ZONE] },
    });
    expect(harness.sessionLoadOf(2)?.isTakingWork).toEqual(false);
    harness.runTask(10, { job: "a", millicores: 1_000 });
    expect(harness.settlementOf(10)).toEqual(EVACUATED);
  });

  it("accepts nothing from an entry whose state is older than its own", () => {
    const harness = WorkerGuardHarness.ready();
    read(harness, 7, [ZONE]);
    harness.renewSession(ENTRY, 2, { evacuations: { offset: 5, zones: [] } });
    harness.runTask(10, { job: "a", millicores: 1_000 });
    expect(harness.settlementOf(10)).toEqual(EVACUATED);
  });

  it("keeps taking work when another zone is evacuated", () => {
    const harness = WorkerGuardHarness.ready();
    read(harness, 1, ["zone-b"]);
    harness.runTask(10, { job: "a", millicores: 1_000 });
    expect(harness.startedJobs()).toEqual(["a"]);
  });

  it("reports a cold worker after the restoration, until the reported time has passed", () => {
    const harness = WorkerGuardHarness.ready();
    read(harness, 1, [ZONE]);
    read(harness, 2, []);
    harness.report({ coldMilliseconds: COLD_MILLISECONDS });
    harness.renewSession(ENTRY, 2);
    expect(harness.sessionLoadOf(2)?.isCold).toEqual(true);
    for (let now = 200; now <= COLD_MILLISECONDS; now += 200) {
      harness.advanceTo(now);
      harness.answerPoll({});
      harness.renewSession(ENTRY, 100 + now);
    }
    const load = harness.sessionLoadOf(100 + COLD_MILLISECONDS);
    expect(load).not.toEqual(undefined);
    expect(load?.isCold).toEqual(undefined);
  });

  it("does not report a cold worker where no zone was evacuated: the message would get a new field", () => {
    const harness = WorkerGuardHarness.ready();
    harness.report({ coldMilliseconds: COLD_MILLISECONDS });
    harness.openSession("entry-2~a", 2);
    expect(harness.repliesTo(2)).toEqual([DispatchReplyKind.SessionGranted]);
    expect(harness.sessionLoadOf(2)?.isCold).toEqual(undefined);
  });
});
