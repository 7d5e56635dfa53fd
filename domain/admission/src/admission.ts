/**
 * Which jobs an owner takes in. A refusal is cheap and true: it is decided before anything is placed. What
 * cannot end in time at today's drain rate is refused with a time to come back.
 */
import {
  type Configuration,
  type KindOfWork,
  type Milliseconds,
  NotRunReason,
  type Submission,
} from "@eelgrassfront/model";

/** Whether a job is taken in. */
export enum AdmissionKind {
  Admitted = "admitted",
  Refused = "refused",
}

/** The job is taken in under the rules of its kind of work. */
export interface Admitted {
  readonly kind: AdmissionKind.Admitted;
  readonly kindOfWork: KindOfWork;
}

/** The job is refused; none of its tasks will start. */
export interface Refused {
  readonly kind: AdmissionKind.Refused;
  readonly reason: NotRunReason;
  readonly retryAfterMilliseconds?: Milliseconds;
}

/** The decision on a job. */
export type Admission = Admitted | Refused;

/** What an owner knows when it decides. */
export interface AdmissionSituation {
  readonly configuration: Configuration;
  /** Tasks waiting at this owner. */
  readonly queuedTasks: number;
  /** Tasks of the submission's team that are waiting or running. */
  readonly teamTasksInFlight: number;
  /** Time that remains until the submission's deadline. */
  readonly remainingMilliseconds: Milliseconds;
  /** What the queue says of this submission's team and kind of work. */
  readonly drainOf: (kindOfWork: KindOfWork) => DrainEstimate;
  /** Whether some worker could run the tasks at all. */
  readonly isCapableWorkerKnown: (kindOfWork: KindOfWork) => boolean;
}

/** How fast waiting work of a submission's team and kind is expected to drain. */
export interface DrainEstimate {
  /** Tasks of the team and kind that wait. */
  readonly waitingTasks: number;
  /** Submissions of the team and kind with waiting tasks. */
  readonly waitingSubmissions: number;
  /** Slots that the team's work of this kind can expect. */
  readonly slots: number;
  /** Learnt run time of a task. */
  readonly runMilliseconds: Milliseconds;
}

/** Share of the deadline within which the tasks of a submission must be expected to start. */
const USABLE_SHARE_OF_DEADLINE = 0.25;
const SHORTEST_RETRY_MILLISECONDS: Milliseconds = 1_000;
const QUEUE_FULL_RETRY_MILLISECONDS: Milliseconds = 1_000;

/** Decides on a job. */
export function judgeSubmission(
  submission: Submission,
  situation: AdmissionSituation,
): Admission {
  const { configuration } = situation;
  const kindOfWork = configuration.kindsOfWork.find(({ name }) =>
    name === submission.kindOfWork
  );
  if (kindOfWork === undefined) return refuse(NotRunReason.UnknownKindOfWork);
  const team = configuration.teams.find(({ name }) => name === submission.team);
  if (team === undefined) return refuse(NotRunReason.UnknownTeam);
  if (!situation.isCapableWorkerKnown(kindOfWork)) {
    return refuse(NotRunReason.NoCapableWorker);
  }
  const tasks = submission.tasks.length;
  if (situation.teamTasksInFlight + tasks > team.maximumTasksInFlight) {
    return refuse(NotRunReason.QuotaExceeded, QUEUE_FULL_RETRY_MILLISECONDS);
  }
  const { maximumQueuedTasks } = configuration.limits;
  if (situation.queuedTasks + tasks > maximumQueuedTasks) {
    return refuse(NotRunReason.QueueFull, QUEUE_FULL_RETRY_MILLISECONDS);
  }
  const lateness = expectedLateness(submission, {
    drain: situation.drainOf(kindOfWork),
    remainingMilliseconds: situation.remainingMilliseconds,
  });
  if (lateness > 0) {
    const retryAfter = Math.max(lateness, SHORTEST_RETRY_MILLISECONDS);
    return refuse(NotRunReason.DeadlineUnreachable, Math.ceil(retryAfter));
  }
  return { kind: AdmissionKind.Admitted, kindOfWork };
}

/**
 * Returns by how much a submission is expected to miss its deadline; not positive when it should meet
 * it. Of each submission before it, no more than its own number of tasks is served first.
 */
function expectedLateness(
  submission: Submission,
  { drain, remainingMilliseconds }: {
    readonly drain: DrainEstimate;
    readonly remainingMilliseconds: Milliseconds;
  },
): Milliseconds {
  const tasks = submission.tasks.length;
  const { waitingTasks, waitingSubmissions, slots, runMilliseconds } = drain;
  const tasksAhead = Math.min(waitingTasks, waitingSubmissions * tasks);
  if (tasksAhead === 0) return 0;
  const expected = (tasksAhead + tasks) * runMilliseconds / Math.max(1, slots);
  return expected - remainingMilliseconds * USABLE_SHARE_OF_DEADLINE;
}

function refuse(
  reason: NotRunReason,
  retryAfterMilliseconds?: Milliseconds,
): Refused {
  const refused = { kind: AdmissionKind.Refused as const, reason };
  return retryAfterMilliseconds === undefined
    ? refused
    : { ...refused, retryAfterMilliseconds };
}
