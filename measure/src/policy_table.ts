/**
 * Prints the figures of policy runs as a Markdown table.
 */
import { Ending, type RunSummary } from "./policy_statistics.ts";

/** Figures of a measure that compares policies. */
export interface PolicyFigures {
  readonly runs: readonly RunSummary[];
}

const COLUMNS = [
  "load",
  "policy",
  "class",
  "submitted",
  "completed",
  "p50",
  "p99",
  "p99.9",
  "messages a task",
  "wasted",
  "goodput",
  "Jain",
  "refused",
  "failed",
  "unknown",
  "false refusals",
  "failed tasks",
];

/**
 * Prints one row for each class of submissions in each run.
 *
 * @returns the figures for the last line that a measure prints
 */
export function printRuns(runs: readonly RunSummary[]): PolicyFigures {
  console.log(`| ${COLUMNS.join(" | ")} |`);
  console.log(`|${COLUMNS.map(() => " --- ").join("|")}|`);
  for (const run of runs) {
    for (const row of rowsOf(run)) console.log(`| ${row.join(" | ")} |`);
  }
  return { runs };
}

function rowsOf(run: RunSummary): readonly (readonly string[])[] {
  return run.responses.map((response) => [
    run.load,
    run.policy,
    response.name,
    String(response.submitted),
    String(response.completed),
    response.median.toFixed(2),
    response.p99.toFixed(2),
    response.p999.toFixed(2),
    run.messagesPerTask.toFixed(2),
    `${(run.wastedShare * 100).toFixed(2)}%`,
    `${(run.goodput * 100).toFixed(1)}%`,
    run.fairness.toFixed(3),
    String(run.endings[Ending.Refused]),
    String(run.endings[Ending.Failed]),
    String(run.endings[Ending.Unknown] + run.endings[Ending.Unanswered]),
    String(run.falseRefusals),
    `${(run.failedTaskShare * 100).toFixed(2)}%`,
  ]);
}
