/**
 * Suspect tasks at a sidecar: they run apart from other jobs, and a crash names its suspects.
 */
import { test } from "node:test";
import {
  CrashProof,
  InterruptionReason,
  NotStartedReason,
  type ProcessIdentifier,
  SUSPICION_MILLISECONDS,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { crashed, interrupted, notStarted } from "./run_settlement.ts";
import { BORN_AT, ENTRY, WorkerGuardHarness } from "./worker_guard_harness.ts";

const OTHER_ENTRY: ProcessIdentifier = "entry-2~a";
const SUSPECT = { job: "suspect", millicores: 1_000, suspectRoute: "scan" };
const RESERVED = notStarted(NotStartedReason.Reserved);

test("no task of another job starts beside a suspect that has just started", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, SUSPECT);
  harness.runTask(11, { job: "a", millicores: 1_000 });
  harness.runTask(12, { ...SUSPECT, job: "b" });
  expect(harness.startedJobs()).toEqual(["suspect"]);
  expect(harness.settlementOf(11)).toEqual(RESERVED);
  expect(harness.settlementOf(12)).toEqual(RESERVED);
  harness.advanceTo(SUSPICION_MILLISECONDS);
  harness.runTask(13, { job: "c", millicores: 1_000 });
  expect(harness.startedJobs()).toEqual(["suspect", "c"]);
});

test("a suspect does not start beside a task of another job that has just started", () => {
  const harness = WorkerGuardHarness.ready();
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.runTask(11, SUSPECT);
  expect(harness.settlementOf(11)).toEqual(RESERVED);
  harness.advanceTo(SUSPICION_MILLISECONDS);
  harness.runTask(12, { ...SUSPECT, job: "b" });
  expect(harness.startedJobs()).toEqual(["a", "b"]);
});

test("after a crash only what had just started is suspected, and other entries are told", () => {
  const harness = WorkerGuardHarness.ready();
  harness.learnEntries([ENTRY, OTHER_ENTRY]);
  harness.openSession(OTHER_ENTRY, 2);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.advanceTo(SUSPICION_MILLISECONDS);
  harness.runTask(11, SUSPECT);
  harness.acceptStarts();
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({});
  expect(harness.settlementOf(10)).toEqual(
    interrupted(InterruptionReason.BesideCrash),
  );
  const proof = CrashProof.Shared;
  expect(harness.settlementOf(11)).toEqual(crashed(proof));
  const task = { job: "suspect", step: 0, index: 0 };
  expect(harness.crashReports).toEqual([
    { to: OTHER_ENTRY, suspects: [{ task, proof, route: "scan" }] },
  ]);
});

test("a crash is the proof of one job only if no run of another job was at the worker", () => {
  const harness = WorkerGuardHarness.ready();
  harness.learnEntries([ENTRY, OTHER_ENTRY]);
  harness.openSession(OTHER_ENTRY, 2);
  harness.runTask(10, { job: "a", millicores: 1_000 });
  harness.acceptStarts();
  harness.report({ bornAt: BORN_AT + 500 });
  harness.answerPoll({});
  const proof = CrashProof.Alone;
  expect(harness.settlementOf(10)).toEqual(crashed(proof));
  const task = { job: "a", step: 0, index: 0 };
  expect(harness.crashReports).toEqual([
    { to: OTHER_ENTRY, suspects: [{ task, proof }] },
  ]);
});
