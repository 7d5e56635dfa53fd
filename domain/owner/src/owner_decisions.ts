/**
 * Decisions of the owner: whether a submission is the first, a duplicate or unknown; running its job;
 * and assembling the one answer. The owner answers only while it is granted and its view is fresh.
 */
import { AdmissionKind, judgeSubmission } from "@eelgrassfront/admission";
import {
  type FleetChange,
  FleetChangeKind,
  type FleetFollower,
  type Member,
  type Timing,
} from "@eelgrassfront/membership";
import {
  assertInvariant,
  assertNever,
  type CancelJob,
  Counter,
  EventNumber,
  FailureReason,
  Gauge,
  type HandOverShards,
  Invariant,
  type JobOutcome,
  JobOutcomeKind,
  JobState,
  type KeptAnswer,
  type KindOfWork,
  type Milliseconds,
  type NotRunOutcome,
  NotRunReason,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type ProcessIdentifier,
  type QueryJob,
  type RequestIdentifier,
  RetryReason,
  type RunnerLoad,
  Severity,
  type ShardEpoch,
  type ShardNumber,
  Step,
  type SubmissionIdentifier,
  type SubmitJob,
  TaskEndKind,
  TaskRefusalReason,
  UNCLAIMED_EPOCH,
  UnknownReason,
} from "@eelgrassfront/model";
import type { QueueDisciplineKind } from "@eelgrassfront/fairness";
import type { PlacementPolicy } from "@eelgrassfront/placement";
import { identifySubmission } from "@eelgrassfront/model";
import { shardOf } from "@eelgrassfront/ownership";
import TinyQueue from "tinyqueue";
import { AnswerBook } from "./answer_book.ts";
import {
  EvidenceBook,
  type ReportedStart,
  type SubmissionEvidence,
} from "./evidence_book.ts";
import { Job, JobPhase, type JobWaiter, TaskPhase } from "./job.ts";
import { ShardGrants, ShardStanding } from "./shard_grants.ts";
import { ShardHandOver } from "./shard_hand_over.ts";
import { TaskDispatcher } from "./task_dispatcher.ts";

/** What an owner needs. */
export interface OwnerDecisionsOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly follower: FleetFollower;
  readonly timing: Timing;
  readonly random: () => number;
  readonly shardCount: number;
  readonly ownerCount: number;
  readonly maximumAnswerBytes: number;
  readonly placementPolicy?: PlacementPolicy;
  readonly queueDiscipline?: QueueDisciplineKind;
}

interface HeldSubmission {
  readonly waiter: JobWaiter;
  readonly message: SubmitJob;
  readonly arrivedAt: Milliseconds;
}

interface JobTimer {
  readonly at: Milliseconds;
  readonly job: Job;
}

/** Time after its deadline in which a job's placed tasks are taken back. */
const WITHDRAWAL_MILLISECONDS: Milliseconds = 2_000;

/** The owner of some shards. */
export class OwnerDecisions {
  readonly #options: OwnerDecisionsOptions;
  readonly #answers: AnswerBook;
  readonly #evidence: EvidenceBook;
  readonly #grants: ShardGrants;
  readonly #dispatcher: TaskDispatcher;
  readonly #jobs = new Map<SubmissionIdentifier, Job>();
  readonly #teamTasks = new Map<string, number>();
  readonly #held = new Map<ShardNumber, HeldSubmission[]>();
  readonly #timers = new TinyQueue<JobTimer>(
    [],
    (left, right) => left.at - right.at,
  );
  readonly #withdrawing = new Set<Job>();
  readonly #handOver: ShardHandOver;
  #isLeaving = false;
  #lastAttempt = 0;

  constructor(options: OwnerDecisionsOptions) {
    this.#options = options;
    const { timing } = options;
    this.#answers = new AnswerBook({
      horizonMilliseconds: timing.horizonMilliseconds,
      maximumAnswerBytes: options.maximumAnswerBytes,
    });
    this.#evidence = new EvidenceBook(timing);
    this.#grants = new ShardGrants({
      ...options,
      evidence: this.#evidence,
      onGranted: (shard) => this.#decideHeld(shard),
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
      onTaskEnded: (job, index) => this.#taskEnded(job, index),
      onTaskRefused: (job, index, reason) =>
        this.#taskRefused(job, index, reason),
      onTaskLost: (job, runner) => this.#taskLost(job, runner),
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
    const isAnyActive = [...this.#jobs.values()].some(({ phase }) =>
      phase !== JobPhase.Answered
    );
    return this.#handOver.isSettled && !isAnyActive && this.#held.size === 0;
  }

  /** When the owner next has something to do. */
  nextAlarm(): Milliseconds | undefined {
    const alarms = [
      this.#timers.peek()?.at,
      this.#dispatcher.nextAlarm(),
    ].filter((alarm) => alarm !== undefined);
    return alarms.length === 0 ? undefined : Math.min(...alarms);
  }

  /** Does what is due. */
  tick(): void {
    const { now } = this.#options.collector;
    this.#grants.tick();
    this.#handOver.tick();
    this.#answerHeldOutcomes();
    if (this.#isLeaving) this.#refuseUnplaceable();
    while ((this.#timers.peek()?.at ?? Infinity) <= now) {
      const timer = this.#timers.pop();
      if (timer !== undefined) this.#expire(timer.job);
    }
    for (const job of [...this.#withdrawing]) this.#finishWithdrawal(job);
    for (const shard of [...this.#held.keys()]) {
      if (this.#isGranted(shard)) this.#decideHeld(shard);
    }
    this.#dispatcher.tick();
  }

  /** Takes a change to the fleet. */
  changeFleet(change: FleetChange): void {
    switch (change.kind) {
      case FleetChangeKind.MemberJoined:
        this.#grants.noteMembershipChange();
        this.#addRunner(change.member);
        return;
      case FleetChangeKind.MemberDeparted:
        this.#grants.noteDeparture(change.departed);
        this.#dispatcher.loseRunner(change.departed.member.joined.process);
        return;
      case FleetChangeKind.OwnershipChanged: {
        const { shard } = change.ownership;
        this.#dispatcher.noteFleetChange();
        if (this.#grants.changeOwnership(change.ownership)) {
          this.#loseShard(shard);
        }
        return;
      }
      case FleetChangeKind.ConfigurationJudged:
        return;
      case FleetChangeKind.ConfigurationInForce:
        this.#dispatcher.applyConfiguration(change.version.configuration);
        return;
      default:
        assertNever(change);
    }
  }

  /** Takes the load that a runner told beside its heartbeat. */
  noteLoad(runner: ProcessIdentifier, load: RunnerLoad): void {
    this.#dispatcher.pool.noteLoad(runner, load);
  }

  /** Takes a submission from an entry. */
  submit(waiter: JobWaiter, message: SubmitJob): void {
    const { collector } = this.#options;
    switch (this.#grants.standingOf(message.shard)) {
      case ShardStanding.NotOwned:
        this.#replyNotOwner(waiter, message.shard);
        return;
      case ShardStanding.Pending: {
        const held = this.#held.get(message.shard) ?? [];
        held.push({ waiter, message, arrivedAt: collector.now });
        this.#held.set(message.shard, held);
        return;
      }
      case ShardStanding.Granted:
        this.#decide(waiter, message, collector.now);
        this.#dispatcher.dispatch();
        return;
    }
  }

  /** Answers how a job stands; an owner that is not granted cannot tell yet, and is asked again. */
  query(waiter: RequestFrom, message: QueryJob): void {
    if (!this.#isGranted(message.shard)) {
      this.#replyNotOwner(waiter, message.shard);
      return;
    }
    this.#reply(waiter, this.#standingOf(message.submission));
  }

  /** Cancels a job. */
  cancel(waiter: RequestFrom, message: CancelJob): void {
    if (!this.#isGranted(message.shard)) {
      this.#replyNotOwner(waiter, message.shard);
      return;
    }
    const job = this.#jobs.get(message.submission);
    if (job?.phase === JobPhase.Active) {
      this.#withdraw(job, FailureReason.Cancelled, NotRunReason.Cancelled);
    }
    this.#reply(waiter, this.#standingOf(message.submission));
  }

  /** Takes the shards of a leaving owner. */
  takeOver(waiter: RequestFrom, message: HandOverShards): void {
    const { collector: { now }, follower } = this.#options;
    if (this.#isLeaving || !follower.isLogAvailable) {
      this.#reply(waiter, { kind: PeerReplyKind.HandOverRefused });
      return;
    }
    for (const answer of message.answers) this.#answers.keep(now, answer);
    this.#grants.claimHandedOver(message.shards);
    this.#reply(waiter, { kind: PeerReplyKind.ShardsTaken });
  }

  /** Stops claiming and hands the shards to successors. */
  leave(): void {
    this.#isLeaving = true;
    this.#grants.leave();
    this.#handOver.begin();
  }

  /** Takes a reply; false when it answers no request of this owner. */
  takeReply(request: RequestIdentifier, reply: PeerReply): boolean {
    if (this.#handOver.takeReply(request, reply)) return true;
    if (reply.kind === PeerReplyKind.EvidenceGiven) {
      return this.#grants.takeEvidence(request, reply);
    }
    const isTaken = this.#dispatcher.take(request, reply);
    if (isTaken) this.#dispatcher.dispatch();
    return isTaken;
  }

  /** Takes the loss of a request; false when it was none of this owner. */
  loseRequest(request: RequestIdentifier): boolean {
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
    if (this.#dispatcher.pool.isAnyOpen()) return;
    for (const job of [...this.#jobs.values()]) {
      const isWaiting = job.phase === JobPhase.Active &&
        job.tasks.some((task) => task.phase === TaskPhase.Waiting);
      if (!isWaiting || !this.#isGranted(job.options.shard)) continue;
      this.#withdraw(
        job,
        FailureReason.OwnerLeaving,
        NotRunReason.OwnerLeaving,
      );
    }
  }

  #isGranted(shard: ShardNumber): boolean {
    return this.#grants.standingOf(shard) === ShardStanding.Granted;
  }

  #decideHeld(shard: ShardNumber): void {
    if (!this.#isGranted(shard)) return;
    const held = this.#held.get(shard) ?? [];
    this.#held.delete(shard);
    for (const { waiter, message, arrivedAt } of held) {
      this.#decide(waiter, message, arrivedAt);
    }
    this.#dispatcher.dispatch();
  }

  #decide(
    waiter: JobWaiter,
    message: SubmitJob,
    arrivedAt: Milliseconds,
  ): void {
    const identifier = identifySubmission(message.submission);
    const answer = this.#answers.find(identifier);
    if (answer !== undefined) {
      this.#replyKept(waiter, message, answer);
      return;
    }
    const job = this.#jobs.get(identifier);
    if (job !== undefined && job.phase !== JobPhase.Answered) {
      this.#attach(waiter, message, job);
      return;
    }
    const refusal = this.#answers.findRefusal(waiter.callerRequest);
    const evidence = this.#evidence.find(identifier);
    if (evidence !== undefined && refusal === undefined) {
      this.#recover({ waiter, message, arrivedAt }, evidence);
      return;
    }
    if (evidence !== undefined || this.#mayHaveStartedElsewhere(message)) {
      this.#replyEvidenceMissing(waiter, message.shard);
      return;
    }
    if (refusal !== undefined) {
      this.#replyOutcome(waiter, message.shard, refusal);
      return;
    }
    this.#admit(waiter, message, arrivedAt);
  }

  #mayHaveStartedElsewhere(message: SubmitJob): boolean {
    const firstMadeAt = message.submission.firstMadeAtEpoch ?? UNCLAIMED_EPOCH;
    return firstMadeAt < this.#grants.knownSince(message.shard);
  }

  #replyEvidenceMissing(waiter: JobWaiter, shard: ShardNumber): void {
    this.#countOutcome({
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.EvidenceMissing,
      step: Step.GatherEvidence,
    });
    this.#replyOutcome(waiter, shard, {
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.EvidenceMissing,
      step: Step.GatherEvidence,
    });
  }

  #replyKept(
    waiter: JobWaiter,
    message: SubmitJob,
    answer: KeptAnswer,
  ): void {
    const isSame = answer.digest === message.submission.digest;
    if (isSame) this.#replyOutcome(waiter, message.shard, answer.outcome);
    else this.#replyKeyReused(waiter, message.shard);
  }

  #attach(waiter: JobWaiter, message: SubmitJob, job: Job): void {
    if (job.options.submission.digest !== message.submission.digest) {
      this.#replyKeyReused(waiter, message.shard);
      return;
    }
    this.#options.collector.count(Counter.JobsAttached);
    job.waiters.push(waiter);
  }

  #admit(
    waiter: JobWaiter,
    message: SubmitJob,
    arrivedAt: Milliseconds,
  ): void {
    const { follower } = this.#options;
    const { submission } = message;
    const configuration = follower.view.configuration.current?.configuration;
    if (this.#isLeaving || configuration === undefined) {
      this.#refuse(waiter, message.shard, {
        kind: JobOutcomeKind.NotRun,
        reason: NotRunReason.OwnerLeaving,
      });
      return;
    }
    if (this.#answers.isFull(this.#options.collector.now)) {
      this.#refuse(waiter, message.shard, {
        kind: JobOutcomeKind.NotRun,
        reason: NotRunReason.QueueFull,
      });
      return;
    }
    const admission = judgeSubmission(submission, {
      configuration,
      queuedTasks: this.#dispatcher.queuedTasks,
      teamTasksInFlight: this.#teamTasks.get(submission.team) ?? 0,
      remainingMilliseconds: message.remainingMilliseconds,
      drainOf: (kindOfWork) =>
        this.#dispatcher.drainOf(kindOfWork, submission.team),
      isCapableWorkerKnown: ({ service }) =>
        this.#dispatcher.pool.isAnyCapable({
          service,
          requirements: submission.requirements,
        }),
    });
    if (admission.kind === AdmissionKind.Refused) {
      const { kind: _kind, ...refusal } = admission;
      this.#refuse(waiter, message.shard, {
        kind: JobOutcomeKind.NotRun,
        ...refusal,
      });
      return;
    }
    this.#options.collector.count(Counter.JobsAccepted);
    const job = this.#open({
      waiter,
      message,
      arrivedAt,
      kindOfWork: admission.kindOfWork,
    });
    job.tasks.forEach((_, index) => this.#dispatcher.enqueue(job, index));
  }

  #open(opening: JobOpening): Job {
    const { waiter, message, arrivedAt, kindOfWork } = opening;
    const deadlineAt = arrivedAt + message.remainingMilliseconds;
    const job = new Job({
      submission: message.submission,
      shard: message.shard,
      epoch: this.#grants.epochOf(message.shard) ?? UNCLAIMED_EPOCH,
      kindOfWork,
      arrivedAt,
      deadlineAt,
      nextAttempt: () => this.#nextAttempt(),
    });
    job.waiters.push(waiter);
    this.#jobs.set(job.identifier, job);
    this.#addTeamTasks(job.options.submission.team, job.size);
    this.#timers.push({ at: deadlineAt, job });
    return job;
  }

  #nextAttempt(): number {
    this.#lastAttempt += 1;
    return this.#lastAttempt;
  }

  #recover(held: HeldSubmission, evidence: SubmissionEvidence): void {
    const { waiter, message } = held;
    if (evidence.digest !== message.submission.digest) {
      this.#replyKeyReused(waiter, message.shard);
      return;
    }
    const kindOfWork = this.#kindOfWork(message.submission.kindOfWork);
    const isRestKnown = evidence.starts.size >=
        message.submission.tasks.length ||
      !this.#mayHaveStartedElsewhere(message);
    if (kindOfWork === undefined || !isRestKnown) {
      this.#replyEvidenceMissing(waiter, message.shard);
      return;
    }
    const job = this.#open({ ...held, kindOfWork });
    for (const [index, reported] of evidence.starts) {
      this.#recoverTask(job, index, reported);
    }
    this.#finishIfDone(job);
    if (job.phase === JobPhase.Active) this.#finishAfterFailure(job);
    if (job.phase !== JobPhase.Active) return;
    job.tasks.forEach((task, index) => {
      if (task.phase === TaskPhase.Waiting) {
        this.#dispatcher.enqueue(job, index);
      }
    });
  }

  #recoverTask(job: Job, index: number, reported: ReportedStart): void {
    const { record, runner } = reported;
    if (record.end !== undefined) {
      job.put(index, { phase: TaskPhase.Ended, end: record.end });
      return;
    }
    const isRunnerGone = this.#options.follower.view.find(runner) === undefined;
    if (record.isResultDropped || isRunnerGone) {
      const detail = "nobody keeps the result any more";
      job.put(index, {
        phase: TaskPhase.Ended,
        end: { kind: TaskEndKind.Lost, detail },
      });
      return;
    }
    job.put(index, {
      phase: TaskPhase.Placed,
      runner,
      attempt: record.attempt,
      epoch: record.epoch,
      isStarted: true,
    });
    this.#dispatcher.adopt(job, index);
  }

  #taskEnded(job: Job, index: number): void {
    if (job.phase === JobPhase.Answered) return;
    this.#finishIfDone(job);
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Ended) return;
    if (job.phase !== JobPhase.Active) return;
    if (task.end.kind === TaskEndKind.Succeeded) return;
    this.#finishAfterFailure(job);
  }

  #finishIfDone(job: Job): void {
    switch (job.phase) {
      case JobPhase.Active:
        if (job.isEveryTaskEnded) this.#finishEnded(job);
        return;
      case JobPhase.Withdrawing:
        this.#finishWithdrawal(job);
        return;
      case JobPhase.Answered:
        return;
    }
  }

  #finishEnded(job: Job): void {
    const isEverySuccess = job.tasks.every((task) =>
      task.phase === TaskPhase.Ended &&
      task.end.kind === TaskEndKind.Succeeded
    );
    if (isEverySuccess) this.#answer(job, job.completedOutcome());
    else this.#finishAfterFailure(job);
  }

  #finishAfterFailure(job: Job): void {
    const outcome = failureOf(job);
    if (outcome === undefined) return;
    this.#answer(job, outcome);
    this.#dispatcher.withdraw(job);
  }

  #taskRefused(job: Job, index: number, reason: TaskRefusalReason): void {
    if (job.phase === JobPhase.Withdrawing) {
      this.#finishWithdrawal(job);
      return;
    }
    if (job.phase === JobPhase.Answered) return;
    this.#retryRefused(job, index, reason);
  }

  #retryRefused(job: Job, index: number, reason: TaskRefusalReason): void {
    switch (reason) {
      case TaskRefusalReason.Fenced:
        // A newer owner has asked the runner; the log will say so soon.
        job.put(index, { phase: TaskPhase.Waiting });
        return;
      case TaskRefusalReason.DeadlinePassed:
      case TaskRefusalReason.Cancelled:
        this.#withdraw(
          job,
          FailureReason.DeadlineExceeded,
          NotRunReason.DeadlinePassed,
        );
        return;
      case TaskRefusalReason.TaskAlreadyRecorded:
        this.#answer(job, {
          kind: JobOutcomeKind.Unknown,
          reason: UnknownReason.TaskAnswerLost,
          step: Step.ExecuteTask,
        });
        return;
      case TaskRefusalReason.QueueFull:
      case TaskRefusalReason.SlotTaken:
      case TaskRefusalReason.Leaving:
      case TaskRefusalReason.Isolated:
      case TaskRefusalReason.BackendServerUnavailable:
        this.#placeAgain(job, index);
        return;
    }
  }

  #placeAgain(job: Job, index: number): void {
    const { maximumAttempts } = job.options.kindOfWork;
    if (job.countRefusal(index) >= maximumAttempts) {
      this.#withdraw(
        job,
        FailureReason.RetriesExhausted,
        NotRunReason.RetriesExhausted,
      );
      return;
    }
    this.#options.collector.count(
      Counter.TasksRetried,
      RetryReason.RunnerRefused,
    );
    job.put(index, { phase: TaskPhase.Waiting });
    this.#dispatcher.enqueueRetry(job, index);
  }

  #taskLost(job: Job, runner: ProcessIdentifier): void {
    if (job.phase === JobPhase.Answered) return;
    this.#answer(job, {
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.TaskAnswerLost,
      step: Step.ExecuteTask,
      peer: runner,
    });
    this.#dispatcher.withdraw(job);
  }

  #withdraw(
    job: Job,
    failure: FailureReason,
    notRun: NotRunReason,
  ): void {
    job.phase = JobPhase.Withdrawing;
    this.#withdrawing.add(job);
    job.withdrawal = { failure, notRun };
    job.tasks.forEach((task, index) => {
      if (task.phase === TaskPhase.Waiting) {
        job.put(index, { phase: TaskPhase.Withdrawn });
      }
    });
    this.#dispatcher.withdraw(job);
    const at = this.#options.collector.now + WITHDRAWAL_MILLISECONDS;
    this.#timers.push({ at, job });
    this.#finishWithdrawal(job);
  }

  /** Answers a job that is taken back; a view that is not fresh may miss the starts of a new owner. */
  #finishWithdrawal(job: Job): void {
    if (!this.#isGranted(job.options.shard)) return;
    if (job.isAnyTaskInDoubt && !job.isAnyTaskStarted) return;
    const { failure, notRun } = job.withdrawal;
    if (!job.isAnyTaskStarted) {
      this.#answer(job, { kind: JobOutcomeKind.NotRun, reason: notRun });
      return;
    }
    this.#answer(job, {
      kind: JobOutcomeKind.Failed,
      reason: failure,
      step: Step.PlaceTask,
      detail: `the job was ended: ${failure}`,
    });
  }

  #expire(job: Job): void {
    switch (job.phase) {
      case JobPhase.Active:
        this.#withdraw(
          job,
          FailureReason.DeadlineExceeded,
          NotRunReason.DeadlinePassed,
        );
        return;
      case JobPhase.Withdrawing:
        this.#answer(job, {
          kind: JobOutcomeKind.Unknown,
          reason: UnknownReason.TaskAnswerLost,
          step: Step.ExecuteTask,
        });
        return;
      case JobPhase.Answered:
        return;
    }
  }

  #answer(job: Job, outcome: JobOutcome): void {
    assertInvariant(
      job.phase !== JobPhase.Answered,
      Invariant.AnswerReachesItsRequest,
      () => `${job.identifier} was answered before`,
    );
    if (this.#grants.isStopped(job.options.shard)) {
      // A successor may own the shard by now; it answers, or this owner does once it grants again.
      job.heldOutcome ??= outcome;
      return;
    }
    assertNotRunIsTrue(job, outcome);
    job.phase = JobPhase.Answered;
    this.#withdrawing.delete(job);
    this.#jobs.delete(job.identifier);
    this.#addTeamTasks(job.options.submission.team, -job.size);
    this.#keepAnswer(job, outcome);
    this.#countOutcome(outcome);
    for (const waiter of job.waiters) {
      this.#replyOutcome(waiter, job.options.shard, outcome);
    }
  }

  #answerHeldOutcomes(): void {
    for (const job of [...this.#jobs.values()]) {
      const outcome = job.heldOutcome;
      if (outcome === undefined) continue;
      if (this.#grants.isStopped(job.options.shard)) continue;
      job.heldOutcome = undefined;
      this.#answer(job, outcome);
    }
  }

  #keepAnswer(job: Job, outcome: JobOutcome): void {
    const { now } = this.#options.collector;
    if (outcome.kind === JobOutcomeKind.NotRun) {
      // A later submission of the key may run; only late copies of these requests are refused alike.
      for (const { callerRequest } of job.waiters) {
        this.#answers.keepRefusal(now, callerRequest, outcome);
      }
      return;
    }
    const { digest } = job.options.submission;
    this.#answers.keep(now, { submission: job.identifier, digest, outcome });
  }

  #refuse(
    waiter: JobWaiter,
    shard: ShardNumber,
    outcome: NotRunOutcome,
  ): void {
    const { collector } = this.#options;
    this.#answers.keepRefusal(collector.now, waiter.callerRequest, outcome);
    this.#countOutcome(outcome);
    this.#replyOutcome(waiter, shard, outcome);
  }

  #countOutcome(outcome: JobOutcome): void {
    const { collector } = this.#options;
    switch (outcome.kind) {
      case JobOutcomeKind.Completed:
        collector.count(Counter.JobsCompleted);
        return;
      case JobOutcomeKind.Failed:
        collector.count(Counter.JobsFailed, outcome.reason);
        return;
      case JobOutcomeKind.NotRun:
        collector.count(Counter.JobsNotRun, outcome.reason);
        return;
      case JobOutcomeKind.Unknown:
        collector.count(Counter.JobsUnknown, outcome.reason);
        return;
    }
  }

  #loseShard(shard: ShardNumber): void {
    this.#options.collector.record(
      EventNumber.ShardsLost,
      "a shard has another owner",
      { severity: Severity.Warning, context: { shard } },
    );
    for (const job of [...this.#jobs.values()]) {
      if (job.options.shard === shard) this.#abandon(job);
    }
    for (const { waiter } of this.#held.get(shard) ?? []) {
      this.#replyNotOwner(waiter, shard);
    }
    this.#held.delete(shard);
    const { shardCount } = this.#options;
    this.#answers.forgetWhere((submission) =>
      shardOf(submission, shardCount) === shard
    );
  }

  #abandon(job: Job): void {
    job.phase = JobPhase.Answered;
    this.#withdrawing.delete(job);
    this.#jobs.delete(job.identifier);
    this.#addTeamTasks(job.options.submission.team, -job.size);
    this.#dispatcher.abandon(job);
    for (const waiter of job.waiters) {
      this.#replyNotOwner(waiter, job.options.shard);
    }
  }

  #standingOf(submission: SubmissionIdentifier): PeerReply {
    const job = this.#jobs.get(submission);
    if (job !== undefined) {
      const { tasks } = job;
      const isEnded = (index: number) =>
        tasks[index]?.phase === TaskPhase.Ended;
      const isStarted = (index: number) =>
        isEnded(index) || tasks[index]?.phase === TaskPhase.Placed;
      const indexes = [...tasks.keys()];
      return {
        kind: PeerReplyKind.JobStanding,
        state: job.state(),
        tasks: job.size,
        tasksStarted: indexes.filter(isStarted).length,
        tasksEnded: indexes.filter(isEnded).length,
      };
    }
    const answer = this.#answers.find(submission);
    const standing = {
      kind: PeerReplyKind.JobStanding as const,
      tasks: 0,
      tasksStarted: 0,
      tasksEnded: 0,
    };
    return answer === undefined
      ? { ...standing, state: JobState.Unseen }
      : { ...standing, state: JobState.Ended, outcome: answer.outcome };
  }

  #kindOfWork(name: string): KindOfWork | undefined {
    const { current } = this.#options.follower.view.configuration;
    return current?.configuration.kindsOfWork.find((kind) =>
      kind.name === name
    );
  }

  #addTeamTasks(team: string, tasks: number): void {
    const count = (this.#teamTasks.get(team) ?? 0) + tasks;
    if (count === 0) this.#teamTasks.delete(team);
    else this.#teamTasks.set(team, count);
    this.#options.collector.add({
      kind: OutputKind.SetGauge,
      gauge: Gauge.OwnedShards,
      value: this.#grants.size,
    });
  }

  #replyOutcome(
    waiter: JobWaiter,
    shard: ShardNumber,
    outcome: JobOutcome,
  ): void {
    this.#replyAnswer(waiter, shard, { outcome, isKeyReused: false });
  }

  #replyKeyReused(waiter: JobWaiter, shard: ShardNumber): void {
    this.#replyAnswer(waiter, shard, {
      outcome: {
        kind: JobOutcomeKind.Unknown,
        reason: UnknownReason.AnswerExpired,
        step: Step.AdmitJob,
      },
      isKeyReused: true,
    });
  }

  #replyAnswer(
    waiter: JobWaiter,
    shard: ShardNumber,
    answer: { readonly outcome: JobOutcome; readonly isKeyReused: boolean },
  ): void {
    this.#reply(waiter, {
      kind: PeerReplyKind.JobAnswered,
      ...answer,
      epoch: this.#grants.epochOf(shard) ?? UNCLAIMED_EPOCH,
    });
  }

  #replyNotOwner(waiter: RequestFrom, shard: ShardNumber): void {
    this.#reply(waiter, {
      kind: PeerReplyKind.NotOwner,
      knownEpoch: this.#options.follower.view.ownership.epochOf(shard),
    });
  }

  #reply(waiter: RequestFrom, message: PeerReply): void {
    this.#options.collector.add({
      kind: OutputKind.SendReply,
      to: waiter.from,
      request: waiter.request,
      message,
    });
  }
}

/** A request of another process that waits for a reply. */
export type RequestFrom = Pick<JobWaiter, "from" | "request">;

interface JobOpening extends HeldSubmission {
  readonly kindOfWork: KindOfWork;
}

function failureOf(job: Job): JobOutcome | undefined {
  for (const [index, task] of job.tasks.entries()) {
    if (task.phase !== TaskPhase.Ended) continue;
    switch (task.end.kind) {
      case TaskEndKind.Succeeded:
        break;
      case TaskEndKind.Failed:
        return {
          kind: JobOutcomeKind.Failed,
          reason: FailureReason.TaskFailed,
          step: Step.ExecuteTask,
          detail: task.end.detail,
          taskIndex: index,
        };
      case TaskEndKind.Lost:
        return {
          kind: JobOutcomeKind.Unknown,
          reason: UnknownReason.TaskAnswerLost,
          step: Step.ExecuteTask,
        };
    }
  }
  return undefined;
}

function assertNotRunIsTrue(job: Job, outcome: JobOutcome): void {
  if (outcome.kind !== JobOutcomeKind.NotRun) return;
  assertInvariant(
    !job.isAnyTaskStarted && !job.isAnyTaskInDoubt,
    Invariant.NotRunIsTrue,
    () => `${job.identifier} is refused though tasks may have started`,
  );
}
