/**
 * Requests of callers that an entry relays: the submission that a request concerns, the time that it may
 * wait, and the message that relays it to an owner.
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

/** A request of a caller that is relayed to an owner. */
export type CallerRequest =
  | SubmissionArrived
  | StatusRequested
  | CancellationRequested;

/** A request of a caller, with its shard and its time of arrival. */
export interface ArrivedRequest {
  readonly input: CallerRequest;
  readonly shard: ShardNumber;
  readonly arrivedAt: Milliseconds;
}

/** Time after the caller's deadline that an entry still waits for the owner's answer. */
const ANSWER_GRACE_MILLISECONDS: Milliseconds = 3_000;
/** Time that an entry waits for the owner's answer to a status query or a cancellation. */
const QUERY_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;

/** Explanation of a rejection for the caller, by reason. */
export const REJECTION_DETAILS: ReadonlyMap<RejectionReason, string> = new Map([
  [RejectionReason.EntryLeaving, "this entry is draining; use another one"],
  [
    RejectionReason.EntryNotReady,
    "this entry does not know the configuration and the fleet yet; try again",
  ],
  [
    RejectionReason.EntryBusy,
    "too many requests are pending at this entry; try again later",
  ],
  [
    RejectionReason.KeyReused,
    "the idempotency key was used before with different content",
  ],
]);

/** Returns the submission that a request concerns. */
export function submissionOf(input: CallerRequest): SubmissionIdentifier {
  switch (input.kind) {
    case InputKind.SubmissionArrived:
      return identifySubmission(input.submission);
    case InputKind.StatusRequested:
    case InputKind.CancellationRequested:
      return input.submission;
  }
}

/** Returns the time that a request may wait for the answer of an owner. */
export function timeoutOf(input: CallerRequest): Milliseconds {
  switch (input.kind) {
    case InputKind.SubmissionArrived:
      return input.submission.deadlineMilliseconds + ANSWER_GRACE_MILLISECONDS;
    case InputKind.StatusRequested:
    case InputKind.CancellationRequested:
      return QUERY_TIMEOUT_MILLISECONDS;
  }
}

/** Returns the message that relays a request to the owner of its shard. */
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
