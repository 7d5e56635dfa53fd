/**
 * HTTP server that stands in for a backend server: `GET /description`, `POST /tasks`, `GET /statistics`, and
 * `POST /control` to inject faults. It counts the starts of each task.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  LoopbackServer,
  readJson,
  writeJson,
} from "@eelgrassfront/stand-in-loopback-server";
import * as zod from "zod";

/** Description of the backend server, and its default run time. */
export interface BackendServerOptions {
  readonly service: string;
  readonly slots: number;
  readonly processorCores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
  /** Run time of a task whose payload does not contain one. */
  readonly runMilliseconds: number;
}

const taskSchema = zod.object({
  kindOfWork: zod.string(),
  payload: zod.string(),
});
const payloadSchema = zod.object({
  runMilliseconds: zod.number().nonnegative().optional(),
  fail: zod.boolean().optional(),
});
const controlSchema = zod.strictObject({
  /** Fail every task immediately. */
  isFailing: zod.boolean().optional(),
  /** Accept tasks and never answer. */
  isStalling: zod.boolean().optional(),
  /** Number of next tasks that run but whose answer is lost. */
  loseAnswers: zod.number().int().nonnegative().optional(),
});

/** Counts since the start of the stand-in. */
export interface BackendServerStatistics {
  readonly starts: number;
  /** Number of tasks that started more than once on this backend server. */
  readonly repeatedStarts: number;
  readonly highestConcurrency: number;
  /** Number of starts of each task. */
  readonly startsByTask: Readonly<Record<string, number>>;
}

/** Stand-in for a backend server that runs tasks by waiting for their run time. */
export class BackendServer extends LoopbackServer {
  readonly #options: BackendServerOptions;
  readonly #starts = new Map<string, number>();
  #running = 0;
  #highestConcurrency = 0;
  #isFailing = false;
  #isStalling = false;
  #answersToLose = 0;

  private constructor(options: BackendServerOptions) {
    super();
    this.#options = options;
  }

  /** Listens on loopback. */
  static async listen(
    port: number,
    options: BackendServerOptions,
  ): Promise<BackendServer> {
    const server = new BackendServer(options);
    await server.open(port);
    return server;
  }

  /** Counts since the start. */
  statistics(): BackendServerStatistics {
    const counts = [...this.#starts.values()];
    return {
      starts: counts.reduce((sum, count) => sum + count, 0),
      repeatedStarts: counts.filter((count) => count > 1).length,
      highestConcurrency: this.#highestConcurrency,
      startsByTask: Object.fromEntries(this.#starts),
    };
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case "GET /description":
        writeJson(response, 200, this.#description());
        return;
      case "GET /statistics":
        writeJson(response, 200, this.statistics());
        return;
      case "POST /tasks":
        await this.#runTask(request, response);
        return;
      case "POST /control":
        await this.#control(request, response);
        return;
      default:
        writeJson(response, 404, { error: "no such path" });
    }
  }

  #description(): object {
    const { runMilliseconds: _run, ...description } = this.#options;
    return description;
  }

  async #runTask(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const task = taskSchema.parse(await readJson(request));
    const payload = readPayload(task.payload);
    this.#countStart(String(request.headers["attempt"] ?? "direct"));
    if (this.#isStalling) return;
    if (this.#isFailing || payload.fail === true) {
      writeJson(response, 500, { error: "the task failed" });
      return;
    }
    await this.#run(payload.runMilliseconds ?? this.#options.runMilliseconds);
    if (this.#answersToLose > 0) {
      this.#answersToLose -= 1;
      response.destroy();
      return;
    }
    writeJson(response, 200, { verdict: "accepted", of: task.payload });
  }

  async #run(milliseconds: number): Promise<void> {
    this.#running += 1;
    this.#highestConcurrency = Math.max(
      this.#highestConcurrency,
      this.#running,
    );
    await new Promise((resolve) => setTimeout(resolve, milliseconds));
    this.#running -= 1;
  }

  #countStart(attempt: string): void {
    const task = attempt.replace(/\.\d+\.\d+$/, "");
    this.#starts.set(task, (this.#starts.get(task) ?? 0) + 1);
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = controlSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      writeJson(response, 400, { error: parsed.error.message });
      return;
    }
    const { isFailing, isStalling, loseAnswers } = parsed.data;
    this.#isFailing = isFailing ?? this.#isFailing;
    this.#isStalling = isStalling ?? this.#isStalling;
    this.#answersToLose = loseAnswers ?? this.#answersToLose;
    writeJson(response, 200, {});
  }
}

function readPayload(text: string): zod.infer<typeof payloadSchema> {
  const parsed = payloadSchema.safeParse(JSON.parse(text));
  return parsed.success ? parsed.data : {};
}
