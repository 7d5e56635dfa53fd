/**
 * Answers that a fake worker, or the connection to it, gives to calls.
 */
import {
  type CallWorker,
  ErrorTag,
  type Milliseconds,
  Step,
  type WorkerAnswer,
  WorkerAnswerKind,
  type WorkerRefusalReason,
} from "@eelgrassfront/model";

/** Time from a call to its answer. */
export const ANSWER_MILLISECONDS: Milliseconds = 0.5;

/** The worker refuses a call. */
export function refused(reason: WorkerRefusalReason): WorkerAnswer {
  return { kind: WorkerAnswerKind.Refused, reason };
}

/** A call gets no answer in time. */
export function unanswered({ worker }: CallWorker): WorkerAnswer {
  return {
    kind: WorkerAnswerKind.Unanswered,
    error: {
      tag: ErrorTag.TimedOut,
      step: Step.ExecuteTask,
      peer: worker,
      detail: "no answer in time",
    },
  };
}

/** The connection of a call breaks. */
export function connectionLost({ worker }: CallWorker): WorkerAnswer {
  return {
    kind: WorkerAnswerKind.Unanswered,
    error: {
      tag: ErrorTag.ConnectionLost,
      step: Step.ExecuteTask,
      peer: worker,
      detail: "the connection ended",
    },
  };
}

/** Nothing listens at the address of a call. */
export function connectionRefused({ worker }: CallWorker): WorkerAnswer {
  return {
    kind: WorkerAnswerKind.ConnectionRefused,
    error: {
      tag: ErrorTag.Unreachable,
      step: Step.ExecuteTask,
      peer: worker,
      detail: "connection refused",
    },
  };
}
