/**
 * Builds a typed identifier and describes a job outcome with an exhaustive switch.
 */
import {
  type JobOutcome,
  JobOutcomeKind,
  submissionIdentifier,
} from "@eelgrassfront/model";

function describe(outcome: JobOutcome): string {
  switch (outcome.kind) {
    case JobOutcomeKind.Completed:
      return `${outcome.results.length} results`;
    case JobOutcomeKind.Failed:
    case JobOutcomeKind.NotRun:
    case JobOutcomeKind.Unknown:
      return `${outcome.kind}: ${outcome.reason}`;
  }
}

const submission = submissionIdentifier("assessors", "dossier-4711");
const outcome = { kind: JobOutcomeKind.Completed, results: ["1"] } as const;
console.log(`${submission}: ${describe(outcome)}`);
// prints: assessors/dossier-4711: 1 results
