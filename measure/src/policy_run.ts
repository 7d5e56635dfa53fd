/**
 * Runs a load under one policy, with the real decision code in virtual time.
 */
import { VirtualSystem } from "@eelgrassfront/emulator";
import {
  type CallerAnswer,
  CallerAnswerKind,
  type Configuration,
  identifySubmission,
  type JobOutcome,
  JobOutcomeKind,
  type Milliseconds,
  OutputKind,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessOutput,
  TaskEndKind,
} from "@eelgrassfront/model";
import type { QueueDisciplineKind } from "@eelgrassfront/fairness";
import type { PlacementPolicy } from "@eelgrassfront/placement";
import type { Arrival } from "./policy_load.ts";
import {
  Ending,
  type MessageCount,
  PolicyStatistics,
  type RunSummary,
} from "./policy_statistics.ts";

/** A load and the system that serves it. */
export interface PolicyRunOptions {
  readonly seed: number;
  readonly sidecars: number;
  readonly slots: number;
  readonly owners: number;
  readonly entries: number;
  /** One-way delay between processes. */
  readonly delayMilliseconds: Milliseconds;
  readonly configuration: Configuration;
  /** Name of the load in reports. */
  readonly load: string;
  readonly arrivals: readonly Arrival[];
  /** Only submissions that arrive in this window are measured. */
  readonly window: { readonly from: Milliseconds; readonly to: Milliseconds };
  readonly endsAt: Milliseconds;
  /** Schedules faults or cancellations before the run begins. */
  readonly scheduleFaults?: (system: VirtualSystem) => void;
}

const SHARDS = 64;

/** Runs a load under a policy. */
export function runPolicy(
  options: PolicyRunOptions,
  policy: NamedPolicy,
): RunSummary {
  return new PolicyRun(options, policy).run(policy.name);
}

/** A placement policy and a queue discipline with a name for reports. */
export interface NamedPolicy {
  readonly name: string;
  readonly placementPolicy: PlacementPolicy;
  readonly queueDiscipline: QueueDisciplineKind;
}

class PolicyRun {
  readonly #options: PolicyRunOptions;
  readonly #statistics: PolicyStatistics;
  readonly #system: VirtualSystem;

  constructor(options: PolicyRunOptions, policy: NamedPolicy) {
    this.#options = options;
    const { sidecars, slots, window } = options;
    this.#statistics = new PolicyStatistics(sidecars * slots, window);
    const { messages, taskEnds } = this.#statistics;
    this.#system = new VirtualSystem({
      ...options,
      shards: SHARDS,
      placementPolicy: policy.placementPolicy,
      queueDiscipline: policy.queueDiscipline,
      onOutput: (_process, output) => {
        countMessage(messages, output);
        countTaskEnd(taskEnds, output);
      },
    });
  }

  run(name: string): RunSummary {
    const { arrivals, endsAt, load, scheduleFaults } = this.#options;
    scheduleFaults?.(this.#system);
    const unanswered = new Set(arrivals);
    arrivals.forEach((arrival, index) => {
      this.#system.time.after(
        arrival.at,
        () => this.#submit(arrival, index, () => unanswered.delete(arrival)),
      );
    });
    this.#system.time.runUntil(endsAt);
    for (const arrival of unanswered) {
      this.#statistics.recordEnd(arrival, Ending.Unanswered, endsAt);
    }
    return this.#statistics.summarize(name, load);
  }

  #submit(arrival: Arrival, index: number, onAnswer: () => void): void {
    const { entries, time } = this.#system;
    const entry = entries[index % entries.length];
    if (entry === undefined) throw new RangeError("the system has no entries");
    this.#statistics.recordSubmission(arrival);
    this.#system.submit(entry, arrival.submission, (answer) => {
      onAnswer();
      const ending = classifyAnswer(answer);
      this.#statistics.recordEnd(arrival, ending, time.now);
      if (ending === Ending.Refused) this.#checkRefusedSubmission(arrival);
    });
  }

  #checkRefusedSubmission({ submission }: Arrival): void {
    const identifier = identifySubmission(submission);
    if (this.#system.starts.countStartedTasks(identifier) === 0) return;
    this.#statistics.falseRefusals += 1;
  }
}

function classifyAnswer(answer: CallerAnswer): Ending {
  switch (answer.kind) {
    case CallerAnswerKind.Outcome:
      return classifyOutcome(answer.outcome);
    case CallerAnswerKind.Status:
      return Ending.Unknown;
    case CallerAnswerKind.Rejection:
      return Ending.Refused;
  }
}

function classifyOutcome(outcome: JobOutcome): Ending {
  switch (outcome.kind) {
    case JobOutcomeKind.Completed:
      return Ending.Completed;
    case JobOutcomeKind.NotRun:
      return Ending.Refused;
    case JobOutcomeKind.Failed:
      return Ending.Failed;
    case JobOutcomeKind.Unknown:
      return Ending.Unknown;
  }
}

function countTaskEnd(
  count: PolicyStatistics["taskEnds"],
  output: ProcessOutput,
): void {
  if (output.kind !== OutputKind.SendReply) return;
  if (output.message.kind !== PeerReplyKind.TaskEnded) return;
  count.all += 1;
  if (output.message.end.kind === TaskEndKind.Failed) count.failed += 1;
}

function countMessage(count: MessageCount, output: ProcessOutput): void {
  if (output.kind === OutputKind.SendRequest) {
    if (output.message.kind === PeerRequestKind.Heartbeat) return;
    count.total += 1;
    if (output.message.kind === PeerRequestKind.CancelTask) count.wasted += 1;
    return;
  }
  if (output.kind !== OutputKind.SendReply) return;
  if (output.message.kind === PeerReplyKind.HeartbeatAnswered) return;
  count.total += 1;
  if (output.message.kind === PeerReplyKind.TaskRefused) count.wasted += 2;
}
