/**
 * Shows the progress of a job while `submit` waits for its answer. Failed status requests are ignored,
 * because the answer to the submission reports what is wrong.
 */
import { Step } from "@eelgrassfront/model";
import { printDiagnostic } from "./console_output.ts";
import { call, tokenHeaders } from "./http_call.ts";
import { jobPath } from "./job_path.ts";

/** The job to poll. */
export interface JobProgressOptions {
  readonly entry: string;
  readonly team: string | undefined;
  readonly key: string;
  readonly token: string | undefined;
}

const POLL_MILLISECONDS = 2_000;

/** Polls the status of a job until it is disposed of. */
export class JobProgress implements Disposable {
  readonly #options: JobProgressOptions;
  readonly #timer: NodeJS.Timeout;
  #lastLine = "";

  constructor(options: JobProgressOptions) {
    this.#options = options;
    this.#timer = setInterval(() => void this.#poll(), POLL_MILLISECONDS);
    this.#timer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
  }

  async #poll(): Promise<void> {
    const { entry, team, key, token } = this.#options;
    if (team === undefined) return;
    try {
      const { body } = await call({
        step: Step.QueryJob,
        peer: entry,
        method: "GET",
        path: jobPath(team, key),
        headers: tokenHeaders(token),
      });
      this.#printChange(body);
    } catch {
      // The answer to the submission reports what is wrong.
    }
  }

  #printChange(body: Readonly<Record<string, unknown>>): void {
    const { state, tasks, tasksStarted, tasksEnded } = body;
    if (state === undefined) return;
    const line =
      `${state}: ${tasksStarted} of ${tasks} tasks started, ${tasksEnded} ended`;
    if (line !== this.#lastLine) printDiagnostic(line);
    this.#lastLine = line;
  }
}
