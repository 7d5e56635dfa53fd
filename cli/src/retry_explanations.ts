/**
 * Explanations of why runners refuse tasks and why requests are sent again. They are seen in metrics.
 */
import { RetryReason, TaskRefusalReason } from "@eelgrassfront/model";
import type { Explanation } from "./explanation.ts";

/** Why a runner did not start a task. Each is proof that the attempt never starts. */
export const TASK_REFUSAL_EXPLANATIONS: Readonly<
  Record<TaskRefusalReason, Explanation>
> = {
  [TaskRefusalReason.Fenced]: {
    meaning: "The order came from an owner that a newer one has replaced.",
    action: "Nothing; it is expected after a takeover.",
  },
  [TaskRefusalReason.QueueFull]: {
    meaning: "The runner's queue is full.",
    action: "Add backend servers, or raise queued_tasks under [runner].",
  },
  [TaskRefusalReason.SlotTaken]: {
    meaning:
      "The slot that an owner meant to borrow was taken in the meantime.",
    action: "Nothing; the task stays in the owner's queue.",
  },
  [TaskRefusalReason.Leaving]: {
    meaning: "The sidecar is being drained.",
    action: "Nothing; the owner places the task elsewhere.",
  },
  [TaskRefusalReason.Isolated]: {
    meaning:
      "The sidecar has neither read the log nor heard a majority for a lease term.",
    action: "Look at the network between the sidecar, the log and its peers.",
  },
  [TaskRefusalReason.DeadlinePassed]: {
    meaning: "The deadline passed while the task waited at the runner.",
    action: "Add backend servers if it lasts.",
  },
  [TaskRefusalReason.Cancelled]: {
    meaning: "The owner took the task back before it started.",
    action: "Nothing.",
  },
  [TaskRefusalReason.BackendServerUnavailable]: {
    meaning: "The backend server beside the sidecar does not answer.",
    action:
      "Look at the backend server; its sidecar announces it again once it answers.",
  },
  [TaskRefusalReason.TaskAlreadyRecorded]: {
    meaning: "The runner holds the record of an earlier attempt at the task.",
    action: "Nothing; it keeps the task from starting twice.",
  },
};

/** Why a request or a task was sent again. */
export const RETRY_EXPLANATIONS: Readonly<Record<RetryReason, Explanation>> = {
  [RetryReason.OwnerChanged]: {
    meaning:
      "The shard has another owner, to which the request was sent again.",
    action: "Nothing; it is expected after a takeover or a drain.",
  },
  [RetryReason.OwnerLost]: {
    meaning: "The connection to the owner was lost.",
    action: "Look at the owner if it lasts longer than a takeover.",
  },
  [RetryReason.RunnerRefused]: {
    meaning: "A runner refused the task, and it was placed again.",
    action: "Look at tasks.refused by reason.",
  },
  [RetryReason.RunnerConnectionLost]: {
    meaning:
      "The connection to a runner was lost, and the runner was asked again.",
    action: "Look at the runner if it lasts.",
  },
};
