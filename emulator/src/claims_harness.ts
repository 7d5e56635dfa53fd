/**
 * Jobs with chosen arbiters, and the entries of a harness, for tests of claims.
 */
import { combineHashes, stableHash } from "@eelgrassfront/ownership";
import type { DispatchVm } from "./dispatch_vm.ts";
import type { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const ENTRIES = ["entry-1", "entry-2", "entry-3"];

/** Returns the arbiters of a job, the first one first. */
export function arbitersOf(job: string): readonly string[] {
  const rank = (name: string) =>
    combineHashes(stableHash(name), stableHash(job));
  return [...ENTRIES].sort((left, right) => rank(right) - rank(left));
}

/** Returns a job whose arbiters are the given entries, in this order. */
export function jobOf(...arbiters: readonly string[]): string {
  for (let index = 0; index < 1_000; index += 1) {
    const job = `job-${index}`;
    const ranked = arbitersOf(job);
    if (arbiters.every((name, position) => ranked[position] === name)) {
      return job;
    }
  }
  throw new Error(`no job has the arbiters ${arbiters.join(", ")}`);
}

/** Returns an entry by its index. */
export function entryOf(
  harness: OverlappingRunsHarness,
  index: number,
): DispatchVm {
  const entry = harness.system.entries[index];
  if (entry === undefined) throw new TypeError(`there is no entry ${index}`);
  return entry;
}
