/**
 * A sidecar process: one view of the fleet, an owner and a runner behind one `step`.
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
  isOwnerOf,
  RecordHandOver,
  RecordHandOverPhase,
} from "./record_hand_over.ts";

/** What a sidecar needs. */
export interface SidecarDecisionsOptions {
  readonly self: ProcessIdentifier;
  readonly availabilityZone: string;
  /** Address at which peers reach this process, as `host:port`. */
  readonly address: string;
  readonly timing: MembershipTiming;
  /** Addresses of processes that are asked for the configuration while the log is away. */
  readonly seeds?: readonly string[];
  readonly random: () => number;
  readonly shardCount: number;
  readonly ownerCount: number;
  readonly maximumAnswerBytes: number;
  readonly maximumResultBytes: number;
  readonly maximumQueuedTasks: number;
  /** Baselines to measure against choose another placement. */
  readonly placementPolicy?: PlacementPolicy;
  readonly queueDiscipline?: QueueDisciplineKind;
}

enum LeavingPhase {
  No = "no",
  /** Handing over shards, and finishing what runs. */
  Finishing = "finishing",
  /** Handing over the start records. */
  HandingOverRecords = "handing-over-records",
  /** Waiting until the log shows that the process left. */
  Departing = "departing",
  Stopped = "stopped",
}

/** Decisions of a sidecar. */
export class SidecarDecisions implements Decisions {
  readonly #options: SidecarDecisionsOptions;
  readonly #collector = new OutputCollector();
  readonly #follower: FleetMembership;
  readonly #owner: OwnerDecisions;
  readonly #runner: RunnerDecisions;
  #leaving: LeavingPhase = LeavingPhase.No;
  readonly #recordHandOver: RecordHandOver;
  #isReady = false;

  constructor(options: SidecarDecisionsOptions) {
    this.#options = options;
    const collector = this.#collector;
    this.#follower = new FleetMembership({
      ...options,
      role: Role.Sidecar,
      collector,
    });
    this.#recordHandOver = new RecordHandOver({
      ...options,
      collector,
      follower: this.#follower,
    });
    this.#owner = new OwnerDecisions({
      ...options,
      collector,
      follower: this.#follower,
    });
    this.#runner = new RunnerDecisions({
      ...options,
      collector,
      horizonMilliseconds: options.timing.horizonMilliseconds,
      isFresh: () => this.#follower.heartbeats.isFresh(),
    });
  }

  step(now: Milliseconds, input: ProcessInput): readonly ProcessOutput[] {
    this.#collector.begin(now);
    this.#take(input);
    this.#tick();
    return this.#collector.finish();
  }

  nextAlarm(): Milliseconds | undefined {
    if (this.#leaving === LeavingPhase.Stopped) return undefined;
    const owner = this.#owner.nextAlarm() ?? Infinity;
    return Math.min(owner, this.#follower.nextAlarm());
  }

  #take(input: ProcessInput): void {
    switch (input.kind) {
      case InputKind.PeerRequestArrived:
        this.#takeRequest(input);
        return;
      case InputKind.PeerReplyArrived:
        this.#takeReply(input);
        return;
      case InputKind.PeerRequestLost:
        this.#loseRequest(input);
        return;
      case InputKind.TaskExecutionEnded:
      case InputKind.TaskNotSent:
      case InputKind.BackendServerDescribed:
      case InputKind.BackendServerUnreachable:
        this.#takeBackendServer(input);
        return;
      case InputKind.LogRecordsRead:
      case InputKind.LogUnavailable:
      case InputKind.AppendConfirmed:
      case InputKind.AppendIndeterminate:
        this.#changeFleet(this.#follower.handleLogInput(input));
        return;
      case InputKind.AlarmFired:
        return;
      case InputKind.DrainRequested:
        this.#leave();
        return;
      case InputKind.ReportRequested:
        this.#report(input.request);
        return;
      case InputKind.SubmissionArrived:
      case InputKind.StatusRequested:
      case InputKind.CancellationRequested:
      case InputKind.CallerDisconnected:
      case InputKind.RequestRejected:
        // Callers reach entries only; a sidecar opens no port for them.
        return;
      default:
        assertNever(input);
    }
  }

  #tick(): void {
    this.#follower.tick();
    this.#owner.tick();
    this.#runner.tick();
    this.#reportReadiness();
    this.#leaveFurther();
  }

  #takeRequest(input: PeerRequestArrived): void {
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
        this.#reply(input, this.#adopt(message));
        return;
      case PeerRequestKind.Heartbeat: {
        const answer = this.#follower.heartbeats.answer(message, {
          isLeaving: this.#leaving !== LeavingPhase.No,
          granted: this.#owner.granted(),
          load: this.#runner.load(),
        });
        this.#reply(input, answer);
        return;
      }
      default:
        assertNever(message);
    }
  }

  #takeReply(input: PeerReplyArrived): void {
    const { from, request, message } = input;
    if (message.kind === PeerReplyKind.HeartbeatAnswered) {
      this.#changeFleet(this.#follower.handleHeartbeatReply(input, message));
      if (message.load !== undefined) {
        this.#owner.updateRunnerLoad(from, message.load);
      }
      return;
    }
    if (
      message.kind === PeerReplyKind.IncarnationMismatch &&
      this.#follower.redirectSeedQuery(request, message)
    ) return;
    if (this.#recordHandOver.takeReply(request, message)) return;
    this.#owner.handleReply(request, message);
  }

  #loseRequest(input: PeerRequestLost): void {
    const { request } = input;
    this.#follower.handleLostRequest(input);
    if (this.#recordHandOver.loseRequest(request)) return;
    if (this.#follower.heartbeats.handleLostRequest(request)) return;
    this.#owner.handleLostRequest(request);
  }

  #takeBackendServer(input: BackendServerInput): void {
    switch (input.kind) {
      case InputKind.TaskExecutionEnded:
        this.#runner.end(input.attempt, input.end);
        return;
      case InputKind.TaskNotSent:
        this.#runner.takeBack(input.attempt);
        return;
      case InputKind.BackendServerDescribed:
        this.#runner.describeBackendServer(input.description);
        this.#announce(input.description);
        return;
      case InputKind.BackendServerUnreachable:
        this.#runner.loseBackendServer(input.error);
        return;
      default:
        assertNever(input);
    }
  }

  #announce(backendServer: BackendServerDescription): void {
    if (this.#leaving !== LeavingPhase.No || this.#follower.isMember) return;
    const { self, availabilityZone, address } = this.#options;
    this.#collector.record(
      EventNumber.BackendServerAnnounced,
      "announces its backend server",
      {
        context: { service: backendServer.service, slots: backendServer.slots },
      },
    );
    this.#follower.announce({
      kind: LogRecordKind.MemberJoined,
      process: self,
      role: Role.Sidecar,
      availabilityZone,
      address,
      backendServer,
    });
  }

  #changeFleet(changes: readonly FleetChange[]): void {
    for (const change of changes) this.#owner.applyFleetChange(change);
  }

  #leave(): void {
    if (this.#leaving !== LeavingPhase.No) return;
    this.#leaving = LeavingPhase.Finishing;
    this.#collector.record(EventNumber.ProcessLeaving, "leaves the fleet");
    this.#runner.leave();
    this.#owner.drain();
  }

  /** Keeps records, but none of a shard that was owned here: one death must not take decision and evidence. */
  #adopt(message: HandOverRecords): PeerReply {
    const { self } = this.#options;
    const isOwned = message.records.some(({ shard }) =>
      isOwnerOf(shard, self, this.#follower.view)
    );
    if (isOwned || this.#leaving !== LeavingPhase.No) {
      return { kind: PeerReplyKind.HandOverRefused };
    }
    this.#runner.adopt(message);
    return { kind: PeerReplyKind.RecordsAccepted };
  }

  #leaveFurther(): void {
    switch (this.#leaving) {
      case LeavingPhase.No:
      case LeavingPhase.Stopped:
        return;
      case LeavingPhase.Finishing:
        if (!this.#runner.isIdle || !this.#owner.isIdle) return;
        this.#leaving = LeavingPhase.HandingOverRecords;
        this.#recordHandOver.begin(this.#runner.allStarts());
        this.#handOverRecords();
        return;
      case LeavingPhase.HandingOverRecords:
        this.#handOverRecords();
        return;
      case LeavingPhase.Departing:
        this.#stopIfDeparted();
        return;
      default:
        assertNever(this.#leaving);
    }
  }

  #handOverRecords(): void {
    this.#recordHandOver.tick();
    switch (this.#recordHandOver.phase) {
      case RecordHandOverPhase.Waiting:
      case RecordHandOverPhase.Sending:
        return;
      case RecordHandOverPhase.Taken:
        this.#depart(RemovalReason.Left);
        return;
      case RecordHandOverPhase.GivenUp:
        this.#depart(RemovalReason.LeftWithoutRecords);
        return;
      default:
        assertNever(this.#recordHandOver.phase);
    }
  }

  #depart(reason: RemovalReason): void {
    this.#leaving = LeavingPhase.Departing;
    this.#follower.leave(reason);
    this.#stopIfDeparted();
  }

  #stopIfDeparted(): void {
    if (!this.#follower.hasLeft) return;
    this.#leaving = LeavingPhase.Stopped;
    this.#collector.add({ kind: OutputKind.Stop, exitCode: 0 });
  }

  #report(request: RequestIdentifier): void {
    const common = reportFleet(this.#follower, {
      ...this.#options,
      now: this.#collector.now,
      isReady: this.#isReady,
      isLeaving: this.#leaving !== LeavingPhase.No,
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
    const isReady = this.#leaving === LeavingPhase.No &&
      this.#follower.isMember &&
      this.#follower.view.configuration.current !== undefined;
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
