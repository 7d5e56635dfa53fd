/**
 * Explanations of the reasons why a job failed, was not run, or has an unknown outcome.
 */
import {
  FailureReason,
  NotRunReason,
  UnknownReason,
} from "@eelgrassfront/model";
import type { Explanation } from "./explanation.ts";

/** Why a job failed after at least one task had started. */
export const FAILURE_EXPLANATIONS: Readonly<
  Record<FailureReason, Explanation>
> = {
  [FailureReason.TaskFailed]: {
    meaning: "The backend server reported that a task failed.",
    action:
      "Read the detail, mend the task or the backend server, and submit under a new key.",
  },
  [FailureReason.DeadlineExceeded]: {
    meaning: "The deadline passed after at least one task had started.",
    action:
      "Submit under a new key with a longer deadline, or make the job smaller.",
  },
  [FailureReason.Cancelled]: {
    meaning: "The job was cancelled after at least one task had started.",
    action: "Nothing, if the cancellation was meant.",
  },
  [FailureReason.RetriesExhausted]: {
    meaning:
      "A task could not be placed within its attempts after another task had started.",
    action: "Look at tasks.refused by reason, then submit under a new key.",
  },
  [FailureReason.OwnerLeaving]: {
    meaning:
      "The owner left before the job, of which a task had started, could be finished.",
    action: "Submit under a new key if the work may be done again.",
  },
};

/** Why no task of a job started. */
export const NOT_RUN_EXPLANATIONS: Readonly<
  Record<NotRunReason, Explanation>
> = {
  [NotRunReason.QueueFull]: {
    meaning: "The owner's queue is full.",
    action:
      "Wait for the time in Retry-After, then submit under a new key; add backend servers if it lasts.",
  },
  [NotRunReason.DeadlineUnreachable]: {
    meaning: "At today's drain rate the job cannot meet its deadline.",
    action: "Submit under a new key later or with a longer deadline.",
  },
  [NotRunReason.DeadlinePassed]: {
    meaning: "The deadline passed before any task had started.",
    action: "Submit under a new key with a longer deadline.",
  },
  [NotRunReason.QuotaExceeded]: {
    meaning: "The team has as many tasks in flight as its quota allows.",
    action:
      "Wait for the team's other jobs, or raise the quota in the configuration.",
  },
  [NotRunReason.ShareExceeded]: {
    meaning:
      "The kind of work is flooding and has used its share of the queue.",
    action:
      "Wait for the time in Retry-After; other kinds of work keep their share.",
  },
  [NotRunReason.NoCapableWorker]: {
    meaning:
      "No worker of the fleet could ever run a task with these requirements.",
    action: "Lower the requirements, or add a backend server that meets them.",
  },
  [NotRunReason.RetriesExhausted]: {
    meaning: "Every attempt to place a task was refused, and none started.",
    action: "Look at tasks.refused by reason, then submit under a new key.",
  },
  [NotRunReason.UnknownKindOfWork]: {
    meaning: "The configuration in force does not name the kind of work.",
    action: "Correct the name, or publish a configuration that has it.",
  },
  [NotRunReason.UnknownTeam]: {
    meaning: "The configuration in force does not name the team.",
    action: "Correct the name, or publish a configuration that has it.",
  },
  [NotRunReason.Cancelled]: {
    meaning: "The job was cancelled before any task had started.",
    action: "Nothing, if the cancellation was meant.",
  },
  [NotRunReason.OwnerLeaving]: {
    meaning: "The owner is being drained and takes no new jobs.",
    action:
      "Submit under a new key; another owner has taken over within seconds.",
  },
};

/** Why it cannot be proved whether or how a job ran. */
export const UNKNOWN_EXPLANATIONS: Readonly<
  Record<UnknownReason, Explanation>
> = {
  [UnknownReason.StartRecordsMissing]: {
    meaning:
      "After a takeover a runner has not given its start records, so an earlier start cannot be ruled out.",
    action:
      "Submit again with the same key; send the epoch that you held when you first made the submission.",
  },
  [UnknownReason.TaskAnswerLost]: {
    meaning:
      "The backend server's answer was lost; the task may have had its effect.",
    action:
      "Check the effect at the backend server before you submit under a new key.",
  },
  [UnknownReason.OwnerUnreachable]: {
    meaning:
      "The entry could not reach the owner until the deadline had passed.",
    action: "Submit again with the same key, through any entry.",
  },
  [UnknownReason.AnswerExpired]: {
    meaning: "The job has ended, and its answer is no longer kept.",
    action:
      "Check the effect at the backend server before you submit under a new key.",
  },
};
