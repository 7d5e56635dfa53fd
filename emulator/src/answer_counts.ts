/**
 * Counts of what happened in a run, among them the answers that clients got.
 */
import {
  assertNever,
  BestEffortJobState,
  type ClientAnswer,
  ClientAnswerKind,
} from "@eelgrassfront/model";

/** Names the answers that are counted together. */
export function nameOfAnswer(answer: ClientAnswer): string {
  switch (answer.kind) {
    case ClientAnswerKind.Ended:
      return `${answer.kind} ${answer.state}`;
    case ClientAnswerKind.GivenUp:
      return `${answer.kind} ${answer.reason}`;
    case ClientAnswerKind.Refused:
    case ClientAnswerKind.Cancelled:
    case ClientAnswerKind.Malformed:
    case ClientAnswerKind.NoSuchJob:
    case ClientAnswerKind.NoSuchRoute:
    case ClientAnswerKind.Pending:
    case ClientAnswerKind.State:
      return answer.kind;
    default:
      return assertNever(answer);
  }
}

export function isShownAsFailed(answer: ClientAnswer): boolean {
  return answer.kind === ClientAnswerKind.Ended &&
    answer.state === BestEffortJobState.Failed;
}

/** Adds 1 to the count of a key, and returns it. */
export function increment(counts: Map<string, number>, key: string): number {
  const count = (counts.get(key) ?? 0) + 1;
  counts.set(key, count);
  return count;
}
