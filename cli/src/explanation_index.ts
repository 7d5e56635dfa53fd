/**
 * Looks up the explanations of a term. One term can be a reason of several outcomes.
 */
import { EVENT_EXPLANATIONS } from "./event_explanations.ts";
import { ExplainedKind, type Explanation } from "./explanation.ts";
import {
  FAILURE_EXPLANATIONS,
  NOT_RUN_EXPLANATIONS,
  UNKNOWN_EXPLANATIONS,
} from "./outcome_explanations.ts";
import { REJECTION_EXPLANATIONS } from "./rejection_explanations.ts";
import {
  RETRY_EXPLANATIONS,
  TASK_REFUSAL_EXPLANATIONS,
} from "./retry_explanations.ts";

/** An explanation with its term. */
export interface ExplainedTerm extends Explanation {
  readonly kind: ExplainedKind;
  readonly term: string;
}

const TABLES: ReadonlyMap<
  ExplainedKind,
  Readonly<Record<string, Explanation>>
> = new Map<ExplainedKind, Readonly<Record<string, Explanation>>>([
  [ExplainedKind.NotRun, NOT_RUN_EXPLANATIONS],
  [ExplainedKind.Failed, FAILURE_EXPLANATIONS],
  [ExplainedKind.Unknown, UNKNOWN_EXPLANATIONS],
  [ExplainedKind.Rejected, REJECTION_EXPLANATIONS],
  [ExplainedKind.TaskRefusal, TASK_REFUSAL_EXPLANATIONS],
  [ExplainedKind.Retry, RETRY_EXPLANATIONS],
  [ExplainedKind.Event, EVENT_EXPLANATIONS],
]);

/** Returns every explanation of one kind. */
export function explanationsOf(kind: ExplainedKind): readonly ExplainedTerm[] {
  return Object.entries(TABLES.get(kind) ?? {})
    .map(([term, explanation]) => ({ kind, term, ...explanation }));
}

/** Returns every explanation of a term. */
export function explain(term: string): readonly ExplainedTerm[] {
  return allExplanations().filter((explained) => explained.term === term);
}

/** Returns every term with an explanation, each once. */
export function allTerms(): readonly string[] {
  return [...new Set(allExplanations().map(({ term }) => term))];
}

function allExplanations(): readonly ExplainedTerm[] {
  return Object.values(ExplainedKind).flatMap(explanationsOf);
}
