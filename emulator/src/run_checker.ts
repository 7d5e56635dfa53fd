/**
 * Observes one run from outside the processes and records every violated guarantee: second starts;
 * incomplete, wrong or duplicate answers; refusals of work that ran; and configurations that revert.
 */
import {
  type CallerAnswer,
  CallerAnswerKind,
  type CallerRequestIdentifier,
  type CompletedOutcome,
  identifySubmission,
  InputKind,
  type JobOutcome,
  JobOutcomeKind,
  type LogOffset,
  type Milliseconds,
  OutputKind,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessInput,
  type ProcessOutput,
  type Submission,
  taskIdentifier,
} from "@eelgrassfront/model";
import { FAILING_PAYLOAD, resultOf } from "./fake_backend_server.ts";
import type { StartCounter } from "./start_counter.ts";

/** Rules that a run is checked against. */
export enum Rule {
  InternalInvariantHolds = "an invariant asserted inside the program holds",
  NoSecondStart = "no task starts twice",
  AnswerIsComplete = "a completed answer has every result",
  AnswerMatches = "an answer belongs to its own submission",
  AnsweredOnce = "a request is answered once",
  AnsweredInTime = "a request is answered in time",
  NotRunMeansNoStart = "a submission that is refused as not run has not run",
  RefusedNeverStarts = "a refused request never causes a start",
  FailedMeansStarted = "a job that is answered as failed had started",
  ConfigurationNeverReverts = "the configuration never reverts",
  ConfigurationIsUniform = "every process has the same configuration",
  NoStartAfterDrain = "no start a second after leaving",
  NewWorkCompletes = "new work completes after the faults",
  NoBusyLoop = "no process spins",
}

/** A violated rule. */
export interface Violation {
  readonly rule: Rule;
  readonly at: Milliseconds;
  readonly detail: string;
}

/** A request of a caller and its answer. */
export interface TrackedRequest {
  readonly request: CallerRequestIdentifier;
  readonly submission: Submission;
  /** Process identifier of the entry, which includes the incarnation. */
  readonly entry: string;
  readonly sentAt: Milliseconds;
  answer?: CallerAnswer;
  answeredAt?: Milliseconds;
}

/** Sources of a `RunChecker`: the starts on all backend servers, and the virtual clock. */
export interface RunCheckerOptions {
  readonly starts: StartCounter;
  readonly now: () => Milliseconds;
}

/** Time after a drain request from which a process starts no task. */
const DRAIN_SLACK_MILLISECONDS: Milliseconds = 1_000;

/** Checks one run against every `Rule`. */
export class RunChecker {
  readonly violations: Violation[] = [];
  readonly requests: TrackedRequest[] = [];
  readonly #options: RunCheckerOptions;
  readonly #byRequest = new Map<CallerRequestIdentifier, TrackedRequest>();
  readonly #submissionOf = new Map<string, string>();
  readonly #configurations = new Map<string, LogOffset>();
  readonly #drainedAt = new Map<string, Milliseconds>();

  constructor(options: RunCheckerOptions) {
    this.#options = options;
  }

  /** Records a violation. */
  report(rule: Rule, detail: string): void {
    this.violations.push({ rule, detail, at: this.#options.now() });
  }

  /** Tracks a request, so that its answer is checked. */
  trackRequest(tracked: TrackedRequest): void {
    this.requests.push(tracked);
    this.#byRequest.set(tracked.request, tracked);
  }

  /** Observes an input of a process. */
  observeInput(process: string, input: ProcessInput): void {
    if (input.kind === InputKind.DrainRequested) {
      this.#drainedAt.set(process, this.#options.now());
    }
    if (input.kind !== InputKind.PeerRequestArrived) return;
    const { message, from, request } = input;
    if (message.kind !== PeerRequestKind.SubmitJob) return;
    const submission = identifySubmission(message.submission);
    this.#submissionOf.set(`${process} ${from} ${request}`, submission);
  }

  /** Observes an output of a process and checks it. */
  observeOutput(process: string, output: ProcessOutput): void {
    switch (output.kind) {
      case OutputKind.SendReply: {
        if (output.message.kind !== PeerReplyKind.JobAnswered) return;
        const key = `${process} ${output.to} ${output.request}`;
        this.#checkReply(this.#submissionOf.get(key), output.message.outcome);
        return;
      }
      case OutputKind.AnswerCaller:
        this.#checkAnswer(output.request, output.answer);
        return;
      case OutputKind.ApplyConfiguration:
        this.#checkConfiguration(process, output.version.offset);
        return;
      case OutputKind.ExecuteTask:
        this.#checkDrain(process, output.attempt);
        return;
      case OutputKind.AnswerOperator:
      case OutputKind.SendRequest:
      case OutputKind.AppendRecord:
      case OutputKind.RecordEvent:
      case OutputKind.IncrementCounter:
      case OutputKind.SetGauge:
      case OutputKind.ReportReadiness:
      case OutputKind.Stop:
        return;
    }
  }

  /** Checks the rules that can only be decided at the end of a run. */
  finish(): void {
    for (const task of this.#options.starts.repeated()) {
      this.report(Rule.NoSecondStart, task);
    }
    this.#checkRefusedNeverStarted();
  }

  /** Returns the offset of the configuration in force in a process. */
  configurationOf(process: string): LogOffset | undefined {
    return this.#configurations.get(process);
  }

  #checkReply(submission: string | undefined, outcome: JobOutcome): void {
    if (submission === undefined) return;
    const started = this.#options.starts.countStartedTasks(submission);
    const detail = `${submission} is answered ${JSON.stringify(outcome)}` +
      ` after ${started} starts`;
    switch (outcome.kind) {
      case JobOutcomeKind.NotRun:
        if (started > 0) this.report(Rule.NotRunMeansNoStart, detail);
        return;
      case JobOutcomeKind.Failed:
        if (started === 0) this.report(Rule.FailedMeansStarted, detail);
        return;
      case JobOutcomeKind.Completed:
      case JobOutcomeKind.Unknown:
        return;
    }
  }

  #checkAnswer(request: CallerRequestIdentifier, answer: CallerAnswer): void {
    const tracked = this.#byRequest.get(request);
    if (tracked === undefined) return;
    if (tracked.answer !== undefined) {
      this.report(Rule.AnsweredOnce, request);
      return;
    }
    tracked.answer = answer;
    tracked.answeredAt = this.#options.now();
    if (answer.kind !== CallerAnswerKind.Outcome) return;
    if (answer.outcome.kind !== JobOutcomeKind.Completed) return;
    this.#checkCompleted(tracked.submission, answer.outcome);
  }

  #checkCompleted(submission: Submission, outcome: CompletedOutcome): void {
    const identifier = identifySubmission(submission);
    if (outcome.results.length !== submission.tasks.length) {
      const detail = `${identifier} has ${outcome.results.length} results`;
      this.report(Rule.AnswerIsComplete, detail);
    }
    for (const [index, { payload }] of submission.tasks.entries()) {
      const expected = resultOf(taskIdentifier(identifier, index), payload);
      const result = outcome.results[index];
      const isRight = result === expected && payload !== FAILING_PAYLOAD;
      if (!isRight) this.report(Rule.AnswerMatches, `${expected}: ${result}`);
    }
  }

  #checkDrain(process: string, attempt: string): void {
    const drainedAt = this.#drainedAt.get(process) ?? Infinity;
    if (this.#options.now() <= drainedAt + DRAIN_SLACK_MILLISECONDS) return;
    this.report(Rule.NoStartAfterDrain, `${attempt} starts at ${process}`);
  }

  #checkConfiguration(process: string, offset: LogOffset): void {
    const known = this.#configurations.get(process) ?? 0;
    if (offset < known) {
      const detail = `${process} reverts from ${known} to ${offset}`;
      this.report(Rule.ConfigurationNeverReverts, detail);
    }
    this.#configurations.set(process, offset);
  }

  #checkRefusedNeverStarted(): void {
    const mayHaveStarted = new Set<string>();
    for (const tracked of this.requests) {
      if (!isRefused(tracked.answer)) {
        mayHaveStarted.add(identifySubmission(tracked.submission));
      }
    }
    for (const { submission } of this.requests) {
      const identifier = identifySubmission(submission);
      if (mayHaveStarted.has(identifier)) continue;
      const started = this.#options.starts.countStartedTasks(identifier);
      if (started === 0) continue;
      this.report(Rule.RefusedNeverStarts, `${identifier}: ${started} starts`);
    }
  }
}

/** Returns whether an answer guarantees that the request caused no start and never will. */
function isRefused(answer: CallerAnswer | undefined): boolean {
  switch (answer?.kind) {
    case CallerAnswerKind.Outcome:
      return answer.outcome.kind === JobOutcomeKind.NotRun;
    case CallerAnswerKind.Rejection:
      return true;
    case CallerAnswerKind.Status:
    case undefined:
      return false;
  }
}
