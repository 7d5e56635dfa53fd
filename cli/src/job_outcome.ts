/**
 * Formats outcomes of jobs as text, and maps them to exit codes.
 */
import { JobOutcomeKind } from "@eelgrassfront/model";
import { ExitCode } from "./exit_code.ts";
import { explain } from "./explanation_index.ts";

/** Body of a response of an entry, parsed from JSON. */
export type AnswerBody = Readonly<Record<string, unknown>>;

/** Outcome of a request that was rejected before it became a submission. */
export const REJECTED = "rejected";

const EXIT_CODES: ReadonlyMap<string, ExitCode> = new Map([
  [JobOutcomeKind.Completed, ExitCode.Success],
  [JobOutcomeKind.Failed, ExitCode.Failed],
  [JobOutcomeKind.NotRun, ExitCode.NotRun],
  [JobOutcomeKind.Unknown, ExitCode.Unknown],
  [REJECTED, ExitCode.Rejected],
]);

/** Returns the exit code for the outcome in a response. */
export function exitCodeOf(body: AnswerBody): ExitCode {
  return EXIT_CODES.get(String(body["outcome"])) ?? ExitCode.Unknown;
}

/** Formats an outcome: the results in order, or the reason with its explanation. */
export function describeOutcome(body: AnswerBody): readonly string[] {
  const { outcome, results, reason } = body;
  if (Array.isArray(results)) {
    return [
      `${outcome}: ${results.length} results`,
      ...results.map((result, index) =>
        `  ${index + 1}  ${JSON.stringify(result)}`
      ),
    ];
  }
  const details = Object.entries(body)
    .filter(([name]) => !["outcome", "reason"].includes(name))
    .map(([name, value]) => `  ${name}: ${JSON.stringify(value)}`);
  const advice = explain(String(reason))
    .filter(({ kind }) => kind === outcome)
    .map(({ meaning, action }) => `  ${meaning} ${action}`);
  return [`${outcome}: ${reason}`, ...details, ...advice];
}
