/**
 * Statistics of a policy run: ratio of response to ideal for each class, messages, outcomes and fairness.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "@eelgrassfront/model";
import { type Arrival, LoadClass } from "./policy_load.ts";

/** How a submission ends in a run. */
export enum Ending {
  Completed = "completed",
  Refused = "refused",
  Failed = "failed",
  Unknown = "unknown",
  /** No answer by the end of the run. */
  Unanswered = "unanswered",
}

/** Ratio of response to ideal for one class of one stream. */
export interface ResponseSummary {
  readonly name: string;
  readonly submitted: number;
  readonly completed: number;
  readonly median: number;
  readonly p99: number;
  readonly p999: number;
}

/** Number of messages between processes, without heartbeats. */
export interface MessageCount {
  total: number;
  /** Cancellation requests, and two messages for each refused task: the request and the refusal. */
  wasted: number;
}

/** Figures of one run. */
export interface RunSummary {
  readonly policy: string;
  readonly load: string;
  readonly responses: readonly ResponseSummary[];
  readonly tasks: number;
  readonly messagesPerTask: number;
  readonly wastedShare: number;
  readonly fairness: number;
  /** Completed work as a share of the capacity of all slots while load is offered. */
  readonly goodput: number;
  readonly endings: Readonly<Record<Ending, number>>;
  readonly falseRefusals: number;
  /** Failed tasks as a share of the tasks that ended on a backend server. */
  readonly failedTaskShare: number;
}

/** Round trip between a caller and an entry. */
export const CALLER_ROUND_TRIP_MILLISECONDS: Milliseconds = 6;
const RATIO_SCALE = 1_000;
const HIGHEST_RATIO = 10_000;

/** Collects the statistics of one run. */
export class PolicyStatistics {
  readonly messages: MessageCount = { total: 0, wasted: 0 };
  falseRefusals = 0;
  readonly taskEnds = { all: 0, failed: 0 };
  readonly #slots: number;
  readonly #from: Milliseconds;
  readonly #to: Milliseconds;
  readonly #ratios = new Map<string, Histogram>();
  readonly #submitted = new Map<string, number>();
  readonly #workByTeam = new Map<string, Milliseconds>();
  readonly #endings: Record<Ending, number> = {
    [Ending.Completed]: 0,
    [Ending.Refused]: 0,
    [Ending.Failed]: 0,
    [Ending.Unknown]: 0,
    [Ending.Unanswered]: 0,
  };
  #tasks = 0;
  #completedWork: Milliseconds = 0;

  constructor(
    slots: number,
    window: { readonly from: Milliseconds; readonly to: Milliseconds },
  ) {
    this.#slots = slots;
    this.#from = window.from;
    this.#to = window.to;
  }

  /** Counts a submission. */
  recordSubmission(arrival: Arrival): void {
    if (!this.#isMeasured(arrival)) return;
    const name = formatClassName(arrival);
    this.#submitted.set(name, (this.#submitted.get(name) ?? 0) + 1);
  }

  /** Records how a submission ended. */
  recordEnd(arrival: Arrival, ending: Ending, endedAt: Milliseconds): void {
    if (ending === Ending.Completed) this.#recordCompletion(arrival, endedAt);
    if (this.#isMeasured(arrival)) this.#endings[ending] += 1;
  }

  /** Computes the figures of the run. */
  summarize(policy: string, load: string): RunSummary {
    const { total, wasted } = this.messages;
    return {
      policy,
      load,
      responses: [...this.#submitted.keys()].sort().map((name) =>
        this.#summarizeResponses(name)
      ),
      tasks: this.#tasks,
      messagesPerTask: total / Math.max(1, this.#tasks),
      wastedShare: wasted / Math.max(1, total),
      fairness: jainIndex([...this.#workByTeam.values()]),
      goodput: this.#completedWork / (this.#slots * (this.#to - this.#from)),
      endings: this.#endings,
      falseRefusals: this.falseRefusals,
      failedTaskShare: this.taskEnds.failed / Math.max(1, this.taskEnds.all),
    };
  }

  #recordCompletion(arrival: Arrival, endedAt: Milliseconds): void {
    const { submission, runMilliseconds } = arrival;
    const work = sum(runMilliseconds);
    this.#tasks += runMilliseconds.length;
    if (endedAt >= this.#from && endedAt < this.#to) {
      this.#completedWork += work;
      const { team } = submission;
      this.#workByTeam.set(team, (this.#workByTeam.get(team) ?? 0) + work);
    }
    if (!this.#isMeasured(arrival)) return;
    const longest = Math.max(...runMilliseconds);
    const ideal = Math.max(longest, work / this.#slots) +
      CALLER_ROUND_TRIP_MILLISECONDS;
    const response = endedAt - arrival.at + CALLER_ROUND_TRIP_MILLISECONDS;
    this.#ratiosOf(formatClassName(arrival)).recordValue(
      Math.round(response / ideal * RATIO_SCALE),
    );
  }

  #isMeasured({ at }: Arrival): boolean {
    return at >= this.#from && at < this.#to;
  }

  #ratiosOf(name: string): Histogram {
    const known = this.#ratios.get(name);
    if (known !== undefined) return known;
    const ratios = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_RATIO * RATIO_SCALE,
      numberOfSignificantValueDigits: 3,
    });
    this.#ratios.set(name, ratios);
    return ratios;
  }

  #summarizeResponses(name: string): ResponseSummary {
    const ratios = this.#ratiosOf(name);
    const ratioAt = (percentile: number) =>
      ratios.getValueAtPercentile(percentile) / RATIO_SCALE;
    return {
      name,
      submitted: this.#submitted.get(name) ?? 0,
      completed: ratios.totalCount,
      median: ratioAt(50),
      p99: ratioAt(99),
      p999: ratioAt(99.9),
    };
  }
}

/** Returns the name of a class of submissions in a stream, for reports. */
export function formatClassName(
  { stream, loadClass }: Pick<Arrival, "stream" | "loadClass">,
): string {
  return `${stream} ${loadClass === LoadClass.Job ? "jobs" : "singles"}`;
}

/** Jain's index of fairness: 1 when all values are equal. */
export function jainIndex(values: readonly number[]): number {
  const squares = sum(values.map((value) => value * value));
  return squares === 0 ? 1 : sum(values) ** 2 / (values.length * squares);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
