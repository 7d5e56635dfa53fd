/**
 * Encodes answers to callers as HTTP statuses and JSON bodies. Refused, failed and unknown outcomes have
 * different statuses, and the body names the outcome.
 */
import { type EncodedResponse, encodeJson } from "@eelgrassfront/http-server";
import {
  assertNever,
  type CallerAnswer,
  CallerAnswerKind,
  type JobOutcome,
  JobOutcomeKind,
  type NotRunOutcome,
  RejectionReason,
} from "@eelgrassfront/model";

const MILLISECONDS_PER_SECOND = 1_000;

/** Encodes an answer. */
export function encodeAnswer(answer: CallerAnswer): EncodedResponse {
  switch (answer.kind) {
    case CallerAnswerKind.Outcome:
      return encodeOutcome(answer.outcome);
    case CallerAnswerKind.Status: {
      const { kind: _kind, outcome, ...content } = answer.standing;
      const body = outcome === undefined
        ? JSON.stringify(content)
        : JSON.stringify({ ...content, outcome: outcome.kind });
      return { status: 200, headers: {}, body };
    }
    case CallerAnswerKind.Rejection:
      return encodeRejection(answer.reason, answer.detail);
    default:
      return assertNever(answer);
  }
}

/** Encodes the rejection of a request that never became a submission. */
export function encodeRejection(
  reason: RejectionReason,
  detail: string,
): EncodedResponse {
  const status = REJECTION_STATUSES[reason];
  const encoded = encodeJson(status, { outcome: "rejected", reason, detail });
  return reason === RejectionReason.BodyTooSlow
    ? { ...encoded, headers: { connection: "close" } }
    : encoded;
}

function encodeOutcome(outcome: JobOutcome): EncodedResponse {
  switch (outcome.kind) {
    case JobOutcomeKind.Completed:
      return { status: 200, headers: {}, body: encodeResults(outcome.results) };
    case JobOutcomeKind.Failed: {
      const { kind, ...content } = outcome;
      return encodeJson(422, { outcome: kind, ...content });
    }
    case JobOutcomeKind.NotRun:
      return encodeNotRun(outcome);
    case JobOutcomeKind.Unknown: {
      const { kind, ...content } = outcome;
      return encodeJson(504, { outcome: kind, ...content });
    }
    default:
      return assertNever(outcome);
  }
}

function encodeNotRun(outcome: NotRunOutcome): EncodedResponse {
  const { kind, ...content } = outcome;
  const encoded = encodeJson(503, { outcome: kind, ...content });
  const { retryAfterMilliseconds } = outcome;
  if (retryAfterMilliseconds === undefined) return encoded;
  const seconds = Math.ceil(retryAfterMilliseconds / MILLISECONDS_PER_SECOND);
  return { ...encoded, headers: { "retry-after": String(seconds) } };
}

/** Results are JSON texts of the backend server; a result that is not JSON is encoded as a string. */
function encodeResults(results: readonly string[]): string {
  const encoded = results.map((result) =>
    isJson(result) ? result : JSON.stringify(result)
  );
  return `{"outcome":"${JobOutcomeKind.Completed}","results":[${
    encoded.join(",")
  }]}`;
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

const REJECTION_STATUSES: Readonly<Record<RejectionReason, number>> = {
  [RejectionReason.TooManyConnections]: 429,
  [RejectionReason.MalformedRequest]: 400,
  [RejectionReason.HeadersTooLarge]: 431,
  [RejectionReason.HeadersTooSlow]: 408,
  [RejectionReason.UnsupportedContentType]: 415,
  [RejectionReason.MalformedBody]: 400,
  [RejectionReason.DuplicateField]: 400,
  [RejectionReason.BodyTooLarge]: 413,
  [RejectionReason.BodyTooSlow]: 408,
  [RejectionReason.MissingIdempotencyKey]: 400,
  [RejectionReason.InvalidIdempotencyKey]: 400,
  [RejectionReason.InvalidField]: 422,
  [RejectionReason.TooManyTasks]: 413,
  [RejectionReason.Unauthorized]: 401,
  [RejectionReason.TeamNotAllowed]: 403,
  [RejectionReason.KeyReused]: 409,
  [RejectionReason.NotFound]: 404,
  [RejectionReason.MethodNotAllowed]: 405,
  [RejectionReason.EntryLeaving]: 503,
  [RejectionReason.EntryNotReady]: 503,
  [RejectionReason.EntryBusy]: 503,
};
