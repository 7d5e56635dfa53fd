/**
 * Explanations of the reasons why a job failed, was not run, or has an unknown outcome.
 */
import {
  FailureReason,
  NotRunReason,
  UnknownReason,
} from "@eelgrassfront/model";
import type { Explanation } from "./explanation.ts";

/** Reasons why a job failed after at least one task had started. */
export const FAILURE_EXPLANATIONS: Readonly<
  Record<FailureReason, Explanation>
> = {
  [FailureReason.TaskFailed]: {
    meaning: "The backend server reported that a task failed.",
    action:
      "Read the detail, fix the task or the backend server, and submit with a new key.",
  },
  [FailureReason.DeadlineExceeded]: {
    meaning: "The deadline passed after at least one task had started.",
    action:
      "Submit with a new key and a longer deadline, or make the job smaller.",
  },
  [FailureReason.Cancelled]: {
    meaning: "The job was cancelled after at least one task had started.",
    action: "Nothing, if the cancellation was intended.",
  },
  [FailureReason.RetriesExhausted]: {
    meaning:
      "A task could not be placed within its attempts after another task had started.",
    action: "Check tasks.refused by reason, then submit with a new key.",
  },
  [FailureReason.OwnerLeaving]: {
    meaning:
      "The owner left before it could finish the job, of which at least one task had started.",
    action: "Submit with a new key if the work may be repeated.",
  },
};

/** Reasons why no task of a job started. */
export const NOT_RUN_EXPLANATIONS: Readonly<
  Record<NotRunReason, Explanation>
> = {
  [NotRunReason.QueueFull]: {
    meaning:
      "The owner's queue has no room for the tasks of the job, or the owner can store no more answers.",
    action:
      "Wait for the time in Retry-After, or without that header until stored answers expire, then submit with a new key; add backend servers if the queue stays full.",
  },
  [NotRunReason.DeadlineUnreachable]: {
    meaning:
      "At the current drain rate of the queue the job cannot meet its deadline.",
    action: "Submit with a new key later or with a longer deadline.",
  },
  [NotRunReason.DeadlinePassed]: {
    meaning: "The deadline passed before any task had started.",
    action: "Submit with a new key and a longer deadline.",
  },
  [NotRunReason.QuotaExceeded]: {
    meaning: "The team has as many tasks in flight as its quota allows.",
    action:
      "Wait for the team's other jobs, or raise the quota in the configuration.",
  },
  [NotRunReason.ShareExceeded]: {
    meaning:
      "With the present share of the team's work of this kind the job would start too late for its deadline; with all slots that the owner can expect it would not.",
    action:
      "Wait for the time in Retry-After; other teams and kinds of work keep their share.",
  },
  [NotRunReason.NoCapableWorker]: {
    meaning:
      "No worker of the fleet could ever run a task with these requirements.",
    action: "Lower the requirements, or add a backend server that meets them.",
  },
  [NotRunReason.RetriesExhausted]: {
    meaning: "Every attempt to place a task was refused, and none started.",
    action: "Check tasks.refused by reason, then submit with a new key.",
  },
  [NotRunReason.UnknownKindOfWork]: {
    meaning: "The configuration in force does not contain the kind of work.",
    action: "Correct the name, or publish a configuration that contains it.",
  },
  [NotRunReason.UnknownTeam]: {
    meaning: "The configuration in force does not contain the team.",
    action: "Correct the name, or publish a configuration that contains it.",
  },
  [NotRunReason.Cancelled]: {
    meaning: "The job was cancelled before any task had started.",
    action: "Nothing, if the cancellation was intended.",
  },
  [NotRunReason.OwnerLeaving]: {
    meaning: "The owner is being drained and accepts no new jobs.",
    action: "Submit with a new key; another owner takes over within seconds.",
  },
};

/** Reasons why it cannot be proved whether a job ran or how it ended. */
export const UNKNOWN_EXPLANATIONS: Readonly<
  Record<UnknownReason, Explanation>
> = {
  [UnknownReason.StartRecordsMissing]: {
    meaning:
      "After a takeover a runner has not sent its start records, so an earlier start cannot be ruled out.",
    action:
      "Submit again with the same key; send the epoch that you had when you first submitted the job.",
  },
  [UnknownReason.TaskAnswerLost]: {
    meaning:
      "The response of the backend server was lost; the task may have taken effect.",
    action:
      "Check the effect at the backend server before you submit with a new key.",
  },
  [UnknownReason.OwnerUnreachable]: {
    meaning: "The entry could not reach the owner before the deadline.",
    action: "Submit again with the same key, through any entry.",
  },
  [UnknownReason.AnswerExpired]: {
    meaning: "The job has ended, and its answer is no longer retained.",
    action:
      "Check the effect at the backend server before you submit with a new key.",
  },
};
