/**
 * Counts the starts of each task on all backend servers, to check that no task starts twice.
 */
import type { AttemptIdentifier, TaskIdentifier } from "@eelgrassfront/model";

const ATTEMPT_SUFFIX = /\.\d+\.\d+$/;
const TASK_SUFFIX = /#\d+$/;

/** Returns the task that an attempt belongs to. */
export function taskOfAttempt(attempt: AttemptIdentifier): TaskIdentifier {
  return attempt.replace(ATTEMPT_SUFFIX, "") as TaskIdentifier;
}

/** Number of starts of each task. */
export class StartCounter {
  readonly #starts = new Map<TaskIdentifier, number>();
  readonly #startedTasks = new Map<string, number>();

  /** Counts a start. */
  count(attempt: AttemptIdentifier): void {
    const task = taskOfAttempt(attempt);
    const starts = this.#starts.get(task) ?? 0;
    this.#starts.set(task, starts + 1);
    if (starts > 0) return;
    const submission = task.replace(TASK_SUFFIX, "");
    this.#startedTasks.set(submission, this.countStartedTasks(submission) + 1);
  }

  /** Returns the tasks that started more than once. */
  repeated(): readonly TaskIdentifier[] {
    return [...this.#starts]
      .filter(([, count]) => count > 1)
      .map(([task]) => task);
  }

  /** Returns how many tasks of a submission have started. */
  countStartedTasks(submission: string): number {
    return this.#startedTasks.get(submission) ?? 0;
  }

  /** Returns the number of starts of all tasks. */
  total(): number {
    return [...this.#starts.values()].reduce((sum, count) => sum + count, 0);
  }
}
