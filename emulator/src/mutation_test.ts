/**
 * Tests that the randomised runs detect each mutation. A mutation that only shows under rare timing draws only
 * the fault kinds that can reveal it.
 */
import { test } from "node:test";
import { expect } from "earl";
import { FaultKind } from "./fault_schedule.ts";
import { MutatedDecisions, Mutation } from "./mutations.ts";
import { type RandomizedRunOptions, runRandomized } from "./randomized_run.ts";
import type { Violation } from "./run_checker.ts";

const MAXIMUM_SEEDS = 500;

for (const mutation of Object.values(Mutation)) {
  test(`the randomised runs detect the mutation ${mutation}`, (context) => {
    const detection = findDetectingSeed(mutation);
    context.diagnostic(
      `${mutation} is detected by ${JSON.stringify(detection)}`,
    );
    expect(detection === undefined).toEqual(false);
    expect(violationsWithoutMutation(mutation, detection?.seed ?? 0)).toEqual(
      [],
    );
  });
}

interface Detection {
  readonly seed: number;
  readonly rules: readonly string[];
}

function findDetectingSeed(mutation: Mutation): Detection | undefined {
  const faultKinds = faultKindsFor(mutation);
  for (let seed = 1; seed <= MAXIMUM_SEEDS; seed += 1) {
    const { violations } = runRandomized({
      seed,
      ...(faultKinds === undefined ? {} : { faultKinds }),
      ...mutationOptions(mutation),
    });
    const rules = [...new Set(violations.map(({ rule }) => rule))];
    if (rules.length > 0) return { seed, rules };
  }
  return undefined;
}

/** Returns the violations of the same run without the mutation. */
function violationsWithoutMutation(
  mutation: Mutation,
  seed: number,
): readonly Violation[] {
  const faultKinds = faultKindsFor(mutation);
  const options = faultKinds === undefined ? { seed } : { seed, faultKinds };
  return runRandomized(options).violations;
}

function mutationOptions(mutation: Mutation): Partial<RandomizedRunOptions> {
  if (mutation === Mutation.IncarnationsMixed) {
    return { isIncarnationIgnored: true };
  }
  return {
    wrapDecisions: (decisions) => new MutatedDecisions(decisions, mutation),
  };
}

function faultKindsFor(mutation: Mutation): readonly FaultKind[] | undefined {
  switch (mutation) {
    case Mutation.FenceRemoved:
      return [FaultKind.SidecarSendsDelayed];
    case Mutation.LeaseSkipped:
      return [FaultKind.ZonePartitioned, FaultKind.SidecarPaused];
    case Mutation.RefusedAttemptForgotten:
      return [FaultKind.NetworkDegraded, FaultKind.SidecarDrained];
    case Mutation.IncarnationsMixed:
      return [FaultKind.LogSlow, FaultKind.SidecarKilled];
    case Mutation.StartRecordsOmitted:
    case Mutation.AnswerIncomplete:
    case Mutation.StartRecordCollectionSkipped:
    case Mutation.OlderConfigurationApplied:
    case Mutation.CancellationSkipped:
    case Mutation.AnswersSwapped:
    case Mutation.DrainIgnored:
      return undefined;
  }
}
