/**
 * Answers to client accounts, and the records of how jobs ended: a log event and a counter for each job, and
 * the duration of a job that completed or failed. A job that its client cancels is answered but not recorded.
 */
import {
  BestEffortJobState,
  type ClientAnswer,
  ClientAnswerKind,
  Counter,
  type DispatchOutput,
  DispatchOutputKind,
  EventNumber,
  type GivenUpReason,
  Histogram,
  type JobFailureReason,
  type JobRefusalReason,
  type Milliseconds,
  type OutputCollector,
  type RequestIdentifier,
  type RequestTarget,
} from "@eelgrassfront/model";
import type { DispatchJob } from "./dispatch_job.ts";

/** Collaborators of a `JobAnswers`. */
export interface JobAnswersOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  /** Whether the connection is closed after the answer, as while draining. */
  readonly shouldCloseConnection: () => boolean;
}

/** Answers the clients of an entry and records how their jobs ended. */
export class JobAnswers {
  readonly #options: JobAnswersOptions;

  constructor(options: JobAnswersOptions) {
    this.#options = options;
  }

  /** Answers one client request. */
  answer(request: RequestIdentifier, answer: ClientAnswer): void {
    this.#options.collector.add({
      kind: DispatchOutputKind.AnswerClient,
      request,
      answer,
      isLast: this.#options.shouldCloseConnection(),
    });
  }

  /** Records a job that was accepted; if its entry is killed, no later line names the job. */
  recordAccepted(job: DispatchJob): void {
    this.#record(EventNumber.JobAccepted, "a job was accepted", job, {});
  }

  /** Answers a job that completed. */
  answerCompleted(job: DispatchJob): void {
    this.#options.collector.count(Counter.JobsCompleted);
    this.#answerEnded(job, BestEffortJobState.Completed, {});
  }

  /** Answers a job that failed; the log event names the crashes under its tasks. */
  answerFailed(
    job: DispatchJob,
    reason: JobFailureReason,
    crashes: string,
  ): void {
    this.#options.collector.count(Counter.JobsFailed, reason);
    this.#answerEnded(job, BestEffortJobState.Failed, {
      reason,
      ...crashContext(crashes),
    });
  }

  #answerEnded(
    job: DispatchJob,
    state: BestEffortJobState.Completed | BestEffortJobState.Failed,
    context: Readonly<Record<string, string>>,
  ): void {
    const { collector } = this.#options;
    this.#answerAll(job, { kind: ClientAnswerKind.Ended, state });
    collector.add({
      kind: DispatchOutputKind.ObserveDuration,
      histogram: Histogram.JobDuration,
      label: job.route.name,
      milliseconds: collector.now - job.arrivedAt,
    });
    this.#record(EventNumber.JobEnded, "a job has ended", job, {
      state,
      waitedMilliseconds: this.#placementWait(job),
      ...context,
    });
  }

  /** Answers a job of which no task has run or will run. */
  answerRefused(
    job: DispatchJob,
    reason: JobRefusalReason,
    options: {
      readonly retryAfterMilliseconds?: Milliseconds;
      /** Values behind the decision, for the log event. */
      readonly context: Readonly<Record<string, string | number | boolean>>;
    },
  ): void {
    const { retryAfterMilliseconds, context } = options;
    this.#answerAll(job, {
      kind: ClientAnswerKind.Refused,
      reason,
      ...(retryAfterMilliseconds === undefined
        ? {}
        : { retryAfterMilliseconds }),
    });
    this.#options.collector.count(Counter.JobsRefused, reason);
    this.#record(EventNumber.JobRefused, "a job was refused", job, {
      reason,
      ...context,
    });
  }

  /**
   * Answers a job that may have run in part. Its attempts have been cancelled, or end with the sessions of
   * lost sidecars. The log event names the crashes under its tasks.
   */
  answerGivenUp(
    job: DispatchJob,
    reason: GivenUpReason,
    crashes: string,
  ): void {
    this.#answerAll(job, { kind: ClientAnswerKind.GivenUp, reason });
    this.#options.collector.count(Counter.JobsGivenUp, reason);
    this.#record(EventNumber.JobGivenUp, "a job was given up", job, {
      reason,
      placedTasks: job.placedTaskCount,
      waitedMilliseconds: this.#placementWait(job),
      ...crashContext(crashes),
    });
  }

  /** Records a job whose clients have disconnected; it gets no answer. */
  recordAbandoned(job: DispatchJob): void {
    this.#options.collector.count(Counter.JobsAbandoned);
    this.#record(
      EventNumber.JobAbandoned,
      "the client of a job disconnected",
      job,
      {
        placedTasks: job.placedTaskCount,
      },
    );
  }

  /** Records a job whose client had disconnected before it was handled. */
  recordAbandonedSubmission({ host, path }: RequestTarget): void {
    const { collector } = this.#options;
    collector.count(Counter.JobsAbandoned);
    collector.record(
      EventNumber.SubmissionAbandoned,
      "a job was not accepted: its client had disconnected",
      { context: { host, path } },
    );
  }

  #answerAll(job: DispatchJob, answer: ClientAnswer): void {
    for (const request of job.requests) this.answer(request, answer);
  }

  #placementWait(job: DispatchJob): Milliseconds {
    const { now } = this.#options.collector;
    return Math.round((job.firstPlacedAt ?? now) - job.arrivedAt);
  }

  #record(
    number: EventNumber,
    message: string,
    job: DispatchJob,
    context: Readonly<Record<string, string | number | boolean>>,
  ): void {
    const { collector } = this.#options;
    collector.record(number, message, {
      context: {
        job: job.id,
        route: job.route.name,
        configurationVersion: job.configurationVersion,
        tasks: job.tasks.length,
        attempts: job.attemptCount,
        elapsedMilliseconds: Math.round(collector.now - job.arrivedAt),
        ...context,
      },
    });
  }
}

function crashContext(crashes: string): Readonly<Record<string, string>> {
  return crashes === "" ? {} : { crashes };
}
