/**
 * What entries ask of a sidecar: sessions, attempts at tasks, and its load.
 */
import {
  assertNever,
  type CancelTaskAttempt,
  Counter,
  type DispatchOutput,
  type DispatchReply,
  DispatchReplyKind,
  type DispatchRequest,
  DispatchRequestKind,
  EventNumber,
  type ExchangeFleetState,
  InterruptionReason,
  isWithin,
  NotStartedReason,
  type OpenSession,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  processName,
  type RenewSession,
  type RequestIdentifier,
  type RunTask,
  SessionEndReason,
  SettlementKind,
  type WorkerDescription,
  type WorkerLoad,
  WorkerPhase,
  type WorkerProfile,
} from "@eelgrassfront/model";
import type { EntrySessions } from "./entry_sessions.ts";
import { type GuardedRun, RunPhase } from "./guarded_run.ts";
import type { LoadWatches } from "./load_watches.ts";
import type { RunConversation } from "./run_conversation.ts";
import { notStarted } from "./run_settlement.ts";
import type { RunTable, RunWaiter } from "./run_table.ts";
import type { WorkerLink } from "./worker_link.ts";

/** What the requests need. */
export interface EntryRequestsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly sessions: EntrySessions;
  readonly link: WorkerLink;
  readonly table: RunTable;
  readonly conversation: RunConversation;
  readonly watches: LoadWatches;
  readonly load: (entry: ProcessIdentifier) => WorkerLoad | undefined;
  readonly isLeaving: () => boolean;
}

/** Answers the requests of entries. */
export class EntryRequests {
  readonly #options: EntryRequestsOptions;

  constructor(options: EntryRequestsOptions) {
    this.#options = options;
  }

  /** Takes a request that concerns the worker. */
  take(
    waiter: RunWaiter,
    message: Exclude<DispatchRequest, ExchangeFleetState>,
  ): void {
    const { from, request } = waiter;
    switch (message.kind) {
      case DispatchRequestKind.OpenSession:
        this.#openSession(waiter, message);
        return;
      case DispatchRequestKind.RenewSession:
        this.#renewSession(waiter, message);
        return;
      case DispatchRequestKind.RunTask:
        this.#runTask(waiter, message);
        return;
      case DispatchRequestKind.CancelTaskAttempt:
        this.#takeBack(waiter, message);
        return;
      case DispatchRequestKind.WatchLoad:
        this.#options.watches.add(from, { ...message, request });
        return;
      default:
        assertNever(message);
    }
  }

  #openSession(
    { from, request }: RunWaiter,
    { givenUp }: OpenSession,
  ): void {
    const open = this.#options.sessions.of(from);
    if (open !== undefined && open <= givenUp) {
      this.#options.sessions.end(from);
      this.endWork(from, SessionEndReason.GivenUp);
    }
    const isFree = this.#options.table.all().every(({ entry }) =>
      processName(entry) !== processName(from)
    );
    const isReady = isFree && this.#isWorkerKnown();
    const session = this.#options.sessions.of(from) ??
      (isReady
        ? this.#options.sessions.open(this.#options.collector.now, from)
        : undefined);
    if (session === undefined) {
      this.#reply(from, request, { kind: DispatchReplyKind.SessionPending });
      return;
    }
    if (session !== open) {
      this.#options.collector.record(
        EventNumber.SessionOpened,
        "a session was opened",
        {
          context: { entry: from, session },
        },
      );
    }
    this.#grant(from, request, session);
  }

  #renewSession(
    { from, request }: RunWaiter,
    { session }: RenewSession,
  ): void {
    const { now } = this.#options.collector;
    if (this.#options.sessions.renew(now, from, session)) {
      this.#grant(from, request, session);
      return;
    }
    this.#reply(from, request, { kind: DispatchReplyKind.SessionPending });
  }

  #grant(
    to: ProcessIdentifier,
    request: RequestIdentifier,
    session: number,
  ): void {
    const load = this.#options.load(to);
    const { description } = this.#options.link;
    this.#reply(to, request, {
      kind: DispatchReplyKind.SessionGranted,
      session,
      ...(description === undefined ? {} : { profile: profileOf(description) }),
      ...(load === undefined ? {} : { load }),
    });
  }

  #runTask(
    { from, request }: RunWaiter,
    message: RunTask,
  ): void {
    const waiter = { from, request };
    this.#options.sessions.countRequest(from, message.session);
    const known = this.#options.table.find(message.task);
    const isRepeated = known?.entry === from &&
      known.attempt === message.attempt && known.session === message.session;
    if (isRepeated) {
      known.request = request;
      return;
    }
    const settled = this.#options.table.settlementOf(from, message);
    if (settled !== undefined) {
      this.#options.table.reply(waiter, settled);
      return;
    }
    const reason = this.#reasonNotToRun(from, message, known);
    if (reason === undefined) {
      this.#options.table.add(waiter, message);
      return;
    }
    this.#options.table.reply(waiter, {
      kind: SettlementKind.NotStarted,
      reason,
    });
  }

  #reasonNotToRun(
    from: ProcessIdentifier,
    { session, resources }: RunTask,
    known: GuardedRun | undefined,
  ): NotStartedReason | undefined {
    const { description } = this.#options.link;
    const isStale = this.#options.sessions.of(from) !== session ||
      known !== undefined;
    if (isStale) return NotStartedReason.StaleSession;
    if (this.#options.isLeaving()) return NotStartedReason.Leaving;
    if (description === undefined || !this.#options.link.isConfirmed) {
      return NotStartedReason.NoWorker;
    }
    if (description.phase === WorkerPhase.Draining) {
      return NotStartedReason.Draining;
    }
    if (this.#options.link.isSilent) return NotStartedReason.WorkerUnresponsive;
    if (!isWithin(resources, description.capacity)) {
      return NotStartedReason.ExceedsCapacity;
    }
    return this.#options.table.hasRoom(description.capacity, resources)
      ? undefined
      : NotStartedReason.InsufficientCapacity;
  }

  #takeBack(
    { from, request }: RunWaiter,
    { session, task, attempt }: CancelTaskAttempt,
  ): void {
    this.#reply(from, request, {
      kind: DispatchReplyKind.CancellationAcknowledged,
    });
    const run = this.#options.table.find(task);
    const isMeant = run?.entry === from && run.session === session &&
      run.attempt === attempt;
    if (isMeant) this.#end(run, InterruptionReason.Cancelled);
  }

  #end(run: GuardedRun, reason: InterruptionReason): void {
    if (run.state.phase !== RunPhase.Waiting) {
      this.#options.conversation.stop(run, reason);
      return;
    }
    this.#options.table.settle(run, notStarted(NotStartedReason.Cancelled));
  }

  /** Stops the work of an entry whose session has ended. */
  endWork(entry: ProcessIdentifier, reason: SessionEndReason): void {
    const runs = this.#options.table.all().filter((run) => run.entry === entry);
    this.#options.watches.forget(entry);
    this.#options.collector.count(Counter.SessionsEnded, reason);
    this.#options.collector.record(
      EventNumber.SessionEnded,
      "a session ended; its work is stopped",
      { context: { entry, reason, runs: runs.length } },
    );
    for (const run of runs) this.#end(run, InterruptionReason.SessionEnded);
  }

  /**
   * Whether it is known what runs at the worker, or that nothing can be left there. A worker that has not
   * reported yet may still run what an earlier run of this process started, until its lease has lapsed.
   */
  #isWorkerKnown(): boolean {
    const { collector, link, table, conversation } = this.#options;
    if (link.description !== undefined) return conversation.isCensusTaken;
    return table.size === 0 && collector.now >= link.earlierLeaseLapsesAt;
  }

  #reply(
    to: ProcessIdentifier,
    request: RequestIdentifier,
    message: DispatchReply,
  ): void {
    this.#options.collector.add({
      kind: OutputKind.SendReply,
      to,
      request,
      message,
    });
  }
}

function profileOf(description: WorkerDescription): WorkerProfile {
  const { incarnation, service, labels, capacity } = description;
  return { worker: incarnation.id, service, labels, capacity };
}
