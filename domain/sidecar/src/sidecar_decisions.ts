/**
 * State machine of a sidecar process. It passes each input to the owner, the runner or the membership of the
 * process, which share one view of the fleet, and controls the drain of the process.
 */
import {
  type FleetChange,
  FleetMembership,
  type MembershipTiming,
  reportFleet,
} from "@eelgrassfront/membership";
import {
  assertNever,
  type BackendServerDescription,
  type BackendServerInput,
  type Decisions,
  EventNumber,
  type HandOverRecords,
  InputKind,
  LogRecordKind,
  type Milliseconds,
  OutputCollector,
  OutputKind,
  type PeerReply,
  type PeerReplyArrived,
  PeerReplyKind,
  type PeerRequestArrived,
  PeerRequestKind,
  type PeerRequestLost,
  type ProcessIdentifier,
  type ProcessInput,
  type ProcessOutput,
  RemovalReason,
  type RequestIdentifier,
  Role,
  type SidecarReport,
} from "@eelgrassfront/model";
import type { QueueDisciplineKind } from "@eelgrassfront/fairness";
import { OwnerDecisions } from "@eelgrassfront/owner";
import type { PlacementPolicy } from "@eelgrassfront/placement";
import { RunnerDecisions } from "@eelgrassfront/runner";
import {
  isCurrentOrPreviousOwner,
  RecordHandover,
  RecordHandoverPhase,
} from "./record_handover.ts";

/** Identity, timing and limits of a sidecar. */
export interface SidecarDecisionsOptions {
  readonly self: ProcessIdentifier;
  readonly availabilityZone: string;
  /** Address at which peers reach this process, as `host:port`. */
  readonly address: string;
  readonly timing: MembershipTiming;
  /** Addresses of processes that are queried for the configuration while the log is unavailable. */
  readonly seeds?: readonly string[];
  readonly random: () => number;
  readonly shardCount: number;
  readonly ownerCount: number;
  readonly maximumAnswerBytes: number;
  readonly maximumResultBytes: number;
  readonly maximumQueuedTasks: number;
  /** Set only by measurements, which compare other policies as baselines. */
  readonly placementPolicy?: PlacementPolicy;
  readonly queueDiscipline?: QueueDisciplineKind;
}

enum DrainPhase {
  NotDraining = "no",
  /** Hands over shards and waits for the end of running tasks. */
  Finishing = "finishing",
  /** Hands the start records over to other runners. */
  HandingOverRecords = "handing-over-records",
  /** Waits for the log to show that the process has left. */
  Departing = "departing",
  Stopped = "stopped",
}

/** State machine of a sidecar process. */
export class SidecarDecisions implements Decisions {
  readonly #options: SidecarDecisionsOptions;
  readonly #collector = new OutputCollector();
  readonly #membership: FleetMembership;
  readonly #owner: OwnerDecisions;
  readonly #runner: RunnerDecisions;
  #drainPhase: DrainPhase = DrainPhase.NotDraining;
  readonly #recordHandover: RecordHandover;
  #isReady = false;

  constructor(options: SidecarDecisionsOptions) {
    this.#options = options;
    const collector = this.#collector;
    this.#membership = new FleetMembership({
      ...options,
      role: Role.Sidecar,
      collector,
    });
    this.#recordHandover = new RecordHandover({
      ...options,
      collector,
      membership: this.#membership,
    });
    this.#owner = new OwnerDecisions({
      ...options,
      collector,
      membership: this.#membership,
    });
    this.#runner = new RunnerDecisions({
      ...options,
      collector,
      horizonMilliseconds: options.timing.horizonMilliseconds,
      isFresh: () => this.#membership.heartbeats.isFresh(),
    });
  }

  step(now: Milliseconds, input: ProcessInput): readonly ProcessOutput[] {
    this.#collector.begin(now);
    this.#handle(input);
    this.#tick();
    return this.#collector.finish();
  }

  nextAlarm(): Milliseconds | undefined {
    if (this.#drainPhase === DrainPhase.Stopped) return undefined;
    const owner = this.#owner.nextAlarm() ?? Infinity;
    return Math.min(owner, this.#membership.nextAlarm());
  }

  #handle(input: ProcessInput): void {
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
      case InputKind.TaskExecutionEnded:
      case InputKind.TaskNotSent:
      case InputKind.BackendServerDescribed:
      case InputKind.BackendServerUnreachable:
        this.#handleBackendServerInput(input);
        return;
      case InputKind.LogRecordsRead:
      case InputKind.LogUnavailable:
      case InputKind.AppendConfirmed:
      case InputKind.AppendIndeterminate:
        this.#applyFleetChanges(this.#membership.handleLogInput(input));
        return;
      case InputKind.AlarmFired:
        return;
      case InputKind.DrainRequested:
        this.#drain();
        return;
      case InputKind.ReportRequested:
        this.#report(input.request);
        return;
      case InputKind.SubmissionArrived:
      case InputKind.StatusRequested:
      case InputKind.CancellationRequested:
      case InputKind.CallerDisconnected:
      case InputKind.RequestRejected:
        // Callers connect only to entries; a sidecar has no port for them.
        return;
      default:
        assertNever(input);
    }
  }

  #tick(): void {
    this.#membership.tick();
    this.#owner.tick();
    this.#runner.tick();
    this.#reportReadiness();
    this.#continueDrain();
  }

  #handleRequest(input: PeerRequestArrived): void {
    const { message, ...waiter } = input;
    switch (message.kind) {
      case PeerRequestKind.SubmitJob:
        this.#owner.submit(
          { ...waiter, callerRequest: message.callerRequest },
          message,
        );
        return;
      case PeerRequestKind.QueryJob:
        this.#owner.query(waiter, message);
        return;
      case PeerRequestKind.CancelJob:
        this.#owner.cancel(waiter, message);
        return;
      case PeerRequestKind.StartTask:
        this.#runner.start(waiter, message);
        return;
      case PeerRequestKind.CancelTask:
        this.#runner.cancel(waiter, message);
        return;
      case PeerRequestKind.CollectStartRecords:
        this.#reply(input, this.#runner.collectStartRecords(message));
        return;
      case PeerRequestKind.HandOverShards:
        this.#owner.acceptHandover(waiter, message);
        return;
      case PeerRequestKind.HandOverRecords:
        this.#reply(input, this.#importRecords(message));
        return;
      case PeerRequestKind.Heartbeat: {
        const reply = this.#membership.heartbeats.buildReply(message, {
          isLeaving: this.#drainPhase !== DrainPhase.NotDraining,
          granted: this.#owner.granted(),
          load: this.#runner.load(),
        });
        this.#reply(input, reply);
        return;
      }
      default:
        assertNever(message);
    }
  }

  #handleReply(input: PeerReplyArrived): void {
    const { from, request, message } = input;
    if (message.kind === PeerReplyKind.HeartbeatAnswered) {
      this.#applyFleetChanges(
        this.#membership.handleHeartbeatReply(input, message),
      );
      if (message.load !== undefined) {
        this.#owner.updateRunnerLoad(from, message.load);
      }
      return;
    }
    if (
      message.kind === PeerReplyKind.IncarnationMismatch &&
      this.#membership.redirectSeedQuery(request, message)
    ) return;
    if (this.#recordHandover.handleReply(request, message)) return;
    this.#owner.handleReply(request, message);
  }

  #handleLostRequest(input: PeerRequestLost): void {
    const { request } = input;
    this.#membership.handleLostRequest(input);
    if (this.#recordHandover.handleLostRequest(request)) return;
    if (this.#membership.heartbeats.handleLostRequest(request)) return;
    this.#owner.handleLostRequest(request);
  }

  #handleBackendServerInput(input: BackendServerInput): void {
    switch (input.kind) {
      case InputKind.TaskExecutionEnded:
        this.#runner.finish(input.attempt, input.end);
        return;
      case InputKind.TaskNotSent:
        this.#runner.withdrawUnsent(input.attempt);
        return;
      case InputKind.BackendServerDescribed:
        this.#runner.updateBackendServer(input.description);
        this.#announce(input.description);
        return;
      case InputKind.BackendServerUnreachable:
        this.#runner.handleBackendServerLoss(input.error);
        return;
      default:
        assertNever(input);
    }
  }

  #announce(backendServer: BackendServerDescription): void {
    if (
      this.#drainPhase !== DrainPhase.NotDraining || this.#membership.isMember
    ) return;
    const { self, availabilityZone, address } = this.#options;
    this.#collector.record(
      EventNumber.BackendServerAnnounced,
      "announces its backend server",
      {
        context: { service: backendServer.service, slots: backendServer.slots },
      },
    );
    this.#membership.announce({
      kind: LogRecordKind.MemberJoined,
      process: self,
      role: Role.Sidecar,
      availabilityZone,
      address,
      backendServer,
    });
  }

  #applyFleetChanges(changes: readonly FleetChange[]): void {
    for (const change of changes) this.#owner.applyFleetChange(change);
  }

  #drain(): void {
    if (this.#drainPhase !== DrainPhase.NotDraining) return;
    this.#drainPhase = DrainPhase.Finishing;
    this.#collector.record(EventNumber.ProcessLeaving, "leaves the fleet");
    this.#runner.drain();
    this.#owner.drain();
  }

  /**
   * Imports start records. Refuses all while it drains, or when one belongs to a shard that this process owns
   * or owned before the current owner: the crash of one process must not lose both the owner's state and the
   * start records of a shard.
   */
  #importRecords(message: HandOverRecords): PeerReply {
    const { self } = this.#options;
    const isOwned = message.records.some(({ shard }) =>
      isCurrentOrPreviousOwner(shard, self, this.#membership.view)
    );
    if (isOwned || this.#drainPhase !== DrainPhase.NotDraining) {
      return { kind: PeerReplyKind.HandoverRefused };
    }
    this.#runner.importRecords(message);
    return { kind: PeerReplyKind.RecordsAccepted };
  }

  #continueDrain(): void {
    switch (this.#drainPhase) {
      case DrainPhase.NotDraining:
      case DrainPhase.Stopped:
        return;
      case DrainPhase.Finishing:
        if (!this.#runner.isIdle || !this.#owner.isIdle) return;
        this.#drainPhase = DrainPhase.HandingOverRecords;
        this.#recordHandover.begin(this.#runner.allStartRecords());
        this.#handOverRecords();
        return;
      case DrainPhase.HandingOverRecords:
        this.#handOverRecords();
        return;
      case DrainPhase.Departing:
        this.#stopIfDeparted();
        return;
      default:
        assertNever(this.#drainPhase);
    }
  }

  #handOverRecords(): void {
    this.#recordHandover.tick();
    switch (this.#recordHandover.phase) {
      case RecordHandoverPhase.Waiting:
      case RecordHandoverPhase.Sending:
        return;
      case RecordHandoverPhase.Accepted:
        this.#depart(RemovalReason.Left);
        return;
      case RecordHandoverPhase.Abandoned:
        this.#depart(RemovalReason.LeftWithoutRecords);
        return;
      default:
        assertNever(this.#recordHandover.phase);
    }
  }

  #depart(reason: RemovalReason): void {
    this.#drainPhase = DrainPhase.Departing;
    this.#membership.leave(reason);
    this.#stopIfDeparted();
  }

  #stopIfDeparted(): void {
    if (!this.#membership.hasLeft) return;
    this.#drainPhase = DrainPhase.Stopped;
    this.#collector.add({ kind: OutputKind.Stop, exitCode: 0 });
  }

  #report(request: RequestIdentifier): void {
    const common = reportFleet(this.#membership, {
      ...this.#options,
      now: this.#collector.now,
      isReady: this.#isReady,
      isLeaving: this.#drainPhase !== DrainPhase.NotDraining,
    });
    const { backendServer } = this.#runner;
    const report: SidecarReport = {
      ...common,
      role: Role.Sidecar,
      load: this.#runner.load(),
      ownedShards: this.#owner.owned(),
      grantedShards: this.#owner.granted(),
      waitingTasks: this.#owner.waitingTasks,
    };
    this.#collector.add({
      kind: OutputKind.AnswerOperator,
      request,
      report: backendServer === undefined
        ? report
        : { ...report, backendServer },
    });
  }

  #reportReadiness(): void {
    const isReady = this.#drainPhase === DrainPhase.NotDraining &&
      this.#membership.isMember &&
      this.#membership.view.configuration.current !== undefined;
    if (isReady === this.#isReady) return;
    this.#isReady = isReady;
    this.#collector.add({ kind: OutputKind.ReportReadiness, isReady });
  }

  #reply({ from, request }: PeerRequestArrived, message: PeerReply): void {
    this.#collector.add({
      kind: OutputKind.SendReply,
      to: from,
      request,
      message,
    });
  }
}
