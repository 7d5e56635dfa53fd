/**
 * Each mechanism is broken in turn, and the randomised runs must notice. A mutation whose breach needs
 * rare timing draws only the kinds of faults that threaten it.
 */
import { test } from "node:test";
import { expect } from "earl";
import { FaultKind } from "./fault_schedule.ts";
import { MutatedDecisions, Mutation } from "./mutations.ts";
import { type RandomizedRunOptions, runRandomized } from "./randomized_run.ts";
import type { Violation } from "./run_checker.ts";

const MOST_SEEDS = 500;

for (const mutation of Object.values(Mutation)) {
  test(`the runs notice the mutation ${mutation}`, (context) => {
    const caught = firstSeedThatCatches(mutation);
    context.diagnostic(`${mutation} is caught by ${JSON.stringify(caught)}`);
    expect(caught === undefined).toEqual(false);
    expect(unbrokenViolations(mutation, caught?.seed ?? 0)).toEqual([]);
  });
}

interface Caught {
  readonly seed: number;
  readonly rules: readonly string[];
}

function firstSeedThatCatches(mutation: Mutation): Caught | undefined {
  const faultKinds = faultKindsFor(mutation);
  for (let seed = 1; seed <= MOST_SEEDS; seed += 1) {
    const { violations } = runRandomized({
      seed,
      ...(faultKinds === undefined ? {} : { faultKinds }),
      ...breaking(mutation),
    });
    const rules = [...new Set(violations.map(({ rule }) => rule))];
    if (rules.length > 0) return { seed, rules };
  }
  return undefined;
}

/** What the same run shows with every mechanism in place. */
function unbrokenViolations(
  mutation: Mutation,
  seed: number,
): readonly Violation[] {
  const faultKinds = faultKindsFor(mutation);
  const options = faultKinds === undefined ? { seed } : { seed, faultKinds };
  return runRandomized(options).violations;
}

function breaking(mutation: Mutation): Partial<RandomizedRunOptions> {
  if (mutation === Mutation.IncarnationsMixed) {
    return { isIncarnationIgnored: true };
  }
  return {
    decorate: (decisions) => new MutatedDecisions(decisions, mutation),
  };
}

function faultKindsFor(mutation: Mutation): readonly FaultKind[] | undefined {
  switch (mutation) {
    case Mutation.FenceRemoved:
      return [FaultKind.SidecarStalled];
    case Mutation.LeaseSkipped:
      return [FaultKind.ZoneCut, FaultKind.SidecarPaused];
    case Mutation.RefusedAttemptForgotten:
      return [FaultKind.NetworkTrouble, FaultKind.SidecarDrained];
    case Mutation.IncarnationsMixed:
      return [FaultKind.LogSlow, FaultKind.SidecarKilled];
    case Mutation.StartRecordSkipped:
    case Mutation.AnswerIncomplete:
    case Mutation.EvidenceSkipped:
    case Mutation.OlderConfigurationTaken:
    case Mutation.WithdrawalSkipped:
    case Mutation.AnswersCrossed:
    case Mutation.LeavingIgnored:
      return undefined;
  }
}
