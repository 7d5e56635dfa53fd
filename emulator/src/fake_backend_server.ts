/**
 * Fake of a backend server in virtual time. The payload of a task is its run time in milliseconds, or
 * `fail`. All backend servers count the starts of tasks in one shared counter.
 */
import {
  type BackendServerDescription,
  type BackendServerInput,
  type ExecuteTask,
  InputKind,
  type Milliseconds,
  type TaskEnd,
  TaskEndKind,
  type TaskIdentifier,
} from "@eelgrassfront/model";
import type { SeededRandom } from "./seeded_random.ts";
import { type StartCounter, taskOfAttempt } from "./start_counter.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Options of a `FakeBackendServer`; `starts` is shared by all backend servers of a system. */
export interface FakeBackendServerOptions {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly slots: number;
  readonly starts: StartCounter;
}

/** Payload of a task that fails. */
export const FAILING_PAYLOAD = "fail";
const FAILURE_MILLISECONDS: Milliseconds = 1;

/** Simulates the execution of tasks in virtual time. */
export class FakeBackendServer {
  /** Probability that the answer of a task is lost after the task ran. */
  answerLossProbability = 0;
  /** Whether every task fails immediately. */
  isFailing = false;
  /** Factor on the run time in the payload. */
  slowdown = 1;
  readonly #options: FakeBackendServerOptions;

  constructor(options: FakeBackendServerOptions) {
    this.#options = options;
  }

  /** The description that the sidecar announces to the fleet. */
  get description(): BackendServerDescription {
    return {
      service: "service",
      slots: this.#options.slots,
      processorCores: 32,
      memoryMegabytes: 131_072,
      accelerators: 0,
    };
  }

  /** Runs a task and reports its end to the sidecar. */
  execute(
    output: ExecuteTask,
    onInput: (input: BackendServerInput) => void,
  ): void {
    const { time, starts } = this.#options;
    const { attempt, task } = output;
    starts.count(attempt);
    const isFailing = this.isFailing || task.payload === FAILING_PAYLOAD;
    const runMilliseconds = isFailing
      ? FAILURE_MILLISECONDS
      : Number(task.payload) * this.slowdown;
    time.after(runMilliseconds, () => {
      onInput({
        kind: InputKind.TaskExecutionEnded,
        attempt,
        end: this.#end(output, isFailing, runMilliseconds),
      });
    });
  }

  #end(
    { attempt, task }: ExecuteTask,
    isFailing: boolean,
    runMilliseconds: Milliseconds,
  ): TaskEnd {
    if (isFailing) {
      const detail = "the task failed";
      return { kind: TaskEndKind.Failed, detail, runMilliseconds };
    }
    if (this.#options.random.happens(this.answerLossProbability)) {
      const detail = "the answer was lost";
      return { kind: TaskEndKind.Lost, detail };
    }
    const result = resultOf(taskOfAttempt(attempt), task.payload);
    return { kind: TaskEndKind.Succeeded, result, runMilliseconds };
  }
}

/** Returns the result of a task, which is unique to the task. */
export function resultOf(task: TaskIdentifier, payload: string): string {
  return `ran ${payload} for ${task}`;
}
