/**
 * Answers to client accounts, with the log line, the counter and the histogram of each end of a job.
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
  type JobRefusalReason,
  type Milliseconds,
  type OutputCollector,
  type RequestIdentifier,
} from "@eelgrassfront/model";
import type { DispatchJob } from "./dispatch_job.ts";

/** What the answers need. */
export interface JobAnswersOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  /** Whether the connection ends with the answer. */
  readonly isLast: () => boolean;
}

/** Answers an entry's clients. */
export class JobAnswers {
  readonly #options: JobAnswersOptions;

  constructor(options: JobAnswersOptions) {
    this.#options = options;
  }

  /** Answers one request. */
  answer(request: RequestIdentifier, answer: ClientAnswer): void {
    this.#options.collector.add({
      kind: DispatchOutputKind.AnswerClient,
      request,
      answer,
      isLast: this.#options.isLast(),
    });
  }

  /** The job has ended. */
  end(
    job: DispatchJob,
    state: BestEffortJobState.Completed | BestEffortJobState.Failed,
  ): void {
    const { collector } = this.#options;
    this.#answerAll(job, { kind: ClientAnswerKind.Ended, state });
    const isCompleted = state === BestEffortJobState.Completed;
    collector.count(
      isCompleted ? Counter.JobsCompleted : Counter.JobsFailed,
    );
    collector.add({
      kind: DispatchOutputKind.ObserveDuration,
      histogram: Histogram.JobDuration,
      label: job.route.name,
      milliseconds: collector.now - job.arrivedAt,
    });
    this.#record(EventNumber.JobEnded, "a job has ended", job, {
      state,
      waitedMilliseconds: this.#waitOf(job),
    });
  }

  /** The job has not run and never will. */
  refuse(
    job: DispatchJob,
    reason: JobRefusalReason,
    options: {
      readonly retryAfterMilliseconds?: Milliseconds;
      /** What decided it, for the log. */
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

  /** Nothing can be said of the job but that nothing of it runs any more. */
  giveUp(job: DispatchJob, reason: GivenUpReason): void {
    this.#answerAll(job, { kind: ClientAnswerKind.GivenUp, reason });
    this.#options.collector.count(Counter.JobsGivenUp, reason);
    this.#record(EventNumber.JobGivenUp, "a job was given up", job, {
      reason,
      placedTasks: job.placed,
      waitedMilliseconds: this.#waitOf(job),
    });
  }

  /** The client has gone; nobody waits for the answer. */
  abandon(job: DispatchJob): void {
    this.#options.collector.count(Counter.JobsAbandoned);
    this.#record(EventNumber.JobAbandoned, "the client of a job left", job, {
      placedTasks: job.placed,
    });
  }

  #answerAll(job: DispatchJob, answer: ClientAnswer): void {
    for (const request of job.requests) this.answer(request, answer);
  }

  #waitOf(job: DispatchJob): Milliseconds {
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
        attempts: job.attempts,
        elapsedMilliseconds: Math.round(collector.now - job.arrivedAt),
        ...context,
      },
    });
  }
}
