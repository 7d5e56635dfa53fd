/**
 * The one loop of a process: every port's inputs merge into one stream, the decisions take one input
 * at a time, and each output is performed in order.
 */
import {
  EventNumber,
  InvariantError,
  Severity,
  type StateMachine,
} from "@eelgrassfront/model";
import type { ClockPort, InputPort, JournalPort } from "@eelgrassfront/ports";
import { mergeArray, runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";

/** Exit code after a broken invariant. */
export const INVARIANT_EXIT_CODE = 70;

/** What a loop needs. */
export interface InputLoopOptions<Input, Output> {
  readonly decisions: StateMachine<Input, Output>;
  readonly sources: readonly InputPort<Input>[];
  readonly clock: ClockPort;
  readonly journal: JournalPort;
  readonly perform: (output: Output) => void;
}

/** Runs decisions on ports until it is stopped. */
export class InputLoop<Input, Output> {
  readonly #options: InputLoopOptions<Input, Output>;
  #finish: (exitCode: number) => void = () => {};
  #isStopped = false;

  constructor(options: InputLoopOptions<Input, Output>) {
    this.#options = options;
  }

  /** Runs until `stop` is called; returns the exit code. */
  run(): Promise<number> {
    return new Promise((resolve) => {
      this.#finish = resolve;
      const { sources } = this.#options;
      const inputs = mergeArray(sources.map((source) => source.inputs));
      const steps = tap((input: Input) => this.#step(input), inputs);
      runEffects(steps, newDefaultScheduler()).catch((error: unknown) => {
        this.#fail(error);
      });
      this.#armAlarm();
    });
  }

  /** Takes no further input and ends `run`. */
  stop(exitCode: number): void {
    this.#isStopped = true;
    this.#finish(exitCode);
  }

  #step(input: Input): void {
    if (this.#isStopped) return;
    const { decisions, clock, perform } = this.#options;
    try {
      for (const output of decisions.step(clock.now(), input)) perform(output);
      this.#armAlarm();
    } catch (error) {
      this.#fail(error);
    }
  }

  #armAlarm(): void {
    const { decisions, clock } = this.#options;
    clock.setAlarm(decisions.nextAlarm());
  }

  #fail(error: unknown): void {
    const state = error instanceof InvariantError ? error.state : String(error);
    this.#options.journal.record({
      number: EventNumber.InvariantBroken,
      severity: Severity.Error,
      message: error instanceof Error ? error.message : "the loop failed",
      context: { state },
    });
    this.stop(INVARIANT_EXIT_CODE);
  }
}
