/**
 * Decisions of the owner: whether a submission is the first, a duplicate or unknown; running its job;
 * and assembling the one answer. The owner answers only while it is granted and its view is fresh.
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
import { AnswerBook } from "./answer_book.ts";
import { EvidenceBook } from "./evidence_book.ts";
import { JobPhase, type JobWaiter, TaskPhase } from "./job.ts";
import { JobEndings } from "./job_endings.ts";
import { JobTable } from "./job_table.ts";
import { OwnerReplies, type RequestFrom } from "./owner_replies.ts";
import { ShardClaims } from "./shard_claims.ts";
import { ShardGrants, ShardStanding } from "./shard_grants.ts";
import { ShardHandOver } from "./shard_hand_over.ts";
import { type ArrivedSubmission, SubmissionGate } from "./submission_gate.ts";
import { TaskDispatcher } from "./task_dispatcher.ts";

/** What an owner needs. */
export interface OwnerDecisionsOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly follower: FleetMembership;
  readonly timing: MembershipTiming;
  readonly random: () => number;
  readonly shardCount: number;
  readonly ownerCount: number;
  readonly maximumAnswerBytes: number;
  readonly placementPolicy?: PlacementPolicy;
  readonly queueDiscipline?: QueueDisciplineKind;
}

/** The owner of some shards. */
export class OwnerDecisions {
  readonly #options: OwnerDecisionsOptions;
  readonly #answers: AnswerBook;
  readonly #evidence: EvidenceBook;
  readonly #claims: ShardClaims;
  readonly #grants: ShardGrants;
  readonly #dispatcher: TaskDispatcher;
  readonly #jobs = new JobTable();
  readonly #replies: OwnerReplies;
  readonly #endings: JobEndings;
  readonly #gate: SubmissionGate;
  readonly #handOver: ShardHandOver;
  readonly #held = new Map<ShardNumber, ArrivedSubmission[]>();
  #isLeaving = false;

  constructor(options: OwnerDecisionsOptions) {
    this.#options = options;
    const { timing } = options;
    this.#answers = new AnswerBook({
      horizonMilliseconds: timing.horizonMilliseconds,
      maximumAnswerBytes: options.maximumAnswerBytes,
    });
    this.#evidence = new EvidenceBook(timing);
    this.#claims = new ShardClaims(options);
    this.#grants = new ShardGrants({
      ...options,
      evidence: this.#evidence,
      onGranted: (shard) => this.#decideHeld(shard),
    });
    this.#replies = new OwnerReplies({
      collector: options.collector,
      ownedEpochOf: (shard) => this.#grants.epochOf(shard),
      knownEpochOf: (shard) => options.follower.view.ownership.epochOf(shard),
    });
    this.#handOver = new ShardHandOver({
      ...options,
      grants: this.#grants,
      answersOf: (shards) =>
        this.#answers.answersWhere((submission) =>
          shards.has(shardOf(submission, options.shardCount))
        ),
      onGivenUp: (shard) => {
        this.#grants.giveUp(shard);
        this.#loseShard(shard);
      },
    });
    this.#dispatcher = new TaskDispatcher({
      ...options,
      mayPlace: (job) => this.#isGranted(job.options.shard),
      onTaskEnded: (job, index) => this.#endings.endTask(job, index),
      onTaskRefused: (job, index, reason) =>
        this.#endings.refuseTask(job, index, reason),
      onTaskLost: (job, runner) => this.#endings.loseTask(job, runner),
    });
    const shared = {
      ...options,
      jobs: this.#jobs,
      answers: this.#answers,
      replies: this.#replies,
    };
    this.#endings = new JobEndings({
      ...shared,
      isGranted: (shard) => this.#isGranted(shard),
      isStopped: (shard) => this.#grants.isStopped(shard),
      takeBackPlacements: (job) => this.#dispatcher.withdraw(job),
      enqueueRetry: (job, index) => this.#dispatcher.enqueueRetry(job, index),
    });
    this.#gate = new SubmissionGate({
      ...shared,
      evidence: this.#evidence,
      grants: this.#grants,
      dispatcher: this.#dispatcher,
      endings: this.#endings,
    });
  }

  /** Shards granted to this owner. */
  granted(): readonly ShardEpoch[] {
    return this.#grants.granted();
  }

  /** Shards owned, granted or not. */
  owned(): readonly ShardEpoch[] {
    return this.#grants.owned();
  }

  /** Tasks that wait for a runner. */
  get waitingTasks(): number {
    return this.#dispatcher.queuedTasks;
  }

  /** Whether this owner answers for no job and hands nothing over any more. */
  get isIdle(): boolean {
    return this.#handOver.isSettled && this.#jobs.isEmpty &&
      this.#held.size === 0;
  }

  /** When the owner next has something to do. */
  nextAlarm(): Milliseconds | undefined {
    const alarms = [
      this.#jobs.nextTimer(),
      this.#dispatcher.nextAlarm(),
    ].filter((alarm) => alarm !== undefined);
    return alarms.length === 0 ? undefined : Math.min(...alarms);
  }

  /** Does what is due. */
  tick(): void {
    this.#grants.tick();
    this.#claims.tick();
    this.#handOver.tick();
    if (this.#isLeaving) this.#refuseUnplaceable();
    this.#endings.tick();
    for (const shard of [...this.#held.keys()]) {
      if (this.#isGranted(shard)) this.#decideHeld(shard);
    }
    this.#dispatcher.tick();
  }

  /** Takes a change to the fleet. */
  applyFleetChange(change: FleetChange): void {
    switch (change.kind) {
      case FleetChangeKind.MemberJoined:
        this.#claims.noteMembershipChange();
        this.#addRunner(change.member);
        return;
      case FleetChangeKind.MemberDeparted:
        this.#claims.noteMembershipChange();
        this.#grants.noteDeparture(change.departed);
        this.#dispatcher.loseRunner(change.departed.member.joined.process);
        return;
      case FleetChangeKind.OwnershipChanged: {
        const { shard } = change.ownership;
        this.#dispatcher.noteFleetChange();
        if (this.#grants.changeOwnership(change.ownership)) {
          this.#loseShard(shard);
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

  /** Takes the load that a runner told beside its heartbeat. */
  updateRunnerLoad(runner: ProcessIdentifier, load: RunnerLoad): void {
    this.#dispatcher.pool.recordLoad(runner, load);
  }

  /** Takes a submission from an entry. */
  submit(waiter: JobWaiter, message: SubmitJob): void {
    const { collector } = this.#options;
    switch (this.#grants.standingOf(message.shard)) {
      case ShardStanding.NotOwned:
        this.#replies.denyOwnership(waiter, message.shard);
        return;
      case ShardStanding.Pending: {
        const held = this.#held.get(message.shard) ?? [];
        held.push({ waiter, message, arrivedAt: collector.now });
        this.#held.set(message.shard, held);
        return;
      }
      case ShardStanding.Granted:
        this.#gate.decide({ waiter, message, arrivedAt: collector.now });
        this.#dispatcher.dispatch();
        return;
    }
  }

  /** Answers how a job stands; an owner that is not granted cannot tell yet, and is asked again. */
  query(waiter: RequestFrom, message: QueryJob): void {
    if (!this.#isGranted(message.shard)) {
      this.#replies.denyOwnership(waiter, message.shard);
      return;
    }
    this.#replies.send(waiter, this.#standingOf(message.submission));
  }

  /** Cancels a job. */
  cancel(waiter: RequestFrom, message: CancelJob): void {
    if (!this.#isGranted(message.shard)) {
      this.#replies.denyOwnership(waiter, message.shard);
      return;
    }
    const job = this.#jobs.find(message.submission);
    if (job?.phase === JobPhase.Active) {
      this.#endings.withdraw(job, {
        failure: FailureReason.Cancelled,
        notRun: NotRunReason.Cancelled,
      });
    }
    this.#replies.send(waiter, this.#standingOf(message.submission));
  }

  /** Takes the shards of a leaving owner. */
  acceptHandover(waiter: RequestFrom, message: HandOverShards): void {
    const { collector: { now }, follower } = this.#options;
    if (this.#isLeaving || !follower.isLogAvailable) {
      this.#replies.send(waiter, { kind: PeerReplyKind.HandOverRefused });
      return;
    }
    for (const answer of message.answers) this.#answers.keep(now, answer);
    this.#claims.claimHandedOver(message.shards);
    this.#replies.send(waiter, { kind: PeerReplyKind.ShardsAccepted });
  }

  /** Stops claiming and hands the shards to successors. */
  drain(): void {
    this.#isLeaving = true;
    this.#gate.close();
    this.#claims.leave();
    this.#handOver.begin();
  }

  /** Takes a reply; false when it answers no request of this owner. */
  handleReply(request: RequestIdentifier, reply: PeerReply): boolean {
    if (this.#handOver.takeReply(request, reply)) return true;
    if (reply.kind === PeerReplyKind.StartRecordsCollected) {
      return this.#grants.takeEvidence(request, reply);
    }
    const isTaken = this.#dispatcher.take(request, reply);
    if (isTaken) this.#dispatcher.dispatch();
    return isTaken;
  }

  /** Takes the loss of a request; false when it was none of this owner. */
  handleLostRequest(request: RequestIdentifier): boolean {
    return this.#handOver.loseRequest(request) ||
      this.#grants.loseQuestion(request) ||
      this.#dispatcher.lose(request);
  }

  #addRunner(member: Member): void {
    const { process, address, backendServer } = member.joined;
    if (backendServer === undefined) return;
    this.#dispatcher.pool.add({ process, address, backendServer });
    this.#dispatcher.noteFleetChange();
    this.#dispatcher.dispatch();
  }

  /** Ends the jobs that no runner can take any more while this owner leaves. */
  #refuseUnplaceable(): void {
    if (this.#dispatcher.pool.isAnyRunnerAvailable()) return;
    for (const job of this.#jobs.all()) {
      const isWaiting = job.phase === JobPhase.Active &&
        job.tasks.some((task) => task.phase === TaskPhase.Waiting);
      if (!isWaiting || !this.#isGranted(job.options.shard)) continue;
      this.#endings.withdraw(job, {
        failure: FailureReason.OwnerLeaving,
        notRun: NotRunReason.OwnerLeaving,
      });
    }
  }

  #isGranted(shard: ShardNumber): boolean {
    return this.#grants.standingOf(shard) === ShardStanding.Granted;
  }

  #decideHeld(shard: ShardNumber): void {
    if (!this.#isGranted(shard)) return;
    const held = this.#held.get(shard) ?? [];
    this.#held.delete(shard);
    for (const arrived of held) this.#gate.decide(arrived);
    this.#dispatcher.dispatch();
  }

  #loseShard(shard: ShardNumber): void {
    this.#options.collector.record(
      EventNumber.ShardsLost,
      "a shard has another owner",
      { severity: Severity.Warning, context: { shard } },
    );
    for (const job of this.#jobs.all()) {
      if (job.options.shard !== shard) continue;
      this.#endings.abandon(job);
      this.#dispatcher.abandon(job);
    }
    for (const { waiter } of this.#held.get(shard) ?? []) {
      this.#replies.denyOwnership(waiter, shard);
    }
    this.#held.delete(shard);
    const { shardCount } = this.#options;
    this.#answers.forgetWhere((submission) =>
      shardOf(submission, shardCount) === shard
    );
  }

  #standingOf(submission: SubmissionIdentifier): PeerReply {
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
    const standing = {
      kind: PeerReplyKind.JobStatus as const,
      tasks: 0,
      tasksStarted: 0,
      tasksEnded: 0,
    };
    return answer === undefined
      ? { ...standing, state: JobState.Unseen }
      : { ...standing, state: JobState.Ended, outcome: answer.outcome };
  }
}
