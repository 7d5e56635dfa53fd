/**
 * Entries that know others, and jobs with chosen arbiters, for tests of claims.
 */
import { FleetDirectory } from "@eelgrassfront/directory";
import { DispatchRequestKind, Role } from "@eelgrassfront/model";
import { ArbiterRanking } from "./arbiter_ranking.ts";
import { DispatcherHarness } from "./dispatcher_harness.ts";

const SIDECARS = ["sidecar-1"];
const FREE = { "sidecar-1": 8_000 };

/** Returns an entry that knows other entries, `entry-2` and so on. */
export function entryAmong(others: number): DispatcherHarness {
  const harness = DispatcherHarness.ready(SIDECARS, FREE);
  harness.learnEntries(others);
  return harness;
}

/** Returns a job whose arbiter is one entry and, if that fails, another one, in a fleet of a number of others. */
export function jobOf(arbiter: string, others: number, next?: string): string {
  const directory = new FleetDirectory();
  for (let index = 0; index < others; index += 1) {
    const name = `entry-${index + 2}`;
    directory.updateMember({
      process: `${name}~a`,
      role: Role.Entry,
      address: name,
      availabilityZone: "zone-a",
    });
  }
  const self = {
    process: "entry-1~a",
    role: Role.Entry,
    address: "127.0.0.1:7720",
    availabilityZone: "zone-a",
  } as const;
  const ranking = new ArbiterRanking({ self, directory });
  const rankingAfterFailure = new ArbiterRanking({ self, directory });
  rankingAfterFailure.recordFailure(arbiter, 0);
  for (let index = 0; index < 1_000; index += 1) {
    const job = `job-${index}`;
    if (ranking.rank(job, 0).first.process !== `${arbiter}~a`) continue;
    const second = rankingAfterFailure.rank(job, 0).available.process;
    if (next === undefined || second === `${next}~a`) return job;
  }
  throw new Error(`no job has the arbiter ${arbiter}`);
}

/** Number of tasks that were sent to sidecars and not settled. */
export function placements(harness: DispatcherHarness): number {
  return harness.sent(DispatchRequestKind.RunTask).length;
}
