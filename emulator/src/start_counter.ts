/**
 * Counts the starts of each task over all backend servers: what the users' first promise is about.
 */
import type { AttemptIdentifier } from "@eelgrassfront/model";

const ATTEMPT_SUFFIX = /\.\d+\.\d+$/;

/** Starts by task. */
export class StartCounter {
  readonly #starts = new Map<string, number>();
  readonly #startedTasks = new Map<string, number>();

  /** Counts a start. */
  count(attempt: AttemptIdentifier): void {
    const task = attempt.replace(ATTEMPT_SUFFIX, "");
    this.#starts.set(task, (this.#starts.get(task) ?? 0) + 1);
    if (this.#starts.get(task) !== 1) return;
    const submission = task.slice(0, task.lastIndexOf("#"));
    const started = this.#startedTasks.get(submission) ?? 0;
    this.#startedTasks.set(submission, started + 1);
  }

  /** Tasks that started more than once. */
  repeated(): readonly string[] {
    return [...this.#starts]
      .filter(([, count]) => count > 1)
      .map(([task]) => task);
  }

  /** Number of tasks of a submission that started. */
  startedOf(submission: string): number {
    return this.#startedTasks.get(submission) ?? 0;
  }

  /** All starts together. */
  total(): number {
    return [...this.#starts.values()].reduce((sum, count) => sum + count, 0);
  }
}
