/**
 * Failures of real processes on loopback while a caller submits and resubmits jobs. Each failure is
 * injected into a fresh system; the backend server stand-ins count the starts.
 */
import { setTimeout } from "node:timers/promises";
import { assertNever } from "@eelgrassfront/model";
import { request } from "undici";
import {
  computeFailureFigures,
  type FailureFigures,
} from "./failure_figures.ts";
import { LOCAL_OPERATORS_TOKEN } from "./local_settings.ts";
import { type LocalDaemon, LocalSystem } from "./local_system.ts";
import { ResubmittingCaller } from "./resubmitting_caller.ts";

/** Failures that are injected, one in each run. */
export enum Failure {
  None = "none",
  EntryKilled = "entry-killed",
  OwnerKilled = "owner-killed",
  RunnerKilled = "runner-killed",
  OwnerPaused = "owner-paused",
  RunnerPaused = "runner-paused",
  LogUnavailable = "log-away",
  OwnerDrained = "owner-drained",
}

const ENTRIES = 3;
const SIDECARS = 11;
const SLOTS = 8;
const JOBS_PER_SECOND = 100;
const TASK_RUN_MILLISECONDS = 50;
const NORMAL_MILLISECONDS = 500;
const BEFORE_MILLISECONDS = 2_000;
const AFTER_MILLISECONDS = 8_000;
/** Longer than the lease and shorter than the time after which a member is removed. */
const PAUSE_MILLISECONDS = 3_000;
const OUTAGE_MILLISECONDS = 4_000;

/** Runs the measure and returns its figures. */
export async function measureFailures(): Promise<object> {
  const figures: Record<string, FailureFigures> = {};
  for (const failure of Object.values(Failure)) {
    figures[failure] = await measureFailure(failure);
    process.stdout.write(`${failure} ${JSON.stringify(figures[failure])}\n`);
  }
  return { measure: "failures", ...figures };
}

async function measureFailure(failure: Failure): Promise<FailureFigures> {
  await using system = await LocalSystem.start({
    entries: ENTRIES,
    sidecars: SIDECARS,
    slots: SLOTS,
  });
  await using caller = new ResubmittingCaller({
    entries: system.entries.map(({ address }) => address),
    run: failure,
    jobsPerSecond: JOBS_PER_SECOND,
    taskRunMilliseconds: TASK_RUN_MILLISECONDS,
  });
  const submitting = caller.submitFor(BEFORE_MILLISECONDS + AFTER_MILLISECONDS);
  await setTimeout(BEFORE_MILLISECONDS);
  const target = await selectTarget(failure, system);
  const failedAt = performance.now();
  await injectFailure(failure, target, system);
  await submitting;
  return computeFailureFigures({
    records: caller.records,
    startsByTask: await countStartsByTask(system),
    failedAt,
    normalMilliseconds: NORMAL_MILLISECONDS,
  });
}

async function selectTarget(
  failure: Failure,
  system: LocalSystem,
): Promise<LocalDaemon | undefined> {
  switch (failure) {
    case Failure.None:
    case Failure.LogUnavailable:
      return undefined;
    case Failure.EntryKilled:
      return system.entries[0];
    case Failure.OwnerKilled:
    case Failure.OwnerPaused:
    case Failure.OwnerDrained:
      return (await sortSidecarsByShards(system)).at(-1);
    case Failure.RunnerKilled:
    case Failure.RunnerPaused:
      return (await sortSidecarsByShards(system))[0];
    default:
      return assertNever(failure);
  }
}

async function injectFailure(
  failure: Failure,
  target: LocalDaemon | undefined,
  system: LocalSystem,
): Promise<void> {
  switch (failure) {
    case Failure.None:
      return;
    case Failure.EntryKilled:
    case Failure.OwnerKilled:
    case Failure.RunnerKilled:
      target?.child.signal("SIGKILL");
      return;
    case Failure.OwnerPaused:
    case Failure.RunnerPaused:
      target?.child.signal("SIGSTOP");
      await setTimeout(PAUSE_MILLISECONDS);
      target?.child.signal("SIGCONT");
      return;
    case Failure.OwnerDrained:
      target?.child.signal("SIGTERM");
      return;
    case Failure.LogUnavailable:
      await setLogUnavailable(system, true);
      await setTimeout(OUTAGE_MILLISECONDS);
      await setLogUnavailable(system, false);
      return;
    default:
      assertNever(failure);
  }
}

/** Returns the sidecars in ascending order of the number of shards that they own. */
async function sortSidecarsByShards(
  system: LocalSystem,
): Promise<readonly LocalDaemon[]> {
  const counted = await Promise.all(
    system.sidecars.map(async (sidecar) => ({
      sidecar,
      shards: await countOwnedShards(sidecar),
    })),
  );
  return counted.sort((left, right) => left.shards - right.shards)
    .map(({ sidecar }) => sidecar);
}

async function countOwnedShards(sidecar: LocalDaemon): Promise<number> {
  const response = await request(
    `http://${sidecar.operatorsAddress}/report`,
    { headers: { authorization: `Bearer ${LOCAL_OPERATORS_TOKEN}` } },
  );
  const report = await response.body.json() as {
    readonly ownedShards: readonly object[];
  };
  return report.ownedShards.length;
}

async function setLogUnavailable(
  { log }: LocalSystem,
  isUnavailable: boolean,
): Promise<void> {
  const response = await request(`http://${log.address}/control`, {
    method: "POST",
    body: JSON.stringify({ isAway: isUnavailable }),
  });
  await response.body.dump();
}

async function countStartsByTask(
  { backendServers }: LocalSystem,
): Promise<ReadonlyMap<string, number>> {
  const sums = new Map<string, number>();
  for (const { address } of backendServers) {
    const response = await request(`http://${address}/statistics`);
    const counts = await response.body.json() as {
      readonly startsByTask: Readonly<Record<string, number>>;
    };
    for (const [task, starts] of Object.entries(counts.startsByTask)) {
      sums.set(task, (sums.get(task) ?? 0) + starts);
    }
  }
  return sums;
}
