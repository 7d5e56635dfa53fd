/**
 * State machine of the owner of shards. The owner detects whether a submission is new, a duplicate, or one
 * that may have started before without a known outcome. The owner runs the job and assembles the single
 * answer. It answers for a shard only while the shard is granted and its view of the log is fresh.
 */
import {
  type FleetChange,
  FleetChangeKind,
  type FleetMembership,
  type Member,
  type MembershipTiming,
} from "@eelgrassfront/membership";
import {
  assertNever,
  type CancelJob,
  EventNumber,
  FailureReason,
  Gauge,
  type HandOverShards,
  JobState,
  type Milliseconds,
  NotRunReason,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type ProcessIdentifier,
  type QueryJob,
  type RequestIdentifier,
  type RunnerLoad,
  Severity,
  type ShardEpoch,
  type ShardNumber,
  type SubmissionIdentifier,
  type SubmitJob,
} from "@eelgrassfront/model";
import type { QueueDisciplineKind } from "@eelgrassfront/fairness";
import type { PlacementPolicy } from "@eelgrassfront/placement";
import { shardOf } from "@eelgrassfront/ownership";
import { AnswerStore } from "./answer_store.ts";
import { StartRecordIndex } from "./start_record_index.ts";
import { JobPhase, type JobWaiter, TaskPhase } from "./job.ts";
import { JobCompletion } from "./job_completion.ts";
import { JobTable } from "./job_table.ts";
import { OwnerReplies, type RequestOrigin } from "./owner_replies.ts";
import { ShardClaimer } from "./shard_claimer.ts";
import { ShardGrants, ShardStatus } from "./shard_grants.ts";
import { ShardHandover } from "./shard_handover.ts";
import {
  type RelayedSubmission,
  SubmissionHandler,
} from "./submission_handler.ts";
import { TaskDispatcher } from "./task_dispatcher.ts";

/** Collaborators and limits of an `OwnerDecisions`. */
export interface OwnerDecisionsOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly membership: FleetMembership;
  readonly timing: MembershipTiming;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly random: () => number;
  readonly shardCount: number;
  /** Number of sidecars that own shards at the same time. */
  readonly ownerCount: number;
  /** Total bytes of stored answers that keep their content. */
  readonly maximumAnswerBytes: number;
  readonly placementPolicy?: PlacementPolicy;
  readonly queueDiscipline?: QueueDisciplineKind;
}

/** Decides for the shards that this process owns. */
export class OwnerDecisions {
  readonly #options: OwnerDecisionsOptions;
  readonly #answers: AnswerStore;
  readonly #startRecords: StartRecordIndex;
  readonly #claims: ShardClaimer;
  readonly #grants: ShardGrants;
  readonly #dispatcher: TaskDispatcher;
  readonly #jobs = new JobTable();
  readonly #replies: OwnerReplies;
  readonly #completion: JobCompletion;
  readonly #submissions: SubmissionHandler;
  readonly #handover: ShardHandover;
  /** Submissions that wait for the grant of their shard. */
  readonly #heldSubmissions = new Map<ShardNumber, RelayedSubmission[]>();
  #isDraining = false;

  constructor(options: OwnerDecisionsOptions) {
    this.#options = options;
    const { timing } = options;
    this.#answers = new AnswerStore({
      horizonMilliseconds: timing.horizonMilliseconds,
      maximumAnswerBytes: options.maximumAnswerBytes,
    });
    this.#startRecords = new StartRecordIndex(timing);
    this.#claims = new ShardClaimer(options);
    this.#grants = new ShardGrants({
      ...options,
      startRecords: this.#startRecords,
      onGranted: (shard) => this.#handleHeldSubmissions(shard),
    });
    this.#replies = new OwnerReplies({
      collector: options.collector,
      ownedEpochOf: (shard) => this.#grants.epochOf(shard),
      knownEpochOf: (shard) => options.membership.view.ownership.epochOf(shard),
    });
    this.#handover = new ShardHandover({
      ...options,
      grants: this.#grants,
      answersOf: (shards) =>
        this.#answers.answersWhere((submission) =>
          shards.has(shardOf(submission, options.shardCount))
        ),
      onAbandoned: (shard) => {
        this.#grants.relinquish(shard);
        this.#dropShard(shard);
      },
    });
    this.#dispatcher = new TaskDispatcher({
      ...options,
      mayPlace: (job) => this.#isGranted(job.options.shard),
      onTaskEnded: (job, index) => this.#completion.handleTaskEnd(job, index),
      onTaskRefused: (job, index, reason) =>
        this.#completion.handleTaskRefusal(job, index, reason),
      onTaskLost: (job, runner) => this.#completion.handleTaskLoss(job, runner),
    });
    const shared = {
      ...options,
      jobs: this.#jobs,
      answers: this.#answers,
      replies: this.#replies,
    };
    this.#completion = new JobCompletion({
      ...shared,
      isGranted: (shard) => this.#isGranted(shard),
      isSuspended: (shard) => this.#grants.isSuspended(shard),
      cancelPlacements: (job) => this.#dispatcher.cancel(job),
      enqueueRetry: (job, index) => this.#dispatcher.enqueueRetry(job, index),
    });
    this.#submissions = new SubmissionHandler({
      ...shared,
      startRecords: this.#startRecords,
      grants: this.#grants,
      dispatcher: this.#dispatcher,
      completion: this.#completion,
    });
  }

  /** Returns the shards granted to this owner. */
  granted(): readonly ShardEpoch[] {
    return this.#grants.granted();
  }

  /** Returns the shards owned, granted or not. */
  owned(): readonly ShardEpoch[] {
    return this.#grants.owned();
  }

  /** Number of tasks that wait for a runner. */
  get waitingTasks(): number {
    return this.#dispatcher.queuedTasks;
  }

  /** Whether no job, no held submission and no handover is open. */
  get isIdle(): boolean {
    return this.#handover.isIdle && this.#jobs.isEmpty &&
      this.#heldSubmissions.size === 0;
  }

  /** Returns the time of the next timer, or undefined when there is none. */
  nextAlarm(): Milliseconds | undefined {
    const alarms = [
      this.#jobs.nextTimer(),
      this.#dispatcher.nextAlarm(),
    ].filter((alarm) => alarm !== undefined);
    return alarms.length === 0 ? undefined : Math.min(...alarms);
  }

  /** Advances grants, claims, handover and jobs to the current time, and places tasks. */
  tick(): void {
    this.#grants.tick();
    this.#claims.tick();
    this.#handover.tick();
    if (this.#isDraining) this.#cancelUnplaceable();
    this.#completion.tick();
    for (const shard of [...this.#heldSubmissions.keys()]) {
      if (this.#isGranted(shard)) this.#handleHeldSubmissions(shard);
    }
    this.#dispatcher.tick();
  }

  /** Applies a change of the fleet. */
  applyFleetChange(change: FleetChange): void {
    switch (change.kind) {
      case FleetChangeKind.MemberJoined:
        this.#claims.handleMembershipChange();
        this.#addRunner(change.member);
        return;
      case FleetChangeKind.MemberDeparted:
        this.#claims.handleMembershipChange();
        this.#grants.handleDeparture(change.departed);
        this.#dispatcher.removeRunner(change.departed.member.joined.process);
        return;
      case FleetChangeKind.OwnershipChanged: {
        const { shard } = change.ownership;
        this.#dispatcher.invalidateQuotas();
        if (this.#grants.applyOwnership(change.ownership)) {
          this.#dropShard(shard);
        }
        this.#options.collector.add({
          kind: OutputKind.SetGauge,
          gauge: Gauge.OwnedShards,
          value: this.#grants.size,
        });
        return;
      }
      case FleetChangeKind.PublicationEvaluated:
        return;
      case FleetChangeKind.ConfigurationInForce:
        this.#dispatcher.applyConfiguration(change.version.configuration);
        return;
      default:
        assertNever(change);
    }
  }

  /** Updates the load of a runner from its reply to a heartbeat. */
  updateRunnerLoad(runner: ProcessIdentifier, load: RunnerLoad): void {
    this.#dispatcher.pool.recordLoad(runner, load);
  }

  /** Handles a submission from an entry; holds it while the grant of its shard is pending. */
  submit(waiter: JobWaiter, message: SubmitJob): void {
    const { collector } = this.#options;
    switch (this.#grants.statusOf(message.shard)) {
      case ShardStatus.NotOwned:
        this.#replies.replyNotOwner(waiter, message.shard);
        return;
      case ShardStatus.Pending: {
        const held = this.#heldSubmissions.get(message.shard) ?? [];
        held.push({ waiter, message, arrivedAt: collector.now });
        this.#heldSubmissions.set(message.shard, held);
        return;
      }
      case ShardStatus.Granted:
        this.#submissions.handle({ waiter, message, arrivedAt: collector.now });
        this.#dispatcher.dispatch();
        return;
    }
  }

  /**
   * Replies with the status of a job. An owner without a grant does not know the status yet and replies
   * `NotOwner`, so that the entry queries again.
   */
  query(origin: RequestOrigin, message: QueryJob): void {
    if (!this.#isGranted(message.shard)) {
      this.#replies.replyNotOwner(origin, message.shard);
      return;
    }
    this.#replies.send(origin, this.#statusOf(message.submission));
  }

  /** Cancels a job and replies with its status. */
  cancel(origin: RequestOrigin, message: CancelJob): void {
    if (!this.#isGranted(message.shard)) {
      this.#replies.replyNotOwner(origin, message.shard);
      return;
    }
    const job = this.#jobs.find(message.submission);
    if (job?.phase === JobPhase.Active) {
      this.#completion.cancel(job, {
        failure: FailureReason.Cancelled,
        notRun: NotRunReason.Cancelled,
      });
    }
    this.#replies.send(origin, this.#statusOf(message.submission));
  }

  /**
   * Claims the shards that a draining owner offers, and stores their answers. Refuses while this owner
   * drains or the log is unavailable.
   */
  acceptHandover(origin: RequestOrigin, message: HandOverShards): void {
    const { collector: { now }, membership } = this.#options;
    if (this.#isDraining || !membership.isLogAvailable) {
      this.#replies.send(origin, { kind: PeerReplyKind.HandoverRefused });
      return;
    }
    for (const answer of message.answers) this.#answers.add(now, answer);
    this.#claims.claimHandedOver(message.shards);
    this.#replies.send(origin, { kind: PeerReplyKind.ShardsAccepted });
  }

  /** Starts the drain: stops claims and the admission of jobs, and hands the shards to successors. */
  drain(): void {
    this.#isDraining = true;
    this.#submissions.stopAdmission();
    this.#claims.stop();
    this.#handover.start();
  }

  /** Handles a reply; returns false when it answers no request of this owner. */
  handleReply(request: RequestIdentifier, reply: PeerReply): boolean {
    if (this.#handover.handleReply(request, reply)) return true;
    if (reply.kind === PeerReplyKind.StartRecordsCollected) {
      return this.#grants.handleStartRecords(request, reply);
    }
    const isHandled = this.#dispatcher.handleReply(request, reply);
    if (isHandled) this.#dispatcher.dispatch();
    return isHandled;
  }

  /** Handles a request that gets no reply; returns false when this owner did not send it. */
  handleLostRequest(request: RequestIdentifier): boolean {
    return this.#handover.handleLostRequest(request) ||
      this.#grants.handleLostRequest(request) ||
      this.#dispatcher.handleLostRequest(request);
  }

  #addRunner(member: Member): void {
    const { process, address, backendServer } = member.joined;
    if (backendServer === undefined) return;
    this.#dispatcher.pool.add({ process, address, backendServer });
    this.#dispatcher.invalidateQuotas();
    this.#dispatcher.dispatch();
  }

  /** Cancels jobs with waiting tasks when this owner drains and no runner accepts tasks. */
  #cancelUnplaceable(): void {
    if (this.#dispatcher.pool.isAnyRunnerAvailable()) return;
    for (const job of this.#jobs.all()) {
      const isWaiting = job.phase === JobPhase.Active &&
        job.tasks.some((task) => task.phase === TaskPhase.Waiting);
      if (!isWaiting || !this.#isGranted(job.options.shard)) continue;
      this.#completion.cancel(job, {
        failure: FailureReason.OwnerLeaving,
        notRun: NotRunReason.OwnerLeaving,
      });
    }
  }

  #isGranted(shard: ShardNumber): boolean {
    return this.#grants.statusOf(shard) === ShardStatus.Granted;
  }

  #handleHeldSubmissions(shard: ShardNumber): void {
    if (!this.#isGranted(shard)) return;
    const held = this.#heldSubmissions.get(shard) ?? [];
    this.#heldSubmissions.delete(shard);
    for (const arrived of held) this.#submissions.handle(arrived);
    this.#dispatcher.dispatch();
  }

  #dropShard(shard: ShardNumber): void {
    this.#options.collector.record(
      EventNumber.ShardsLost,
      "a shard has another owner",
      { severity: Severity.Warning, context: { shard } },
    );
    for (const job of this.#jobs.all()) {
      if (job.options.shard !== shard) continue;
      this.#completion.abandon(job);
      this.#dispatcher.abandon(job);
    }
    for (const { waiter } of this.#heldSubmissions.get(shard) ?? []) {
      this.#replies.replyNotOwner(waiter, shard);
    }
    this.#heldSubmissions.delete(shard);
    const { shardCount } = this.#options;
    this.#answers.removeWhere((submission) =>
      shardOf(submission, shardCount) === shard
    );
  }

  #statusOf(submission: SubmissionIdentifier): PeerReply {
    const job = this.#jobs.find(submission);
    if (job !== undefined) {
      const { tasks } = job;
      const isEnded = (index: number) =>
        tasks[index]?.phase === TaskPhase.Ended;
      const isStarted = (index: number) =>
        isEnded(index) || tasks[index]?.phase === TaskPhase.Placed;
      const indexes = [...tasks.keys()];
      return {
        kind: PeerReplyKind.JobStatus,
        state: job.state(),
        tasks: job.size,
        tasksStarted: indexes.filter(isStarted).length,
        tasksEnded: indexes.filter(isEnded).length,
      };
    }
    const answer = this.#answers.find(submission);
    const status = {
      kind: PeerReplyKind.JobStatus as const,
      tasks: 0,
      tasksStarted: 0,
      tasksEnded: 0,
    };
    return answer === undefined
      ? { ...status, state: JobState.Unseen }
      : { ...status, state: JobState.Ended, outcome: answer.outcome };
  }
}
