/**
 * HTTP client of the backend server. `GET /description` returns its description and serves as a
 * health check; `POST /tasks` runs one task and responds when the task has ended.
 */
import {
  type AttemptIdentifier,
  type BackendServerInput,
  ErrorTag,
  type ExecuteTask,
  InputKind,
  type Milliseconds,
  type ProcessError,
  Step,
  type TaskEnd,
  TaskEndKind,
} from "@eelgrassfront/model";
import type { BackendServerPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import { errors, Pool } from "undici";
import * as zod from "zod";

/** Address of the backend server, and limits of its use. */
export interface HttpBackendServerOptions {
  /** Origin, as `http://host:port`. */
  readonly origin: string;
  /** Number of connections for tasks. */
  readonly connections: number;
  /** Time between a description, or a failure to read it, and the next request for it. */
  readonly descriptionMilliseconds: Milliseconds;
}

const DESCRIPTION_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;
/** Disables the timeouts of undici: a task may run for any time. */
const NO_TIMEOUT = 0;

const descriptionSchema = zod.object({
  service: zod.string().min(1),
  slots: zod.number().int().positive(),
  processorCores: zod.number().nonnegative(),
  memoryMegabytes: zod.number().nonnegative(),
  accelerators: zod.number().int().nonnegative(),
});

/** Runs tasks on the backend server and polls its description, with undici. */
export class HttpBackendServer implements BackendServerPort {
  readonly inputs: Stream<BackendServerInput>;
  readonly #emit: (input: BackendServerInput) => void;
  readonly #options: HttpBackendServerOptions;
  readonly #taskPool: Pool;
  readonly #descriptionPool: Pool;
  #timer: NodeJS.Timeout | undefined;
  #isDisposed = false;

  constructor(options: HttpBackendServerOptions) {
    [this.#emit, this.inputs] = createAdapter<BackendServerInput>();
    this.#options = options;
    this.#taskPool = new Pool(options.origin, {
      connections: options.connections,
      headersTimeout: NO_TIMEOUT,
      bodyTimeout: NO_TIMEOUT,
    });
    this.#descriptionPool = new Pool(options.origin, { connections: 1 });
  }

  /** Starts to poll the description. */
  start(): void {
    void this.#pollDescription();
  }

  perform(output: ExecuteTask): void {
    void this.#execute(output);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isDisposed = true;
    clearTimeout(this.#timer);
    await Promise.all([
      this.#taskPool.destroy(),
      this.#descriptionPool.destroy(),
    ]);
  }

  async #execute({ attempt, kindOfWork, task }: ExecuteTask): Promise<void> {
    const startedAt = performance.now();
    try {
      const response = await this.#taskPool.request({
        method: "POST",
        path: "/tasks",
        headers: { "content-type": "application/json", attempt },
        body: JSON.stringify({ kindOfWork, payload: task.payload }),
      });
      const text = await response.body.text();
      const runMilliseconds = performance.now() - startedAt;
      const end = parseTaskEnd(response.statusCode, text, runMilliseconds);
      this.#emit({ kind: InputKind.TaskExecutionEnded, attempt, end });
    } catch (error) {
      this.#reportFailure(attempt, error);
    }
  }

  #reportFailure(attempt: AttemptIdentifier, error: unknown): void {
    if (this.#isDisposed) return;
    if (wasNeverSent(error)) {
      this.#emit({
        kind: InputKind.TaskNotSent,
        attempt,
        error: this.#unreachableError(Step.ExecuteTask, error),
      });
      return;
    }
    const end: TaskEnd = { kind: TaskEndKind.Lost, detail: String(error) };
    this.#emit({ kind: InputKind.TaskExecutionEnded, attempt, end });
  }

  #unreachableError(step: Step, cause: unknown): ProcessError {
    return {
      tag: ErrorTag.Unreachable,
      step,
      peer: this.#options.origin,
      detail: String(cause),
    };
  }

  async #pollDescription(): Promise<void> {
    const input = await this.#readDescription();
    if (this.#isDisposed) return;
    this.#emit(input);
    this.#timer = setTimeout(
      () => void this.#pollDescription(),
      this.#options.descriptionMilliseconds,
    );
  }

  async #readDescription(): Promise<BackendServerInput> {
    try {
      const response = await this.#descriptionPool.request({
        method: "GET",
        path: "/description",
        signal: AbortSignal.timeout(DESCRIPTION_TIMEOUT_MILLISECONDS),
      });
      const description = descriptionSchema.parse(await response.body.json());
      return { kind: InputKind.BackendServerDescribed, description };
    } catch (cause) {
      return {
        kind: InputKind.BackendServerUnreachable,
        error: this.#unreachableError(Step.DescribeBackendServer, cause),
      };
    }
  }
}

function parseTaskEnd(
  status: number,
  text: string,
  runMilliseconds: Milliseconds,
): TaskEnd {
  const statusClass = Math.floor(status / 100);
  switch (statusClass) {
    case 2:
      return { kind: TaskEndKind.Succeeded, result: text, runMilliseconds };
    default:
      return {
        kind: TaskEndKind.Failed,
        detail: `the backend server answered ${status}: ${text}`,
        runMilliseconds,
      };
  }
}

/**
 * Whether a request was certainly not sent: only a connection that was never established proves it.
 * Any other error may come after the request was sent.
 */
function wasNeverSent(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  return error instanceof Error && "code" in error &&
    error.code === "ECONNREFUSED";
}
