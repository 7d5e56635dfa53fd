/**
 * Checks the guarantees of best-effort work from the runs on workers and the answers to clients.
 */
import {
  type ClientAnswer,
  ClientAnswerKind,
  jobTaskKey,
  type Milliseconds,
  type RunReference,
  WorkerPhase,
} from "@eelgrassfront/model";
import type { FakeWorker, WorkerObserver } from "./fake_worker.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Guarantees that a run is checked against. */
export enum DispatchRule {
  /** No two runs of one task overlap. */
  OneRunAtATime = "one run at a time",
  /** Concurrent runs do not exceed the capacity of their worker. */
  WithinCapacity = "within capacity",
  /** A job whose every request was refused has not run. */
  RefusedJobNeverRan = "a refusal is true",
  /** A draining worker starts no task. */
  NoStartWhileDraining = "no start while draining",
  /** No task of a job starts after its client has disconnected and the cancellation time has passed. */
  NoStartAfterDisconnect = "no start after the client left",
  /** Every request is answered as long as its entry runs. */
  EveryRequestAnswered = "every request is answered",
  /** The fleet completes new jobs after the faults have ended. */
  Recovery = "the fleet recovers",
}

/** A violated guarantee. */
export interface DispatchViolation {
  readonly rule: DispatchRule;
  readonly at: Milliseconds;
  readonly detail: string;
}

/** Resources that each task of a job occupies. */
export interface CheckedJob {
  readonly millicores: number;
}

interface JobRecord extends CheckedJob {
  starts: number;
  answers: ClientAnswer[];
  /** Requests without an answer, because the entry ended or the client disconnected. */
  unansweredRequests: number;
  disconnectedAt: Milliseconds | undefined;
}

/** Time for the worker's report of the drain to reach its sidecar, and for calls in flight to arrive. */
const DRAIN_SLACK_MILLISECONDS: Milliseconds = 200;
/** Time in which an entry and its sidecars cancel the tasks of a job, even when links are cut. */
const CANCELLATION_MILLISECONDS: Milliseconds = 3_000;

/** Observes one run and collects violations. */
export class DispatchChecker implements WorkerObserver {
  readonly violations: DispatchViolation[] = [];
  readonly #time: VirtualTime;
  readonly #jobs = new Map<string, JobRecord>();
  readonly #running = new Map<string, FakeWorker>();
  readonly #drainingSince = new Map<FakeWorker, Milliseconds>();

  /** Takes a function, since the system that owns the clock is created after its checker. */
  constructor(time: () => VirtualTime) {
    this.#time = new Proxy({} as VirtualTime, {
      get: (_, name) => Reflect.get(time(), name),
    });
  }

  /** Number of starts of all tasks. */
  starts = 0;

  /** Number of answers of each kind. */
  get answers(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { answers } of this.#jobs.values()) {
      for (const { kind } of answers) {
        counts.set(kind, (counts.get(kind) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Tracks a job before its first submission; resubmissions change nothing. */
  trackJob(job: string, checked: CheckedJob): void {
    if (this.#jobs.has(job)) return;
    this.#jobs.set(job, {
      ...checked,
      starts: 0,
      answers: [],
      unansweredRequests: 0,
      disconnectedAt: undefined,
    });
  }

  /** Records an answer to the client of a job. */
  recordAnswer(job: string, answer: ClientAnswer): void {
    this.#jobs.get(job)?.answers.push(answer);
  }

  /** Records that a request for a job got no answer. */
  recordLostAnswer(job: string): void {
    const record = this.#jobs.get(job);
    if (record !== undefined) record.unansweredRequests += 1;
  }

  /** Records that the client of a job disconnected and will not resubmit. */
  recordDisconnect(job: string): void {
    const record = this.#jobs.get(job);
    if (record === undefined) return;
    record.unansweredRequests += 1;
    record.disconnectedAt = this.#time.now;
  }

  /** Records that a worker starts to drain. */
  recordDrain(worker: FakeWorker): void {
    this.#drainingSince.set(worker, this.#time.now);
  }

  /** Records a violation. */
  report(rule: DispatchRule, detail: string): void {
    this.violations.push({ rule, at: this.#time.now, detail });
  }

  onStart(worker: FakeWorker, { task }: RunReference): void {
    this.starts += 1;
    const key = jobTaskKey(task);
    const record = this.#jobs.get(task.job);
    if (record !== undefined) record.starts += 1;
    const other = this.#running.get(key);
    if (other !== undefined) {
      this.report(
        DispatchRule.OneRunAtATime,
        `${key} on ${other.options.id} and ${worker.options.id}`,
      );
    }
    this.#running.set(key, worker);
    this.#checkCapacity(worker);
    this.#checkDrain(worker, key);
    this.#checkClientConnected(record, key);
  }

  onEnd(worker: FakeWorker, { task }: RunReference): void {
    const key = jobTaskKey(task);
    if (this.#running.get(key) === worker) this.#running.delete(key);
  }

  /** Checks the guarantees that can only be decided at the end of the run. */
  finish(): void {
    for (const [job, record] of this.#jobs) {
      const isRefused = record.answers.length > 0 &&
        record.unansweredRequests === 0 &&
        record.answers.every(({ kind }) => kind === ClientAnswerKind.Refused);
      if (isRefused && record.starts > 0) {
        this.report(DispatchRule.RefusedJobNeverRan, `${job} started`);
      }
    }
  }

  #checkCapacity(worker: FakeWorker): void {
    const used = worker.running.reduce(
      (sum, { task }) => sum + (this.#jobs.get(task.job)?.millicores ?? 0),
      0,
    );
    if (used <= worker.options.capacityMillicores) return;
    this.report(
      DispatchRule.WithinCapacity,
      `${used} millicores on ${worker.options.id}`,
    );
  }

  #checkDrain(worker: FakeWorker, key: string): void {
    if (worker.phase !== WorkerPhase.Draining) return;
    const since = this.#drainingSince.get(worker) ?? this.#time.now;
    if (this.#time.now - since <= DRAIN_SLACK_MILLISECONDS) return;
    this.report(DispatchRule.NoStartWhileDraining, key);
  }

  #checkClientConnected(record: JobRecord | undefined, key: string): void {
    const { disconnectedAt } = record ?? {};
    if (disconnectedAt === undefined) return;
    if (this.#time.now - disconnectedAt <= CANCELLATION_MILLISECONDS) return;
    this.report(DispatchRule.NoStartAfterDisconnect, key);
  }
}
