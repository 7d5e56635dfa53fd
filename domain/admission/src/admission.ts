/**
 * Admission control of an owner. Admission is decided before any task is placed, so a refusal is cheap and
 * guarantees that nothing has run. A job that cannot end in time at the present drain rate is refused with
 * a retry time.
 */
import {
  type Configuration,
  type KindOfWork,
  type Milliseconds,
  NotRunReason,
  type Submission,
  type Team,
} from "@eelgrassfront/model";

/** Kinds of admission decisions. */
export enum AdmissionKind {
  Admitted = "admitted",
  Refused = "refused",
}

/** The job is admitted under the rules of its kind of work. */
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

/** The decision about a job. */
export type Admission = Admitted | Refused;

/** State of the owner and the fleet on which the decision is based. */
export interface AdmissionContext {
  readonly configuration: Configuration;
  /** Number of tasks that wait at this owner. */
  readonly queuedTasks: number;
  /** Number of the team's tasks that wait or run at this owner. */
  readonly teamTasksInFlight: number;
  /** Share of all submissions that reach this owner, from 0 to 1. */
  readonly quotaShare: number;
  /** Time until the submission's deadline. */
  readonly remainingMilliseconds: Milliseconds;
  /** Estimates how fast the waiting work of the submission's team and kind drains. */
  readonly estimateDrain: (kindOfWork: KindOfWork) => DrainEstimate;
  /** Returns whether any known worker could run the tasks. */
  readonly isCapableWorkerKnown: (kindOfWork: KindOfWork) => boolean;
}

/** Waiting work of a submission's team and kind, and the capacity that drains it. */
export interface DrainEstimate {
  /** Number of waiting tasks of the team and kind. */
  readonly waitingTasks: number;
  /** Number of submissions of the team and kind with waiting tasks. */
  readonly waitingSubmissions: number;
  /** Number of slots that this owner can expect for all work of the service. */
  readonly slots: number;
  /** Present share of these slots for the team's work of this kind, from 0 to 1. */
  readonly share: number;
  /** Estimated run time of a task. */
  readonly runMilliseconds: Milliseconds;
}

/** Share of the remaining time within which the tasks of a submission must be expected to start. */
const MAXIMUM_WAIT_SHARE = 0.25;
const MINIMUM_RETRY_MILLISECONDS: Milliseconds = 1_000;
const QUEUE_FULL_RETRY_MILLISECONDS: Milliseconds = 1_000;

/** Decides whether to admit a submission. */
export function decideAdmission(
  submission: Submission,
  context: AdmissionContext,
): Admission {
  const { configuration } = context;
  const kindOfWork = configuration.kindsOfWork.find(({ name }) =>
    name === submission.kindOfWork
  );
  if (kindOfWork === undefined) return refuse(NotRunReason.UnknownKindOfWork);
  const team = configuration.teams.find(({ name }) => name === submission.team);
  if (team === undefined) return refuse(NotRunReason.UnknownTeam);
  if (!context.isCapableWorkerKnown(kindOfWork)) {
    return refuse(NotRunReason.NoCapableWorker);
  }
  const tasks = submission.tasks.length;
  if (isOverQuota(tasks, team, context)) {
    return refuse(NotRunReason.QuotaExceeded, QUEUE_FULL_RETRY_MILLISECONDS);
  }
  const { maximumQueuedTasks } = configuration.limits;
  if (context.queuedTasks + tasks > maximumQueuedTasks) {
    return refuse(NotRunReason.QueueFull, QUEUE_FULL_RETRY_MILLISECONDS);
  }
  return refuseIfLate(submission, context.estimateDrain(kindOfWork), {
    remainingMilliseconds: context.remainingMilliseconds,
  }) ?? { kind: AdmissionKind.Admitted, kindOfWork };
}

/**
 * Whether a job would exceed its team's quota. Each owner knows only its own jobs, so it enforces its share
 * of the quota. A team without tasks in flight at this owner may have one job up to the size of the whole
 * quota; all owners together thus exceed the quota by at most one job each.
 */
function isOverQuota(
  tasks: number,
  team: Team,
  { teamTasksInFlight, quotaShare }: AdmissionContext,
): boolean {
  const quota = team.maximumTasksInFlight;
  if (teamTasksInFlight === 0) return tasks > quota;
  return teamTasksInFlight + tasks > quota * quotaShare;
}

/**
 * Refuses a submission that is expected to be late. The reason says whether the whole fleet or only the
 * team's share is too small.
 */
function refuseIfLate(
  submission: Submission,
  drain: DrainEstimate,
  { remainingMilliseconds }: { readonly remainingMilliseconds: Milliseconds },
): Refused | undefined {
  const usable = remainingMilliseconds * MAXIMUM_WAIT_SHARE;
  const work = expectedWork(submission, drain);
  const lateness = work / Math.max(1, drain.slots * drain.share) - usable;
  if (lateness <= 0) return undefined;
  const isLateOnAllSlots = work / Math.max(1, drain.slots) > usable;
  return refuse(
    isLateOnAllSlots
      ? NotRunReason.DeadlineUnreachable
      : NotRunReason.ShareExceeded,
    Math.ceil(Math.max(lateness, MINIMUM_RETRY_MILLISECONDS)),
  );
}

/**
 * Returns the run time of a submission's tasks and of the tasks that are served before them. The least-served
 * submission goes first, so each submission ahead counts with at most as many tasks as the new one has. With
 * an empty queue the result is 0: the submission then gets the whole capacity.
 */
function expectedWork(
  submission: Submission,
  { waitingTasks, waitingSubmissions, runMilliseconds }: DrainEstimate,
): Milliseconds {
  const tasks = submission.tasks.length;
  const tasksAhead = Math.min(waitingTasks, waitingSubmissions * tasks);
  return tasksAhead === 0 ? 0 : (tasksAhead + tasks) * runMilliseconds;
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
