/**
 * Health check of the worker whose description an earlier incarnation of this sidecar saved. After a
 * successful check the worker gets tasks before its next report. The check is needed because the worker may
 * have begun to drain since the description was saved.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import {
  type RequestIdentifier,
  type WorkerAnswer,
  WorkerAnswerKind,
  WorkerCallKind,
} from "@eelgrassfront/model";
import type { WorkerLink } from "./worker_link.ts";

/** The worker, and the directory with the path of its health check. */
export interface SavedWorkerCheckOptions {
  readonly link: WorkerLink;
  readonly directory: FleetDirectory;
}

/** Confirms a saved worker description by one health check. */
export class SavedWorkerCheck {
  readonly #options: SavedWorkerCheckOptions;
  #call: RequestIdentifier | undefined;
  #isSent = false;

  constructor(options: SavedWorkerCheckOptions) {
    this.#options = options;
  }

  /** Sends the health check once, as soon as the configuration with its path is known. */
  tick(): void {
    const { link } = this.#options;
    if (!link.isOnlySaved || this.#isSent) return;
    const path = this.#healthPath();
    if (path === undefined) return;
    this.#isSent = true;
    this.#call = link.call({ kind: WorkerCallKind.CheckHealth, path });
  }

  /**
   * Handles the answer to the health check and ignores other answers. Unless the worker accepts, it gets no
   * tasks before its next report.
   *
   * @returns whether the worker gets tasks from now on
   */
  handleAnswer(call: RequestIdentifier, { kind }: WorkerAnswer): boolean {
    if (call !== this.#call) return false;
    this.#call = undefined;
    if (kind !== WorkerAnswerKind.Accepted) return false;
    this.#options.link.confirm();
    return true;
  }

  #healthPath(): string | undefined {
    const { link, directory } = this.#options;
    const service = link.description?.service;
    return directory.configuration?.routes
      .find((route) => route.service === service)?.healthPath;
  }
}
