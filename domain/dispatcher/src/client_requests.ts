/**
 * Requests of client accounts: submissions of jobs, and questions and cancellations that concern them.
 */
import {
  assertNever,
  BestEffortJobState,
  ClientAnswerKind,
  type DispatchOutput,
  type JobCancellationRequested,
  JobRefusalReason,
  JobRequestKind,
  type JobStateRequested,
  type JobSubmitted,
  type Milliseconds,
  type OutputCollector,
  type RunnableJobRequest,
} from "@eelgrassfront/model";
import { DispatchJob } from "./dispatch_job.ts";
import { latencyObjective } from "./job_admission.ts";
import type { JobAnswers } from "./job_answers.ts";
import type { JobRunTimes } from "./job_run_times.ts";
import type { JobScheduler } from "./job_scheduler.ts";
import type { RemoteCancellations } from "./remote_cancellations.ts";
import type { RouteLookup, VersionedRoute } from "./route_lookup.ts";

/** Collaborators of `ClientRequests`. */
export interface ClientRequestsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly routes: RouteLookup;
  readonly answers: JobAnswers;
  readonly runTimes: JobRunTimes;
  readonly scheduler: JobScheduler;
  readonly cancellations: RemoteCancellations;
  /** Whether new jobs are refused. */
  readonly isClosed: () => boolean;
}

/** Deadline of a job whose client specifies none. */
const DEFAULT_DEADLINE_MILLISECONDS: Milliseconds = 30_000;

/** Handles the requests of client accounts. */
export class ClientRequests {
  readonly #options: ClientRequestsOptions;

  constructor(options: ClientRequestsOptions) {
    this.#options = options;
  }

  /** Accepts a job or answers it at once. */
  submit(input: JobSubmitted): void {
    const { request, target, body } = input;
    const found = this.#options.routes.find(request, target);
    if (found === undefined) return;
    switch (body.kind) {
      case JobRequestKind.Malformed:
        this.#options.answers.answer(request, {
          kind: ClientAnswerKind.Malformed,
          detail: body.detail,
        });
        return;
      case JobRequestKind.Unsupported:
        this.#options.answers.answer(request, {
          kind: ClientAnswerKind.Refused,
          reason: JobRefusalReason.Unsupported,
        });
        return;
      case JobRequestKind.Runnable:
        this.#admit(input, found, body);
        return;
      default:
        assertNever(body);
    }
  }

  #admit(
    { request, target, deadlineMilliseconds }: JobSubmitted,
    { route, version }: VersionedRoute,
    { job }: RunnableJobRequest,
  ): void {
    const { now } = this.#options.collector;
    const run = this.#options.runTimes.estimate(route, job);
    const slack = latencyObjective(route, run) - run;
    const deadline = deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS;
    this.#options.scheduler.admit(
      new DispatchJob({
        id: target.path.slice(route.requestPrefix.length),
        job,
        route,
        configurationVersion: version,
        arrivedAt: now,
        expectedRunMilliseconds: run,
        startBy: now + slack,
        deadlineAt: now + deadline,
        request,
      }),
      this.#options.isClosed(),
    );
  }

  /** Answers with the state of a job, or with the number of waiting jobs of a route. */
  answerState({ request, target }: JobStateRequested): void {
    const found = this.#options.routes.find(request, target);
    if (found === undefined) return;
    const id = target.path.slice(found.route.requestPrefix.length);
    if (id === "") {
      const count = this.#options.scheduler.countPending(found.route.name);
      this.#options.answers.answer(request, {
        kind: ClientAnswerKind.Pending,
        count,
      });
      return;
    }
    const job = this.#options.scheduler.find(id);
    if (job === undefined) {
      this.#options.answers.answer(request, {
        kind: ClientAnswerKind.NoSuchJob,
      });
      return;
    }
    const state = job.mayHaveStarted || job.placedTaskCount > 0
      ? BestEffortJobState.Running
      : BestEffortJobState.Queued;
    this.#options.answers.answer(request, {
      kind: ClientAnswerKind.State,
      state,
    });
  }

  /** Cancels a job. */
  cancel({ request, target }: JobCancellationRequested): void {
    const found = this.#options.routes.find(request, target);
    if (found === undefined) return;
    const id = target.path.slice(found.route.requestPrefix.length);
    if (this.#options.scheduler.cancel(id)) {
      this.#options.answers.answer(request, {
        kind: ClientAnswerKind.Cancelled,
      });
      return;
    }
    this.#options.cancellations.cancel(id, request);
  }
}
