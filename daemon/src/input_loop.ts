/**
 * The event loop of a process: the inputs of all ports merge into one stream, the state machine handles
 * one input at a time, and the outputs are performed in order.
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

/** Exit code after a broken invariant or another error in the event loop. */
export const INVARIANT_EXIT_CODE = 70;

/** State machine, sources and ports of an `InputLoop`. */
export interface InputLoopOptions<Input, Output> {
  readonly decisions: StateMachine<Input, Output>;
  readonly sources: readonly InputPort<Input>[];
  readonly clock: ClockPort;
  readonly journal: JournalPort;
  readonly perform: (output: Output) => void;
}

/** Feeds inputs to a state machine and performs its outputs, until `stop` is called. */
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
      this.#setAlarm();
    });
  }

  /** Ignores all further inputs and ends `run`. */
  stop(exitCode: number): void {
    this.#isStopped = true;
    this.#finish(exitCode);
  }

  #step(input: Input): void {
    if (this.#isStopped) return;
    const { decisions, clock, perform } = this.#options;
    try {
      for (const output of decisions.step(clock.now(), input)) perform(output);
      this.#setAlarm();
    } catch (error) {
      this.#fail(error);
    }
  }

  #setAlarm(): void {
    const { decisions, clock } = this.#options;
    clock.setAlarm(decisions.nextAlarm());
  }

  #fail(error: unknown): void {
    const state = error instanceof InvariantError ? error.state : String(error);
    this.#options.journal.record({
      number: EventNumber.InvariantBroken,
      severity: Severity.Error,
      message: error instanceof Error ? error.message : "the event loop failed",
      context: { state },
    });
    this.stop(INVARIANT_EXIT_CODE);
  }
}
