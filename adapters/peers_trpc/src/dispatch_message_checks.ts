/**
 * Checks of the messages of best-effort work between processes. A message that a faulty or newer peer sends in
 * another form is rejected before it reaches the state machine, where it would end the process. Unknown fields
 * are ignored, since a newer version may have sent them. The checks are written by hand because every message
 * passes here, and a schema library costs more than the rest of the decoding; they accept the same values as the
 * schemas in `dispatch_message_schema.ts`.
 */
import {
  CrashProof,
  DispatchReplyKind,
  DispatchRequestKind,
  InterruptionReason,
  NotStartedReason,
  PeerReplyKind,
  Role,
  SettlementKind,
} from "@eelgrassfront/model";
import {
  type Fields,
  fieldsOf,
  isAmount,
  isArrayOf,
  isBoolean,
  isCount,
  isInteger,
  isNonEmptyText,
  isOptional,
  isProcessIdentifier,
  isText,
} from "./field_checks.ts";

const ROLES: ReadonlySet<unknown> = new Set(Object.values(Role));
const NOT_STARTED_REASONS: ReadonlySet<unknown> = new Set(
  Object.values(NotStartedReason),
);
const CRASH_PROOFS: ReadonlySet<unknown> = new Set(Object.values(CrashProof));
const INTERRUPTION_REASONS: ReadonlySet<unknown> = new Set(
  Object.values(InterruptionReason),
);

/** Whether a value is a request between entries and sidecars. */
export function isDispatchRequest(value: unknown): boolean {
  const fields = fieldsOf(value);
  if (fields === undefined) return false;
  const kind = fields["kind"] as DispatchRequestKind;
  switch (kind) {
    case DispatchRequestKind.OpenSession:
      return isCount(fields["givenUp"]);
    case DispatchRequestKind.RenewSession:
      return isRenewal(fields);
    case DispatchRequestKind.RunTask:
      return isRunTask(fields);
    case DispatchRequestKind.CancelTaskAttempt:
      return isCount(fields["session"]) && isTask(fields["task"]) &&
        isCount(fields["attempt"]);
    case DispatchRequestKind.WatchLoad:
      return isInteger(fields["knownRevision"]) &&
        isAmount(fields["intervalMilliseconds"]) && isDemand(fields["demand"]);
    case DispatchRequestKind.ExchangeFleetState:
      return isMember(fields["sender"]) &&
        isCount(fields["configurationVersion"]) &&
        isInteger(fields["membersDigest"]) &&
        isOptional(fields["configuration"], isConfiguration) &&
        isOptional(fields["evacuationOffset"], isCount);
    case DispatchRequestKind.ReportCrash:
      return isArrayOf(fields["suspects"], isSuspect);
    case DispatchRequestKind.ClaimJob:
      return isText(fields["job"]) && isNonEmptyText(fields["address"]) &&
        isAmount(fields["ageMilliseconds"]) &&
        isAmount(fields["lifetimeMilliseconds"]);
    case DispatchRequestKind.YieldJob:
      return isText(fields["job"]) && isAmount(fields["ageMilliseconds"]);
    case DispatchRequestKind.LocateJob:
    case DispatchRequestKind.CancelHeldJob:
      return isText(fields["job"]);
    default:
      return rejectUnknown(kind);
  }
}

/** Whether a value is a reply between entries and sidecars. */
export function isDispatchReply(value: unknown): boolean {
  const fields = fieldsOf(value);
  if (fields === undefined) return false;
  const kind = fields["kind"] as
    | DispatchReplyKind
    | PeerReplyKind.IncarnationMismatch;
  switch (kind) {
    case DispatchReplyKind.SessionGranted:
      return isCount(fields["session"]) &&
        isOptional(fields["clock"], isAmount) &&
        isOptional(fields["profile"], isProfile) &&
        isOptional(fields["load"], isLoad);
    case DispatchReplyKind.SessionRenewed:
      return isCount(fields["session"]) &&
        isOptional(fields["clock"], isAmount) &&
        isOptional(fields["load"], isLoad);
    case DispatchReplyKind.TaskSettled:
      return isSettlement(fields["settlement"]) &&
        isOptional(fields["load"], isLoad);
    case DispatchReplyKind.LoadReported:
      return isOptional(fields["load"], isLoad);
    case DispatchReplyKind.FleetStateExchanged:
      return isFleetState(fields["knowledge"]);
    case DispatchReplyKind.JobLocated:
      return isHolder(fields["holder"]);
    case PeerReplyKind.IncarnationMismatch:
      return isProcessIdentifier(fields["current"]);
    case DispatchReplyKind.SessionPending:
    case DispatchReplyKind.CancellationAcknowledged:
    case DispatchReplyKind.Misdirected:
    case DispatchReplyKind.CrashNoted:
    case DispatchReplyKind.JobClaimed:
    case DispatchReplyKind.JobHeld:
    case DispatchReplyKind.JobYielded:
    case DispatchReplyKind.JobCancelled:
    case DispatchReplyKind.JobUnknown:
      return true;
    default:
      return rejectUnknown(kind);
  }
}

/** Result for a kind that a peer sent and this version does not know; the compiler checks that it knows the others. */
function rejectUnknown(_: never): false {
  return false;
}

function isRenewal(fields: Fields): boolean {
  return isCount(fields["session"]) &&
    isOptional(fields["knownWorker"], isText) &&
    isOptional(fields["knownProfile"], isCount) &&
    isOptional(fields["knownRevision"], isCount) &&
    isOptional(fields["knownClock"], isAmount) &&
    isOptional(fields["evacuations"], isEvacuationState);
}

function isEvacuationState(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isCount(fields["offset"]) &&
    isArrayOf(fields["zones"], isText);
}

function isRunTask(fields: Fields): boolean {
  return isCount(fields["session"]) && isTask(fields["task"]) &&
    isCount(fields["attempt"]) && isText(fields["content"]) &&
    isResources(fields["resources"]) &&
    isOptional(fields["requirements"], isRequirements) &&
    isAmount(fields["expectedMilliseconds"]) &&
    isOptional(fields["suspectRoute"], isText) &&
    isOptional(fields["workKind"], isText);
}

function isResources(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isAmount(fields["processorMillicores"]) &&
    isAmount(fields["memoryMegabytes"]) && isAmount(fields["accelerators"]);
}

function isTask(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isText(fields["job"]) &&
    isCount(fields["step"]) && isCount(fields["index"]);
}

function isRequirements(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isText(fields["service"]) &&
    isOptional(fields["requiredLabel"], isText);
}

function isDemand(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isResources(fields["resources"]) &&
    isAmount(fields["priority"]) && isBoolean(fields["hasStarted"]) &&
    isAmount(fields["slackMilliseconds"]) &&
    isOptional(fields["isLate"], isBoolean) &&
    isOptional(fields["workPerCaller"], isAmount);
}

function isWaitingTotal(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isAmount(fields["priority"]) &&
    isAmount(fields["millicores"]);
}

function isWaitingTotals(value: unknown): boolean {
  return isArrayOf(value, isWaitingTotal);
}

function isMember(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isProcessIdentifier(fields["process"]) &&
    ROLES.has(fields["role"]) && isNonEmptyText(fields["address"]) &&
    isText(fields["availabilityZone"]);
}

function isCrashProof(value: unknown): boolean {
  return CRASH_PROOFS.has(value);
}

function isSuspect(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isTask(fields["task"]) &&
    isOptional(fields["proof"], isCrashProof) &&
    isOptional(fields["route"], isText) &&
    isOptional(fields["workKind"], isText);
}

function isConfiguration(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isCount(fields["version"]) &&
    isArrayOf(fields["routes"], isRoute);
}

function isRoute(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isText(fields["name"]) &&
    isText(fields["host"]) && isText(fields["requestPrefix"]) &&
    isText(fields["service"]) && isOptional(fields["healthPath"], isText) &&
    isAmount(fields["priority"]) && isAmount(fields["maximumAttempts"]) &&
    isAmount(fields["slackFactor"]) &&
    isAmount(fields["latencyAllowanceMilliseconds"]);
}

function isLoad(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isCount(fields["revision"]) &&
    isText(fields["worker"]) && isResources(fields["free"]) &&
    isAmount(fields["slowness"]) && isBoolean(fields["isTakingWork"]) &&
    isCount(fields["requestsTaken"]) &&
    (fields["isCold"] === undefined || fields["isCold"] === true) &&
    isOptional(fields["waiting"], isWaitingTotals);
}

function isProfile(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isOptional(fields["revision"], isCount) &&
    isText(fields["worker"]) && isText(fields["service"]) &&
    isArrayOf(fields["labels"], isText) && isResources(fields["capacity"]);
}

function isSettlement(value: unknown): boolean {
  const fields = fieldsOf(value);
  if (fields === undefined) return false;
  const kind = fields["kind"] as SettlementKind;
  switch (kind) {
    case SettlementKind.Completed:
    case SettlementKind.Failed:
      return isAmount(fields["runMilliseconds"]);
    case SettlementKind.NotStarted:
      return NOT_STARTED_REASONS.has(fields["reason"]);
    case SettlementKind.Interrupted:
      return INTERRUPTION_REASONS.has(fields["reason"]) &&
        isOptional(fields["proof"], isCrashProof);
    default:
      return rejectUnknown(kind);
  }
}

function isFleetState(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined &&
    isOptional(fields["configuration"], isConfiguration) &&
    isOptional(fields["evacuations"], isEvacuationState) &&
    isArrayOf(fields["members"], isMember);
}

function isHolder(value: unknown): boolean {
  const fields = fieldsOf(value);
  return fields !== undefined && isProcessIdentifier(fields["process"]) &&
    isNonEmptyText(fields["address"]);
}
