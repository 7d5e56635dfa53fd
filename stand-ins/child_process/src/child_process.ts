/**
 * One child process of a test rig: its identifier, its output, and its end.
 */
import { type ChildProcess, spawn } from "node:child_process";
import type { Readable } from "node:stream";

/** What to start. */
export interface ChildOptions {
  readonly name: string;
  /** Script that Node runs. */
  readonly script: string;
  readonly args: readonly string[];
  /** Arguments of Node itself. */
  readonly nodeArguments?: readonly string[];
  /** Variables beside those of the rig. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Told of each line of output. */
  readonly onLine?: (name: string, line: string) => void;
}

/** A running child process. */
export class Child implements AsyncDisposable {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #exited: Promise<number | undefined>;

  constructor(options: ChildOptions) {
    this.name = options.name;
    const { script, args, nodeArguments = [] } = options;
    this.#process = spawn(
      process.execPath,
      [...nodeArguments, script, ...args],
      {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...options.environment },
      },
    );
    this.#exited = new Promise((resolve) => {
      this.#process.once("exit", (code) => resolve(code ?? undefined));
    });
    this.#watchLines(options, this.#process.stderr);
    this.#watchLines(options, this.#process.stdout);
  }

  /** Process identifier. */
  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** Exit code, once the process has ended; undefined when a signal ended it. */
  get exited(): Promise<number | undefined> {
    return this.#exited;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#process.exitCode !== null || this.#process.signalCode !== null) {
      return;
    }
    this.#process.kill("SIGCONT");
    this.#process.kill("SIGKILL");
    await this.#exited;
  }

  #watchLines(
    { name, onLine }: ChildOptions,
    stream: Readable | null,
  ): void {
    let rest = "";
    stream?.on("data", (chunk: Buffer) => {
      const lines = `${rest}${chunk.toString("utf8")}`.split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) onLine?.(name, line);
    });
  }
}
