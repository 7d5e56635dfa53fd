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
  type Team,
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
export interface AdmissionContext {
  readonly configuration: Configuration;
  /** Tasks waiting at this owner. */
  readonly queuedTasks: number;
  /** Tasks of the submission's team that are waiting or running at this owner. */
  readonly teamTasksInFlight: number;
  /** Share of all submissions that reach this owner, from 0 to 1. */
  readonly quotaShare: number;
  /** Time that remains until the submission's deadline. */
  readonly remainingMilliseconds: Milliseconds;
  /** What the queue says of this submission's team and kind of work. */
  readonly estimateDrain: (kindOfWork: KindOfWork) => DrainEstimate;
  /** Whether some worker could run the tasks at all. */
  readonly isCapableWorkerKnown: (kindOfWork: KindOfWork) => boolean;
}

/** How fast waiting work of a submission's team and kind is expected to drain. */
export interface DrainEstimate {
  /** Tasks of the team and kind that wait. */
  readonly waitingTasks: number;
  /** Submissions of the team and kind with waiting tasks. */
  readonly waitingSubmissions: number;
  /** Slots that this owner can expect for all work of the service. */
  readonly slots: number;
  /** Share of them that the team's work of this kind has now, from 0 to 1. */
  readonly share: number;
  /** Learnt run time of a task. */
  readonly runMilliseconds: Milliseconds;
}

/** Share of the deadline within which the tasks of a submission must be expected to start. */
const USABLE_SHARE_OF_DEADLINE = 0.25;
const SHORTEST_RETRY_MILLISECONDS: Milliseconds = 1_000;
const QUEUE_FULL_RETRY_MILLISECONDS: Milliseconds = 1_000;

/** Decides on a job. */
export function decideAdmission(
  submission: Submission,
  situation: AdmissionContext,
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
  if (isOverQuota(tasks, team, situation)) {
    return refuse(NotRunReason.QuotaExceeded, QUEUE_FULL_RETRY_MILLISECONDS);
  }
  const { maximumQueuedTasks } = configuration.limits;
  if (situation.queuedTasks + tasks > maximumQueuedTasks) {
    return refuse(NotRunReason.QueueFull, QUEUE_FULL_RETRY_MILLISECONDS);
  }
  return refuseLate(submission, situation.estimateDrain(kindOfWork), {
    remainingMilliseconds: situation.remainingMilliseconds,
  }) ?? { kind: AdmissionKind.Admitted, kindOfWork };
}

/**
 * Whether a job would take its team over the quota. Each owner holds the team to its share of the quota,
 * since it knows only its own jobs; a team that has nothing under way here may have one job of any size
 * within the whole quota, so that the owners together exceed it by at most one job each.
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

/** Refuses what is expected to miss its deadline, and says whether its share or the whole fleet is at fault. */
function refuseLate(
  submission: Submission,
  drain: DrainEstimate,
  { remainingMilliseconds }: { readonly remainingMilliseconds: Milliseconds },
): Refused | undefined {
  const usable = remainingMilliseconds * USABLE_SHARE_OF_DEADLINE;
  const work = expectedWork(submission, drain);
  const lateness = work / Math.max(1, drain.slots * drain.share) - usable;
  if (lateness <= 0) return undefined;
  const isLateAnyway = work / Math.max(1, drain.slots) > usable;
  return refuse(
    isLateAnyway
      ? NotRunReason.DeadlineUnreachable
      : NotRunReason.ShareExceeded,
    Math.ceil(Math.max(lateness, SHORTEST_RETRY_MILLISECONDS)),
  );
}

/**
 * Returns the run time of the tasks of a submission and of those that go before them: of each submission
 * ahead no more tasks than its own, since the least-served submission is first. Nothing ahead counts as
 * no work, since a submission that finds the queue empty has all there is to have.
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
