/**
 * Requests of an entry to watch the loads of workers while tasks wait. Once every worker that takes work is watched for
 * a task as urgent as the one that waits first, the links need not be looked at until a watch ends or another worker
 * takes work.
 */
import {
  DispatchRequestKind,
  type Milliseconds,
  type WaitingDemand,
} from "@eelgrassfront/model";
import { CallPurpose, type LinkCalls } from "./link_calls.ts";
import type { OpenLink, WorkerLinkState } from "./worker_link_state.ts";

/**
 * Shortest interval of load reports while jobs wait: several round trips. While there is free capacity, the
 * loads in the replies to renewals and in settlements are sufficient.
 */
const WATCH_INTERVAL_MILLISECONDS: Milliseconds = 20;

interface WatchedLoads {
  readonly priority: number;
  /** Revision of the workers that take work. */
  readonly revision: number;
}

/** Watches the loads of workers for waiting tasks. */
export class LoadWatchRequests {
  readonly #calls: LinkCalls;
  /** Every worker that takes work is watched for a task of this urgency; undefined while that is unknown. */
  #watched: WatchedLoads | undefined;

  constructor(calls: LinkCalls) {
    this.#calls = calls;
  }

  /** Returns whether the load of a worker may have to be watched for a task. */
  isDue(demand: WaitingDemand | undefined, revision: number): boolean {
    if (demand === undefined) return false;
    return this.#watched === undefined ||
      this.#watched.priority > demand.priority ||
      this.#watched.revision !== revision;
  }

  /** Records that every worker that takes work is watched for a task; undefined while none waits. */
  recordWatched(demand: WaitingDemand | undefined, revision: number): void {
    this.#watched = demand === undefined
      ? undefined
      : { priority: demand.priority, revision };
  }

  /** Ends the watch of a worker's load, which was answered or lost. */
  end(state: OpenLink): void {
    state.watch = undefined;
    this.#watched = undefined;
  }

  /** Watches the load for a waiting task, unless it is watched for one that is as urgent. */
  send(link: WorkerLinkState, state: OpenLink, demand: WaitingDemand): void {
    const { watch, load, session } = state;
    const isWatched = watch !== undefined && watch.priority <= demand.priority;
    if (isWatched || load?.isTakingWork !== true) return;
    const request = this.#calls.send(link, CallPurpose.Watch, session, {
      kind: DispatchRequestKind.WatchLoad,
      knownRevision: load.revision,
      intervalMilliseconds: WATCH_INTERVAL_MILLISECONDS,
      demand,
    });
    state.watch = { request, priority: demand.priority };
  }
}
