/**
 * A job at its entry: its tasks, what has started, and by when it must start to meet its objective.
 */
import {
  type BestEffortJob,
  type JobStep,
  type JobTaskReference,
  type Milliseconds,
  type RequestIdentifier,
  type WorkRoute,
} from "@eelgrassfront/model";

/** Phases of a task. */
export enum TaskPhase {
  /** The steps that it depends on have not completed. */
  Blocked = "blocked",
  /** It can be placed. */
  Ready = "ready",
  /** A sidecar has it. */
  Placed = "placed",
  Completed = "completed",
}

/** A task of a job. */
export interface DispatchTask {
  readonly name: JobTaskReference;
  readonly step: JobStep;
  phase: TaskPhase;
  failures: number;
  /** The sidecar at which the task last failed or was refused; another one is tried first. */
  avoidedAddress?: string;
  /** The sidecar that has the task. */
  placedAt?: string;
  /** Before this time the task is not placed, since an earlier run of it may not have ended. */
  heldUntil: Milliseconds;
}

/** What makes a job. */
export interface DispatchJobOptions {
  readonly id: string;
  readonly job: BestEffortJob;
  readonly route: WorkRoute;
  readonly configurationVersion: number;
  readonly arrivedAt: Milliseconds;
  /** Expected run time of one of its tasks. */
  readonly expectedRunMilliseconds: Milliseconds;
  /** Time by which the job must start to meet its latency objective. */
  readonly startBy: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly request: RequestIdentifier;
}

/** A job that has not ended. */
export class DispatchJob {
  readonly id: string;
  readonly content: string;
  /** What the client handed in. */
  readonly handedIn: BestEffortJob;
  readonly route: WorkRoute;
  readonly configurationVersion: number;
  readonly arrivedAt: Milliseconds;
  readonly expectedRunMilliseconds: Milliseconds;
  readonly startBy: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly tasks: readonly DispatchTask[];
  /** Client requests that wait for the answer. */
  readonly requests: RequestIdentifier[];
  /** When its first task was sent to a sidecar. */
  firstPlacedAt: Milliseconds | undefined;
  /** Whether a task may have started; such a job is never refused. */
  hasStarted = false;
  /** Tasks that a sidecar has. */
  placed = 0;
  attempts = 0;

  constructor(options: DispatchJobOptions) {
    this.id = options.id;
    this.content = options.job.content;
    this.handedIn = options.job;
    this.expectedRunMilliseconds = options.expectedRunMilliseconds;
    this.route = options.route;
    this.configurationVersion = options.configurationVersion;
    this.arrivedAt = options.arrivedAt;
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
        heldUntil: 0,
      }))
    );
  }

  /** Whether every task has completed. */
  get isCompleted(): boolean {
    return this.tasks.every(({ phase }) => phase === TaskPhase.Completed);
  }

  /** Whether the job can be refused truthfully: nothing of it has started or may start. */
  get isRefusable(): boolean {
    return !this.hasStarted && this.placed === 0;
  }

  /** Tasks that can be placed now. */
  readyTasks(now: Milliseconds): readonly DispatchTask[] {
    return this.tasks.filter((task) =>
      task.phase === TaskPhase.Ready && now >= task.heldUntil
    );
  }

  /** Processor time that the tasks that are not placed are expected to need. */
  get waitingWork(): number {
    const runMilliseconds = this.expectedRunMilliseconds;
    return this.tasks.reduce((sum, { phase, step }) => {
      const isWaiting = phase === TaskPhase.Ready ||
        phase === TaskPhase.Blocked;
      const work = step.resources.processorMillicores * runMilliseconds;
      return isWaiting ? sum + work : sum;
    }, 0);
  }

  /** Makes the tasks ready whose steps depend only on completed ones. */
  unblock(): void {
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
