/**
 * Test harness of the decisions on crashes: an entry with six sidecars, and the crashes of their workers.
 */
import {
  BestEffortJobState,
  type ClientAnswer,
  ClientAnswerKind,
  CrashProof,
  InterruptionReason,
  SettlementKind,
} from "@eelgrassfront/model";
import {
  CAPACITY_MILLICORES,
  DispatcherHarness,
} from "./dispatcher_harness.ts";

export const SIDECARS = ["a", "b", "c", "d", "e", "f"];
export const COMPLETED: ClientAnswer = {
  kind: ClientAnswerKind.Ended,
  state: BestEffortJobState.Completed,
};
export const FAILED: ClientAnswer = {
  kind: ClientAnswerKind.Ended,
  state: BestEffortJobState.Failed,
};

export function readyHarness(): DispatcherHarness {
  const free = SIDECARS.map((name) => [name, CAPACITY_MILLICORES] as const);
  return DispatcherHarness.ready(SIDECARS, Object.fromEntries(free));
}

/** Submits a job of one task. */
export function submit(
  harness: DispatcherHarness,
  request: number,
  id: string,
): void {
  harness.submit(request, { id, tasks: 1, millicores: 1_000 });
}

/** Crashes the workers of all runs, once for each proof. */
export function crashWorkers(
  harness: DispatcherHarness,
  ...proofs: readonly CrashProof[]
): void {
  for (const proof of proofs.length === 0 ? [CrashProof.Alone] : proofs) {
    harness.settleAll({
      kind: SettlementKind.Interrupted,
      reason: InterruptionReason.WorkerCrashed,
      proof,
    });
  }
}

/** Settles all runs as those of a worker that another task has more likely crashed. */
export function crashWorkersBeside(harness: DispatcherHarness): void {
  harness.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.BesideCrash,
  });
}

export function completeAll(harness: DispatcherHarness): void {
  harness.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 100 });
}
