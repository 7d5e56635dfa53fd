/**
 * Decisions of the entry: it relays each caller's request to the owner of its shard, and again when
 * the owner changes, until the owner answers or time is up. It decides nothing about a job itself, so
 * it never says "not run" on its own: what it could not deliver is "unknown".
 */
import {
  type FleetChange,
  FleetChangeKind,
  FleetMembership,
  type MembershipTiming,
  reportFleet,
} from "@eelgrassfront/membership";
import {
  assertNever,
  type CallerAnswer,
  CallerAnswerKind,
  type CallerRequestIdentifier,
  Counter,
  type Decisions,
  type Epoch,
  EventNumber,
  InputKind,
  type JobOutcome,
  JobOutcomeKind,
  LogRecordKind,
  type Milliseconds,
  OutputCollector,
  OutputKind,
  type PeerReply,
  type PeerReplyArrived,
  PeerReplyKind,
  type PeerRequestArrived,
  PeerRequestKind,
  type ProcessIdentifier,
  type ProcessInput,
  type ProcessOutput,
  RejectionReason,
  RemovalReason,
  type RequestIdentifier,
  RetryReason,
  Role,
  Severity,
  type ShardEpoch,
  type ShardNumber,
  Step,
  UnknownReason,
} from "@eelgrassfront/model";
import {
  type ArrivedRequest,
  type CallerRequest,
  messageFor,
  patienceOf,
  REJECTION_DETAILS,
  submissionOf,
} from "./caller_request.ts";
import { shardOf } from "@eelgrassfront/ownership";
import { EpochTokens } from "./epoch_tokens.ts";

/** What an entry needs. */
export interface EntryDecisionsOptions {
  readonly self: ProcessIdentifier;
  readonly availabilityZone: string;
  /** Address at which peers reach this process, as `host:port`. */
  readonly address: string;
  readonly timing: MembershipTiming;
  /** Addresses of processes that are asked for the configuration while the log is away. */
  readonly seeds?: readonly string[];
  readonly shardCount: number;
  /** Requests of callers that may wait at once. */
  readonly maximumPending: number;
}

interface Pending extends ArrivedRequest {
  readonly giveUpAt: Milliseconds;
  /** The request to the owner that is awaited. */
  request: RequestIdentifier | undefined;
  sentEpoch: Epoch;
  relayAt: Milliseconds;
  /** Time until the next relay after a loss; it doubles while the owner stays the same. */
  relayAgainMilliseconds: Milliseconds;
}

const RELAY_AGAIN_MILLISECONDS: Milliseconds = 50;
const LONGEST_RELAY_AGAIN_MILLISECONDS: Milliseconds = 400;
/** An owner that has not answered is asked again, since the request itself may be lost. */
const RELAY_CHECK_MILLISECONDS: Milliseconds = 5_000;

/** Decisions of an entry. */
export class EntryDecisions implements Decisions {
  readonly #options: EntryDecisionsOptions;
  readonly #collector = new OutputCollector();
  readonly #follower: FleetMembership;
  readonly #pending = new Map<CallerRequestIdentifier, Pending>();
  readonly #byRequest = new Map<RequestIdentifier, Pending>();
  readonly #tokens = new EpochTokens();
  #isLeaving = false;
  #isDeparting = false;
  #isStopped = false;
  #isReady = false;
  #nextScanAt: Milliseconds | undefined;

  constructor(options: EntryDecisionsOptions) {
    this.#options = options;
    this.#follower = new FleetMembership({
      ...options,
      role: Role.Entry,
      collector: this.#collector,
    });
    this.#follower.announce({
      kind: LogRecordKind.MemberJoined,
      process: options.self,
      role: Role.Entry,
      availabilityZone: options.availabilityZone,
      address: options.address,
    });
  }

  step(now: Milliseconds, input: ProcessInput): readonly ProcessOutput[] {
    this.#collector.begin(now);
    this.#take(input);
    this.#follower.tick();
    this.#scan();
    this.#reportReadiness();
    this.#stopIfDone();
    return this.#collector.finish();
  }

  nextAlarm(): Milliseconds | undefined {
    if (this.#isStopped) return undefined;
    return Math.min(
      this.#follower.nextAlarm(),
      this.#nextScanAt ?? Infinity,
    );
  }

  #take(input: ProcessInput): void {
    switch (input.kind) {
      case InputKind.SubmissionArrived:
      case InputKind.StatusRequested:
      case InputKind.CancellationRequested:
        this.#accept(input);
        return;
      case InputKind.CallerDisconnected:
        this.#forget(input.request);
        return;
      case InputKind.RequestRejected:
        this.#collector.count(Counter.RequestsRejected, input.reason);
        return;
      case InputKind.PeerRequestArrived:
        this.#takeRequest(input);
        return;
      case InputKind.PeerReplyArrived:
        this.#takeReply(input);
        return;
      case InputKind.PeerRequestLost:
        this.#follower.handleLostRequest(input);
        this.#loseRequest(input.request);
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
      case InputKind.TaskExecutionEnded:
      case InputKind.TaskNotSent:
      case InputKind.BackendServerDescribed:
      case InputKind.BackendServerUnreachable:
        // An entry has no backend server.
        return;
      default:
        assertNever(input);
    }
  }

  #accept(input: CallerRequest): void {
    const rejection = this.#rejectionOf();
    if (rejection !== undefined) {
      this.#reject(input.request, rejection);
      return;
    }
    const { now } = this.#collector;
    const submission = submissionOf(input);
    const pending: Pending = {
      input,
      shard: shardOf(submission, this.#options.shardCount),
      arrivedAt: now,
      giveUpAt: now + patienceOf(input),
      request: undefined,
      sentEpoch: 0,
      relayAt: now,
      relayAgainMilliseconds: RELAY_AGAIN_MILLISECONDS,
    };
    this.#pending.set(input.request, pending);
    this.#relay(pending);
  }

  #rejectionOf(): RejectionReason | undefined {
    if (this.#isLeaving) return RejectionReason.EntryLeaving;
    if (!this.#isReady) return RejectionReason.EntryNotReady;
    if (this.#pending.size >= this.#options.maximumPending) {
      return RejectionReason.EntryBusy;
    }
    return undefined;
  }

  #relay(pending: Pending): void {
    const { now } = this.#collector;
    const ownership = this.#follower.view.ownership.find(pending.shard);
    const owner = ownership === undefined
      ? undefined
      : this.#follower.view.find(ownership.owner);
    if (ownership === undefined || owner === undefined) {
      pending.relayAt = now + RELAY_AGAIN_MILLISECONDS;
      this.#wakeAt(pending.relayAt);
      return;
    }
    if (pending.request !== undefined) this.#byRequest.delete(pending.request);
    const request = this.#collector.nextRequest();
    pending.request = request;
    pending.sentEpoch = ownership.epoch;
    pending.relayAt = now + RELAY_CHECK_MILLISECONDS;
    this.#byRequest.set(request, pending);
    this.#wakeAt(Math.min(pending.relayAt, pending.giveUpAt));
    this.#collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: ownership.owner,
      address: owner.joined.address,
      message: messageFor(pending, now),
    });
  }

  #takeRequest(input: PeerRequestArrived): void {
    const { message, from, request } = input;
    const reply = message.kind === PeerRequestKind.Heartbeat
      ? this.#follower.heartbeats.answer(message, {
        isLeaving: this.#isLeaving,
        granted: [],
      })
      : this.#notOwner();
    this.#collector.add({
      kind: OutputKind.SendReply,
      to: from,
      request,
      message: reply,
    });
  }

  #notOwner(): PeerReply {
    return { kind: PeerReplyKind.NotOwner, knownEpoch: 0 };
  }

  #takeReply(input: PeerReplyArrived): void {
    const { message, request } = input;
    if (message.kind === PeerReplyKind.HeartbeatAnswered) {
      this.#noteGrants(message.granted);
      this.#changeFleet(this.#follower.handleHeartbeatReply(input, message));
      return;
    }
    if (
      message.kind === PeerReplyKind.IncarnationMismatch &&
      this.#follower.redirectSeedQuery(request, message)
    ) return;
    const pending = this.#byRequest.get(request);
    if (pending === undefined) return;
    this.#byRequest.delete(request);
    pending.request = undefined;
    this.#settle(pending, message);
  }

  #settle(pending: Pending, message: PeerReply): void {
    switch (message.kind) {
      case PeerReplyKind.JobAnswered:
        this.#noteGrants([{ shard: pending.shard, epoch: message.epoch }]);
        if (message.isKeyReused) {
          this.#reject(pending.input.request, RejectionReason.KeyReused);
        } else this.#answerOutcome(pending, message.outcome);
        return;
      case PeerReplyKind.JobStatus:
        this.#answer(pending.input.request, {
          kind: CallerAnswerKind.Status,
          standing: message,
        });
        return;
      case PeerReplyKind.NotOwner:
      case PeerReplyKind.IncarnationMismatch:
        this.#relayLater(pending, RetryReason.OwnerChanged);
        return;
      case PeerReplyKind.TaskEnded:
      case PeerReplyKind.TaskRefused:
      case PeerReplyKind.TaskStarted:
      case PeerReplyKind.StartRecordsCollected:
      case PeerReplyKind.ShardsAccepted:
      case PeerReplyKind.RecordsAccepted:
      case PeerReplyKind.HandOverRefused:
      case PeerReplyKind.HeartbeatAnswered:
        this.#relayLater(pending, RetryReason.OwnerLost);
        return;
      default:
        assertNever(message);
    }
  }

  #loseRequest(request: RequestIdentifier): void {
    if (this.#follower.heartbeats.handleLostRequest(request)) return;
    const pending = this.#byRequest.get(request);
    if (pending === undefined) return;
    this.#byRequest.delete(request);
    pending.request = undefined;
    this.#relayLater(pending, RetryReason.OwnerLost);
  }

  #relayLater(pending: Pending, reason: RetryReason): void {
    this.#collector.count(Counter.RequestsLost, reason);
    const delay = pending.relayAgainMilliseconds;
    pending.relayAt = this.#collector.now + delay;
    pending.relayAgainMilliseconds = Math.min(
      2 * delay,
      LONGEST_RELAY_AGAIN_MILLISECONDS,
    );
    this.#wakeAt(pending.relayAt);
  }

  #wakeAt(at: Milliseconds): void {
    this.#nextScanAt = Math.min(this.#nextScanAt ?? Infinity, at);
  }

  #scan(): void {
    const { now } = this.#collector;
    if (this.#nextScanAt === undefined || this.#nextScanAt > now) return;
    this.#nextScanAt = undefined;
    for (const pending of [...this.#pending.values()]) {
      if (pending.giveUpAt <= now) this.#giveUp(pending);
      else if (pending.relayAt <= now) this.#relay(pending);
      else this.#wakeAt(Math.min(pending.relayAt, pending.giveUpAt));
    }
  }

  #giveUp(pending: Pending): void {
    const ownership = this.#follower.view.ownership.find(pending.shard);
    const outcome: JobOutcome = {
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.OwnerUnreachable,
      step: Step.RelayJob,
    };
    this.#collector.count(Counter.JobsUnknown, outcome.reason);
    this.#answerOutcome(
      pending,
      ownership === undefined ? outcome : { ...outcome, peer: ownership.owner },
    );
  }

  #changeFleet(changes: readonly FleetChange[]): void {
    for (const change of changes) {
      if (change.kind !== FleetChangeKind.OwnershipChanged) continue;
      this.#tokens.noteClaim(change.ownership);
      this.#relayToNewOwner(change.ownership.shard, change.ownership.epoch);
    }
  }

  #relayToNewOwner(shard: ShardNumber, epoch: Epoch): void {
    for (const pending of this.#pending.values()) {
      if (pending.shard !== shard || pending.sentEpoch >= epoch) continue;
      this.#collector.count(Counter.RequestsLost, RetryReason.OwnerChanged);
      pending.relayAgainMilliseconds = RELAY_AGAIN_MILLISECONDS;
      this.#relay(pending);
    }
  }

  #noteGrants(granted: readonly ShardEpoch[]): void {
    for (const { shard, epoch } of granted) {
      this.#tokens.noteGrant(shard, epoch);
    }
  }

  #epochToken(): Epoch {
    const { view } = this.#follower;
    return this.#tokens.tokenAt(view.nextOffset, view.ownership.all());
  }

  #answerOutcome(pending: Pending, outcome: JobOutcome): void {
    if (outcome.kind === JobOutcomeKind.Unknown) {
      this.#collector.record(
        EventNumber.JobUnknown,
        "the outcome of a job is unknown",
        {
          severity: Severity.Warning,
          context: {
            submission: submissionOf(pending.input),
            reason: outcome.reason,
          },
        },
      );
    }
    this.#answer(pending.input.request, {
      kind: CallerAnswerKind.Outcome,
      outcome,
    });
  }

  #reject(request: CallerRequestIdentifier, reason: RejectionReason): void {
    this.#collector.count(Counter.RequestsRejected, reason);
    this.#answer(request, {
      kind: CallerAnswerKind.Rejection,
      reason,
      detail: REJECTION_DETAILS.get(reason) ?? reason,
    });
  }

  #answer(request: CallerRequestIdentifier, answer: CallerAnswer): void {
    this.#forget(request);
    this.#collector.add({
      kind: OutputKind.AnswerCaller,
      request,
      answer,
      epochToken: this.#epochToken(),
    });
  }

  #forget(request: CallerRequestIdentifier): void {
    const pending = this.#pending.get(request);
    if (pending === undefined) return;
    this.#pending.delete(request);
    if (pending.request !== undefined) this.#byRequest.delete(pending.request);
  }

  #leave(): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.#collector.record(EventNumber.ProcessLeaving, "leaves the fleet");
  }

  #stopIfDone(): void {
    if (!this.#isLeaving || this.#isStopped || this.#pending.size > 0) return;
    if (!this.#isDeparting) this.#follower.leave(RemovalReason.Left);
    this.#isDeparting = true;
    if (!this.#follower.hasLeft) return;
    this.#isStopped = true;
    this.#collector.add({ kind: OutputKind.Stop, exitCode: 0 });
  }

  #report(request: RequestIdentifier): void {
    const common = reportFleet(this.#follower, {
      ...this.#options,
      now: this.#collector.now,
      isReady: this.#isReady,
      isLeaving: this.#isLeaving,
    });
    this.#collector.add({
      kind: OutputKind.AnswerOperator,
      request,
      report: {
        ...common,
        role: Role.Entry,
        waitingRequests: this.#pending.size,
        epochToken: this.#epochToken(),
      },
    });
  }

  #reportReadiness(): void {
    const isReady = !this.#isLeaving &&
      this.#follower.view.configuration.current !== undefined &&
      this.#follower.view.sidecars().length > 0;
    if (isReady === this.#isReady) return;
    this.#isReady = isReady;
    this.#collector.add({ kind: OutputKind.ReportReadiness, isReady });
  }
}
