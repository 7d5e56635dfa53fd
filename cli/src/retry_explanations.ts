/**
 * Explanations of the reasons why runners refuse tasks and why requests are retried, as metrics show them.
 */
import { RetryReason, TaskRefusalReason } from "@eelgrassfront/model";
import type { Explanation } from "./explanation.ts";

/** Reasons why a runner did not start a task. Each proves that the attempt never starts. */
export const TASK_REFUSAL_EXPLANATIONS: Readonly<
  Record<TaskRefusalReason, Explanation>
> = {
  [TaskRefusalReason.Fenced]: {
    meaning: "The request came from an owner that a newer one has replaced.",
    action: "Nothing; it is expected after a takeover.",
  },
  [TaskRefusalReason.QueueFull]: {
    meaning: "The runner's queue is full.",
    action: "Add backend servers, or raise queued_tasks under [runner].",
  },
  [TaskRefusalReason.SlotTaken]: {
    meaning: "The slot that an owner wanted to borrow is no longer free.",
    action: "Nothing; the task stays in the owner's queue.",
  },
  [TaskRefusalReason.Leaving]: {
    meaning: "The sidecar is being drained.",
    action: "Nothing; the owner places the task elsewhere.",
  },
  [TaskRefusalReason.Isolated]: {
    meaning:
      "The sidecar has neither read the log nor received messages from a majority for a lease term.",
    action: "Check the network between the sidecar, the log and its peers.",
  },
  [TaskRefusalReason.DeadlinePassed]: {
    meaning: "The deadline passed while the task waited at the runner.",
    action: "Add backend servers if it continues.",
  },
  [TaskRefusalReason.Cancelled]: {
    meaning: "The owner cancelled the task before it started.",
    action: "Nothing.",
  },
  [TaskRefusalReason.BackendServerUnavailable]: {
    meaning: "The backend server of the sidecar does not respond.",
    action:
      "Check the backend server; its sidecar announces it again once it responds.",
  },
  [TaskRefusalReason.TaskAlreadyRecorded]: {
    meaning: "The runner has a start record of an earlier attempt of the task.",
    action: "Nothing; this prevents a second start of the task.",
  },
};

/** Reasons why a request or a task was retried. */
export const RETRY_EXPLANATIONS: Readonly<Record<RetryReason, Explanation>> = {
  [RetryReason.OwnerChanged]: {
    meaning: "The shard has a new owner, and the request was sent again to it.",
    action: "Nothing; it is expected after a takeover or a drain.",
  },
  [RetryReason.OwnerLost]: {
    meaning: "The connection to the owner was lost.",
    action: "Check the owner if it continues for longer than a takeover.",
  },
  [RetryReason.RunnerRefused]: {
    meaning: "A runner refused the task, and it was rescheduled.",
    action: "Check tasks.refused by reason.",
  },
  [RetryReason.RunnerConnectionLost]: {
    meaning:
      "The connection to a runner was lost, and the request was sent to it again.",
    action: "Check the runner if it continues.",
  },
};
