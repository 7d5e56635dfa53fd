/**
 * Handles the requests of entries to a sidecar: sessions, task attempts and load watches.
 */
import {
  type FleetDirectory,
  mergeEvacuations,
} from "@eelgrassfront/directory";
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
  meetsRequirements,
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
import { RunPhase, type WorkerRun } from "./worker_run.ts";
import type { LoadWatches } from "./load_watches.ts";
import type { RunController } from "./run_controller.ts";
import { notStarted } from "./run_settlement.ts";
import type { RunTable, RunWaiter } from "./run_table.ts";
import type { SuspectRuns } from "./suspect_runs.ts";
import type { WorkerLink } from "./worker_link.ts";

/** Collaborators of an `EntryRequestHandler`. */
export interface EntryRequestHandlerOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly sessions: EntrySessions;
  readonly link: WorkerLink;
  readonly table: RunTable;
  readonly runController: RunController;
  readonly watches: LoadWatches;
  readonly suspectRuns: SuspectRuns;
  readonly load: (entry: ProcessIdentifier) => WorkerLoad | undefined;
  readonly directory: FleetDirectory;
  readonly isDraining: () => boolean;
  /** Whether the operators have evacuated the zone. */
  readonly isEvacuated: () => boolean;
}

/** Handles and answers requests of entries. */
export class EntryRequestHandler {
  readonly #options: EntryRequestHandlerOptions;

  constructor(options: EntryRequestHandlerOptions) {
    this.#options = options;
  }

  /** Handles any request except an exchange of fleet state. */
  handle(
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
        this.#cancelAttempt(waiter, message);
        return;
      case DispatchRequestKind.WatchLoad:
        this.#options.watches.add(from, { ...message, request });
        return;
      case DispatchRequestKind.ReportCrash:
      case DispatchRequestKind.ClaimJob:
      case DispatchRequestKind.YieldJob:
      case DispatchRequestKind.LocateJob:
      case DispatchRequestKind.CancelHeldJob:
        this.#reply(from, request, { kind: DispatchReplyKind.Misdirected });
        return;
      default:
        assertNever(message);
    }
  }

  #openSession(
    { from, request }: RunWaiter,
    { givenUp }: OpenSession,
  ): void {
    const open = this.#options.sessions.find(from);
    if (open !== undefined && open <= givenUp) {
      this.#options.sessions.end(from);
      this.stopRuns(from, SessionEndReason.GivenUp);
    }
    const isFree = this.#options.table.all().every(({ entry }) =>
      processName(entry) !== processName(from)
    );
    const isReady = isFree && this.#isWorkerKnown();
    const session = this.#options.sessions.find(from) ??
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
        "opened a session",
        {
          context: { entry: from, session },
        },
      );
    }
    this.#grant(from, request, session);
  }

  #renewSession(
    { from, request }: RunWaiter,
    message: RenewSession,
  ): void {
    const { collector, sessions, link, directory } = this.#options;
    mergeEvacuations(message.evacuations, directory, collector);
    const { session, knownWorker, knownProfile, knownRevision } = message;
    if (!sessions.renew(collector.now, from, message)) {
      this.#reply(from, request, { kind: DispatchReplyKind.SessionPending });
      return;
    }
    const load = this.#options.load(from);
    const worker = link.description?.incarnation.id;
    const isProfileKnown = worker === knownWorker &&
      link.profileRevision === knownProfile;
    if (load === undefined || !isProfileKnown) {
      this.#grant(from, request, session);
      return;
    }
    this.#reply(from, request, {
      kind: DispatchReplyKind.SessionRenewed,
      session,
      clock: Math.floor(collector.now),
      ...(load.revision === knownRevision ? {} : { load }),
    });
  }

  #grant(
    to: ProcessIdentifier,
    request: RequestIdentifier,
    session: number,
  ): void {
    const load = this.#options.load(to);
    const { description, profileRevision: revision } = this.#options.link;
    this.#reply(to, request, {
      kind: DispatchReplyKind.SessionGranted,
      session,
      clock: Math.floor(this.#options.collector.now),
      ...(description === undefined
        ? {}
        : { profile: profileOf(description, revision) }),
      ...(load === undefined ? {} : { load }),
    });
  }

  #runTask(
    { from, request }: RunWaiter,
    message: RunTask,
  ): void {
    const waiter = { from, request };
    this.#options.sessions.countRequest(from, message.session);
    this.#options.watches.endOffer(from);
    const known = this.#options.table.find(message.task);
    const isRepeated = known?.entry === from &&
      known.attempt === message.attempt && known.session === message.session;
    if (isRepeated) {
      known.request = request;
      return;
    }
    const settled = this.#options.table.settlementOf(from, message);
    if (settled !== undefined) {
      this.#options.table.sendSettlement(waiter, settled);
      return;
    }
    const reason = this.#findRefusal(from, message, known);
    if (reason === undefined) {
      this.#options.table.add(waiter, message);
      return;
    }
    this.#options.table.sendSettlement(waiter, {
      kind: SettlementKind.NotStarted,
      reason,
    });
  }

  #findRefusal(
    from: ProcessIdentifier,
    message: RunTask,
    known: WorkerRun | undefined,
  ): NotStartedReason | undefined {
    const { session, resources, requirements } = message;
    const { description } = this.#options.link;
    const isStale = this.#options.sessions.find(from) !== session ||
      known !== undefined;
    if (isStale) return NotStartedReason.StaleSession;
    if (this.#options.isDraining()) return NotStartedReason.Leaving;
    if (this.#options.isEvacuated()) return this.evacuationReason(from);
    if (description === undefined || !this.#options.link.isConfirmed) {
      return NotStartedReason.NoWorker;
    }
    if (description.phase === WorkerPhase.Draining) {
      return NotStartedReason.Draining;
    }
    if (this.#options.link.isUnresponsive) {
      return NotStartedReason.WorkerUnresponsive;
    }
    if (!meetsRequirements(description, requirements)) {
      return NotStartedReason.UnsuitableWorker;
    }
    if (!isWithin(resources, description.capacity)) {
      return NotStartedReason.ExceedsCapacity;
    }
    if (this.#options.suspectRuns.isRefused(message)) {
      return NotStartedReason.Reserved;
    }
    return this.#options.table.hasCapacityFor(description.capacity, resources)
      ? undefined
      : NotStartedReason.InsufficientCapacity;
  }

  /**
   * The reason by which an entry is told that the zone is evacuated. An entry of an earlier version would reject the
   * reply as invalid, and send the task again and again.
   */
  evacuationReason(entry: ProcessIdentifier): NotStartedReason {
    return this.#options.sessions.knowsEvacuations(entry)
      ? NotStartedReason.ZoneEvacuated
      : NotStartedReason.Draining;
  }

  #cancelAttempt(
    { from, request }: RunWaiter,
    { session, task, attempt }: CancelTaskAttempt,
  ): void {
    this.#reply(from, request, {
      kind: DispatchReplyKind.CancellationAcknowledged,
    });
    const { table } = this.#options;
    const run = table.find(task);
    const isSameAttempt = run?.entry === from && run.session === session &&
      run.attempt === attempt;
    if (isSameAttempt) {
      this.#stopRun(run, InterruptionReason.Cancelled);
      return;
    }
    const reference = { task, attempt };
    if (table.settlementOf(from, reference) !== undefined) return;
    // The request to run the task may arrive later, over another connection.
    const settlement = notStarted(NotStartedReason.Cancelled);
    table.recordSettlement(from, reference, settlement);
  }

  #stopRun(run: WorkerRun, reason: InterruptionReason): void {
    if (run.state.phase !== RunPhase.Waiting) {
      this.#options.runController.stop(run, reason);
      return;
    }
    this.#options.table.settle(run, notStarted(NotStartedReason.Cancelled));
  }

  /** Stops the runs of an entry whose session has ended. */
  stopRuns(entry: ProcessIdentifier, reason: SessionEndReason): void {
    const runs = this.#options.table.all().filter((run) => run.entry === entry);
    this.#options.watches.remove(entry);
    this.#options.collector.count(Counter.SessionsEnded, reason);
    this.#options.collector.record(
      EventNumber.SessionEnded,
      "a session ended; its runs are stopped",
      { context: { entry, reason, runs: runs.length } },
    );
    for (const run of runs) this.#stopRun(run, InterruptionReason.SessionEnded);
  }

  /**
   * Whether the active runs at the worker are known, or no run can be left there. A worker that has not
   * reported yet may still execute runs that an earlier incarnation of this sidecar started, until their
   * lease has expired.
   */
  #isWorkerKnown(): boolean {
    const { collector, link, table, runController } = this.#options;
    if (link.description !== undefined) return runController.isReconciled;
    return table.size === 0 && collector.now >= link.previousLeaseExpiresAt;
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

function profileOf(
  description: WorkerDescription,
  revision: number,
): WorkerProfile {
  const { incarnation, service, labels, capacity } = description;
  return { revision, worker: incarnation.id, service, labels, capacity };
}
