/**
 * A caller that submits jobs at a fixed rate to the entries in turn and sends some jobs twice at once. It
 * resubmits a job under the same key when it gets no answer, or one that doesn't settle the outcome.
 */
import { setTimeout } from "node:timers/promises";
import { JobOutcomeKind } from "@eelgrassfront/model";
import { Pool } from "undici";

/** Target and load of a caller. */
export interface ResubmittingCallerOptions {
  /** Addresses of the entries. */
  readonly entries: readonly string[];
  /** Part of every idempotency key, so that the jobs of two runs don't collide. */
  readonly run: string;
  readonly jobsPerSecond: number;
  readonly taskRunMilliseconds: number;
}

/** Result of one job over all its submissions. */
export interface JobRecord {
  readonly key: string;
  /** Number of tasks. */
  readonly tasks: number;
  /** Time of the first submission, on the monotonic clock of this process. */
  readonly submittedAt: number;
  /** Time from the first submission until every copy had its last answer. */
  readonly elapsedMilliseconds: number;
  readonly submissions: number;
  /** Last answer to each copy. */
  readonly outcomes: readonly SubmissionOutcome[];
  /** Number of submissions that were answered with `unknown`, regardless of later answers. */
  readonly unknownAnswers: number;
  /** `outcome:reason` of each answer that gave a reason. */
  readonly reasons: readonly string[];
  /** Whether a `completed` answer lacked a result or carried a result of another job. */
  readonly isPartial: boolean;
}

/** Outcome of one copy of a submission; `no-answer` after the caller stopped resubmitting. */
export type SubmissionOutcome = JobOutcomeKind | "no-answer";

interface Answer {
  readonly outcome: string;
  readonly reason?: string;
  readonly results?: readonly { readonly of?: string }[];
}

interface Job {
  readonly key: string;
  readonly body: string;
  readonly payloads: readonly string[];
  readonly epochToken: number;
  readonly reasons: string[];
  submissions: number;
  unknownAnswers: number;
  isPartial: boolean;
}

const TEAM = "assessors";
const MAXIMUM_TASKS = 5;
/** One job in this many is submitted twice at once. */
const DUPLICATE_INTERVAL = 5;
const DEADLINE_MILLISECONDS = 10_000;
const ANSWER_TIMEOUT_MILLISECONDS = 16_000;
const RESUBMIT_DELAY_MILLISECONDS = 100;
const MAXIMUM_SUBMISSIONS = 60;
/** Number of `unknown` answers after which the caller accepts `unknown` as the outcome. */
const UNKNOWN_ANSWER_LIMIT = 4;
const CONNECTIONS = 256;
const MILLISECONDS_PER_SECOND = 1_000;
const EPOCH_HEADER = "eelgrassfront-epoch";

/** Submits jobs to several entries and records their outcomes. */
export class ResubmittingCaller implements AsyncDisposable {
  readonly records: JobRecord[] = [];
  readonly #options: ResubmittingCallerOptions;
  readonly #entries: readonly Pool[];
  #lastJob = 0;
  #nextEntry = 0;
  #epochToken = 0;

  constructor(options: ResubmittingCallerOptions) {
    this.#options = options;
    this.#entries = options.entries.map((address) =>
      new Pool(`http://${address}`, {
        connections: CONNECTIONS,
        headersTimeout: ANSWER_TIMEOUT_MILLISECONDS,
      })
    );
  }

  /** Submits jobs for a time and waits until each has an outcome. */
  async submitFor(milliseconds: number): Promise<void> {
    const { jobsPerSecond } = this.#options;
    const startedAt = performance.now();
    const jobs: Promise<void>[] = [];
    const total = milliseconds * jobsPerSecond / MILLISECONDS_PER_SECOND;
    for (let index = 0; index < total; index += 1) {
      const dueAt = startedAt + index * MILLISECONDS_PER_SECOND / jobsPerSecond;
      await setTimeout(Math.max(0, dueAt - performance.now()));
      jobs.push(this.#runJob());
    }
    await Promise.all(jobs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.#entries.map((pool) => pool.destroy()));
  }

  async #runJob(): Promise<void> {
    const job = this.#createJob();
    const submittedAt = performance.now();
    const copies = this.#lastJob % DUPLICATE_INTERVAL === 0 ? 2 : 1;
    const outcomes = await Promise.all(
      Array.from({ length: copies }, () => this.#submitUntilAnswered(job)),
    );
    this.records.push({
      key: `${TEAM}/${job.key}`,
      tasks: job.payloads.length,
      submittedAt,
      elapsedMilliseconds: performance.now() - submittedAt,
      submissions: job.submissions,
      outcomes,
      unknownAnswers: job.unknownAnswers,
      reasons: job.reasons,
      isPartial: job.isPartial,
    });
  }

  #createJob(): Job {
    this.#lastJob += 1;
    const key = `${this.#options.run}-${this.#lastJob}`;
    const tasks = 1 + this.#lastJob % MAXIMUM_TASKS;
    const payloads = Array.from({ length: tasks }, (_, index) => ({
      job: key,
      task: index,
      runMilliseconds: this.#options.taskRunMilliseconds,
    }));
    return {
      key,
      body: JSON.stringify({
        team: TEAM,
        kindOfWork: "check",
        idempotent: false,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        tasks: payloads.map((payload) => ({
          payload,
          declaredMilliseconds: payload.runMilliseconds,
        })),
      }),
      payloads: payloads.map((payload) => JSON.stringify(payload)),
      epochToken: this.#epochToken,
      reasons: [],
      submissions: 0,
      unknownAnswers: 0,
      isPartial: false,
    };
  }

  async #submitUntilAnswered(job: Job): Promise<SubmissionOutcome> {
    while (job.submissions < MAXIMUM_SUBMISSIONS) {
      const answer = await this.#submit(job);
      const outcome = answer === undefined
        ? undefined
        : finalOutcome(job, answer);
      if (outcome !== undefined) return outcome;
      await setTimeout(RESUBMIT_DELAY_MILLISECONDS);
    }
    return "no-answer";
  }

  async #submit(job: Job): Promise<Answer | undefined> {
    job.submissions += 1;
    const entry = this.#entries[this.#nextEntry % this.#entries.length];
    this.#nextEntry += 1;
    try {
      const response = await entry?.request({
        method: "POST",
        path: "/v1/jobs",
        headers: {
          "content-type": "application/json",
          "idempotency-key": job.key,
          [EPOCH_HEADER]: String(job.epochToken),
        },
        body: job.body,
      });
      if (response === undefined) return undefined;
      this.#updateEpochToken(response.headers[EPOCH_HEADER]);
      return await response.body.json() as Answer;
    } catch {
      return undefined;
    }
  }

  #updateEpochToken(header: string | string[] | undefined): void {
    const token = Number(header);
    if (token > this.#epochToken) this.#epochToken = token;
  }
}

/** Returns the final outcome of a copy, or undefined when it has to be submitted again. */
function finalOutcome(job: Job, answer: Answer): JobOutcomeKind | undefined {
  const kind = Object.values(JobOutcomeKind).find((known) =>
    known === answer.outcome
  );
  if (kind === undefined) return undefined;
  if (answer.reason !== undefined) job.reasons.push(`${kind}:${answer.reason}`);
  switch (kind) {
    case JobOutcomeKind.Completed:
      job.isPartial ||= !isAnswerComplete(job, answer);
      return kind;
    case JobOutcomeKind.Failed:
    case JobOutcomeKind.NotRun:
      return kind;
    case JobOutcomeKind.Unknown:
      job.unknownAnswers += 1;
      return job.unknownAnswers >= UNKNOWN_ANSWER_LIMIT ? kind : undefined;
  }
}

function isAnswerComplete(job: Job, { results }: Answer): boolean {
  return results?.length === job.payloads.length &&
    job.payloads.every((payload, index) => results[index]?.of === payload);
}
