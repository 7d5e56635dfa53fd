/**
 * Calls to the worker that are not answered yet.
 */
import {
  jobTaskKey,
  type Milliseconds,
  type RunReference,
  type WorkerCallKind,
} from "@eelgrassfront/model";

/** A call to the worker that is not answered yet. */
export interface PendingCall {
  readonly kind: WorkerCallKind;
  /** The run to start or stop. */
  readonly run?: RunReference;
  readonly sentAt: Milliseconds;
  /** For a poll: number of the last end that it acknowledges. */
  readonly endCursor?: number;
}

/** Returns a map key for a run. */
export function runKey({ task, run }: RunReference): string {
  return `${jobTaskKey(task)} ${run}`;
}
