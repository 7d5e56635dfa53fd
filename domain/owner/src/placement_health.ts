/**
 * Classification of task ends and refusals as success or failure of the runner, for outlier ejection.
 */
import {
  type TaskEnd,
  TaskEndKind,
  TaskRefusalReason,
} from "@eelgrassfront/model";
import { PlacementOutcome } from "@eelgrassfront/placement";

/** Classifies the end of a task; a lost answer of the backend server counts as a failure. */
export function outcomeOfEnd(end: TaskEnd): PlacementOutcome {
  switch (end.kind) {
    case TaskEndKind.Succeeded:
      return PlacementOutcome.Succeeded;
    case TaskEndKind.Failed:
    case TaskEndKind.Lost:
      return PlacementOutcome.Failed;
  }
}

/** Classifies a refusal; only an unavailable backend server counts as a failure of the runner. */
export function outcomeOfRefusal(reason: TaskRefusalReason): PlacementOutcome {
  switch (reason) {
    case TaskRefusalReason.BackendServerUnavailable:
      return PlacementOutcome.Failed;
    case TaskRefusalReason.Fenced:
    case TaskRefusalReason.QueueFull:
    case TaskRefusalReason.SlotTaken:
    case TaskRefusalReason.Leaving:
    case TaskRefusalReason.Isolated:
    case TaskRefusalReason.DeadlinePassed:
    case TaskRefusalReason.Cancelled:
    case TaskRefusalReason.TaskAlreadyRecorded:
      return PlacementOutcome.Neutral;
  }
}
