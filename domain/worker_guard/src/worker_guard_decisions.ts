/**
 * State machine of a sidecar that runs tasks on its worker. The sidecar is the only caller of the worker and
 * therefore knows which runs are active there. It starts no more than the worker's capacity allows, renews
 * the lease of the active runs, stops the work of entries whose session expires, and settles every accepted
 * attempt exactly once.
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
  isWithin,
  meetsRequirements,
  type Milliseconds,
  NotStartedReason,
  OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  SessionEndReason,
  Severity,
  type StateMachine,
  type WorkerDescription,
} from "@eelgrassfront/model";
import { EntryRequestHandler } from "./entry_request_handler.ts";
import { EntrySessions } from "./entry_sessions.ts";
import { RunPhase, type WorkerRun } from "./worker_run.ts";
import { LoadReport } from "./load_report.ts";
import { LoadWatches } from "./load_watches.ts";
import { RunController } from "./run_controller.ts";
import { notStarted } from "./run_settlement.ts";
import { RunTable } from "./run_table.ts";
import { LostRuns } from "./lost_runs.ts";
import { SuspectRuns } from "./suspect_runs.ts";
import { WorkerLink } from "./worker_link.ts";
import { type ExpectedWorker, WorkerLifecycle } from "./worker_lifecycle.ts";

/** Identity, seeds and time limits of a sidecar. */
export interface WorkerGuardOptions {
  readonly self: FleetMember;
  /** Addresses of processes to contact while the store is unavailable. */
  readonly seeds: readonly string[];
  /** Higher than every fencing token that earlier incarnations of this sidecar used. */
  readonly firstFencingToken: number;
  /** The longest lease that the worker grants. */
  readonly leaseMilliseconds: Milliseconds;
  /** Time between the request to stop and the kill of the process by the platform. */
  readonly graceMilliseconds: Milliseconds;
  /** Longest time that a worker needs to stop a run. */
  readonly stopMilliseconds: Milliseconds;
  /** The worker on this VM as the settings name it; reports of others are ignored. */
  readonly expectedWorker?: ExpectedWorker;
}

/** Interval of the timer whose delay reveals a pause of this process. */
const TICK_MILLISECONDS: Milliseconds = 200;
/** A longer gap between two steps means that the process was paused and that queued messages may be stale. */
const PAUSE_MILLISECONDS: Milliseconds = 500;
/** A shorter gap that is longer than the timer's: renewals may be waiting to be read, as timers run before reads. */
const STALL_MILLISECONDS: Milliseconds = 300;
/** Time in which the renewals that arrived during a stall of this process are read. */
const READ_MILLISECONDS: Milliseconds = 20;
/** Change of the slowness that entries are told, as a fraction. */
const SLOWNESS_CHANGE = 0.1;
/** Part of the grace period that is reserved for sending the last replies. */
const DRAIN_RESERVE_MILLISECONDS: Milliseconds = 400;
/** Shortest time between the request to stop and the exit, so that replies in transit still arrive. */
const MINIMUM_DRAIN_MILLISECONDS: Milliseconds = 300;

/** State machine of a sidecar with a worker. */
export class WorkerGuardDecisions
  implements StateMachine<DispatchInput, DispatchOutput> {
  readonly #options: WorkerGuardOptions;
  readonly #collector = new OutputCollector<DispatchOutput>();
  readonly #directory = new FleetDirectory();
  readonly #exchange: FleetStateExchange;
  readonly #sessions = new EntrySessions();
  readonly #link: WorkerLink;
  readonly #table: RunTable;
  readonly #runController: RunController;
  readonly #suspectRuns: SuspectRuns;
  readonly #lifecycle: WorkerLifecycle;
  readonly #watches: LoadWatches;
  readonly #requests: EntryRequestHandler;
  readonly #loadReport: LoadReport;
  #lastStepAt: Milliseconds | undefined;
  /** Time before which renewals that have arrived may not have been read. */
  #readUntil: Milliseconds = 0;
  #drainingSince: Milliseconds | undefined;
  #isStopped = false;
  #isAnnounced = false;
  /** Whether every entry that reads the store knows this process. */
  #isAnnouncementStored = false;
  #reportedFreeMillicores = 0;
  #reportedSlowness = 1;
  #isReportedEvacuated = false;
  #isReportedCold = false;

  constructor(options: WorkerGuardOptions) {
    this.#options = options;
    const collector = this.#collector;
    const load = (entry: ProcessIdentifier) => this.#loadReport.of(entry);
    this.#link = new WorkerLink({ ...options, collector });
    this.#table = new RunTable({ collector, load });
    this.#runController = new RunController({
      collector,
      link: this.#link,
      table: this.#table,
      isRenewalOverdue: () =>
        this.#table.all().some(({ entry, state }) =>
          state.phase !== RunPhase.Waiting &&
          this.#sessions.isRenewalOverdue(collector.now, entry)
        ),
    });
    this.#suspectRuns = new SuspectRuns({ collector, table: this.#table });
    const lostRuns = new LostRuns({
      collector,
      table: this.#table,
      suspectRuns: this.#suspectRuns,
      sessions: this.#sessions,
      directory: this.#directory,
    });
    this.#lifecycle = new WorkerLifecycle({
      ...options,
      collector,
      link: this.#link,
      table: this.#table,
      runController: this.#runController,
      lostRuns,
      directory: this.#directory,
    });
    this.#watches = new LoadWatches({
      collector,
      load,
      free: () => this.#loadReport.offerableResources(),
      revision: () => this.#table.revision,
      raiseRevision: () => this.#table.raiseRevision(),
    });
    this.#requests = new EntryRequestHandler({
      collector,
      load,
      sessions: this.#sessions,
      link: this.#link,
      table: this.#table,
      runController: this.#runController,
      watches: this.#watches,
      suspectRuns: this.#suspectRuns,
      directory: this.#directory,
      isDraining: () => this.#drainingSince !== undefined,
      isEvacuated: () => this.#isEvacuated,
    });
    this.#loadReport = new LoadReport({
      link: this.#link,
      table: this.#table,
      runController: this.#runController,
      sessions: this.#sessions,
      watches: this.#watches,
      suspectRuns: this.#suspectRuns,
      directory: this.#directory,
      isDraining: () => this.#drainingSince !== undefined,
      isEvacuated: () => this.#isEvacuated,
    });
    this.#exchange = new FleetStateExchange({
      ...options,
      collector,
      directory: this.#directory,
      isNeeded: () => !this.#isAnnouncementStored || this.#sessions.size === 0,
    });
  }

  step(now: Milliseconds, input: DispatchInput): readonly DispatchOutput[] {
    this.#collector.begin(now);
    this.#announceOnce();
    this.#detectPause();
    this.#lastStepAt = now;
    this.#handle(input);
    this.#tick();
    return this.#collector.finish();
  }

  nextAlarm(): Milliseconds | undefined {
    if (this.#isStopped) return undefined;
    const tickAt = (this.#lastStepAt ?? 0) + TICK_MILLISECONDS;
    return Math.min(
      tickAt,
      this.#drainingSince === undefined ? this.#exchange.nextAlarm() : Infinity,
      this.#sessions.nextExpiry(this.#readUntil),
      this.#runController.nextAlarm() ?? Infinity,
      this.#watches.nextAlarm() ?? Infinity,
      this.#suspectRuns.nextAlarm() ?? Infinity,
      this.#lifecycle.nextAlarm() ?? Infinity,
    );
  }

  #handle(input: DispatchInput): void {
    switch (input.kind) {
      case InputKind.PeerRequestArrived:
      case InputKind.PeerReplyArrived:
      case InputKind.PeerRequestLost:
        this.#handlePeerInput(input);
        return;
      case DispatchInputKind.ConfigurationRead:
      case DispatchInputKind.EvacuationsRead:
      case DispatchInputKind.MembersRead:
      case DispatchInputKind.StoreAvailable:
      case DispatchInputKind.StoreUnavailable:
      case DispatchInputKind.SettingsChanged:
        // Entries that start while the store is unavailable get the configuration from this process.
        handleDirectoryInput(input, this.#directory, this.#collector);
        return;
      case DispatchInputKind.AnnouncementStored:
        this.#isAnnouncementStored = true;
        return;
      case DispatchInputKind.SavedWorkerRead:
        this.#lifecycle.useSaved(input.description);
        return;
      case DispatchInputKind.WorkerReported:
        this.#lifecycle.applyReport(input.description);
        return;
      case DispatchInputKind.WorkerReportInvalid:
        this.#lifecycle.recordInvalidReport(input.detail);
        return;
      case DispatchInputKind.WorkerLeaving:
        this.#lifecycle.handleGoodbye(input.worker);
        return;
      case DispatchInputKind.WorkerAnswered:
        this.#lifecycle.handleAnswer(input);
        return;
      case InputKind.DrainRequested:
        this.#drain();
        return;
      case InputKind.AlarmFired:
        return;
      case DispatchInputKind.JobSubmitted:
      case DispatchInputKind.SubmissionAbandoned:
      case DispatchInputKind.JobStateRequested:
      case DispatchInputKind.JobCancellationRequested:
      case DispatchInputKind.ClientDisconnected:
        // Client accounts connect only to entries; a sidecar has no port for them.
        return;
      default:
        assertNever(input);
    }
  }

  #handlePeerInput(input: DispatchPeerInput): void {
    switch (input.kind) {
      case InputKind.PeerRequestArrived:
        this.#handleRequest(input);
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

  #handleRequest(input: IncomingRequest<DispatchRequest>): void {
    const { message, from, request } = input;
    if (message.kind === DispatchRequestKind.ExchangeFleetState) {
      this.#exchange.handleRequest(from, request, message);
      return;
    }
    this.#requests.handle({ from, request }, message);
  }

  #tick(): void {
    this.#detectSuspension();
    this.#expireSessions();
    this.#lifecycle.tick();
    this.#runController.tick();
    this.#reportEvacuation();
    this.#startWaitingRuns();
    this.#runController.tick();
    this.#reportSlowness();
    this.#suspectRuns.tick();
    this.#watches.tick();
    this.#updateGauge();
    if (this.#drainingSince === undefined) this.#exchange.tick();
    this.#stopWhenDrained();
  }

  /** Makes a changed slowness part of a new load, so that the next renewals report it. */
  #reportSlowness(): void {
    const { slowness } = this.#runController;
    const change = Math.abs(slowness / this.#reportedSlowness - 1);
    if (change < SLOWNESS_CHANGE) return;
    this.#reportedSlowness = slowness;
    this.#table.raiseRevision();
  }

  /** Whether the operators have evacuated this sidecar's zone. */
  get #isEvacuated(): boolean {
    const { availabilityZone } = this.#options.self;
    return this.#directory.evacuations.isEvacuated(availabilityZone);
  }

  /** Makes an evacuation, a restoration and the end of the time in which the worker is cold part of a new load. */
  #reportEvacuation(): void {
    const isEvacuated = this.#isEvacuated;
    const isCold = this.#loadReport.isReportedCold;
    const hasChanged = this.#isReportedEvacuated !== isEvacuated ||
      this.#isReportedCold !== isCold;
    if (!hasChanged) return;
    this.#isReportedEvacuated = isEvacuated;
    this.#isReportedCold = isCold;
    this.#table.raiseRevision();
  }

  #expireSessions(): void {
    const { now } = this.#collector;
    for (const entry of this.#sessions.expire(now, this.#readUntil)) {
      this.#requests.stopRuns(entry, SessionEndReason.Expired);
    }
  }

  /** Ends all sessions after a pause: entries may have given them up, and queued requests may be stale. */
  #detectPause(): void {
    const elapsed = this.#collector.now -
      (this.#lastStepAt ?? this.#collector.now);
    if (elapsed >= STALL_MILLISECONDS) {
      this.#readUntil = this.#collector.now + READ_MILLISECONDS;
    }
    if (elapsed >= PAUSE_MILLISECONDS) this.#endSessions(elapsed);
  }

  /** The same after a suspension of the VM, which only the worker's clock shows. */
  #detectSuspension(): void {
    const suspended = this.#link.takeSuspension();
    if (suspended >= PAUSE_MILLISECONDS) this.#endSessions(suspended);
  }

  #endSessions(pauseMilliseconds: Milliseconds): void {
    this.#collector.record(
      EventNumber.ProcessPaused,
      "the process was paused; all sessions are ended",
      {
        severity: Severity.Warning,
        context: { milliseconds: pauseMilliseconds },
      },
    );
    for (const entry of this.#sessions.entries()) {
      this.#sessions.end(entry);
      this.#requests.stopRuns(entry, SessionEndReason.ProcessPaused);
    }
  }

  #startWaitingRuns(): void {
    const { description, isTakingWork } = this.#link;
    if (description === undefined || !isTakingWork || this.#isEvacuated) {
      this.#refuseWaitingRuns();
      return;
    }
    if (!this.#runController.isReconciled) return;
    for (;;) {
      const run = this.#table.nextToStart();
      if (run === undefined) return;
      const reason = this.#findObstacle(run, description);
      if (reason === undefined) this.#runController.start(run);
      else this.#table.settle(run, notStarted(reason));
    }
  }

  /** Returns why an accepted run cannot start: the worker may have changed since it was accepted. */
  #findObstacle(
    { requirements }: WorkerRun,
    worker: WorkerDescription,
  ): NotStartedReason | undefined {
    if (!meetsRequirements(worker, requirements)) {
      return NotStartedReason.UnsuitableWorker;
    }
    return isWithin(this.#table.used, worker.capacity)
      ? undefined
      : NotStartedReason.InsufficientCapacity;
  }

  #refuseWaitingRuns(): void {
    const { isConfirmed, isUnresponsive, description } = this.#link;
    for (const run of this.#table.all()) {
      if (run.state.phase !== RunPhase.Waiting) continue;
      const reason = !isConfirmed || description === undefined
        ? NotStartedReason.NoWorker
        : isUnresponsive
        ? NotStartedReason.WorkerUnresponsive
        : this.#isEvacuated
        ? this.#requests.evacuationReason(run.entry)
        : NotStartedReason.Draining;
      this.#table.settle(run, notStarted(reason));
    }
  }

  #drain(): void {
    if (this.#drainingSince !== undefined) return;
    this.#drainingSince = this.#collector.now;
    this.#table.raiseRevision();
    this.#collector.record(
      EventNumber.ProcessLeaving,
      "draining: active runs finish, new tasks are refused",
      { context: { runs: this.#table.size } },
    );
    for (const run of this.#table.all()) {
      if (run.state.phase !== RunPhase.Waiting) continue;
      this.#table.settle(run, notStarted(NotStartedReason.Leaving));
    }
  }

  #stopWhenDrained(): void {
    if (this.#drainingSince === undefined || this.#isStopped) return;
    const elapsed = this.#collector.now - this.#drainingSince;
    const { graceMilliseconds } = this.#options;
    const isFinished = this.#table.size === 0 &&
      elapsed >= MINIMUM_DRAIN_MILLISECONDS;
    const isOutOfTime = elapsed >=
      graceMilliseconds - DRAIN_RESERVE_MILLISECONDS;
    if (!isFinished && !isOutOfTime) return;
    this.#isStopped = true;
    this.#collector.add({ kind: OutputKind.Stop, exitCode: 0 });
  }

  #announceOnce(): void {
    if (this.#isAnnounced) return;
    this.#isAnnounced = true;
    this.#link.recordProcessStart();
    const member = this.#options.self;
    this.#collector.add({ kind: DispatchOutputKind.Announce, member });
  }

  #updateGauge(): void {
    const value = this.#loadReport.freeResources().processorMillicores;
    if (value === this.#reportedFreeMillicores) return;
    this.#reportedFreeMillicores = value;
    const gauge = Gauge.FreeMillicores;
    this.#collector.add({ kind: OutputKind.SetGauge, gauge, value });
  }
}
