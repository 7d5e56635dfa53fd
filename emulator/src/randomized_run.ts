/**
 * One randomised run: the production state machines of all roles under faults and work drawn from a seed.
 * After the faults have ended, the system must complete new jobs. Runs with the same options are identical.
 */
import type { MembershipTiming } from "@eelgrassfront/membership";
import {
  type CallerAnswer,
  CallerAnswerKind,
  type Decisions,
  type Epoch,
  identifySubmission,
  InvariantError,
  JobOutcomeKind,
  type Milliseconds,
  type ProcessIdentifier,
  type ProcessOutput,
  type Submission,
} from "@eelgrassfront/model";
import { FaultInjector } from "./fault_injector.ts";
import { drawFaults, type Fault, type FaultKind } from "./fault_schedule.ts";
import { Rule, RunChecker, type Violation } from "./run_checker.ts";
import { SAMPLE_CONFIGURATION, sampleSubmission } from "./sample_work.ts";
import { SeededRandom } from "./seeded_random.ts";
import { ProcessState, type VirtualProcess } from "./virtual_process.ts";
import { VirtualSystem } from "./virtual_system.ts";
import { drawWorkload, type PlannedSubmission } from "./workload.ts";

/** Options of a run; only the seed is required. */
export interface RandomizedRunOptions {
  readonly seed: number;
  /** The faults; drawn from the seed when absent. */
  readonly faults?: readonly Fault[];
  /** The kinds of faults to draw from; all when absent. */
  readonly faultKinds?: readonly FaultKind[];
  /** Wraps the state machine of a process, to disable a mechanism. */
  readonly wrapDecisions?: (
    decisions: Decisions,
    identifier: ProcessIdentifier,
  ) => Decisions;
  readonly isIncarnationIgnored?: boolean;
  /** Called for each output of each process. */
  readonly trace?: (
    at: Milliseconds,
    process: string,
    output: ProcessOutput,
  ) => void;
}

/** Result of a run. */
export interface RunReport {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly Violation[];
  readonly starts: number;
  readonly requests: number;
  /** Number of answers of each kind: outcome, rejection reason, status, or none. */
  readonly answers: ReadonlyMap<string, number>;
}

/** Membership timing, short so that a run contains several takeovers. */
export const RUN_TIMING: MembershipTiming = {
  heartbeatMilliseconds: 150,
  unreachableMilliseconds: 500,
  leaseMilliseconds: 500,
  removalMilliseconds: 2_000,
  horizonMilliseconds: 600_000,
  retentionMilliseconds: 86_400_000,
};

const READY_AT: Milliseconds = 1_500;
const FAULTS_UNTIL: Milliseconds = 5_500;
const WORK_UNTIL: Milliseconds = 6_000;
const NEW_WORK_AT: Milliseconds = 10_000;
const NEW_WORK_UNTIL: Milliseconds = 13_000;
const ANSWER_SLACK_MILLISECONDS: Milliseconds = 3_500;
const NEW_WORK_RETRY_MILLISECONDS: Milliseconds = 300;
const NEW_JOBS = 6;
const NEW_WORK_RUN_MILLISECONDS: Milliseconds = 20;
const MAXIMUM_ACTIONS_AT_ONCE = 20_000;
const ZONES = 3;
const SHARDS = 8;
const MAXIMUM_SLOTS = 4;
const SMALL_RETENTION_PROBABILITY = 0.2;
const SMALL_RETENTION_MAXIMUM_BYTES = 15_000;
const DELAY_MILLISECONDS: Milliseconds = 1;

/** Runs one seed and checks the result. */
export function runRandomized(options: RandomizedRunOptions): RunReport {
  return new RandomizedRun(options).run();
}

class RandomizedRun {
  readonly #options: RandomizedRunOptions;
  readonly #system: VirtualSystem;
  readonly #checker: RunChecker;
  readonly #faults: readonly Fault[];
  readonly #work: readonly PlannedSubmission[];
  #epochToken: Epoch | undefined;
  #unfinishedNewWork = 0;
  #newJobs = 0;

  constructor(options: RandomizedRunOptions) {
    this.#options = options;
    const random = new SeededRandom(options.seed);
    const sidecars = 5 + random.below(3);
    const entries = 2 + random.below(2);
    this.#system = this.#createSystem(random, { sidecars, entries });
    this.#checker = new RunChecker({
      starts: this.#system.starts,
      now: () => this.#system.time.now,
    });
    const drawn = drawFaults(random, {
      from: READY_AT,
      until: FAULTS_UNTIL,
      sidecars,
      entries,
      zones: ZONES,
      ...(options.faultKinds === undefined
        ? {}
        : { kinds: options.faultKinds }),
    });
    this.#faults = options.faults ?? drawn;
    this.#work = drawWorkload(random, {
      from: READY_AT,
      until: WORK_UNTIL,
      entries,
    });
  }

  run(): RunReport {
    new FaultInjector(this.#system).schedule(this.#faults);
    for (const planned of this.#work) this.#scheduleSubmission(planned);
    this.#system.time.after(NEW_WORK_AT, () => this.#submitAllNewWork());
    this.#runToEnd();
    return this.#report();
  }

  #createSystem(
    random: SeededRandom,
    size: { readonly sidecars: number; readonly entries: number },
  ): VirtualSystem {
    const { seed, wrapDecisions, isIncarnationIgnored } = this.#options;
    return new VirtualSystem({
      ...size,
      seed,
      slots: 1 + random.below(MAXIMUM_SLOTS),
      owners: 1 + random.below(size.sidecars),
      shards: SHARDS,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: DELAY_MILLISECONDS,
      timing: RUN_TIMING,
      ...(random.happens(SMALL_RETENTION_PROBABILITY)
        ? { maximumRetainedBytes: random.below(SMALL_RETENTION_MAXIMUM_BYTES) }
        : {}),
      isIncarnationIgnored: isIncarnationIgnored ?? false,
      ...(wrapDecisions === undefined ? {} : { wrapDecisions }),
      onInput: (process, input) => this.#checker.observeInput(process, input),
      onOutput: (process, output) => {
        this.#checker.observeOutput(process, output);
        this.#options.trace?.(this.#system.time.now, process, output);
      },
    });
  }

  #runToEnd(): void {
    try {
      this.#system.time.runUntil(NEW_WORK_UNTIL, MAXIMUM_ACTIONS_AT_ONCE);
    } catch (error) {
      this.#recordError(error);
      return;
    }
    this.#checkAnsweredInTime();
    this.#checkConfigurations();
    if (this.#unfinishedNewWork > 0) {
      const detail = `${this.#unfinishedNewWork} new jobs are unfinished`;
      this.#checker.report(Rule.NewWorkCompletes, detail);
    }
  }

  #recordError(error: unknown): void {
    if (error instanceof InvariantError) {
      this.#checker.report(Rule.InternalInvariantHolds, error.message);
      return;
    }
    if (!(error instanceof RangeError)) throw error;
    this.#checker.report(Rule.NoBusyLoop, error.message);
  }

  #scheduleSubmission({
    submission,
    requests,
    isTokenSent,
    cancellation,
  }: PlannedSubmission): void {
    const { time } = this.#system;
    let sentSubmission: Submission | undefined;
    for (const { at, entry } of requests) {
      time.after(at, () => {
        sentSubmission ??= this.#withToken(submission, isTokenSent);
        this.#submit(entry, sentSubmission);
      });
    }
    if (cancellation === undefined) return;
    time.after(cancellation.at, () => {
      const entry = this.#system.entries[cancellation.entry];
      if (entry === undefined) return;
      this.#system.cancel(entry, identifySubmission(submission));
    });
  }

  #withToken(submission: Submission, isTokenSent: boolean): Submission {
    return isTokenSent && this.#epochToken !== undefined
      ? { ...submission, firstMadeAtEpoch: this.#epochToken }
      : submission;
  }

  #submit(
    index: number,
    submission: Submission,
    onAnswer?: (answer: CallerAnswer) => void,
  ): void {
    const entry = this.#system.entries[index];
    if (entry?.state !== ProcessState.Running) return;
    this.#checker.trackRequest({
      request: this.#system.nextCallerRequest(entry),
      submission,
      entry: entry.identifier,
      sentAt: this.#system.time.now,
    });
    this.#system.submit(entry, submission, (answer, epochToken) => {
      this.#epochToken = Math.max(this.#epochToken ?? 0, epochToken);
      onAnswer?.(answer);
    });
  }

  #submitAllNewWork(): void {
    this.#unfinishedNewWork = NEW_JOBS;
    for (let index = 0; index < NEW_JOBS; index += 1) this.#submitNewWork();
  }

  /**
   * Submits a job with the newest epoch token, and another one when the answer is not completed: an owner
   * that lacks start records answers unknown, with a newer token.
   */
  #submitNewWork(): void {
    this.#newJobs += 1;
    const submission = sampleSubmission({
      key: `new-${this.#newJobs}`,
      runMilliseconds: [NEW_WORK_RUN_MILLISECONDS],
    });
    const entry = this.#newJobs % this.#system.entries.length;
    this.#submit(entry, this.#withToken(submission, true), (answer) => {
      const isCompleted = answer.kind === CallerAnswerKind.Outcome &&
        answer.outcome.kind === JobOutcomeKind.Completed;
      if (isCompleted) this.#unfinishedNewWork -= 1;
      else {
        this.#system.time.after(
          NEW_WORK_RETRY_MILLISECONDS,
          () => this.#submitNewWork(),
        );
      }
    });
  }

  #checkAnsweredInTime(): void {
    const { time } = this.#system;
    for (const tracked of this.#checker.requests) {
      const { submission, sentAt, entry, answer, request } = tracked;
      const limit = sentAt + submission.deadlineMilliseconds +
        ANSWER_SLACK_MILLISECONDS;
      const isDue = limit < time.now && this.#isAlive(entry);
      if (isDue && answer === undefined) {
        this.#checker.report(Rule.AnsweredInTime, request);
      }
    }
  }

  #checkConfigurations(): void {
    const processes = this.#liveProcesses();
    const versions = new Set(
      processes.map(({ identifier }) =>
        this.#checker.configurationOf(identifier)
      ),
    );
    if (versions.size === 1) return;
    this.#checker.report(
      Rule.ConfigurationIsUniform,
      [...versions].join(),
    );
  }

  #liveProcesses(): readonly VirtualProcess[] {
    const { sidecars, entries } = this.#system;
    return [...sidecars.map(({ process }) => process), ...entries]
      .filter(({ state }) => state === ProcessState.Running);
  }

  #isAlive(identifier: string): boolean {
    return this.#liveProcesses().some((process) =>
      process.identifier === identifier
    );
  }

  #report(): RunReport {
    this.#checker.finish();
    const answers = new Map<string, number>();
    for (const { answer } of this.#checker.requests) {
      const kind = describeAnswer(answer);
      answers.set(kind, (answers.get(kind) ?? 0) + 1);
    }
    return {
      seed: this.#options.seed,
      faults: this.#faults,
      violations: this.#checker.violations,
      starts: this.#system.starts.total(),
      requests: this.#checker.requests.length,
      answers,
    };
  }
}

function describeAnswer(answer: CallerAnswer | undefined): string {
  switch (answer?.kind) {
    case CallerAnswerKind.Outcome:
      return answer.outcome.kind;
    case CallerAnswerKind.Rejection:
      return answer.reason;
    case CallerAnswerKind.Status:
      return "standing";
    case undefined:
      return "unanswered";
  }
}
