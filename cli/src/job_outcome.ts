/**
 * Outcomes of jobs as lines for people and as exit codes.
 */
import { JobOutcomeKind } from "@eelgrassfront/model";
import { ExitCode } from "./exit_code.ts";
import { explain } from "./explanation_index.ts";

/** An answer of an entry, as it was decoded from JSON. */
export type AnswerBody = Readonly<Record<string, unknown>>;

/** The answer to a request that was not taken as a submission. */
export const REJECTED = "rejected";

const EXIT_CODES: ReadonlyMap<string, ExitCode> = new Map([
  [JobOutcomeKind.Completed, ExitCode.Success],
  [JobOutcomeKind.Failed, ExitCode.Failed],
  [JobOutcomeKind.NotRun, ExitCode.NotRun],
  [JobOutcomeKind.Unknown, ExitCode.Unknown],
  [REJECTED, ExitCode.Rejected],
]);

/** The exit code for an answer that has an outcome. */
export function exitCodeOf(body: AnswerBody): ExitCode {
  return EXIT_CODES.get(String(body["outcome"])) ?? ExitCode.Unknown;
}

/** Describes an outcome: the results in order, or the reason and what to do. */
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
