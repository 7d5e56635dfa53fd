/**
 * Test harness with a small virtual system. The test injects the faults itself; the checker of the randomised
 * runs observes the system.
 */
import {
  type CallerAnswer,
  CallerAnswerKind,
  type Decisions,
  identifySubmission,
  type Milliseconds,
  type ProcessIdentifier,
  type ProcessOutput,
  type Submission,
  type SubmissionIdentifier,
} from "@eelgrassfront/model";
import { RunChecker } from "./run_checker.ts";
import { SAMPLE_CONFIGURATION } from "./sample_work.ts";
import type { VirtualProcess } from "./virtual_process.ts";
import { type VirtualSidecar, VirtualSystem } from "./virtual_system.ts";

/** Options of a `Scenario`; omitted ones have a default. */
export interface ScenarioOptions {
  readonly sidecars?: number;
  readonly slots?: number;
  readonly owners?: number;
  readonly onOutput?: (process: string, output: ProcessOutput) => void;
  readonly wrapDecisions?: (
    decisions: Decisions,
    identifier: ProcessIdentifier,
  ) => Decisions;
}

/** An answer that a caller received. */
export interface ReceivedAnswer {
  readonly submission: SubmissionIdentifier;
  readonly answer: CallerAnswer;
  readonly epochToken: number;
}

/** Time by which every shard has an owner with all grants. */
export const READY_MILLISECONDS: Milliseconds = 3_000;
const SIDECARS = 4;
const ENTRIES = 2;
const SHARDS = 8;

/** A virtual system whose callers' answers are recorded and checked. */
export class Scenario {
  readonly system: VirtualSystem;
  readonly checker: RunChecker;
  readonly answers: ReceivedAnswer[] = [];

  constructor(options: ScenarioOptions = {}) {
    const { wrapDecisions, onOutput } = options;
    this.system = new VirtualSystem({
      seed: 1,
      entries: ENTRIES,
      sidecars: options.sidecars ?? SIDECARS,
      slots: options.slots ?? 1,
      owners: options.owners ?? 1,
      shards: SHARDS,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: 1,
      ...(wrapDecisions === undefined ? {} : { wrapDecisions }),
      onInput: (process, input) => this.checker.observeInput(process, input),
      onOutput: (process, output) => {
        this.checker.observeOutput(process, output);
        onOutput?.(process, output);
      },
    });
    const { starts, time } = this.system;
    this.checker = new RunChecker({ starts, now: () => time.now });
    time.runUntil(READY_MILLISECONDS);
  }

  /** Advances virtual time. */
  advance(milliseconds: Milliseconds): void {
    const { time } = this.system;
    time.runUntil(time.now + milliseconds);
  }

  /** Submits through an entry; the checker tracks the request. */
  submit(entry: number, submission: Submission): void {
    const process = this.entry(entry);
    this.checker.trackRequest({
      request: this.system.nextCallerRequest(process),
      submission,
      entry: process.identifier,
      sentAt: this.system.time.now,
    });
    this.system.submit(
      process,
      submission,
      (answer, epochToken) => {
        const identifier = identifySubmission(submission);
        this.answers.push({ submission: identifier, answer, epochToken });
      },
    );
  }

  /** Returns the kinds of the outcomes that the callers of a submission received, in order. */
  outcomesOf(submission: Submission): readonly string[] {
    const identifier = identifySubmission(submission);
    return this.answers
      .filter((received) => received.submission === identifier)
      .map(({ answer }) =>
        answer.kind === CallerAnswerKind.Outcome
          ? answer.outcome.kind
          : answer.kind
      );
  }

  /** The newest epoch token that a caller received. */
  get newestEpochToken(): number {
    return Math.max(0, ...this.answers.map(({ epochToken }) => epochToken));
  }

  /** Returns an entry by its index. */
  entry(index: number): VirtualProcess {
    const process = this.system.entries[index];
    if (process === undefined) throw new RangeError(`no entry ${index}`);
    return process;
  }

  /** Returns the sidecar whose process has this identifier. */
  sidecar(identifier: ProcessIdentifier): VirtualSidecar {
    const sidecar = this.system.sidecars.find(({ process }) =>
      process.identifier === identifier
    );
    if (sidecar === undefined) throw new RangeError(`no sidecar ${identifier}`);
    return sidecar;
  }
}
