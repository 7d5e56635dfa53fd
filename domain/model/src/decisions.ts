/**
 * The shape of every state machine: an input at a time gives a list of outputs. Nothing here knows a
 * clock, a codec or a connection, so the same inputs always give the same outputs.
 */
import type { Milliseconds } from "./identifiers.ts";
import type { ProcessInput } from "./process_input.ts";
import type { ProcessOutput } from "./process_output.ts";

/** A state machine of one process, over its closed sets of inputs and outputs. */
export interface StateMachine<Input, Output> {
  /**
   * Takes one input.
   *
   * @param now the local monotonic time, in milliseconds
   * @param input what happened
   * @returns what the adapters must do, in order
   * @throws {InvariantError} when a promise of the system would be broken
   */
  step(now: Milliseconds, input: Input): readonly Output[];

  /** When the machine next wants an `AlarmRang` input; undefined for never. */
  nextAlarm(): Milliseconds | undefined;
}

/** A state machine for work at most once. */
export type Decisions = StateMachine<ProcessInput, ProcessOutput>;
