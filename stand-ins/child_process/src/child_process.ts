/**
 * Child process of a test harness, with its process identifier, its output lines and its exit code.
 */
import { type ChildProcess, spawn } from "node:child_process";
import type { Readable } from "node:stream";

/** Script, arguments and environment of a child process. */
export interface ChildOptions {
  readonly name: string;
  /** Script that Node runs. */
  readonly script: string;
  readonly args: readonly string[];
  /** Arguments of Node itself. */
  readonly nodeArguments?: readonly string[];
  /** Environment variables in addition to those of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Called with the child's name and each line of its output. */
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

  /** Resolves when the process has ended, with its exit code or undefined when a signal ended it. */
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
