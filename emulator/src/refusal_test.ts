/**
 * Regression tests for refusals and cancellations: under these faults, a job that had run was answered as not
 * run, or a cancellation was lost.
 */
import { test } from "node:test";
import {
  identifySubmission,
  InputKind,
  JobOutcomeKind,
  OutputKind,
  PeerRequestKind,
  type ProcessIdentifier,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { sampleSubmission } from "./sample_work.ts";
import { Scenario } from "./scenario.ts";

const SUBMISSION = sampleSubmission({ key: "checked", runMilliseconds: [50] });
const IDENTIFIER = identifySubmission(SUBMISSION);

test("a refused request that is relayed again attaches to the running resubmission", () => {
  const { scenario, owner } = busyScenario();
  const { system } = scenario;
  scenario.submit(0, SUBMISSION);
  scenario.advance(5);
  system.network.cutLink(owner(), scenario.entry(0).identifier);
  system.cancel(scenario.entry(1), IDENTIFIER);
  scenario.advance(5);
  scenario.submit(1, SUBMISSION);
  scenario.advance(1_400);
  system.network.restoreAllLinks();
  scenario.advance(2_000);
  expect(scenario.checker.violations).toEqual([]);
  expect(scenario.outcomesOf(SUBMISSION)).toEqual([
    JobOutcomeKind.Completed,
    JobOutcomeKind.Completed,
  ]);
});

test("a resubmission reuses no attempt of the refused job", () => {
  const { scenario, owner, attempts } = idleScenario();
  const { network, sidecars } = scenario.system;
  scenario.submit(0, sampleSubmission({ key: "first", runMilliseconds: [1] }));
  scenario.advance(50);
  for (const { process } of sidecars) {
    network.cutLink(owner(), process.identifier);
  }
  scenario.submit(0, SUBMISSION);
  scenario.advance(50);
  scenario.system.cancel(scenario.entry(1), IDENTIFIER);
  network.restoreAllLinks();
  scenario.advance(1_900);
  scenario.submit(1, SUBMISSION);
  scenario.advance(500);
  expect(scenario.outcomesOf(SUBMISSION)).toEqual([
    JobOutcomeKind.NotRun,
    JobOutcomeKind.Completed,
  ]);
  expect(attempts.length).toEqual(2);
  expect(new Set(attempts).size).toEqual(2);
});

test("a running job that a new owner has recovered is not answered as not run", () => {
  const { scenario, owner } = idleScenario();
  const { system } = scenario;
  const long = sampleSubmission({ key: "long", runMilliseconds: [8_000] });
  scenario.submit(0, long);
  scenario.advance(10);
  system.kill(scenario.sidecar(owner()).process);
  scenario.advance(4_000);
  system.cancel(scenario.entry(1), identifySubmission(long));
  scenario.advance(1_000);
  expect(scenario.checker.violations).toEqual([]);
  expect(scenario.outcomesOf(long)).toEqual([
    JobOutcomeKind.Failed,
  ]);
});

test("an owner that was paused beyond its lease answers no job as not run", () => {
  const { scenario, owner } = busyScenario();
  const { system } = scenario;
  scenario.submit(0, SUBMISSION);
  scenario.advance(5);
  const paused = scenario.sidecar(owner()).process;
  paused.pause();
  system.cancel(scenario.entry(0), IDENTIFIER);
  scenario.advance(7_000);
  scenario.submit(
    1,
    sampleSubmission({ key: "other", runMilliseconds: [50] }),
  );
  scenario.advance(500);
  scenario.submit(1, {
    ...SUBMISSION,
    firstMadeAtEpoch: scenario.newestEpochToken,
  });
  scenario.advance(1_000);
  expect(system.starts.countStartedTasks(IDENTIFIER)).toEqual(1);
  paused.resume();
  scenario.advance(1_000);
  expect(scenario.checker.violations).toEqual([]);
});

test("a cancellation during a handover is not lost", () => {
  const { scenario, owner } = busyScenario();
  const { system } = scenario;
  scenario.submit(0, SUBMISSION);
  scenario.advance(5);
  scenario.sidecar(owner()).process.receive({
    kind: InputKind.DrainRequested,
  });
  scenario.advance(50);
  system.cancel(scenario.entry(1), IDENTIFIER);
  scenario.advance(5_000);
  expect(scenario.checker.violations).toEqual([]);
  expect(scenario.outcomesOf(SUBMISSION)).toEqual([JobOutcomeKind.NotRun]);
});

/** Creates a system in which every slot is busy at first. */
function busyScenario(): ObservedScenario {
  const observed = idleScenario();
  observed.scenario.submit(
    0,
    sampleSubmission({ key: "busy", runMilliseconds: Array(9).fill(400) }),
  );
  observed.scenario.advance(5);
  return observed;
}

function idleScenario(): ObservedScenario {
  const attempts: number[] = [];
  let owner: ProcessIdentifier | undefined;
  const scenario = new Scenario({
    onOutput: (_, output) => {
      if (output.kind !== OutputKind.SendRequest) return;
      const { message, peer } = output;
      if (message.kind === PeerRequestKind.SubmitJob) owner = peer;
      const isCounted = message.kind === PeerRequestKind.StartTask &&
        message.submission === IDENTIFIER;
      if (isCounted) attempts.push(message.attempt);
    },
  });
  return {
    scenario,
    attempts,
    owner: () => {
      if (owner === undefined) throw new Error("nothing was submitted");
      return owner;
    },
  };
}

interface ObservedScenario {
  readonly scenario: Scenario;
  /** Attempt numbers of the checked submission's start requests, in order. */
  readonly attempts: readonly number[];
  /** Returns the owner that received the newest submission. */
  readonly owner: () => ProcessIdentifier;
}
