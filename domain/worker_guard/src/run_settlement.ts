/**
 * Derives the settlement of an attempt from the end of its run.
 */
import {
  assertNever,
  type CrashProof,
  InterruptionReason,
  type Milliseconds,
  type NotStartedReason,
  RunEndKind,
  SettlementKind,
  type TaskSettlement,
} from "@eelgrassfront/model";
import { RunPhase, type WorkerRun } from "./worker_run.ts";

/** The settlement of an attempt whose run ended in the given way. */
export function settlementOf(
  { state }: WorkerRun,
  kind: RunEndKind,
  now: Milliseconds,
): TaskSettlement {
  const startedAt = state.phase === RunPhase.Running ? state.startedAt : now;
  const runMilliseconds = now - startedAt;
  switch (kind) {
    case RunEndKind.Completed:
      return { kind: SettlementKind.Completed, runMilliseconds };
    case RunEndKind.Failed:
      return { kind: SettlementKind.Failed, runMilliseconds };
    case RunEndKind.LeaseExpired:
      return interrupted(InterruptionReason.LeaseExpired);
    case RunEndKind.Stopped:
      return interrupted(
        state.phase === RunPhase.Stopping
          ? state.reason
          : InterruptionReason.WorkerLost,
      );
    default:
      return assertNever(kind);
  }
}

/** The settlement of an attempt that was stopped. */
export function interrupted(reason: InterruptionReason): TaskSettlement {
  return { kind: SettlementKind.Interrupted, reason };
}

/** The settlement of an attempt that may have crashed its worker. */
export function crashed(proof: CrashProof): TaskSettlement {
  return {
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.WorkerCrashed,
    proof,
  };
}

/** The settlement of an attempt that did not start and never will start. */
export function notStarted(reason: NotStartedReason): TaskSettlement {
  return { kind: SettlementKind.NotStarted, reason };
}
