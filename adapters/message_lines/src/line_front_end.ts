/**
 * Front end that reads one input with its time from each line and writes each output as a line. It
 * drives the state machine of any role with plain typed messages, without HTTP, tRPC or a clock.
 */
import type {
  Decisions,
  Milliseconds,
  ProcessInput,
} from "@eelgrassfront/model";
import { InputKind } from "@eelgrassfront/model";
import * as zod from "zod";

/** One line of input: the input and its time on the driver's own clock. */
export interface TimedInput {
  readonly now: Milliseconds;
  readonly input: ProcessInput;
}

/** Thrown for a line that cannot be read as an input. */
export class LineError extends Error {
  /** Number of the line, from 1. */
  readonly lineNumber: number;

  constructor(lineNumber: number, message: string) {
    super(`line ${lineNumber}: ${message}`);
    this.name = "LineError";
    this.lineNumber = lineNumber;
  }
}

const kinds = Object.values(InputKind);
const timedInputSchema = zod.object({
  now: zod.number(),
  input: zod.custom<ProcessInput>(
    (value) =>
      typeof value === "object" && value !== null && "kind" in value &&
      kinds.some((kind) => kind === value.kind),
    { error: `input: an object whose kind is one of ${kinds.join(", ")}` },
  ),
});

/** Drives the state machine of one process with lines of JSON. */
export class LineFrontEnd {
  readonly #decisions: Decisions;
  readonly #write: (line: string) => void;
  #lineNumber = 0;

  constructor(decisions: Decisions, write: (line: string) => void) {
    this.#decisions = decisions;
    this.#write = write;
  }

  /** Processes every line until the source ends. */
  async processLines(
    lines: AsyncIterable<string> | Iterable<string>,
  ): Promise<void> {
    for await (const line of lines) this.processLine(line);
  }

  /**
   * Processes one line; an empty line is skipped.
   *
   * @throws {LineError} when the line cannot be read as an input
   */
  processLine(line: string): void {
    this.#lineNumber += 1;
    if (line.trim() === "") return;
    const { now, input } = this.#parse(line);
    for (const output of this.#decisions.step(now, input)) {
      this.#write(JSON.stringify(output));
    }
  }

  #parse(line: string): TimedInput {
    const parsed = timedInputSchema.safeParse(this.#parseJson(line));
    if (parsed.success) return parsed.data;
    const faults = parsed.error.issues.map(({ message }) => message);
    throw new LineError(this.#lineNumber, faults.join("; "));
  }

  #parseJson(line: string): unknown {
    try {
      return JSON.parse(line);
    } catch (error) {
      throw new LineError(this.#lineNumber, String(error));
    }
  }
}
