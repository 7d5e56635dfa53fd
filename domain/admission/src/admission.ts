/**
 * Which jobs an owner takes in. A refusal is cheap and true: it is decided before anything is placed.
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
  /** Whether some worker could run the tasks at all. */
  readonly isCapableWorkerKnown: (kindOfWork: KindOfWork) => boolean;
}

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
  return { kind: AdmissionKind.Admitted, kindOfWork };
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
