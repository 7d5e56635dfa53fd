/**
 * State machine of an entry. The entry relays each request of a caller to the owner of its shard, and again
 * when the owner changes, until the owner answers or the request times out. The entry decides nothing
 * about a job, so it never answers "not run" by itself: a submission that it cannot deliver is answered
 * as "unknown".
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
  REJECTION_DETAILS,
  submissionOf,
  timeoutOf,
} from "./caller_request.ts";
import { shardOf } from "@eelgrassfront/ownership";
import { EpochTokenTracker } from "./epoch_token_tracker.ts";

/** Identity, timing and limits of an entry. */
export interface EntryDecisionsOptions {
  readonly self: ProcessIdentifier;
  readonly availabilityZone: string;
  /** Address at which peers reach this process, as `host:port`. */
  readonly address: string;
  readonly timing: MembershipTiming;
  /** Addresses of processes that are queried for the configuration while the log is unavailable. */
  readonly seeds?: readonly string[];
  readonly shardCount: number;
  /** Maximum number of pending requests of callers. */
  readonly maximumPending: number;
}

interface PendingRequest extends ArrivedRequest {
  readonly timeoutAt: Milliseconds;
  /** The request to the owner that has no reply yet. */
  request: RequestIdentifier | undefined;
  sentEpoch: Epoch;
  relayAt: Milliseconds;
  /** Delay before the next relay after a loss; doubles while the owner stays the same. */
  relayDelayMilliseconds: Milliseconds;
}

/** First delay before a request is relayed again, also while its shard has no known owner. */
const INITIAL_RELAY_DELAY_MILLISECONDS: Milliseconds = 50;
/** Longest delay before a request is relayed again. */
const MAXIMUM_RELAY_DELAY_MILLISECONDS: Milliseconds = 400;
/** Time after which an unanswered request is relayed again, since the request itself may be lost. */
const RELAY_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;

/** State machine of an entry. */
export class EntryDecisions implements Decisions {
  readonly #options: EntryDecisionsOptions;
  readonly #collector = new OutputCollector();
  readonly #membership: FleetMembership;
  readonly #pending = new Map<CallerRequestIdentifier, PendingRequest>();
  readonly #byRequest = new Map<RequestIdentifier, PendingRequest>();
  readonly #tokens = new EpochTokenTracker();
  #isDraining = false;
  #isDeparting = false;
  #isStopped = false;
  #isReady = false;
  #nextScanAt: Milliseconds | undefined;

  constructor(options: EntryDecisionsOptions) {
    this.#options = options;
    this.#membership = new FleetMembership({
      ...options,
      role: Role.Entry,
      collector: this.#collector,
    });
    this.#membership.announce({
      kind: LogRecordKind.MemberJoined,
      process: options.self,
      role: Role.Entry,
      availabilityZone: options.availabilityZone,
      address: options.address,
    });
  }

  step(now: Milliseconds, input: ProcessInput): readonly ProcessOutput[] {
    this.#collector.begin(now);
    this.#handle(input);
    this.#membership.tick();
    this.#scan();
    this.#reportReadiness();
    this.#stopIfDone();
    return this.#collector.finish();
  }

  nextAlarm(): Milliseconds | undefined {
    if (this.#isStopped) return undefined;
    return Math.min(
      this.#membership.nextAlarm(),
      this.#nextScanAt ?? Infinity,
    );
  }

  #handle(input: ProcessInput): void {
    switch (input.kind) {
      case InputKind.SubmissionArrived:
      case InputKind.StatusRequested:
      case InputKind.CancellationRequested:
        this.#accept(input);
        return;
      case InputKind.CallerDisconnected:
        this.#removePending(input.request);
        return;
      case InputKind.RequestRejected:
        this.#collector.count(Counter.RequestsRejected, input.reason);
        return;
      case InputKind.PeerRequestArrived:
        this.#handleRequest(input);
        return;
      case InputKind.PeerReplyArrived:
        this.#handleReply(input);
        return;
      case InputKind.PeerRequestLost:
        this.#membership.handleLostRequest(input);
        this.#handleLostRequest(input.request);
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
    const rejection = this.#findRejection();
    if (rejection !== undefined) {
      this.#reject(input.request, rejection);
      return;
    }
    const { now } = this.#collector;
    const submission = submissionOf(input);
    const pending: PendingRequest = {
      input,
      shard: shardOf(submission, this.#options.shardCount),
      arrivedAt: now,
      timeoutAt: now + timeoutOf(input),
      request: undefined,
      sentEpoch: 0,
      relayAt: now,
      relayDelayMilliseconds: INITIAL_RELAY_DELAY_MILLISECONDS,
    };
    this.#pending.set(input.request, pending);
    this.#relay(pending);
  }

  #findRejection(): RejectionReason | undefined {
    if (this.#isDraining) return RejectionReason.EntryLeaving;
    if (!this.#isReady) return RejectionReason.EntryNotReady;
    if (this.#pending.size >= this.#options.maximumPending) {
      return RejectionReason.EntryBusy;
    }
    return undefined;
  }

  #relay(pending: PendingRequest): void {
    const { now } = this.#collector;
    const ownership = this.#membership.view.ownership.find(pending.shard);
    const owner = ownership === undefined
      ? undefined
      : this.#membership.view.find(ownership.owner);
    if (ownership === undefined || owner === undefined) {
      pending.relayAt = now + INITIAL_RELAY_DELAY_MILLISECONDS;
      this.#scheduleScan(pending.relayAt);
      return;
    }
    if (pending.request !== undefined) this.#byRequest.delete(pending.request);
    const request = this.#collector.nextRequest();
    pending.request = request;
    pending.sentEpoch = ownership.epoch;
    pending.relayAt = now + RELAY_TIMEOUT_MILLISECONDS;
    this.#byRequest.set(request, pending);
    this.#scheduleScan(Math.min(pending.relayAt, pending.timeoutAt));
    this.#collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: ownership.owner,
      address: owner.joined.address,
      message: messageFor(pending, now),
    });
  }

  #handleRequest(input: PeerRequestArrived): void {
    const { message, from, request } = input;
    const reply = message.kind === PeerRequestKind.Heartbeat
      ? this.#membership.heartbeats.buildReply(message, {
        isLeaving: this.#isDraining,
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

  #handleReply(input: PeerReplyArrived): void {
    const { message, request } = input;
    if (message.kind === PeerReplyKind.HeartbeatAnswered) {
      this.#recordGrants(message.granted);
      this.#applyFleetChanges(
        this.#membership.handleHeartbeatReply(input, message),
      );
      return;
    }
    if (
      message.kind === PeerReplyKind.IncarnationMismatch &&
      this.#membership.redirectSeedQuery(request, message)
    ) return;
    const pending = this.#byRequest.get(request);
    if (pending === undefined) return;
    this.#byRequest.delete(request);
    pending.request = undefined;
    this.#applyReply(pending, message);
  }

  #applyReply(pending: PendingRequest, message: PeerReply): void {
    switch (message.kind) {
      case PeerReplyKind.JobAnswered:
        this.#recordGrants([{ shard: pending.shard, epoch: message.epoch }]);
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
        this.#scheduleRelay(pending, RetryReason.OwnerChanged);
        return;
      case PeerReplyKind.TaskEnded:
      case PeerReplyKind.TaskRefused:
      case PeerReplyKind.TaskStarted:
      case PeerReplyKind.StartRecordsCollected:
      case PeerReplyKind.ShardsAccepted:
      case PeerReplyKind.RecordsAccepted:
      case PeerReplyKind.HandoverRefused:
      case PeerReplyKind.HeartbeatAnswered:
        this.#scheduleRelay(pending, RetryReason.OwnerLost);
        return;
      default:
        assertNever(message);
    }
  }

  #handleLostRequest(request: RequestIdentifier): void {
    if (this.#membership.heartbeats.handleLostRequest(request)) return;
    const pending = this.#byRequest.get(request);
    if (pending === undefined) return;
    this.#byRequest.delete(request);
    pending.request = undefined;
    this.#scheduleRelay(pending, RetryReason.OwnerLost);
  }

  #scheduleRelay(pending: PendingRequest, reason: RetryReason): void {
    this.#collector.count(Counter.RequestsLost, reason);
    const delay = pending.relayDelayMilliseconds;
    pending.relayAt = this.#collector.now + delay;
    pending.relayDelayMilliseconds = Math.min(
      2 * delay,
      MAXIMUM_RELAY_DELAY_MILLISECONDS,
    );
    this.#scheduleScan(pending.relayAt);
  }

  #scheduleScan(at: Milliseconds): void {
    this.#nextScanAt = Math.min(this.#nextScanAt ?? Infinity, at);
  }

  #scan(): void {
    const { now } = this.#collector;
    if (this.#nextScanAt === undefined || this.#nextScanAt > now) return;
    this.#nextScanAt = undefined;
    for (const pending of [...this.#pending.values()]) {
      if (pending.timeoutAt <= now) this.#timeOut(pending);
      else if (pending.relayAt <= now) this.#relay(pending);
      else this.#scheduleScan(Math.min(pending.relayAt, pending.timeoutAt));
    }
  }

  #timeOut(pending: PendingRequest): void {
    const ownership = this.#membership.view.ownership.find(pending.shard);
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

  #applyFleetChanges(changes: readonly FleetChange[]): void {
    for (const change of changes) {
      if (change.kind !== FleetChangeKind.OwnershipChanged) continue;
      this.#tokens.recordClaim(change.ownership);
      this.#relayToNewOwner(change.ownership.shard, change.ownership.epoch);
    }
  }

  #relayToNewOwner(shard: ShardNumber, epoch: Epoch): void {
    for (const pending of this.#pending.values()) {
      if (pending.shard !== shard || pending.sentEpoch >= epoch) continue;
      this.#collector.count(Counter.RequestsLost, RetryReason.OwnerChanged);
      pending.relayDelayMilliseconds = INITIAL_RELAY_DELAY_MILLISECONDS;
      this.#relay(pending);
    }
  }

  #recordGrants(granted: readonly ShardEpoch[]): void {
    for (const { shard, epoch } of granted) {
      this.#tokens.recordGrant(shard, epoch);
    }
  }

  #epochToken(): Epoch {
    const { view } = this.#membership;
    return this.#tokens.tokenAt(view.nextOffset, view.ownership.all());
  }

  #answerOutcome(pending: PendingRequest, outcome: JobOutcome): void {
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
    this.#removePending(request);
    this.#collector.add({
      kind: OutputKind.AnswerCaller,
      request,
      answer,
      epochToken: this.#epochToken(),
    });
  }

  #removePending(request: CallerRequestIdentifier): void {
    const pending = this.#pending.get(request);
    if (pending === undefined) return;
    this.#pending.delete(request);
    if (pending.request !== undefined) this.#byRequest.delete(pending.request);
  }

  #drain(): void {
    if (this.#isDraining) return;
    this.#isDraining = true;
    this.#collector.record(EventNumber.ProcessLeaving, "leaves the fleet");
  }

  #stopIfDone(): void {
    if (!this.#isDraining || this.#isStopped || this.#pending.size > 0) return;
    if (!this.#isDeparting) this.#membership.leave(RemovalReason.Left);
    this.#isDeparting = true;
    if (!this.#membership.hasLeft) return;
    this.#isStopped = true;
    this.#collector.add({ kind: OutputKind.Stop, exitCode: 0 });
  }

  #report(request: RequestIdentifier): void {
    const common = reportFleet(this.#membership, {
      ...this.#options,
      now: this.#collector.now,
      isReady: this.#isReady,
      isLeaving: this.#isDraining,
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
    const isReady = !this.#isDraining &&
      this.#membership.view.configuration.current !== undefined &&
      this.#membership.view.sidecars().length > 0;
    if (isReady === this.#isReady) return;
    this.#isReady = isReady;
    this.#collector.add({ kind: OutputKind.ReportReadiness, isReady });
  }
}
