/**
 * State machine of an entry that runs best-effort jobs. The entry that accepts a job queues it, places its
 * tasks and answers it; no other process keeps the job. When an entry is lost, the sidecars end its tasks,
 * before a client submits the job again.
 */
import {
  FleetDirectory,
  FleetStateExchange,
  handleDirectoryInput,
} from "@eelgrassfront/directory";
import {
  assertNever,
  type CancelHeldJob,
  type DispatchInput,
  DispatchInputKind,
  type DispatchOutput,
  DispatchOutputKind,
  type DispatchPeerInput,
  type DispatchReply,
  DispatchReplyKind,
  type DispatchRequest,
  DispatchRequestKind,
  EventNumber,
  type FleetMember,
  Gauge,
  GivenUpReason,
  type IncomingReply,
  type IncomingRequest,
  InputKind,
  type Milliseconds,
  OutputCollector,
  OutputKind,
  type PeerRequestLost,
  Role,
  Severity,
  type StateMachine,
} from "@eelgrassfront/model";
import type { ClaimChange } from "./job_claims.ts";
import { ClientRequests } from "./client_requests.ts";
import { ClaimExchange } from "./claim_exchange.ts";
import { type TaskAttempt, TaskAttemptIndex } from "./task_attempt_index.ts";
import type { BacklogSource } from "./backlog_estimator.ts";
import { JobScheduler } from "./job_scheduler.ts";
import { JobAnswers } from "./job_answers.ts";
import { JobRunTimes } from "./job_run_times.ts";
import { RouteLookup } from "./route_lookup.ts";
import { RemoteCancellations } from "./remote_cancellations.ts";
import { TaskPlacer } from "./task_placer.ts";
import { type LinkChange, LinkChangeKind } from "./worker_link_state.ts";
import { WorkerLinks } from "./worker_links.ts";

/** Identity and limits of an entry. */
export interface DispatcherOptions {
  readonly self: FleetMember;
  /** Addresses of processes that are contacted while the store is unavailable. */
  readonly seeds: readonly string[];
  /** Time between the request to stop and the forced termination of the process. */
  readonly graceMilliseconds: Milliseconds;
  /** Time after which a client whose request got no answer submits its job again. */
  readonly resubmissionMilliseconds: Milliseconds;
}

/** Interval of the wake-ups by which a pause of this process is detected. */
const PAUSE_CHECK_INTERVAL_MILLISECONDS: Milliseconds = 200;
/** Gap between two steps that counts as a pause: nearly as long as a session lasts without renewals. */
const PAUSE_MILLISECONDS: Milliseconds = 500;
/**
 * Time after a pause in which nothing is placed, so that the ends of connections that came during the pause are read
 * first; shorter than the slack of any job.
 */
const READ_AFTER_PAUSE_MILLISECONDS: Milliseconds = 50;
/** Time after the request to stop in which the platform still routes new connections to this process. */
const DEREGISTRATION_MILLISECONDS: Milliseconds = 3_000;
/** Part of the grace period that is reserved for the last answers. */
const LAST_ANSWERS_MILLISECONDS: Milliseconds = 400;

/** Schedules the best-effort jobs of one entry. */
export class DispatcherDecisions
  implements StateMachine<DispatchInput, DispatchOutput> {
  readonly #options: DispatcherOptions;
  readonly #collector = new OutputCollector<DispatchOutput>();
  readonly #directory = new FleetDirectory();
  readonly #exchange: FleetStateExchange;
  readonly #links: WorkerLinks;
  readonly #attempts = new TaskAttemptIndex();
  readonly #placer: TaskPlacer;
  readonly #answers: JobAnswers;
  readonly #requests: ClientRequests;
  readonly #claims: ClaimExchange;
  readonly #cancellations: RemoteCancellations;
  readonly #scheduler: JobScheduler;
  #lastStepAt: Milliseconds | undefined;
  #drainingSince: Milliseconds | undefined;
  #isReady = false;
  #isStopped = false;
  #isAnnounced = false;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    const collector = this.#collector;
    const directory = this.#directory;
    this.#links = new WorkerLinks({
      self: options.self,
      collector,
      directory,
      waitingDemand: () => this.#scheduler.waitingDemand(),
      holdsAttempts: (address) => this.#attempts.hasAny(address),
    });
    this.#exchange = new FleetStateExchange({
      ...options,
      collector,
      directory,
      isNeeded: () => true,
    });
    const runTimes = new JobRunTimes();
    this.#placer = new TaskPlacer({
      collector,
      links: this.#links,
      attempts: this.#attempts,
      runTimes,
      availabilityZone: options.self.availabilityZone,
    });
    this.#answers = new JobAnswers({
      collector,
      shouldCloseConnection: () => this.#drainingSince !== undefined,
    });
    const source: BacklogSource = {
      links: this.#links,
      attempts: this.#attempts,
      entryCount: () => directory.membersOf(Role.Entry).length,
    };
    this.#claims = new ClaimExchange({
      self: options.self,
      collector,
      directory,
      yieldOwn: (request) => this.#scheduler.yield(request),
      hasEarlierRuns: (job) => this.#scheduler.hasEarlierRuns(job),
    });
    this.#scheduler = new JobScheduler({
      collector,
      claims: this.#claims,
      resubmissionMilliseconds: options.resubmissionMilliseconds,
      placer: this.#placer,
      answers: this.#answers,
      source,
    });
    this.#cancellations = new RemoteCancellations({
      collector,
      answers: this.#answers,
      arbiterOf: (job) => this.#claims.arbiterOf(job),
      holderOf: (job) => this.#claims.holderOf(job),
    });
    this.#requests = new ClientRequests({
      collector,
      routes: new RouteLookup({ directory, answers: this.#answers }),
      answers: this.#answers,
      runTimes,
      scheduler: this.#scheduler,
      cancellations: this.#cancellations,
      isClosed: () => this.#isClosed(),
    });
  }

  step(now: Milliseconds, input: DispatchInput): readonly DispatchOutput[] {
    this.#collector.begin(now);
    this.#announceOnce();
    this.#detectPause();
    this.#lastStepAt = now;
    this.#handleInput(input);
    this.#tick();
    return this.#collector.finish();
  }

  nextAlarm(): Milliseconds | undefined {
    if (this.#isStopped) return undefined;
    return Math.min(
      (this.#lastStepAt ?? 0) + PAUSE_CHECK_INTERVAL_MILLISECONDS,
      this.#exchange.nextAlarm(),
      this.#links.nextAlarm() ?? Infinity,
      this.#scheduler.nextAlarm(),
    );
  }

  #handleInput(input: DispatchInput): void {
    switch (input.kind) {
      case DispatchInputKind.JobSubmitted:
        this.#requests.submit(input);
        return;
      case DispatchInputKind.SubmissionAbandoned:
        this.#answers.recordAbandonedSubmission(input.target);
        return;
      case DispatchInputKind.JobStateRequested:
        this.#requests.answerState(input);
        return;
      case DispatchInputKind.JobCancellationRequested:
        this.#requests.cancel(input);
        return;
      case DispatchInputKind.ClientDisconnected:
        this.#scheduler.handleClientDisconnected(input.request);
        return;
      case DispatchInputKind.ConfigurationRead:
      case DispatchInputKind.EvacuationsRead:
      case DispatchInputKind.MembersRead:
      case DispatchInputKind.StoreAvailable:
      case DispatchInputKind.StoreUnavailable:
      case DispatchInputKind.AnnouncementStored:
      case DispatchInputKind.SavedWorkerRead:
      case DispatchInputKind.SettingsChanged:
        if (handleDirectoryInput(input, this.#directory, this.#collector)) {
          this.#reportConfiguration();
        }
        return;
      case InputKind.PeerRequestArrived:
      case InputKind.PeerReplyArrived:
      case InputKind.PeerRequestLost:
        this.#handlePeerInput(input);
        return;
      case InputKind.DrainRequested:
        this.#startDraining();
        return;
      case InputKind.AlarmFired:
        return;
      case DispatchInputKind.WorkerReported:
      case DispatchInputKind.WorkerReportInvalid:
      case DispatchInputKind.WorkerLeaving:
      case DispatchInputKind.WorkerAnswered:
        // Workers report to the sidecar on their VM; an entry opens no port for them.
        return;
      default:
        assertNever(input);
    }
  }

  #tick(): void {
    this.#handleLinkChanges(this.#links.tick());
    this.#exchange.tick();
    this.#placer.rescheduleFromSlowWorkers();
    this.#scheduler.tick();
    this.#reportReadiness();
    this.#continueDraining();
  }

  /** Whether new jobs are refused: late in the grace period they could no longer end in time. */
  #isClosed(): boolean {
    return this.#drainingSince !== undefined &&
      this.#collector.now - this.#drainingSince >= DEREGISTRATION_MILLISECONDS;
  }

  #handlePeerInput(input: DispatchPeerInput): void {
    switch (input.kind) {
      case InputKind.PeerRequestArrived:
        this.#handleRequest(input);
        return;
      case InputKind.PeerReplyArrived:
        this.#handleReply(input);
        return;
      case InputKind.PeerRequestLost:
        this.#handleLostRequest(input);
        return;
      default:
        assertNever(input);
    }
  }

  #handleRequest(input: IncomingRequest<DispatchRequest>): void {
    const { message, from, request } = input;
    switch (message.kind) {
      case DispatchRequestKind.ExchangeFleetState:
        if (this.#exchange.handleRequest(from, request, message)) {
          this.#reportConfiguration();
        }
        return;
      case DispatchRequestKind.ReportCrash:
        this.#placer.crashes.applyReport(from, message.suspects);
        this.#reply(input, { kind: DispatchReplyKind.CrashNoted });
        return;
      case DispatchRequestKind.ClaimJob:
        this.#reply(input, this.#claims.answerClaim(from, message));
        return;
      case DispatchRequestKind.YieldJob:
        this.#reply(input, this.#claims.answerYield(message));
        return;
      case DispatchRequestKind.LocateJob:
        this.#reply(input, this.#claims.answerLocation(message));
        return;
      case DispatchRequestKind.CancelHeldJob:
        this.#cancelForEntry(input, message);
        return;
      case DispatchRequestKind.OpenSession:
      case DispatchRequestKind.RenewSession:
      case DispatchRequestKind.RunTask:
      case DispatchRequestKind.CancelTaskAttempt:
      case DispatchRequestKind.WatchLoad:
        this.#reply(input, { kind: DispatchReplyKind.Misdirected });
        return;
      default:
        assertNever(message);
    }
  }

  /** Cancels a job for the client of another entry. */
  #cancelForEntry(
    input: IncomingRequest<DispatchRequest>,
    { job }: CancelHeldJob,
  ): void {
    const kind = this.#scheduler.cancel(job)
      ? DispatchReplyKind.JobCancelled
      : DispatchReplyKind.JobUnknown;
    this.#reply(input, { kind });
  }

  #reply(
    { from: to, request }: IncomingRequest<DispatchRequest>,
    message: DispatchReply,
  ): void {
    this.#collector.add({ kind: OutputKind.SendReply, to, request, message });
  }

  #handleReply(input: IncomingReply<DispatchReply>): void {
    const { request, message } = input;
    if (this.#exchange.owns(request)) {
      if (this.#exchange.handleReply(input)) this.#reportConfiguration();
      return;
    }
    if (this.#links.owns(request)) {
      this.#handleLinkChanges(this.#links.handleReply(input));
      return;
    }
    if (this.#claims.owns(request)) {
      this.#applyClaimChange(this.#claims.handleReply(request, message));
      return;
    }
    if (this.#cancellations.owns(request)) {
      this.#cancellations.handleReply(request, message);
      return;
    }
    const attempt = this.#attempts.find(request);
    if (attempt === undefined) return;
    if (message.kind === DispatchReplyKind.TaskSettled) {
      this.#placer.applySettlement(attempt, message);
      this.#scheduler.advance(attempt.job);
      return;
    }
    this.#handleMismatch(attempt, message);
  }

  #applyClaimChange(change: ClaimChange | undefined): void {
    if (change !== undefined) this.#scheduler.applyClaimChange(change);
  }

  /** Handles a reply from another incarnation of the sidecar, which does not hold the attempt. */
  #handleMismatch({ address }: TaskAttempt, message: DispatchReply): void {
    if (!("current" in message)) return;
    const changes = this.#links.handleIncarnationMismatch(
      address,
      message.current,
    );
    this.#handleLinkChanges(changes);
  }

  #handleLostRequest({ request, peer }: PeerRequestLost): void {
    this.#exchange.handleLostRequest(request);
    if (this.#links.owns(request)) {
      this.#links.handleLostRequest(request);
      return;
    }
    if (this.#claims.owns(request)) {
      this.#applyClaimChange(this.#claims.handleLostRequest(request));
      return;
    }
    this.#cancellations.handleLostRequest(request);
    const link = this.#links.findProcess(peer);
    if (link !== undefined) this.#links.handleConnectionLoss(link);
  }

  #handleLinkChanges(changes: readonly LinkChange[]): void {
    for (const change of changes) {
      const { kind, link } = change;
      switch (kind) {
        case LinkChangeKind.Lost:
          for (const job of this.#placer.releaseTasks(change)) {
            this.#scheduler.advance(job);
          }
          break;
        case LinkChangeKind.Opened:
          this.#scheduler.releaseHeldTasks(link.address);
          break;
        case LinkChangeKind.Resumed:
          this.#placer.resendRequests(link);
          break;
        default:
          assertNever(kind);
      }
    }
  }

  #reportConfiguration(): void {
    const { configurationVersion: version, configuration } = this.#directory;
    this.#collector.add({
      kind: OutputKind.SetGauge,
      gauge: Gauge.ConfigurationVersion,
      value: version,
    });
    this.#collector.record(
      EventNumber.ConfigurationAccepted,
      "a newer configuration is in force",
      { context: { version, routes: configuration?.routes.length ?? 0 } },
    );
  }

  /**
   * Gives up all sessions after a pause: sidecars end, or have ended, sessions that were not renewed. Clients may
   * have left during the pause and submitted their jobs to other entries.
   */
  #detectPause(): void {
    const { now } = this.#collector;
    const elapsed = now - (this.#lastStepAt ?? now);
    if (elapsed < PAUSE_MILLISECONDS) return;
    this.#collector.record(
      EventNumber.ProcessPaused,
      "the process was paused; all sessions are given up",
      { severity: Severity.Warning, context: { milliseconds: elapsed } },
    );
    this.#handleLinkChanges(this.#links.giveUpAll("this process was paused"));
    this.#scheduler.holdPlacements(now + READ_AFTER_PAUSE_MILLISECONDS);
    this.#scheduler.reclaimAll();
  }

  #reportReadiness(): void {
    const isReady = this.#drainingSince === undefined &&
      this.#directory.configuration !== undefined &&
      this.#scheduler.hasWorkers();
    if (isReady === this.#isReady) return;
    this.#isReady = isReady;
    this.#collector.add({ kind: OutputKind.ReportReadiness, isReady });
  }

  #startDraining(): void {
    if (this.#drainingSince !== undefined) return;
    this.#drainingSince = this.#collector.now;
    this.#collector.record(
      EventNumber.ProcessLeaving,
      "the process is draining; it accepts jobs until its clients have disconnected",
      { context: { jobs: this.#scheduler.size } },
    );
  }

  #continueDraining(): void {
    if (this.#drainingSince === undefined || this.#isStopped) return;
    const elapsed = this.#collector.now - this.#drainingSince;
    const limit = this.#options.graceMilliseconds - LAST_ANSWERS_MILLISECONDS;
    const isFinished = this.#scheduler.size === 0 &&
      elapsed >= DEREGISTRATION_MILLISECONDS;
    if (!isFinished && elapsed < limit) return;
    this.#scheduler.endAll(GivenUpReason.Leaving);
    this.#isStopped = true;
    this.#collector.add({ kind: OutputKind.Stop, exitCode: 0 });
  }

  #announceOnce(): void {
    if (this.#isAnnounced) return;
    this.#isAnnounced = true;
    const member = this.#options.self;
    this.#collector.add({ kind: DispatchOutputKind.Announce, member });
  }
}
