/**
 * A sidecar process: one view of the fleet, an owner and a runner behind one `step`.
 */
import {
  type FleetChange,
  FleetFollower,
  type Timing,
} from "@eelgrassfront/membership";
import {
  assertNever,
  type BackendServerDescription,
  type BackendServerInput,
  type Decisions,
  EventNumber,
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
  Role,
} from "@eelgrassfront/model";
import { OwnerDecisions } from "@eelgrassfront/owner";
import { RunnerDecisions } from "@eelgrassfront/runner";

/** What a sidecar needs. */
export interface SidecarDecisionsOptions {
  readonly self: ProcessIdentifier;
  readonly availabilityZone: string;
  /** Address at which peers reach this process, as `host:port`. */
  readonly address: string;
  readonly timing: Timing;
  readonly random: () => number;
  readonly shardCount: number;
  readonly ownerCount: number;
  readonly maximumAnswerBytes: number;
  readonly maximumResultBytes: number;
  readonly maximumQueuedTasks: number;
  readonly waitingPerRunner: number;
}

enum LeavingPhase {
  No = "no",
  /** Handing over shards and records, and finishing what runs. */
  HandingOver = "handing-over",
  Stopped = "stopped",
}

/** Decisions of a sidecar. */
export class SidecarDecisions implements Decisions {
  readonly #options: SidecarDecisionsOptions;
  readonly #collector = new OutputCollector();
  readonly #follower: FleetFollower;
  readonly #owner: OwnerDecisions;
  readonly #runner: RunnerDecisions;
  #leaving: LeavingPhase = LeavingPhase.No;
  #recordsRequest: number | undefined;
  #areRecordsTaken = false;
  #isReady = false;

  constructor(options: SidecarDecisionsOptions) {
    this.#options = options;
    const collector = this.#collector;
    this.#follower = new FleetFollower({ ...options, collector });
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
      case InputKind.AppendSettled:
      case InputKind.AppendInDoubt:
        this.#changeFleet(this.#follower.handleLog(input));
        return;
      case InputKind.AlarmRang:
        return;
      case InputKind.DrainAsked:
        this.#leave();
        return;
      case InputKind.SubmissionArrived:
      case InputKind.StandingAsked:
      case InputKind.CancellationAsked:
      case InputKind.CallerGone:
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
    this.#stopIfDone();
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
      case PeerRequestKind.GatherEvidence:
        this.#reply(input, this.#runner.gather(message));
        return;
      case PeerRequestKind.HandOverShards:
        this.#owner.takeOver(waiter, message);
        return;
      case PeerRequestKind.HandOverRecords:
        this.#runner.adopt(message);
        this.#reply(input, { kind: PeerReplyKind.RecordsTaken });
        return;
      case PeerRequestKind.Heartbeat: {
        const answer = this.#follower.heartbeats.answer(message, {
          isLeaving: this.#leaving !== LeavingPhase.No,
          granted: this.#owner.granted(),
        });
        this.#reply(input, answer);
        return;
      }
      default:
        assertNever(message);
    }
  }

  #takeReply(input: PeerReplyArrived): void {
    const { request, message } = input;
    if (message.kind === PeerReplyKind.HeartbeatAnswered) {
      this.#changeFleet(this.#follower.handleAnswer(input, message));
      return;
    }
    if (request === this.#recordsRequest) {
      this.#areRecordsTaken = message.kind === PeerReplyKind.RecordsTaken;
      this.#recordsRequest = undefined;
      return;
    }
    this.#owner.takeReply(request, message);
  }

  #loseRequest(input: PeerRequestLost): void {
    const { request } = input;
    this.#follower.noteLoss(input);
    if (request === this.#recordsRequest) {
      this.#recordsRequest = undefined;
      return;
    }
    if (this.#follower.heartbeats.lose(request)) return;
    this.#owner.loseRequest(request);
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
    for (const change of changes) this.#owner.changeFleet(change);
  }

  #leave(): void {
    if (this.#leaving !== LeavingPhase.No) return;
    this.#leaving = LeavingPhase.HandingOver;
    this.#collector.record(EventNumber.ProcessLeaving, "leaves the fleet");
    this.#runner.leave();
    this.#owner.leave();
  }

  #stopIfDone(): void {
    if (this.#leaving !== LeavingPhase.HandingOver) return;
    if (!this.#runner.isIdle || !this.#owner.isIdle) return;
    if (!this.#areRecordsTaken && this.#handOverRecords()) return;
    this.#leaving = LeavingPhase.Stopped;
    this.#follower.leave();
    this.#collector.add({ kind: OutputKind.Stop, exitCode: 0 });
  }

  /** Hands the start records to another runner; false when there is none to take them. */
  #handOverRecords(): boolean {
    if (this.#recordsRequest !== undefined) return true;
    const successor = this.#follower.view.sidecars().find(({ joined }) =>
      joined.process !== this.#options.self &&
      this.#follower.heartbeats.isReachable(joined.process) &&
      !this.#follower.heartbeats.isLeaving(joined.process)
    );
    if (successor === undefined) return false;
    this.#recordsRequest = this.#collector.nextRequest();
    this.#collector.add({
      kind: OutputKind.SendRequest,
      request: this.#recordsRequest,
      peer: successor.joined.process,
      address: successor.joined.address,
      message: {
        kind: PeerRequestKind.HandOverRecords,
        records: this.#runner.allStarts(),
      },
    });
    return true;
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
