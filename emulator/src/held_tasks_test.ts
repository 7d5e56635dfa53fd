/**
 * Jobs that are granted again after a pause while their tasks may still run at a lost sidecar.
 */
import { test } from "node:test";
import { type ClientAnswer, ClientAnswerKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

// A job none of whose tasks may be placed yet leaves the queue when it is granted, and nothing queues it again.
test("a job that is granted again while its tasks may run at a lost sidecar is placed later", () => {
  const harness = new OverlappingRunsHarness();
  const { system } = harness;
  const answers: ClientAnswer[] = [];
  harness.submit(0, "job-2", 1_500, (answer) => answers.push(answer));
  harness.advance(100);
  const sidecar = harness.busyVm();
  const [entry, ...others] = system.entries;
  entry?.process.pause();
  system.kill(sidecar);
  harness.advance(600);
  // The arbiters answer in 60 ms.
  for (const { process } of others) process.pause();
  entry?.process.resume();
  harness.advance(60);
  for (const { process } of others) process.resume();
  harness.advance(6_000);
  expect(answers.map(({ kind }) => kind)).toEqual([ClientAnswerKind.Ended]);
});
