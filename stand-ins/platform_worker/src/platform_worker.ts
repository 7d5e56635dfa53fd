/**
 * HTTP server that stands in for a worker of the platform: it reports to its sidecar, runs tasks as their
 * content describes, and loses or delays answers when a test injects a fault.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  LoopbackServer,
  readJson,
  writeJson,
} from "@eelgrassfront/stand-in-loopback-server";
import * as zod from "zod";
import { type RunObserver, WorkerRuns } from "./worker_runs.ts";

/** How the worker handles start calls. */
export enum WorkerMode {
  Serving = "serving",
  /** Performs starts but leaves them unanswered. */
  LosingAnswers = "losing-answers",
  /** Leaves starts unanswered and performs them after a delay. */
  Delaying = "delaying",
  /** Refuses starts with status 503. */
  Unhealthy = "unhealthy",
}

/** Identity, capacity and reporting of a worker. */
export interface PlatformWorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Where the sidecar listens for reports. */
  readonly reportAddress: string;
  readonly capacity: { readonly cpu: number; readonly memMb: number };
  readonly reportMilliseconds: number;
  readonly observer: RunObserver;
}

/** Delay of starts in the mode `Delaying`. */
const DELAY_MILLISECONDS = 2_000;

const callSchema = zod.object({
  task: zod.string(),
  attempt: zod.number().int(),
  spec: zod.string().default("{}"),
  deadlineMs: zod.number().default(0),
  fencingToken: zod.number().default(0),
});
const pollSchema = zod.object({
  deadlineMs: zod.number().optional(),
  fencingToken: zod.number().default(0),
  ackCursor: zod.number().default(0),
  waitMs: zod.number().int().max(2_000).default(0),
});
const scriptSchema = zod.object({
  runMilliseconds: zod.number().default(20),
  isFailing: zod.boolean().default(false),
  cpu: zod.number().default(1_000),
});

/** Stand-in for one incarnation of a worker. */
export class PlatformWorker extends LoopbackServer {
  /** How the worker handles start calls from now on. */
  mode: WorkerMode = WorkerMode.Serving;
  readonly #options: PlatformWorkerOptions;
  readonly #born = Date.now();
  readonly #runs: WorkerRuns;
  #sequence = 0;
  #isDraining = false;
  #reports: NodeJS.Timeout | undefined;

  private constructor(options: PlatformWorkerOptions) {
    super();
    this.#options = options;
    this.#runs = new WorkerRuns(options.observer);
  }

  /** Listens on loopback and starts to report. */
  static async listen(options: PlatformWorkerOptions): Promise<PlatformWorker> {
    const worker = new PlatformWorker(options);
    await worker.open(0);
    worker.#reports = setInterval(
      () => void worker.report(),
      options.reportMilliseconds,
    );
    await worker.report();
    return worker;
  }

  /** The runs of this worker. */
  get runs(): WorkerRuns {
    return this.#runs;
  }

  /** Reports that the worker is draining. Returns whether the sidecar accepted the report. */
  drain(): Promise<boolean> {
    this.#isDraining = true;
    return this.report();
  }

  /** Sends a report to the sidecar. Returns whether the sidecar accepted it. */
  async report(): Promise<boolean> {
    this.#sequence += 1;
    const { id, service, zone, capacity, reportAddress } = this.#options;
    try {
      const response = await fetch(`http://${reportAddress}/instances/${id}`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          service,
          address: `127.0.0.1:${this.port}`,
          zone,
          version: "v1",
          slots: 8,
          state: this.#isDraining ? "draining" : "ready",
          coldLeftMs: 0,
          capacity: { ...capacity, gpu: 0 },
          labels: ["a", "r1-1"],
          clockMs: this.#runs.clock,
          sequence: this.#sequence,
          born: this.#born,
        }),
      });
      await response.arrayBuffer();
      return response.ok;
    } catch {
      // The sidecar is not reachable; it gets the next report.
      return false;
    }
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#reports);
    this.#runs.crash();
    await super[Symbol.asyncDispose]();
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(request);
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.#options.id) {
      writeJson(response, 421, {});
      return;
    }
    const { url = "" } = request;
    switch (url) {
      case "/run-start":
        this.#start(body, response);
        return;
      case "/run-stop":
        this.#stop(body, response);
        return;
      case "/hold":
        await this.#poll(body, response);
        return;
      default:
        writeJson(response, 404, {});
    }
  }

  #start(body: unknown, response: ServerResponse): void {
    const call = callSchema.parse(body);
    switch (this.mode) {
      case WorkerMode.Serving:
        this.#answer(response, this.#performStart(call));
        return;
      case WorkerMode.LosingAnswers:
        this.#performStart(call);
        return;
      case WorkerMode.Delaying:
        setTimeout(() => this.#performStart(call), DELAY_MILLISECONDS);
        return;
      case WorkerMode.Unhealthy:
        writeJson(response, 503, {});
        return;
    }
  }

  #performStart(call: zod.infer<typeof callSchema>): string | undefined {
    if (this.#runs.isFenced(call.fencingToken)) return "fence";
    const script = scriptSchema.parse(JSON.parse(call.spec));
    return this.#runs.start(
      call.task,
      call.attempt,
      script,
      call.deadlineMs,
    );
  }

  #stop(body: unknown, response: ServerResponse): void {
    const { task, attempt, fencingToken } = callSchema.parse(body);
    const isFenced = this.#runs.isFenced(fencingToken);
    if (!isFenced) this.#runs.stop(task, attempt);
    this.#answer(response, isFenced ? "fence" : undefined);
  }

  async #poll(body: unknown, response: ServerResponse): Promise<void> {
    const { fencingToken, ackCursor, deadlineMs, waitMs } = pollSchema.parse(
      body,
    );
    if (this.#runs.isFenced(fencingToken)) {
      this.#answer(response, "fence");
      return;
    }
    const list = await this.#runs.poll(ackCursor, deadlineMs, waitMs);
    writeJson(response, 200, { ...list, born: this.#born });
  }

  #answer(response: ServerResponse, reason: string | undefined): void {
    const clockMs = this.#runs.clock;
    if (reason === undefined) writeJson(response, 200, { clockMs });
    else writeJson(response, 409, { clockMs, reason });
  }
}
