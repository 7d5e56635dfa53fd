/**
 * Requests of callers, as an entry relays them: what they are about, how long they may wait, and the
 * message that an owner gets.
 */
import {
  type CancellationRequested,
  identifySubmission,
  InputKind,
  type Milliseconds,
  type PeerRequest,
  PeerRequestKind,
  RejectionReason,
  type ShardNumber,
  type StatusRequested,
  type SubmissionArrived,
  type SubmissionIdentifier,
} from "@eelgrassfront/model";

/** A request of a caller that goes to an owner. */
export type CallerRequest =
  | SubmissionArrived
  | StatusRequested
  | CancellationRequested;

/** A request with the shard it goes to and the time it came. */
export interface ArrivedRequest {
  readonly input: CallerRequest;
  readonly shard: ShardNumber;
  readonly arrivedAt: Milliseconds;
}

/** Time beyond the caller's deadline in which the owner's answer is awaited. */
const ANSWER_GRACE_MILLISECONDS: Milliseconds = 3_000;
/** Time in which the owner answers a question about a job. */
const QUERY_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;

/** What a rejection says beside its reason. */
export const REJECTION_DETAILS: ReadonlyMap<RejectionReason, string> = new Map([
  [RejectionReason.EntryLeaving, "this entry is leaving; use another one"],
  [
    RejectionReason.EntryNotReady,
    "this entry does not know the configuration and the fleet yet; try again",
  ],
  [RejectionReason.EntryBusy, "too many requests wait here; try again later"],
  [
    RejectionReason.KeyReused,
    "the idempotency key was used before with another content",
  ],
]);

/** The submission that a request is about. */
export function submissionOf(input: CallerRequest): SubmissionIdentifier {
  switch (input.kind) {
    case InputKind.SubmissionArrived:
      return identifySubmission(input.submission);
    case InputKind.StatusRequested:
    case InputKind.CancellationRequested:
      return input.submission;
  }
}

/** How long a request may wait for the answer of an owner. */
export function timeoutOf(input: CallerRequest): Milliseconds {
  switch (input.kind) {
    case InputKind.SubmissionArrived:
      return input.submission.deadlineMilliseconds + ANSWER_GRACE_MILLISECONDS;
    case InputKind.StatusRequested:
    case InputKind.CancellationRequested:
      return QUERY_TIMEOUT_MILLISECONDS;
  }
}

/** The message that relays a request to the owner of its shard. */
export function messageFor(
  { input, shard, arrivedAt }: ArrivedRequest,
  now: Milliseconds,
): PeerRequest {
  switch (input.kind) {
    case InputKind.SubmissionArrived: {
      const elapsed = now - arrivedAt;
      return {
        kind: PeerRequestKind.SubmitJob,
        shard,
        callerRequest: input.request,
        submission: input.submission,
        remainingMilliseconds: input.submission.deadlineMilliseconds - elapsed,
      };
    }
    case InputKind.StatusRequested:
      return {
        kind: PeerRequestKind.QueryJob,
        shard,
        submission: input.submission,
      };
    case InputKind.CancellationRequested:
      return {
        kind: PeerRequestKind.CancelJob,
        shard,
        submission: input.submission,
      };
  }
}
