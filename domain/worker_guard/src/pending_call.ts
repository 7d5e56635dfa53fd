/**
 * Calls to the worker that are not answered yet.
 */
import {
  jobTaskKey,
  type Milliseconds,
  type OutputCollector,
  type RequestIdentifier,
  type RunReference,
  type WorkerCall,
  type WorkerCallKind,
} from "@eelgrassfront/model";
import type { WorkerLink } from "./worker_link.ts";

/** A call to the worker that is not answered yet. */
export interface PendingCall {
  readonly kind: WorkerCallKind;
  /** The run to start or stop. */
  readonly run?: RunReference;
  readonly sentAt: Milliseconds;
  readonly fencingToken: number;
}

/** Collaborators of `PendingCalls`. */
export interface PendingCallsOptions {
  readonly collector: Pick<OutputCollector<unknown>, "now">;
  readonly link: WorkerLink;
}

/** Sends calls to the worker and keeps them until they are answered. */
export class PendingCalls {
  readonly #options: PendingCallsOptions;
  readonly #calls = new Map<RequestIdentifier, PendingCall>();

  constructor(options: PendingCallsOptions) {
    this.#options = options;
  }

  /** Sends a call. Returns its identifier; undefined when no worker is known. */
  send(
    call: WorkerCall,
    context: Pick<PendingCall, "run"> = {},
  ): RequestIdentifier | undefined {
    const { collector, link } = this.#options;
    const { fencingToken } = link;
    const identifier = link.call(call);
    if (identifier === undefined) return undefined;
    const { kind } = call;
    const { run } = context;
    const sentAt = collector.now;
    this.#calls.set(
      identifier,
      run === undefined
        ? { kind, sentAt, fencingToken }
        : { kind, run, sentAt, fencingToken },
    );
    return identifier;
  }

  /** Removes and returns an answered call; undefined for a call of an earlier incarnation of the worker. */
  take(identifier: RequestIdentifier): PendingCall | undefined {
    const call = this.#calls.get(identifier);
    this.#calls.delete(identifier);
    return call;
  }

  /** Forgets all calls. */
  clear(): void {
    this.#calls.clear();
  }
}

/** Returns a map key for a run. */
export function runKey({ task, run }: RunReference): string {
  return `${jobTaskKey(task)} ${run}`;
}
