/**
 * Collects the outputs of one step. The components of a process share one collector, so that their
 * outputs keep the order in which they were added, and request numbers are unique within the
 * process.
 */
import type { Milliseconds } from "./identifiers.ts";
import { type EventNumber, type ProcessEvent, Severity } from "./event.ts";
import type { CountedReason, Counter } from "./metric.ts";
import { hintFor, type ProcessError } from "./process_error.ts";
import {
  type IncrementCounter,
  OutputKind,
  type ProcessOutput,
  type RecordEvent,
} from "./process_output.ts";

/** Outputs of the step in progress, the time of the step, and the request counter. */
export class OutputCollector<Output = ProcessOutput> {
  #outputs: (Output | IncrementCounter | RecordEvent)[] = [];
  #lastRequest = 0;
  #now: Milliseconds = 0;

  /** Time of the step in progress. */
  get now(): Milliseconds {
    return this.#now;
  }

  /** Starts a step. */
  begin(now: Milliseconds): void {
    this.#now = now;
    this.#outputs = [];
  }

  /** Ends the step and returns its outputs. */
  finish(): readonly (Output | IncrementCounter | RecordEvent)[] {
    return this.#outputs;
  }

  /** Adds an output. */
  add(output: Output | IncrementCounter | RecordEvent): void {
    this.#outputs.push(output);
  }

  /** Returns a request number that this process has not used. */
  nextRequest(): number {
    this.#lastRequest += 1;
    return this.#lastRequest;
  }

  /** Counts an occurrence. */
  count(counter: Counter, reason?: CountedReason): void {
    this.add(
      reason === undefined
        ? { kind: OutputKind.IncrementCounter, counter }
        : { kind: OutputKind.IncrementCounter, counter, reason },
    );
  }

  /** Adds a numbered event. */
  record(
    number: EventNumber,
    message: string,
    options: {
      readonly severity?: Severity;
      readonly context?: ProcessEvent["context"];
    } = {},
  ): void {
    this.add({
      kind: OutputKind.RecordEvent,
      event: {
        number,
        severity: options.severity ?? Severity.Information,
        message,
        context: options.context ?? {},
      },
    });
  }

  /** Adds the event of an error with its tag, step, peer and the hint for operators. */
  recordError(number: EventNumber, error: ProcessError): void {
    const { tag, step, peer, detail } = error;
    this.record(number, `${step}: ${peer}: ${detail}`, {
      severity: Severity.Warning,
      context: { tag, step, peer, hint: hintFor(error) },
    });
  }
}
