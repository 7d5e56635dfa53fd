/**
 * Decisions of the sidecar that guards a worker. It is the only caller of the worker, so it knows what
 * runs there; it starts nothing beyond the worker's capacity, keeps the lease of what runs, ends the work
 * of entries that fall silent, and settles every attempt that it took exactly once.
 */
import {
  FleetDirectory,
  FleetStateExchange,
  handleDirectoryInput,
} from "@eelgrassfront/directory";
import {
  assertNever,
  type DispatchInput,
  DispatchInputKind,
  type DispatchOutput,
  DispatchOutputKind,
  type DispatchPeerInput,
  type DispatchRequest,
  DispatchRequestKind,
  EventNumber,
  type FleetMember,
  Gauge,
  type IncomingRequest,
  InputKind,
  InterruptionReason,
  type Milliseconds,
  NO_RESOURCES,
  NotStartedReason,
  OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  SessionEndReason,
  SettlementKind,
  Severity,
  type StateMachine,
  subtractResources,
  type WorkerDescription,
  type WorkerLoad,
  WorkerPhase,
} from "@eelgrassfront/model";
import { EntryRequests } from "./entry_requests.ts";
import { EntrySessions } from "./entry_sessions.ts";
import { RunPhase } from "./guarded_run.ts";
import { LoadWatches } from "./load_watches.ts";
import { RunConversation } from "./run_conversation.ts";
import { notStarted } from "./run_settlement.ts";
import { RunTable } from "./run_table.ts";
import { WorkerLink } from "./worker_link.ts";
import { WorkerRecall } from "./worker_recall.ts";

/** What the sidecar needs. */
export interface WorkerGuardOptions {
  readonly self: FleetMember;
  /** Addresses of processes that are asked while the store is away. */
  readonly seeds: readonly string[];
  /** Above every token of earlier runs of this process. */
  readonly firstFencingToken: number;
  /** The longest lease that the worker grants. */
  readonly leaseMilliseconds: Milliseconds;
  /** Time between the request to stop and the forced end of the process. */
  readonly graceMilliseconds: Milliseconds;
}

/** Wake-ups that show a pause of this process. */
const TICK_MILLISECONDS: Milliseconds = 200;
/** A later wake-up means that the process stood still, and that what it finds to read may be stale. */
const PAUSE_MILLISECONDS: Milliseconds = 500;
/** Part of the grace period that is left for the last answers. */
const LEAVING_RESERVE_MILLISECONDS: Milliseconds = 400;
/** Shortest time to stay after the request to stop, so that answers on their way arrive. */
const LEAVING_LINGER_MILLISECONDS: Milliseconds = 300;

/** Decisions of a sidecar. */
export class WorkerGuardDecisions
  implements StateMachine<DispatchInput, DispatchOutput> {
  readonly #options: WorkerGuardOptions;
  readonly #collector = new OutputCollector<DispatchOutput>();
  readonly #directory = new FleetDirectory();
  readonly #exchange: FleetStateExchange;
  readonly #sessions = new EntrySessions();
  readonly #link: WorkerLink;
  readonly #table: RunTable;
  readonly #conversation: RunConversation;
  readonly #recall: WorkerRecall;
  readonly #watches: LoadWatches;
  readonly #requests: EntryRequests;
  #lastStepAt: Milliseconds | undefined;
  #leavingSince: Milliseconds | undefined;
  #isStopped = false;
  #isAnnounced = false;
  #toldFreeMillicores = 0;

  constructor(options: WorkerGuardOptions) {
    this.#options = options;
    const collector = this.#collector;
    const load = (entry: ProcessIdentifier) => this.#load(entry);
    this.#link = new WorkerLink({ ...options, collector });
    this.#table = new RunTable({ collector, load });
    this.#conversation = new RunConversation({
      collector,
      link: this.#link,
      table: this.#table,
    });
    this.#recall = new WorkerRecall({
      link: this.#link,
      directory: this.#directory,
    });
    this.#watches = new LoadWatches({
      collector,
      load,
      revision: () => this.#table.revision,
    });
    this.#requests = new EntryRequests({
      collector,
      load,
      sessions: this.#sessions,
      link: this.#link,
      table: this.#table,
      conversation: this.#conversation,
      watches: this.#watches,
      isLeaving: () => this.#leavingSince !== undefined,
    });
    this.#exchange = new FleetStateExchange({
      ...options,
      collector,
      directory: this.#directory,
      shouldContact: ({ process }) => this.#sessions.of(process) === undefined,
    });
  }

  step(now: Milliseconds, input: DispatchInput): readonly DispatchOutput[] {
    this.#collector.begin(now);
    this.#announceOnce();
    this.#noticePause();
    this.#lastStepAt = now;
    this.#take(input);
    this.#tick();
    return this.#collector.finish();
  }

  nextAlarm(): Milliseconds | undefined {
    if (this.#isStopped) return undefined;
    const tickAt = (this.#lastStepAt ?? 0) + TICK_MILLISECONDS;
    return Math.min(
      tickAt,
      this.#leavingSince === undefined ? this.#exchange.nextAlarm() : Infinity,
      this.#sessions.nextExpiry() ?? Infinity,
      this.#conversation.nextAlarm() ?? Infinity,
      this.#watches.nextAlarm() ?? Infinity,
    );
  }

  #take(input: DispatchInput): void {
    switch (input.kind) {
      case InputKind.PeerRequestArrived:
      case InputKind.PeerReplyArrived:
      case InputKind.PeerRequestLost:
        this.#takePeer(input);
        return;
      case DispatchInputKind.ConfigurationRead:
      case DispatchInputKind.MembersRead:
      case DispatchInputKind.StoreAvailable:
      case DispatchInputKind.StoreUnavailable:
      case DispatchInputKind.AnnouncementStored:
      case DispatchInputKind.SettingsChanged:
        // The configuration is kept for entries that start while the store is away.
        handleDirectoryInput(input, this.#directory, this.#collector);
        return;
      case DispatchInputKind.SavedWorkerRead:
        this.#recallWorker(input.description);
        return;
      case DispatchInputKind.WorkerReported:
        this.#takeReport(input.description);
        return;
      case DispatchInputKind.WorkerReportInvalid:
        this.#collector.record(
          EventNumber.WorkerReportInvalid,
          "a report that names no worker to use was passed over",
          {
            severity: Severity.Warning,
            context: { detail: input.detail },
          },
        );
        return;
      case DispatchInputKind.WorkerLeft:
        if (this.#link.isCurrent(input.worker)) this.#loseWorker();
        return;
      case DispatchInputKind.WorkerAnswered:
        if (this.#recall.take(input.call, input.answer)) this.#table.touch();
        if (!this.#conversation.take(input.call, input.answer)) {
          this.#loseWorker();
        }
        return;
      case InputKind.DrainRequested:
        this.#leave();
        return;
      case InputKind.AlarmFired:
        return;
      case DispatchInputKind.JobSubmitted:
      case DispatchInputKind.JobStateRequested:
      case DispatchInputKind.JobCancellationRequested:
      case DispatchInputKind.ClientDisconnected:
        // Client accounts reach entries only; a sidecar opens no port for them.
        return;
      default:
        assertNever(input);
    }
  }

  #takePeer(input: DispatchPeerInput): void {
    switch (input.kind) {
      case InputKind.PeerRequestArrived:
        this.#takeRequest(input);
        return;
      case InputKind.PeerReplyArrived:
        this.#exchange.handleReply(input);
        return;
      case InputKind.PeerRequestLost:
        this.#exchange.handleLostRequest(input.request);
        return;
      default:
        assertNever(input);
    }
  }

  #takeRequest(input: IncomingRequest<DispatchRequest>): void {
    const { message, from, request } = input;
    if (message.kind === DispatchRequestKind.ExchangeFleetState) {
      this.#exchange.handleRequest(from, request, message);
      return;
    }
    this.#requests.take({ from, request }, message);
  }

  #tick(): void {
    for (const entry of this.#sessions.expire(this.#collector.now)) {
      this.#requests.endWork(entry, SessionEndReason.Expired);
    }
    this.#recall.tick();
    this.#conversation.tick();
    this.#startWaiting();
    this.#conversation.tick();
    this.#watches.tick();
    this.#tellGauge();
    if (this.#leavingSince === undefined) this.#exchange.tick();
    this.#leaveFurther();
  }

  /** After a pause the work of every entry may have been given up, and orders to read may be stale. */
  #noticePause(): void {
    const elapsed = this.#collector.now -
      (this.#lastStepAt ?? this.#collector.now);
    if (elapsed < PAUSE_MILLISECONDS) return;
    this.#collector.record(
      EventNumber.ProcessPaused,
      "the process stood still; every session ends",
      { severity: Severity.Warning, context: { milliseconds: elapsed } },
    );
    for (const entry of this.#sessions.entries()) {
      this.#sessions.end(entry);
      this.#requests.endWork(entry, SessionEndReason.ProcessPaused);
    }
  }

  #startWaiting(): void {
    const { description, isTakingWork } = this.#link;
    if (description === undefined || !isTakingWork) {
      this.#refuseWaiting();
      return;
    }
    if (!this.#conversation.isCensusTaken) return;
    for (;;) {
      const run = this.#table.nextToStart();
      if (run === undefined) return;
      this.#conversation.start(run);
    }
  }

  #refuseWaiting(): void {
    const reason = !this.#link.isConfirmed ||
        this.#link.description === undefined
      ? NotStartedReason.NoWorker
      : this.#link.isSilent
      ? NotStartedReason.WorkerUnresponsive
      : NotStartedReason.Draining;
    for (const run of this.#table.all()) {
      if (run.state.phase !== RunPhase.Waiting) continue;
      this.#table.settle(run, notStarted(reason));
    }
  }

  /**
   * Takes what an earlier run of this process kept of its worker, so that work goes on before the worker's
   * next report. Its first list of runs shows whether that life still goes on.
   */
  #recallWorker(description: WorkerDescription): void {
    if (!this.#link.recall(description)) return;
    this.#conversation.reset();
    this.#table.touch();
    this.#record(EventNumber.WorkerAnnounced, "a worker was remembered");
  }

  #takeReport(description: WorkerDescription): void {
    const earlier = this.#link.description;
    const wasConfirmed = this.#link.isConfirmed;
    const isNewLife = this.#link.report(description);
    if (isNewLife) {
      this.#settleLost();
      this.#conversation.reset();
      this.#record(EventNumber.WorkerAnnounced, "a worker announced itself");
    }
    const isDraining = description.phase === WorkerPhase.Draining &&
      earlier?.phase !== WorkerPhase.Draining;
    if (isDraining) {
      this.#record(
        EventNumber.WorkerDraining,
        "the worker leaves; it gets no new work",
      );
    }
    const isOtherPhase = earlier?.phase !== description.phase;
    if (isNewLife || isOtherPhase || !wasConfirmed) this.#table.touch();
    if (!isNewLife && !isOtherPhase) return;
    this.#collector.add({
      kind: DispatchOutputKind.SaveWorker,
      description,
    });
  }

  /** The worker's life has ended, and with it everything that ran there. */
  #loseWorker(): void {
    this.#record(EventNumber.WorkerLost, "the worker is gone");
    this.#link.forget();
    this.#settleLost();
    this.#conversation.reset();
    this.#table.touch();
  }

  #settleLost(): void {
    for (const run of this.#table.atWorker()) {
      this.#table.settle(run, {
        kind: SettlementKind.Interrupted,
        reason: InterruptionReason.WorkerLost,
      });
    }
  }

  #leave(): void {
    if (this.#leavingSince !== undefined) return;
    this.#leavingSince = this.#collector.now;
    this.#table.touch();
    this.#collector.record(
      EventNumber.ProcessLeaving,
      "the process finishes what runs and takes no new work",
      { context: { runs: this.#table.size } },
    );
    for (const run of this.#table.all()) {
      if (run.state.phase !== RunPhase.Waiting) continue;
      this.#table.settle(run, notStarted(NotStartedReason.Leaving));
    }
  }

  #leaveFurther(): void {
    if (this.#leavingSince === undefined || this.#isStopped) return;
    const elapsed = this.#collector.now - this.#leavingSince;
    const { graceMilliseconds } = this.#options;
    const isFinished = this.#table.size === 0 &&
      elapsed >= LEAVING_LINGER_MILLISECONDS;
    const isOutOfTime = elapsed >=
      graceMilliseconds - LEAVING_RESERVE_MILLISECONDS;
    if (!isFinished && !isOutOfTime) return;
    this.#isStopped = true;
    this.#collector.add({ kind: OutputKind.Stop, exitCode: 0 });
  }

  #announceOnce(): void {
    if (this.#isAnnounced) return;
    this.#isAnnounced = true;
    this.#link.begin();
    const member = this.#options.self;
    this.#collector.add({ kind: DispatchOutputKind.Announce, member });
  }

  #load(entry: ProcessIdentifier): WorkerLoad | undefined {
    const { description } = this.#link;
    if (description === undefined) return undefined;
    const { capacity } = description;
    const free = subtractResources(capacity, this.#table.used);
    return {
      revision: this.#table.revision,
      worker: description.incarnation.id,
      free,
      slowness: this.#conversation.slowness,
      isTakingWork: this.#link.isTakingWork &&
        this.#conversation.isCensusTaken && this.#leavingSince === undefined,
      requestsTaken: this.#sessions.requestsTaken(entry),
    };
  }

  #tellGauge(): void {
    const { capacity } = this.#link.description ?? { capacity: NO_RESOURCES };
    const value = capacity.processorMillicores -
      this.#table.used.processorMillicores;
    if (value === this.#toldFreeMillicores) return;
    this.#toldFreeMillicores = value;
    const gauge = Gauge.FreeMillicores;
    this.#collector.add({ kind: OutputKind.SetGauge, gauge, value });
  }

  #record(number: EventNumber, message: string): void {
    const { description } = this.#link;
    this.#collector.record(number, message, {
      context: {
        worker: description?.incarnation.id ?? "unknown",
        bornAt: description?.incarnation.bornAt ?? 0,
        service: description?.service ?? "unknown",
        sequence: description?.sequence ?? 0,
        runs: this.#table.size,
      },
    });
  }
}
