/**
 * What the reason of a settlement says of the sidecar and its worker.
 */
import {
  assertNever,
  InterruptionReason,
  NotStartedReason,
} from "@eelgrassfront/model";

/** Whether the sidecar currently accepts no tasks at all. A lack of capacity shows in its reported load. */
export function isSidecarUnavailable(reason: NotStartedReason): boolean {
  switch (reason) {
    case NotStartedReason.Cancelled:
    case NotStartedReason.InsufficientCapacity:
    case NotStartedReason.UnsuitableWorker:
      return false;
    case NotStartedReason.StaleSession:
    case NotStartedReason.Draining:
    case NotStartedReason.Leaving:
    case NotStartedReason.NoWorker:
    case NotStartedReason.ExceedsCapacity:
    case NotStartedReason.WorkerRefused:
    case NotStartedReason.WorkerUnresponsive:
    case NotStartedReason.Reserved:
    case NotStartedReason.ZoneEvacuated:
      return true;
    default:
      return assertNever(reason);
  }
}

/** Whether a run was interrupted because its worker does not work as it should. */
export function isWorkerFault(reason: InterruptionReason): boolean {
  switch (reason) {
    case InterruptionReason.NoProgress:
      return true;
    case InterruptionReason.Cancelled:
    case InterruptionReason.LeaseExpired:
    case InterruptionReason.SessionEnded:
    case InterruptionReason.WorkerLost:
    case InterruptionReason.WorkerCrashed:
    case InterruptionReason.BesideCrash:
    case InterruptionReason.SidecarLost:
      return false;
    default:
      return assertNever(reason);
  }
}
