/**
 * Index of the task attempts that sidecars hold, by request and by sidecar. It also sums up the resources
 * of the attempts that a sidecar's latest load report does not include yet.
 */
import {
  addResources,
  type Milliseconds,
  NO_RESOURCES,
  type RequestIdentifier,
  type Resources,
} from "@eelgrassfront/model";
import type { DispatchJob, DispatchTask } from "./dispatch_job.ts";

/** One attempt to run a task at one sidecar. */
export interface TaskAttempt {
  readonly job: DispatchJob;
  readonly task: DispatchTask;
  readonly attemptNumber: number;
  readonly address: string;
  readonly session: number;
  readonly sentAt: Milliseconds;
  /** Whether the attempt probes the present speed of a slow worker. */
  readonly isProbe: boolean;
  /** Whether the task may crash the worker and runs apart there. */
  readonly isApart: boolean;
  /** Whether a cancellation was sent, so that the settlement will follow. */
  isCancelRequested: boolean;
  request: RequestIdentifier;
  /** Position of the latest request of this attempt among the session's requests to run tasks. */
  requestPosition: number;
}

/** All attempts that are not settled, indexed by request and by sidecar address. */
export class TaskAttemptIndex {
  readonly #byRequest = new Map<RequestIdentifier, TaskAttempt>();
  readonly #byAddress = new Map<string, Set<TaskAttempt>>();
  /** By job identifier, in the order in which the attempts' latest requests were sent. */
  readonly #byJob = new Map<string, Set<TaskAttempt>>();

  /** Number of unsettled attempts. */
  get size(): number {
    return this.#byRequest.size;
  }

  /** Adds an attempt under its request and its address. */
  add(attempt: TaskAttempt): void {
    this.#byRequest.set(attempt.request, attempt);
    addTo(this.#byAddress, attempt.address, attempt);
    addTo(this.#byJob, attempt.job.id, attempt);
  }

  /** Returns the attempt that a request belongs to. */
  find(request: RequestIdentifier): TaskAttempt | undefined {
    return this.#byRequest.get(request);
  }

  /** Moves an attempt to the request that was sent in place of its former one. */
  replaceRequest(
    attempt: TaskAttempt,
    request: RequestIdentifier,
    position: number,
  ): void {
    this.#byRequest.delete(attempt.request);
    attempt.request = request;
    attempt.requestPosition = position;
    this.#byRequest.set(request, attempt);
    removeFrom(this.#byJob, attempt.job.id, attempt);
    addTo(this.#byJob, attempt.job.id, attempt);
  }

  /** Removes an attempt that was settled or lost. */
  remove(attempt: TaskAttempt): void {
    this.#byRequest.delete(attempt.request);
    this.#byAddress.get(attempt.address)?.delete(attempt);
    removeFrom(this.#byJob, attempt.job.id, attempt);
  }

  /** Returns whether a sidecar holds attempts. */
  hasAny(address: string): boolean {
    return (this.#byAddress.get(address)?.size ?? 0) > 0;
  }

  /** Returns the attempts at one sidecar. */
  atSidecar(address: string): readonly TaskAttempt[] {
    return [...this.#byAddress.get(address) ?? []];
  }

  /** Returns the attempts of all tasks of one job. */
  ofJob(job: DispatchJob): readonly TaskAttempt[] {
    return [...this.#byJob.get(job.id) ?? []].filter((attempt) =>
      attempt.job === job
    );
  }

  /** Returns whether there are attempts of tasks of a job, or of an earlier copy of it. */
  hasJob(id: string): boolean {
    return this.#byJob.has(id);
  }

  /** Resources of the attempts at a sidecar that were sent after the first `requestsTaken` requests. */
  unreportedResources(address: string, requestsTaken: number): Resources {
    let sum = NO_RESOURCES;
    const atAddress = this.#byAddress.get(address);
    if (atAddress === undefined) return sum;
    for (const attempt of atAddress) {
      if (attempt.requestPosition <= requestsTaken) continue;
      sum = addResources(sum, attempt.task.step.resources);
    }
    return sum;
  }
}

function addTo(
  index: Map<string, Set<TaskAttempt>>,
  key: string,
  attempt: TaskAttempt,
): void {
  const known = index.get(key);
  if (known === undefined) index.set(key, new Set([attempt]));
  else known.add(attempt);
}

function removeFrom(
  index: Map<string, Set<TaskAttempt>>,
  key: string,
  attempt: TaskAttempt,
): void {
  const known = index.get(key);
  known?.delete(attempt);
  if (known?.size === 0) index.delete(key);
}
