/**
 * Handling of a submission at its granted owner. The submission gets a stored answer, attaches to the
 * open job, is recovered from start records, is answered as unknown, is refused, or is admitted.
 */
import { AdmissionKind, decideAdmission } from "@eelgrassfront/admission";
import type { FleetMembership } from "@eelgrassfront/membership";
import {
  Counter,
  identifySubmission,
  type JobOutcome,
  JobOutcomeKind,
  type KindOfWork,
  type Milliseconds,
  type NotRunOutcome,
  NotRunReason,
  type OutputCollector,
  type RetainedAnswer,
  type ShardNumber,
  Step,
  type SubmitJob,
  TaskEndKind,
  UNCLAIMED_EPOCH,
  UnknownReason,
} from "@eelgrassfront/model";
import type { AnswerStore } from "./answer_store.ts";
import type {
  ReportedStart,
  StartRecordIndex,
  SubmissionStarts,
} from "./start_record_index.ts";
import { type Job, JobPhase, type JobWaiter, TaskPhase } from "./job.ts";
import type { JobCompletion } from "./job_completion.ts";
import type { JobTable } from "./job_table.ts";
import type { OwnerReplies } from "./owner_replies.ts";
import type { ShardGrants } from "./shard_grants.ts";
import type { TaskDispatcher } from "./task_dispatcher.ts";

/** Collaborators of a `SubmissionHandler`. */
export interface SubmissionHandlerOptions {
  readonly collector: OutputCollector;
  readonly membership: FleetMembership;
  readonly jobs: JobTable;
  readonly answers: AnswerStore;
  readonly startRecords: StartRecordIndex;
  readonly grants: ShardGrants;
  readonly dispatcher: TaskDispatcher;
  readonly completion: JobCompletion;
  readonly replies: OwnerReplies;
  readonly shardCount: number;
}

/** A submission with the request of the entry that relayed it. */
export interface RelayedSubmission {
  readonly waiter: JobWaiter;
  readonly message: SubmitJob;
  readonly arrivedAt: Milliseconds;
}

interface AcceptedSubmission extends RelayedSubmission {
  readonly kindOfWork: KindOfWork;
}

const START_RECORDS_MISSING: JobOutcome = {
  kind: JobOutcomeKind.Unknown,
  reason: UnknownReason.StartRecordsMissing,
  step: Step.CollectStartRecords,
};

/** Handles the submissions of granted shards. */
export class SubmissionHandler {
  readonly #options: SubmissionHandlerOptions;
  #isAdmissionStopped = false;

  constructor(options: SubmissionHandlerOptions) {
    this.#options = options;
  }

  /** Stops the admission of new jobs, since the owner drains. */
  stopAdmission(): void {
    this.#isAdmissionStopped = true;
  }

  /** Answers, attaches, recovers, admits or refuses a submission. */
  handle(arrived: RelayedSubmission): void {
    const { waiter, message } = arrived;
    const identifier = identifySubmission(message.submission);
    const answer = this.#options.answers.find(identifier);
    if (answer !== undefined) {
      this.#replyStored(waiter, message, answer);
      return;
    }
    const job = this.#options.jobs.find(identifier);
    if (job !== undefined && job.phase !== JobPhase.Answered) {
      this.#attach(waiter, message, job);
      return;
    }
    const refusal = this.#options.answers.findRefusal(waiter.callerRequest);
    const recorded = this.#options.startRecords.find(identifier);
    if (recorded !== undefined && refusal === undefined) {
      this.#recover(arrived, recorded);
      return;
    }
    if (recorded !== undefined || this.#mayHaveStartedBefore(message)) {
      this.#replyStartRecordsMissing(waiter, message.shard);
      return;
    }
    if (refusal !== undefined) {
      this.#options.replies.sendOutcome(waiter, message.shard, refusal);
      return;
    }
    this.#admit(arrived);
  }

  #mayHaveStartedBefore(message: SubmitJob): boolean {
    const firstMadeAt = message.submission.firstMadeAtEpoch ?? UNCLAIMED_EPOCH;
    return firstMadeAt < this.#options.grants.startsKnownSince(message.shard);
  }

  #replyStartRecordsMissing(waiter: JobWaiter, shard: ShardNumber): void {
    const { replies } = this.#options;
    replies.countOutcome(START_RECORDS_MISSING);
    replies.sendOutcome(waiter, shard, START_RECORDS_MISSING);
  }

  #replyStored(
    waiter: JobWaiter,
    message: SubmitJob,
    answer: RetainedAnswer,
  ): void {
    const isSame = answer.digest === message.submission.digest;
    if (isSame) {
      this.#options.replies.sendOutcome(waiter, message.shard, answer.outcome);
    } else this.#options.replies.rejectReusedKey(waiter, message.shard);
  }

  #attach(waiter: JobWaiter, message: SubmitJob, job: Job): void {
    if (job.options.submission.digest !== message.submission.digest) {
      this.#options.replies.rejectReusedKey(waiter, message.shard);
      return;
    }
    this.#options.collector.count(Counter.JobsAttached);
    job.waiters.push(waiter);
  }

  #admit(arrived: RelayedSubmission): void {
    const { waiter, message } = arrived;
    const { membership } = this.#options;
    const { submission } = message;
    const configuration = membership.view.configuration.current?.configuration;
    if (this.#isAdmissionStopped || configuration === undefined) {
      this.#refuse(waiter, message.shard, {
        kind: JobOutcomeKind.NotRun,
        reason: NotRunReason.OwnerLeaving,
      });
      return;
    }
    if (this.#options.answers.isFull(this.#options.collector.now)) {
      this.#refuse(waiter, message.shard, {
        kind: JobOutcomeKind.NotRun,
        reason: NotRunReason.QueueFull,
      });
      return;
    }
    const admission = decideAdmission(submission, {
      configuration,
      queuedTasks: this.#options.dispatcher.queuedTasks,
      teamTasksInFlight: this.#options.jobs.teamTasks(submission.team),
      quotaShare: this.#options.grants.size / this.#options.shardCount,
      remainingMilliseconds: message.remainingMilliseconds,
      estimateDrain: (kindOfWork) =>
        this.#options.dispatcher.estimateDrain(kindOfWork, submission.team),
      isCapableWorkerKnown: ({ service }) =>
        this.#options.dispatcher.pool.isAnyRunnerCapable({
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
    const job = this.#open({ ...arrived, kindOfWork: admission.kindOfWork });
    job.tasks.forEach((_, index) =>
      this.#options.dispatcher.enqueue(job, index)
    );
  }

  #open({ waiter, message, arrivedAt, kindOfWork }: AcceptedSubmission): Job {
    const { jobs, grants } = this.#options;
    const job = jobs.open({
      submission: message.submission,
      shard: message.shard,
      epoch: grants.epochOf(message.shard) ?? UNCLAIMED_EPOCH,
      kindOfWork,
      arrivedAt,
      deadlineAt: arrivedAt + message.remainingMilliseconds,
    });
    job.waiters.push(waiter);
    return job;
  }

  #recover(arrived: RelayedSubmission, recorded: SubmissionStarts): void {
    const { waiter, message } = arrived;
    if (recorded.digest !== message.submission.digest) {
      this.#options.replies.rejectReusedKey(waiter, message.shard);
      return;
    }
    const kindOfWork = this.#kindOfWork(message.submission.kindOfWork);
    const areAllStartsKnown = recorded.starts.size >=
        message.submission.tasks.length ||
      !this.#mayHaveStartedBefore(message);
    if (kindOfWork === undefined || !areAllStartsKnown) {
      this.#replyStartRecordsMissing(waiter, message.shard);
      return;
    }
    const job = this.#open({ ...arrived, kindOfWork });
    for (const [index, reported] of recorded.starts) {
      this.#recoverTask(job, index, reported);
    }
    this.#options.completion.completeRecovered(job);
    if (job.phase !== JobPhase.Active) return;
    job.tasks.forEach((task, index) => {
      if (task.phase === TaskPhase.Waiting) {
        this.#options.dispatcher.enqueue(job, index);
      }
    });
  }

  #recoverTask(job: Job, index: number, reported: ReportedStart): void {
    const { record, runner } = reported;
    if (record.end !== undefined) {
      job.setTask(index, { phase: TaskPhase.Ended, end: record.end });
      return;
    }
    const isRunnerGone =
      this.#options.membership.view.find(runner) === undefined;
    if (record.isResultDropped || isRunnerGone) {
      const detail = "the result is no longer retained";
      job.setTask(index, {
        phase: TaskPhase.Ended,
        end: { kind: TaskEndKind.Lost, detail },
      });
      return;
    }
    job.setTask(index, {
      phase: TaskPhase.Placed,
      runner,
      attempt: record.attempt,
      epoch: record.epoch,
      isStarted: true,
    });
    this.#options.dispatcher.adopt(job, index);
  }

  #refuse(
    waiter: JobWaiter,
    shard: ShardNumber,
    outcome: NotRunOutcome,
  ): void {
    const { collector } = this.#options;
    this.#options.answers.addRefusal(
      collector.now,
      waiter.callerRequest,
      outcome,
    );
    this.#options.replies.countOutcome(outcome);
    this.#options.replies.sendOutcome(waiter, shard, outcome);
  }

  #kindOfWork(name: string): KindOfWork | undefined {
    const { current } = this.#options.membership.view.configuration;
    return current?.configuration.kindsOfWork.find((kind) =>
      kind.name === name
    );
  }
}
