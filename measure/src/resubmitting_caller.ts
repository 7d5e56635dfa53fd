/**
 * A caller that submits jobs at a fixed rate through whichever entry answers, sends some of them twice at
 * once, and submits again under the same key whenever it got no answer or one that says to.
 */
import { setTimeout } from "node:timers/promises";
import { JobOutcomeKind } from "@eelgrassfront/model";
import { Pool } from "undici";

/** What a caller does. */
export interface ResubmittingCallerOptions {
  /** Addresses of the entries. */
  readonly entries: readonly string[];
  /** Part of every key, so that runs do not meet each other's jobs. */
  readonly run: string;
  readonly jobsPerSecond: number;
  readonly taskRunMilliseconds: number;
}

/** What became of one job, over all its submissions. */
export interface JobRecord {
  readonly key: string;
  readonly tasks: number;
  /** When it was first submitted, on the clock of this process. */
  readonly submittedAt: number;
  /** Time until the last copy had its last answer. */
  readonly elapsedMilliseconds: number;
  readonly submissions: number;
  /** The last answer to each copy. */
  readonly outcomes: readonly SubmissionOutcome[];
  /** Submissions that were answered with `unknown`, whatever followed. */
  readonly unknownAnswers: number;
  /** Kinds of outcomes with their reasons, for each answer that gave one. */
  readonly reasons: readonly string[];
  /** Whether a complete answer lacked a result or carried another job's. */
  readonly isPartial: boolean;
}

/** How one copy of a submission ended; a caller that gave up has no answer. */
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
/** Every so many jobs one is submitted twice at once. */
const DOUBLED_EVERY = 5;
const DEADLINE_MILLISECONDS = 10_000;
const ANSWER_MILLISECONDS = 16_000;
const RESUBMIT_MILLISECONDS = 100;
const MAXIMUM_SUBMISSIONS = 60;
/** Submissions after which an `unknown` answer is taken as the last word. */
const MAXIMUM_UNKNOWN_ANSWERS = 4;
const CONNECTIONS = 256;
const MILLISECONDS_PER_SECOND = 1_000;
const EPOCH_HEADER = "eelgrassfront-epoch";

/** A caller with several entries to choose from. */
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
        headersTimeout: ANSWER_MILLISECONDS,
      })
    );
  }

  /** Submits for a time and waits for every answer. */
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
    const job = this.#makeJob();
    const submittedAt = performance.now();
    const copies = this.#lastJob % DOUBLED_EVERY === 0 ? 2 : 1;
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

  #makeJob(): Job {
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
      const outcome = answer === undefined ? undefined : finalOf(job, answer);
      if (outcome !== undefined) return outcome;
      await setTimeout(RESUBMIT_MILLISECONDS);
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
      this.#noteToken(response.headers[EPOCH_HEADER]);
      return await response.body.json() as Answer;
    } catch {
      return undefined;
    }
  }

  #noteToken(header: string | string[] | undefined): void {
    const token = Number(header);
    if (token > this.#epochToken) this.#epochToken = token;
  }
}

/** The outcome that ends the submitting; undefined when the job has to be submitted again. */
function finalOf(job: Job, answer: Answer): JobOutcomeKind | undefined {
  const kind = Object.values(JobOutcomeKind).find((known) =>
    known === answer.outcome
  );
  if (kind === undefined) return undefined;
  if (answer.reason !== undefined) job.reasons.push(`${kind}:${answer.reason}`);
  switch (kind) {
    case JobOutcomeKind.Completed:
      job.isPartial ||= !isWhole(job, answer);
      return kind;
    case JobOutcomeKind.Failed:
    case JobOutcomeKind.NotRun:
      return kind;
    case JobOutcomeKind.Unknown:
      job.unknownAnswers += 1;
      return job.unknownAnswers >= MAXIMUM_UNKNOWN_ANSWERS ? kind : undefined;
  }
}

function isWhole(job: Job, { results }: Answer): boolean {
  return results?.length === job.payloads.length &&
    job.payloads.every((payload, index) => results[index]?.of === payload);
}
