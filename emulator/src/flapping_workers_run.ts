/**
 * Plays the load of a fleet of large workers while some of them go down and up again at the same moments, fail what
 * they start, or answer start calls badly, and while entries and workers are drained as planned. It counts the jobs
 * that are shown as failed without the evidence for it, and the jobs that were accepted and not completed.
 */
import {
  assertNever,
  type CallWorker,
  type ClientAnswer,
  ClientAnswerKind,
  EventNumber,
  InputKind,
  JobRequestKind,
  jobTaskKey,
  type Milliseconds,
  type ProcessEvent,
  type ProcessIdentifier,
  type RunReference,
  type WorkerAnswer,
  WorkerCallKind,
  WorkerPhase,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import { DispatchSystem } from "./dispatch_system.ts";
import type { DispatchVm } from "./dispatch_vm.ts";
import { type FakeWorker, NO_WORKER_FAULTS } from "./fake_worker.ts";
import {
  ArrivalGenerator,
  type ArrivingJob,
  type LoadKind,
} from "./load_arrivals.ts";
import { increment, isShownAsFailed, nameOfAnswer } from "./answer_counts.ts";
import {
  FLEET,
  HOST,
  largeTaskConfiguration,
  MAXIMUM_ATTEMPTS,
  WORKER_MILLICORES,
} from "./large_task_load.ts";
import { SeededRandom } from "./seeded_random.ts";
import { ProcessState } from "./virtual_process.ts";
import { CrashKind } from "./worker_crash.ts";
import {
  ANSWER_MILLISECONDS,
  connectionLost,
  refused,
  unanswered,
} from "./worker_answers.ts";

/** What is wrong with some of the workers. */
export enum WorkerTrouble {
  None = "none",
  /** They go down and up again, all at the same moments. */
  Flapping = "flapping",
  /** Each run that starts there fails. */
  FailingRuns = "failing-runs",
  /** Each start call is answered with an error. */
  RefusedStarts = "refused-starts",
  /** No start call is answered or executed. */
  HangingStarts = "hanging-starts",
  /** The connection of each start call breaks, and the call is not executed. */
  ResetStarts = "reset-starts",
  /** They flap, and those of another third fail their runs. */
  FlappingAndFailing = "flapping-and-failing",
}

/** Options of a run. */
export interface FlappingRunOptions {
  readonly seed: number;
  readonly trouble: WorkerTrouble;
  readonly kinds: readonly LoadKind[];
  /** Probability that a worker leaves a call unanswered and executes it seconds later. */
  readonly delayedCalls?: number;
  /** Whether entries are drained and restarted, several at once, and workers leave and are replaced. */
  readonly hasPlannedWork?: boolean;
}

/** A job that was shown as failed, or that ended without being completed although it had been accepted. */
export interface JobFinding {
  readonly at: Milliseconds;
  readonly job: string;
  /** Whether it was shown as failed. */
  readonly isFailed: boolean;
  /** Largest number of workers that went down under one of its tasks. */
  readonly crashes: number;
  /** Largest number of runs of one of its tasks that failed. */
  readonly failedRuns: number;
  /** Its log events. */
  readonly trace: readonly string[];
}

/** Results of a run. */
export interface FlappingReport {
  readonly submitted: number;
  readonly answers: ReadonlyMap<string, number>;
  readonly failed: readonly JobFinding[];
  /** Shown as failed, though no task has failed three times and no two workers have crashed under one. */
  readonly falselyFailed: readonly JobFinding[];
  readonly givenUp: readonly JobFinding[];
  /** Accepted jobs that got no answer at all. */
  readonly unanswered: readonly string[];
}

const SECOND: Milliseconds = 1_000;
const TROUBLED_WORKERS = FLEET.workers / 7;
const START_MILLISECONDS: Milliseconds = 3 * SECOND;
const DURATION_MILLISECONDS: Milliseconds = 12 * SECOND;
const END_MILLISECONDS: Milliseconds = 8 * SECOND;
const TROUBLE_AT: Milliseconds = 2 * SECOND;
const TROUBLE_MILLISECONDS: Milliseconds = 7 * SECOND;
const FLAP_MILLISECONDS: Milliseconds = 1.4 * SECOND;
const MINIMUM_DOWN_MILLISECONDS: Milliseconds = 300;
const MAXIMUM_DOWN_MILLISECONDS: Milliseconds = 900;
/** Longest time until a waiting poll notices that its worker has ended. */
const MAXIMUM_BREAK_MILLISECONDS: Milliseconds = 45;
const DEADLINE_MILLISECONDS: Milliseconds = 1.5 * SECOND;
/** Time after the request to drain in which clients still reach an entry. */
const ROUTED_MILLISECONDS: Milliseconds = 3 * SECOND;
const DRAIN_INTERVAL_MILLISECONDS: Milliseconds = 4 * SECOND;
const WORKER_INTERVAL_MILLISECONDS: Milliseconds = 700;
const NOTICE_MILLISECONDS: Milliseconds = 2 * SECOND;
const MAXIMUM_CRASHES = 2;
const SEED_OFFSET = 9_000_011;

/** Plays the load once. */
export function runFlappingWorkers(
  options: FlappingRunOptions,
): FlappingReport {
  return new FlappingRun(options).run();
}

class FlappingRun {
  readonly #options: FlappingRunOptions;
  readonly #system: DispatchSystem;
  readonly #random: SeededRandom;
  readonly #answers = new Map<string, number>();
  readonly #open = new Set<string>();
  readonly #crashes = new Map<string, number>();
  readonly #failedRuns = new Map<string, number>();
  readonly #events = new Map<string, string[]>();
  readonly #drainedAt = new Map<DispatchVm, Milliseconds>();
  readonly #findings: JobFinding[] = [];
  #submitted = 0;
  #version = 1;

  constructor(options: FlappingRunOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed + SEED_OFFSET);
    this.#system = new DispatchSystem({
      seed: options.seed,
      fleet: FLEET,
      capacityMillicores: WORKER_MILLICORES,
      observer: {
        onStart: () => {},
        onEnd: (worker, run) => this.#onEnd(worker, run),
      },
      runMilliseconds: Number.parseFloat,
      onEvent: (process, event) => this.#onEvent(process, event),
    });
  }

  run(): FlappingReport {
    const { seed, kinds, hasPlannedWork = false } = this.#options;
    const { time } = this.#system;
    this.#publish();
    new ArrivalGenerator({
      load: {
        seed,
        kinds,
        durationMilliseconds: DURATION_MILLISECONDS,
        taskMillicores: { mean: 6_600, spread: 0.05 },
      },
      time,
      startMilliseconds: START_MILLISECONDS,
      onArrival: (job) => this.#submit(job),
    }).start();
    time.after(START_MILLISECONDS, () => this.#delayCalls());
    time.after(START_MILLISECONDS + TROUBLE_AT, () => this.#beginTrouble());
    if (hasPlannedWork) this.#planWork();
    this.#system.runUntil(
      START_MILLISECONDS + DURATION_MILLISECONDS + END_MILLISECONDS,
    );
    const failed = this.#findings.filter(({ isFailed }) => isFailed);
    return {
      submitted: this.#submitted,
      answers: this.#answers,
      failed,
      falselyFailed: failed.filter(({ crashes, failedRuns }) =>
        crashes < MAXIMUM_CRASHES && failedRuns < MAXIMUM_ATTEMPTS
      ),
      givenUp: this.#findings.filter((finding) => !failed.includes(finding)),
      unanswered: [...this.#open],
    };
  }

  #publish(): void {
    this.#system.publish(
      largeTaskConfiguration(this.#version, this.#options.kinds),
    );
    this.#version += 1;
  }

  #delayCalls(): void {
    const { delayedCalls = 0 } = this.#options;
    for (const { worker } of this.#system.sidecars) {
      if (worker !== undefined) worker.faults = this.#faults({ delayedCalls });
    }
  }

  #faults({ failures = 0, delayedCalls = 0 }) {
    return { ...NO_WORKER_FAULTS, failures, delayedCalls };
  }

  #beginTrouble(): void {
    const { trouble, seed } = this.#options;
    const { sidecars, time } = this.#system;
    const offset = seed % FLEET.workers;
    const rotated = [...sidecars.slice(offset), ...sidecars.slice(0, offset)];
    const troubled = rotated.slice(0, TROUBLED_WORKERS);
    const others = rotated.slice(TROUBLED_WORKERS, 2 * TROUBLED_WORKERS);
    const until = time.now + TROUBLE_MILLISECONDS;
    switch (trouble) {
      case WorkerTrouble.None:
        return;
      case WorkerTrouble.Flapping:
        this.#flap(troubled, until);
        return;
      case WorkerTrouble.FailingRuns:
        this.#failRuns(troubled);
        return;
      case WorkerTrouble.FlappingAndFailing:
        this.#flap(troubled, until);
        this.#failRuns(others);
        return;
      case WorkerTrouble.RefusedStarts:
      case WorkerTrouble.HangingStarts:
      case WorkerTrouble.ResetStarts:
        for (const vm of troubled) this.#breakStarts(vm.worker, trouble);
        time.after(TROUBLE_MILLISECONDS, () => {
          for (const vm of troubled) {
            if (vm.worker !== undefined) restoreCalls(vm.worker);
          }
        });
        return;
      default:
        assertNever(trouble);
    }
  }

  #flap(vms: readonly DispatchVm[], until: Milliseconds): void {
    const { time } = this.#system;
    if (time.now >= until) return;
    const down = this.#random.between(
      MINIMUM_DOWN_MILLISECONDS,
      MAXIMUM_DOWN_MILLISECONDS,
    );
    for (const vm of vms) this.#crash(vm, down);
    time.after(FLAP_MILLISECONDS, () => this.#flap(vms, until));
  }

  #crash(vm: DispatchVm, down: Milliseconds): void {
    const { worker } = vm;
    if (worker?.isAlive !== true) return;
    for (const { task } of worker.running) {
      increment(this.#crashes, jobTaskKey(task));
    }
    const breakMilliseconds = this.#random.between(
      0,
      MAXIMUM_BREAK_MILLISECONDS,
    );
    worker.crash({ kind: CrashKind.Breaking, breakMilliseconds });
    this.#system.time.after(down, () => {
      if (vm.worker !== worker) return;
      this.#system.startWorker(vm, false);
      const { delayedCalls = 0 } = this.#options;
      if (vm.worker !== undefined) {
        vm.worker.faults = this.#faults({ delayedCalls });
      }
    });
  }

  #failRuns(vms: readonly DispatchVm[]): void {
    const { delayedCalls = 0 } = this.#options;
    const set = (failures: number) => {
      for (const { worker } of vms) {
        if (worker === undefined) continue;
        worker.faults = this.#faults({ failures, delayedCalls });
      }
    };
    set(1);
    this.#system.time.after(TROUBLE_MILLISECONDS, () => set(0));
  }

  #breakStarts(
    worker: FakeWorker | undefined,
    trouble:
      | WorkerTrouble.RefusedStarts
      | WorkerTrouble.HangingStarts
      | WorkerTrouble.ResetStarts,
  ): void {
    if (worker === undefined) return;
    const { time } = this.#system;
    const call = worker.call.bind(worker);
    worker.call = (output, answer) => {
      if (output.request.kind !== WorkerCallKind.Start) {
        call(output, answer);
        return;
      }
      const delay = trouble === WorkerTrouble.HangingStarts
        ? output.timeoutMilliseconds
        : ANSWER_MILLISECONDS;
      time.after(delay, () => answer(badAnswer(trouble, output)));
    };
  }

  /** Drains entries, all but one at once, changes the configuration, and replaces workers one after the other. */
  #planWork(): void {
    const { time, entries, sidecars } = this.#system;
    for (
      let at = SECOND;
      at < DURATION_MILLISECONDS;
      at += DRAIN_INTERVAL_MILLISECONDS
    ) {
      time.after(START_MILLISECONDS + at, () => {
        const kept = this.#random.pick(entries);
        for (const vm of entries) if (vm !== kept) this.#drain(vm);
        this.#publish();
      });
    }
    sidecars.forEach((vm, index) => {
      const at = index * WORKER_INTERVAL_MILLISECONDS;
      if (at >= DURATION_MILLISECONDS) return;
      time.after(START_MILLISECONDS + at, () => this.#replaceWorker(vm));
    });
  }

  #drain(vm: DispatchVm): void {
    const { time } = this.#system;
    if (vm.process.state !== ProcessState.Running) return;
    if (this.#drainedAt.has(vm)) return;
    this.#drainedAt.set(vm, time.now);
    vm.process.receive({ kind: InputKind.DrainRequested });
    this.#restartOnceEnded(vm);
  }

  #restartOnceEnded(vm: DispatchVm): void {
    this.#system.time.after(100, () => {
      if (vm.process.state !== ProcessState.Ended) {
        this.#restartOnceEnded(vm);
        return;
      }
      this.#drainedAt.delete(vm);
      this.#system.restart(vm);
    });
  }

  #replaceWorker(vm: DispatchVm): void {
    const { time } = this.#system;
    const { worker } = vm;
    if (worker?.isAlive !== true) return;
    this.#system.setWorkerPhase(vm, WorkerPhase.Draining);
    time.after(NOTICE_MILLISECONDS, () => {
      if (vm.worker !== worker || !worker.isAlive) return;
      worker.crash();
      time.after(SECOND, () => this.#system.startWorker(vm, false));
    });
  }

  #submit(job: ArrivingJob): void {
    const { entries, time } = this.#system;
    const first = Math.floor(job.entry * entries.length);
    const entry = [...entries.slice(first), ...entries.slice(0, first)]
      .find((vm) => this.#isRouted(vm));
    if (entry === undefined) return;
    const id = `job${job.number}`;
    this.#submitted += 1;
    this.#open.add(id);
    const objective = job.objectiveMilliseconds;
    this.#system.submit(
      entry,
      { host: HOST, path: `/${job.kind.name}/${id}` },
      {
        kind: JobRequestKind.Runnable,
        job: {
          content: `${job.runMilliseconds}`,
          steps: [{
            taskCount: job.tasks,
            resources: {
              processorMillicores: job.millicores,
              memoryMegabytes: 64,
              accelerators: 0,
            },
            estimatedMilliseconds: job.estimatedMilliseconds,
            dependsOn: [],
          }],
        },
      },
      objective + DEADLINE_MILLISECONDS,
      (answer) => this.#onAnswer(id, answer, time.now),
    );
  }

  #isRouted(vm: DispatchVm): boolean {
    const { now } = this.#system.time;
    if (vm.process.state !== ProcessState.Running) return false;
    return now < (this.#drainedAt.get(vm) ?? now) + ROUTED_MILLISECONDS;
  }

  #onAnswer(job: string, answer: ClientAnswer, at: Milliseconds): void {
    this.#open.delete(job);
    increment(this.#answers, nameOfAnswer(answer));
    const isFailed = isShownAsFailed(answer);
    if (!isFailed && answer.kind !== ClientAnswerKind.GivenUp) return;
    // The event that describes the end of the job follows its answer.
    this.#system.time.after(0, () =>
      this.#findings.push({
        at,
        job,
        isFailed,
        crashes: largestOf(this.#crashes, job),
        failedRuns: largestOf(this.#failedRuns, job),
        trace: this.#events.get(job) ?? [],
      }));
  }

  #onEnd(worker: FakeWorker, { task }: RunReference): void {
    // On a worker whose runs all fail, only a stop ends one otherwise, so this counts a few too many.
    if (worker.isAlive && worker.faults.failures > 0) {
      increment(this.#failedRuns, jobTaskKey(task));
    }
  }

  #onEvent(process: ProcessIdentifier, event: ProcessEvent): void {
    const { job } = event.context;
    if (typeof job !== "string") return;
    if (event.number === EventNumber.JobAccepted) return;
    const lines = this.#events.get(job) ?? [];
    const now = this.#system.time.now.toFixed(1);
    lines.push(
      `${now} ${process} ${event.number} ${JSON.stringify(event.context)}`,
    );
    this.#events.set(job, lines);
  }
}

function restoreCalls(worker: FakeWorker): void {
  Reflect.deleteProperty(worker, "call");
}

function badAnswer(
  trouble:
    | WorkerTrouble.RefusedStarts
    | WorkerTrouble.HangingStarts
    | WorkerTrouble.ResetStarts,
  output: CallWorker,
): WorkerAnswer {
  switch (trouble) {
    case WorkerTrouble.RefusedStarts:
      return refused(WorkerRefusalReason.Invalid);
    case WorkerTrouble.HangingStarts:
      return unanswered(output);
    case WorkerTrouble.ResetStarts:
      return connectionLost(output);
    default:
      return assertNever(trouble);
  }
}

/** The largest count of a task of a job. */
function largestOf(counts: ReadonlyMap<string, number>, job: string): number {
  let largest = 0;
  for (const [key, count] of counts) {
    const isOfJob = key.startsWith(`${job}.`) || key.startsWith(`${job} `) ||
      key.startsWith(`${job}/`);
    if (isOfJob) largest = Math.max(largest, count);
  }
  return largest;
}
