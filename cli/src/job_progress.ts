/**
 * Tells how a job stands while its answer is awaited. Questions that fail are passed over: the answer
 * itself will tell.
 */
import { Step } from "@eelgrassfront/model";
import { tell } from "./console_output.ts";
import { call, tokenHeaders } from "./http_call.ts";
import { jobPath } from "./job_path.ts";

/** The job that is watched. */
export interface JobProgressOptions {
  readonly entry: string;
  readonly team: string | undefined;
  readonly key: string;
  readonly token: string | undefined;
}

const INTERVAL_MILLISECONDS = 2_000;

/** Asks for the standing now and again until it is disposed of. */
export class JobProgress implements Disposable {
  readonly #options: JobProgressOptions;
  readonly #timer: NodeJS.Timeout;
  #last = "";

  constructor(options: JobProgressOptions) {
    this.#options = options;
    this.#timer = setInterval(() => void this.#ask(), INTERVAL_MILLISECONDS);
    this.#timer.unref();
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
  }

  async #ask(): Promise<void> {
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
      this.#tellChange(body);
    } catch {
      // The answer to the submission tells what is wrong.
    }
  }

  #tellChange(body: Readonly<Record<string, unknown>>): void {
    const { state, tasks, tasksStarted, tasksEnded } = body;
    if (state === undefined) return;
    const line =
      `${state}: ${tasksStarted} of ${tasks} tasks started, ${tasksEnded} ended`;
    if (line !== this.#last) tell(line);
    this.#last = line;
  }
}
