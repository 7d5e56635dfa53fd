/**
 * Settlement of the runs that ended with their worker. A worker that ends without notice has crashed, perhaps
 * because of a task that it had just started. The log shows which tasks ran there and for how long, and the
 * entries learn the suspects among them: their own from the settlements, those of other entries from a report,
 * since a job whose entry ends is submitted to another one.
 */
import {
  assertNever,
  Counter,
  CrashProof,
  type CrashSuspect,
  type DispatchOutput,
  DispatchRequestKind,
  EventNumber,
  InterruptionReason,
  jobTaskKey,
  type ListedRun,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  Role,
  Severity,
  type WorkerDescription,
  WorkerPhase,
} from "@eelgrassfront/model";
import type { FleetDirectory } from "@eelgrassfront/directory";
import type { EntrySessions } from "./entry_sessions.ts";
import { runKey } from "./pending_call.ts";
import { crashed, interrupted } from "./run_settlement.ts";
import type { RunTable } from "./run_table.ts";
import type { SuspectRuns } from "./suspect_runs.ts";
import {
  beginningOf,
  RunBeginning,
  runReferenceOf,
  type WorkerRun,
} from "./worker_run.ts";

/** How a worker ended. */
export enum WorkerEnd {
  /** It reported that it leaves. */
  Announced = "announced",
  /** Its address refuses connections, or another incarnation answers there. */
  Unannounced = "unannounced",
}

/** Number of tasks that the event of a crash names. */
const MAXIMUM_TASKS_IN_EVENT = 10;

/** Collaborators of a `LostRuns`. */
export interface LostRunsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly table: RunTable;
  readonly suspectRuns: SuspectRuns;
  readonly sessions: EntrySessions;
  readonly directory: FleetDirectory;
}

/** Settles the runs of a worker that has ended. */
export class LostRuns {
  readonly #options: LostRunsOptions;

  constructor(options: LostRunsOptions) {
    this.#options = options;
  }

  /**
   * Settles the runs of the described worker, but not those that the next incarnation has listed: their start calls
   * reached it. A worker that was draining has not crashed.
   */
  settle(
    end: WorkerEnd,
    worker: WorkerDescription | undefined,
    listed: readonly ListedRun[] = [],
  ): void {
    const { table, suspectRuns } = this.#options;
    const listedKeys = new Set(listed.map(({ run }) => runKey(run)));
    const runs = table.sentToWorker().filter((run) => {
      const target = runReferenceOf(run);
      return target === undefined || !listedKeys.has(runKey(target));
    });
    const isCrash = end === WorkerEnd.Unannounced &&
      worker?.phase === WorkerPhase.Ready;
    if (!isCrash) {
      const settlement = interrupted(InterruptionReason.WorkerLost);
      for (const run of runs) table.settle(run, settlement);
      return;
    }
    const suspects = suspectRuns.suspectsOf(runs);
    this.#recordCrash(worker, runs, suspects);
    const proofs = new Map(
      suspects.map((run) => [run, proofOf(run, runs)]),
    );
    if (suspectRuns.isUnexplained(runs)) this.#reportUnexplained();
    else this.#reportSuspects(proofs);
    for (const run of runs) {
      const proof = proofs.get(run);
      table.settle(
        run,
        proof === undefined ? interrupted(reasonBeside(run)) : crashed(proof),
      );
    }
  }

  /** Tells each entry with a session the suspects of the other entries. */
  #reportSuspects(proofs: ReadonlyMap<WorkerRun, CrashProof>): void {
    const { sessions } = this.#options;
    for (const entry of sessions.entries()) {
      const others = [...proofs].filter(([run]) => run.entry !== entry);
      if (others.length === 0) continue;
      this.#report(
        entry,
        others.map(([run, proof]) => suspectOf(run, proof)),
      );
    }
  }

  /** Tells each entry with a session of a crash that no run explains. */
  #reportUnexplained(): void {
    for (const entry of this.#options.sessions.entries()) {
      this.#report(entry, []);
    }
  }

  #report(
    entry: ProcessIdentifier,
    suspects: readonly CrashSuspect[],
  ): void {
    const { collector, directory } = this.#options;
    const member = directory.membersOf(Role.Entry)
      .find(({ process }) => process === entry);
    if (member === undefined) return;
    collector.add({
      kind: OutputKind.SendRequest,
      request: collector.nextRequest(),
      peer: entry,
      address: member.address,
      message: { kind: DispatchRequestKind.ReportCrash, suspects },
    });
  }

  #recordCrash(
    worker: WorkerDescription,
    runs: readonly WorkerRun[],
    suspects: readonly WorkerRun[],
  ): void {
    const { collector } = this.#options;
    collector.count(Counter.WorkerCrashes);
    const tasks = runs
      .map((run) => ({ run, age: collector.now - run.acceptedAt }))
      .sort((left, right) => left.age - right.age)
      .slice(0, MAXIMUM_TASKS_IN_EVENT)
      .map(({ run, age }) =>
        [
          jobTaskKey(run.task),
          Math.round(age),
          run.state.phase,
          beginningOf(run),
        ].join(" ")
      );
    collector.record(EventNumber.WorkerCrashed, "a worker has crashed", {
      severity: Severity.Warning,
      context: {
        worker: worker.incarnation.id,
        runs: runs.length,
        suspects: suspects.length,
        tasks: tasks.join(", "),
      },
    });
  }
}

/** What is known of a suspect among the runs of a crashed worker. */
function proofOf(
  suspect: WorkerRun,
  runs: readonly WorkerRun[],
): CrashProof {
  if (beginningOf(suspect) !== RunBeginning.Confirmed) {
    return CrashProof.Unconfirmed;
  }
  return runs.every(({ task }) => task.job === suspect.task.job)
    ? CrashProof.Alone
    : CrashProof.Shared;
}

/** Why a run ended with its worker that is not a suspect of the crash. */
function reasonBeside(run: WorkerRun): InterruptionReason {
  const beginning = beginningOf(run);
  switch (beginning) {
    case RunBeginning.Unproven:
      return InterruptionReason.WorkerLost;
    case RunBeginning.Possible:
    case RunBeginning.Likely:
    case RunBeginning.Confirmed:
      return InterruptionReason.BesideCrash;
    default:
      return assertNever(beginning);
  }
}

function suspectOf(
  { task, suspectRoute: route, workKind }: WorkerRun,
  proof: CrashProof,
): CrashSuspect {
  return {
    task,
    proof,
    ...(route === undefined ? {} : { route }),
    ...(workKind === undefined ? {} : { workKind }),
  };
}
