/**
 * State of a job at its entry: its tasks, their phases, and the time by which the job must start to meet
 * its latency objective.
 */
import {
  type BestEffortJob,
  type JobStep,
  type JobTaskReference,
  type Milliseconds,
  type RequestIdentifier,
  type WorkRoute,
} from "@eelgrassfront/model";
import type { Urgency, WorkTimes } from "@eelgrassfront/overload";

/** Phases of a task at its entry. */
export enum TaskPhase {
  /** Waits until the steps that it depends on have completed. */
  Blocked = "blocked",
  /** Waits to be placed at a sidecar. */
  Ready = "ready",
  /** Was sent to a sidecar, which has not settled it yet. */
  Placed = "placed",
  Completed = "completed",
}

/** A task of a job and the state of its placement. */
export interface DispatchTask {
  readonly name: JobTaskReference;
  readonly step: JobStep;
  phase: TaskPhase;
  failures: number;
  /** Address of the sidecar where the task last failed or was interrupted or refused; others are preferred. */
  avoidedAddress?: string;
  /** Address of the sidecar to which the task was last sent. */
  sidecarAddress?: string;
  /** Earliest time of the next placement: until then an earlier run of the task may not have ended. */
  notBefore: Milliseconds;
}

/** Initial state of a job. */
export interface DispatchJobOptions {
  readonly id: string;
  readonly job: BestEffortJob;
  readonly route: WorkRoute;
  readonly configurationVersion: number;
  readonly arrivedAt: Milliseconds;
  /** Expected run time of one task of the job. */
  readonly expectedRunMilliseconds: Milliseconds;
  /** Latest start with which the job meets its latency objective. */
  readonly startBy: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly request: RequestIdentifier;
}

/** A job that has not been answered. */
export class DispatchJob implements Urgency, WorkTimes {
  readonly id: string;
  readonly content: string;
  /** The job as the client submitted it. */
  readonly submittedJob: BestEffortJob;
  readonly route: WorkRoute;
  readonly configurationVersion: number;
  readonly arrivedAt: Milliseconds;
  readonly expectedRunMilliseconds: Milliseconds;
  readonly startBy: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly tasks: readonly DispatchTask[];
  /** Client requests that wait for the answer; a repeated submission adds one. */
  readonly requests: RequestIdentifier[];
  /** Time of the latest submission of the job to this entry. */
  submittedAt: Milliseconds;
  /** Time at which the first task was sent to a sidecar. */
  firstPlacedAt: Milliseconds | undefined;
  /** Whether a task has started or may have started; such a job is never refused. */
  mayHaveStarted = false;
  /** Number of tasks that are placed at sidecars. */
  placedTaskCount = 0;
  attemptCount = 0;
  /** Whether the job may crash workers and therefore runs apart from others. */
  isSuspect = false;
  /** Whether the job has not started and can no longer meet its objective. */
  isLate = false;
  /** Expected work of all tasks, in millicores times milliseconds. */
  readonly totalWork: number;
  /** Position among the suspects; the lowest runs first. */
  trialRank = 0;

  constructor(options: DispatchJobOptions) {
    this.id = options.id;
    this.content = options.job.content;
    this.submittedJob = options.job;
    this.expectedRunMilliseconds = options.expectedRunMilliseconds;
    this.route = options.route;
    this.configurationVersion = options.configurationVersion;
    this.arrivedAt = options.arrivedAt;
    this.submittedAt = options.arrivedAt;
    this.startBy = options.startBy;
    this.deadlineAt = options.deadlineAt;
    this.requests = [options.request];
    this.tasks = options.job.steps.flatMap((step, stepIndex) =>
      Array.from({ length: step.taskCount }, (_, index): DispatchTask => ({
        name: { job: options.id, step: stepIndex, index },
        step,
        phase: step.dependsOn.length === 0
          ? TaskPhase.Ready
          : TaskPhase.Blocked,
        failures: 0,
        notBefore: 0,
      }))
    );
    this.totalWork = this.#sumWaitingWork();
  }

  /** Whether every task has completed. */
  get isCompleted(): boolean {
    return this.tasks.every(({ phase }) => phase === TaskPhase.Completed);
  }

  /** Whether the job can be refused: no task has started, and no sidecar holds one that could still start. */
  get isRefusable(): boolean {
    return !this.mayHaveStarted && this.placedTaskCount === 0;
  }

  /** Whether tasks wait to be placed, now or once an earlier run has ended. */
  get hasWaitingTasks(): boolean {
    return this.tasks.some(({ phase }) => phase === TaskPhase.Ready);
  }

  /** Allows the tasks that a lost sidecar held to be placed again, since they have ended there. */
  releaseTasksHeldAt(address: string): void {
    for (const task of this.tasks) {
      const isHeld = task.phase === TaskPhase.Ready &&
        task.sidecarAddress === address;
      if (isHeld) task.notBefore = 0;
    }
  }

  /** Priority of the kind of work. */
  get priority(): number {
    return this.route.priority;
  }

  /** Whether a task was placed, so that the clients wait only for the rest. */
  get hasStarted(): boolean {
    return !this.isRefusable;
  }

  /** Work of the job for each client request that waits for it. */
  get workPerCaller(): number {
    return this.totalWork / Math.max(1, this.requests.length);
  }

  /** Returns the tasks that can be placed now. */
  readyTasks(now: Milliseconds): readonly DispatchTask[] {
    return this.tasks.filter((task) =>
      task.phase === TaskPhase.Ready && now >= task.notBefore
    );
  }

  /** Returns the first of the tasks that can be placed now. */
  firstReadyTask(now: Milliseconds): DispatchTask | undefined {
    return this.tasks.find((task) =>
      task.phase === TaskPhase.Ready && now >= task.notBefore
    );
  }

  /** Expected work of the unplaced tasks, in millicores times milliseconds. */
  get waitingWork(): number {
    // The backlog of each arrival adds up the queue, where most jobs have no task placed.
    return this.isRefusable ? this.totalWork : this.#sumWaitingWork();
  }

  #sumWaitingWork(): number {
    const runMilliseconds = this.expectedRunMilliseconds;
    let sum = 0;
    for (const { phase, step } of this.tasks) {
      const isWaiting = phase === TaskPhase.Ready ||
        phase === TaskPhase.Blocked;
      if (!isWaiting) continue;
      sum += step.resources.processorMillicores * runMilliseconds;
    }
    return sum;
  }

  /** Marks tasks as ready when all steps that they depend on have completed. */
  unblockTasks(): void {
    for (const task of this.tasks) {
      if (task.phase !== TaskPhase.Blocked) continue;
      const isReady = task.step.dependsOn.every((step) =>
        this.#isStepCompleted(step)
      );
      if (isReady) task.phase = TaskPhase.Ready;
    }
  }

  #isStepCompleted(step: number): boolean {
    return this.tasks.every((task) =>
      task.name.step !== step || task.phase === TaskPhase.Completed
    );
  }
}
