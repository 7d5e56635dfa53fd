/**
 * What the end or the refusal of a task says of its runner's health.
 */
import {
  type TaskEnd,
  TaskEndKind,
  TaskRefusalReason,
} from "@eelgrassfront/model";
import { PlacementOutcome } from "@eelgrassfront/placement";

/** What the end of a task says of its runner. */
export function outcomeOfEnd(end: TaskEnd): PlacementOutcome {
  switch (end.kind) {
    case TaskEndKind.Succeeded:
      return PlacementOutcome.Succeeded;
    case TaskEndKind.Failed:
    case TaskEndKind.Lost:
      return PlacementOutcome.Failed;
  }
}

/** What a refusal says of the runner. */
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
