/**
 * A call to the worker that has not been answered.
 */
import {
  jobTaskKey,
  type Milliseconds,
  type RunReference,
  type WorkerCallKind,
} from "@eelgrassfront/model";

/** What must be known of a call when its answer comes. */
export interface PendingCall {
  readonly kind: WorkerCallKind;
  /** The run that it starts or stops. */
  readonly run?: RunReference;
  readonly sentAt: Milliseconds;
  /** Ends that it noted, for a list of runs. */
  readonly noted?: number;
}

/** Text that names a run, for maps. */
export function runKey({ task, run }: RunReference): string {
  return `${jobTaskKey(task)} ${run}`;
}
