/**
 * Interface of every state machine: an input at a given time produces a list of outputs. State
 * machines have no access to clocks, codecs or connections, so the same inputs always produce the
 * same outputs.
 */
import type { Milliseconds } from "./identifiers.ts";
import type { ProcessInput } from "./process_input.ts";
import type { ProcessOutput } from "./process_output.ts";

/** State machine of one process over closed sets of inputs and outputs. */
export interface StateMachine<Input, Output> {
  /**
   * Handles one input.
   *
   * @param now the local monotonic time, in milliseconds
   * @param input the event to handle
   * @returns the outputs that the adapters carry out, in order
   * @throws {InvariantError} when a guarantee of the system would be violated
   */
  step(now: Milliseconds, input: Input): readonly Output[];

  /** Time at which the machine needs the next `AlarmFired` input; undefined for none. */
  nextAlarm(): Milliseconds | undefined;
}

/** State machine for work that runs at most once. */
export type Decisions = StateMachine<ProcessInput, ProcessOutput>;
