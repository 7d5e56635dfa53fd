/**
 * Order of waiting work, by which capacity is given and refused. Entries order their queues by it, and sidecars
 * the entries to which they offer freed capacity. When capacity is insufficient, the work that is delayed is thus
 * the work that costs callers least.
 */
import { assertNever, type Milliseconds } from "@eelgrassfront/model";

/** What can still become of waiting work. */
export enum Prospect {
  /** Can meet its objective. */
  InTime = "in-time",
  /** Can no longer meet its objective but can end before its deadline. */
  Late = "late",
  /** Can no longer end before its deadline. */
  Hopeless = "hopeless",
}

/** Times that decide the prospect of waiting work. */
export interface WorkTimes {
  /** Latest start that meets the objective. */
  readonly startBy: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly expectedRunMilliseconds: Milliseconds;
}

/** Properties of waiting work that decide its place in the order. */
export interface Urgency {
  /** Priority of the kind of work; 0 is the most urgent. */
  readonly priority: number;
  /** Whether a part of the work was placed, so that its caller waits only for the rest. */
  readonly hasStarted: boolean;
  /** Whether the work can no longer meet its objective. */
  readonly isLate: boolean;
  /** Work that is still needed for each caller, in millicores times milliseconds. */
  readonly workPerCaller: number;
  /** Latest start that meets the objective. */
  readonly startBy: Milliseconds;
}

/** Returns what can still become of work that has not started. */
export function prospectOf(
  { startBy, deadlineAt, expectedRunMilliseconds }: WorkTimes,
  now: Milliseconds,
): Prospect {
  if (now + expectedRunMilliseconds > deadlineAt) return Prospect.Hopeless;
  return now > startBy ? Prospect.Late : Prospect.InTime;
}

/** Returns whether waiting work of which nothing has started is refused, now that its prospect is known. */
export function isRefused(prospect: Prospect): boolean {
  switch (prospect) {
    case Prospect.InTime:
      return false;
    // Late work that waits on takes capacity from work that is still in time, for a fraction of its value.
    case Prospect.Late:
    case Prospect.Hopeless:
      return true;
    default:
      return assertNever(prospect);
  }
}

/** Compares waiting work; the result is negative when the left one is served first. */
export function compareUrgency(left: Urgency, right: Urgency): number {
  return left.priority - right.priority ||
    Number(right.hasStarted) - Number(left.hasStarted) ||
    Number(left.isLate) - Number(right.isLate) ||
    compareNeed(left, right) ||
    left.startBy - right.startBy;
}

/** Work that has started is completed in the order of its objectives, whatever it needs. */
function compareNeed(left: Urgency, right: Urgency): number {
  return left.hasStarted ? 0 : left.workPerCaller - right.workPerCaller;
}
