/**
 * The open jobs of an owner, by submission, with the number of tasks of each team and the timers of the
 * jobs. An answered job is removed at once; timers that it still has are ignored.
 */
import {
  type Milliseconds,
  type SubmissionIdentifier,
} from "@eelgrassfront/model";
import TinyQueue from "tinyqueue";
import { Job, type JobOptions, JobPhase } from "./job.ts";

interface JobTimer {
  readonly at: Milliseconds;
  readonly identifier: SubmissionIdentifier;
  readonly serial: number;
}

interface NumberedJob {
  readonly job: Job;
  readonly serial: number;
}

/** Jobs that are not answered yet. */
export class JobTable {
  readonly #jobs = new Map<SubmissionIdentifier, NumberedJob>();
  readonly #teamTasks = new Map<string, number>();
  readonly #timers = new TinyQueue<JobTimer>(
    [],
    (left, right) => left.at - right.at,
  );
  #lastSerial = 0;
  #lastAttempt = 0;

  /** Whether no job is open. */
  get isEmpty(): boolean {
    return this.#jobs.size === 0;
  }

  /** Returns every open job. */
  all(): readonly Job[] {
    return [...this.#jobs.values()].map(({ job }) => job);
  }

  /** Finds the open job of a submission. */
  find(submission: SubmissionIdentifier): Job | undefined {
    return this.#jobs.get(submission)?.job;
  }

  /** Returns the number of tasks of a team in open jobs. */
  teamTasks(team: string): number {
    return this.#teamTasks.get(team) ?? 0;
  }

  /** Opens a job and sets a timer for its deadline. */
  open(options: Omit<JobOptions, "nextAttempt">): Job {
    this.#lastSerial += 1;
    const job = new Job({
      ...options,
      nextAttempt: () => this.#nextAttempt(),
    });
    this.#jobs.set(job.identifier, { job, serial: this.#lastSerial });
    this.#addTeamTasks(options.submission.team, job.size);
    this.setTimer(options.deadlineAt, job);
    return job;
  }

  /** Marks a job as answered and removes it. */
  close(job: Job): void {
    job.phase = JobPhase.Answered;
    this.#jobs.delete(job.identifier);
    this.#addTeamTasks(job.options.submission.team, -job.size);
  }

  /** Sets another timer for a job. */
  setTimer(at: Milliseconds, job: Job): void {
    const serial = this.#jobs.get(job.identifier)?.serial;
    if (serial === undefined) return;
    this.#timers.push({ at, identifier: job.identifier, serial });
  }

  /** Returns the time of the next timer, or undefined when there is none. */
  nextTimer(): Milliseconds | undefined {
    return this.#timers.peek()?.at;
  }

  /** Removes the next timer that is due and returns its job, or undefined when no open job is due. */
  popDue(now: Milliseconds): Job | undefined {
    while ((this.#timers.peek()?.at ?? Infinity) <= now) {
      const timer = this.#timers.pop();
      if (timer === undefined) return undefined;
      const numbered = this.#jobs.get(timer.identifier);
      if (numbered?.serial === timer.serial) return numbered.job;
    }
    return undefined;
  }

  #nextAttempt(): number {
    this.#lastAttempt += 1;
    return this.#lastAttempt;
  }

  #addTeamTasks(team: string, tasks: number): void {
    const count = this.teamTasks(team) + tasks;
    if (count === 0) this.#teamTasks.delete(team);
    else this.#teamTasks.set(team, count);
  }
}
