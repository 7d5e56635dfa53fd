/**
 * What becomes of a submission that reaches its granted owner: it gets a kept answer, attaches to a
 * running job, is recovered from what runners reported, is unknown, is refused, or is taken in.
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
import type { AnswerBook } from "./answer_book.ts";
import type {
  EvidenceBook,
  ReportedStart,
  SubmissionEvidence,
} from "./evidence_book.ts";
import { type Job, JobPhase, type JobWaiter, TaskPhase } from "./job.ts";
import type { JobEndings } from "./job_endings.ts";
import type { JobTable } from "./job_table.ts";
import type { OwnerReplies } from "./owner_replies.ts";
import type { ShardGrants } from "./shard_grants.ts";
import type { TaskDispatcher } from "./task_dispatcher.ts";

/** What the gate needs. */
export interface SubmissionGateOptions {
  readonly collector: OutputCollector;
  readonly follower: FleetMembership;
  readonly jobs: JobTable;
  readonly answers: AnswerBook;
  readonly evidence: EvidenceBook;
  readonly grants: ShardGrants;
  readonly dispatcher: TaskDispatcher;
  readonly endings: JobEndings;
  readonly replies: OwnerReplies;
  readonly shardCount: number;
}

/** A submission with the entry that relayed it. */
export interface ArrivedSubmission {
  readonly waiter: JobWaiter;
  readonly message: SubmitJob;
  readonly arrivedAt: Milliseconds;
}

interface JobOpening extends ArrivedSubmission {
  readonly kindOfWork: KindOfWork;
}

const EVIDENCE_MISSING: JobOutcome = {
  kind: JobOutcomeKind.Unknown,
  reason: UnknownReason.StartRecordsMissing,
  step: Step.CollectStartRecords,
};

/** Decides on the submissions of granted shards. */
export class SubmissionGate {
  readonly #options: SubmissionGateOptions;
  #isClosed = false;

  constructor(options: SubmissionGateOptions) {
    this.#options = options;
  }

  /** Takes no new job any more: the owner is leaving. */
  close(): void {
    this.#isClosed = true;
  }

  /** Decides on a submission. */
  decide(arrived: ArrivedSubmission): void {
    const { waiter, message } = arrived;
    const identifier = identifySubmission(message.submission);
    const answer = this.#options.answers.find(identifier);
    if (answer !== undefined) {
      this.#replyKept(waiter, message, answer);
      return;
    }
    const job = this.#options.jobs.find(identifier);
    if (job !== undefined && job.phase !== JobPhase.Answered) {
      this.#attach(waiter, message, job);
      return;
    }
    const refusal = this.#options.answers.findRefusal(waiter.callerRequest);
    const evidence = this.#options.evidence.find(identifier);
    if (evidence !== undefined && refusal === undefined) {
      this.#recover(arrived, evidence);
      return;
    }
    if (evidence !== undefined || this.#mayHaveStartedElsewhere(message)) {
      this.#replyEvidenceMissing(waiter, message.shard);
      return;
    }
    if (refusal !== undefined) {
      this.#options.replies.giveOutcome(waiter, message.shard, refusal);
      return;
    }
    this.#admit(arrived);
  }

  #mayHaveStartedElsewhere(message: SubmitJob): boolean {
    const firstMadeAt = message.submission.firstMadeAtEpoch ?? UNCLAIMED_EPOCH;
    return firstMadeAt < this.#options.grants.knownSince(message.shard);
  }

  #replyEvidenceMissing(waiter: JobWaiter, shard: ShardNumber): void {
    const { replies } = this.#options;
    replies.count(EVIDENCE_MISSING);
    replies.giveOutcome(waiter, shard, EVIDENCE_MISSING);
  }

  #replyKept(
    waiter: JobWaiter,
    message: SubmitJob,
    answer: RetainedAnswer,
  ): void {
    const isSame = answer.digest === message.submission.digest;
    if (isSame) {
      this.#options.replies.giveOutcome(waiter, message.shard, answer.outcome);
    } else this.#options.replies.refuseReusedKey(waiter, message.shard);
  }

  #attach(waiter: JobWaiter, message: SubmitJob, job: Job): void {
    if (job.options.submission.digest !== message.submission.digest) {
      this.#options.replies.refuseReusedKey(waiter, message.shard);
      return;
    }
    this.#options.collector.count(Counter.JobsAttached);
    job.waiters.push(waiter);
  }

  #admit(arrived: ArrivedSubmission): void {
    const { waiter, message } = arrived;
    const { follower } = this.#options;
    const { submission } = message;
    const configuration = follower.view.configuration.current?.configuration;
    if (this.#isClosed || configuration === undefined) {
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
        this.#options.dispatcher.drainOf(kindOfWork, submission.team),
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

  #open({ waiter, message, arrivedAt, kindOfWork }: JobOpening): Job {
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

  #recover(arrived: ArrivedSubmission, evidence: SubmissionEvidence): void {
    const { waiter, message } = arrived;
    if (evidence.digest !== message.submission.digest) {
      this.#options.replies.refuseReusedKey(waiter, message.shard);
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
    const job = this.#open({ ...arrived, kindOfWork });
    for (const [index, reported] of evidence.starts) {
      this.#recoverTask(job, index, reported);
    }
    this.#options.endings.finishRecovered(job);
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
    this.#options.dispatcher.adopt(job, index);
  }

  #refuse(
    waiter: JobWaiter,
    shard: ShardNumber,
    outcome: NotRunOutcome,
  ): void {
    const { collector } = this.#options;
    this.#options.answers.keepRefusal(
      collector.now,
      waiter.callerRequest,
      outcome,
    );
    this.#options.replies.count(outcome);
    this.#options.replies.giveOutcome(waiter, shard, outcome);
  }

  #kindOfWork(name: string): KindOfWork | undefined {
    const { current } = this.#options.follower.view.configuration;
    return current?.configuration.kindsOfWork.find((kind) =>
      kind.name === name
    );
  }
}
