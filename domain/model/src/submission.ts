/**
 * Submissions as callers make them: a job of one or more tasks of one kind of work.
 */
import {
  type Epoch,
  type Milliseconds,
  type SubmissionIdentifier,
  submissionIdentifier,
} from "./identifiers.ts";

/** Whether a task may have an effect that must not happen twice. */
export enum Idempotence {
  Idempotent = "idempotent",
  NonIdempotent = "non-idempotent",
}

/** Resources that a task needs on a worker. */
export interface Requirements {
  readonly processorCores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** One task of a job. The payload is opaque text for the backend server. */
export interface TaskDescription {
  readonly payload: string;
  /** Run time that the caller expects, which may be far off. */
  readonly declaredMilliseconds: Milliseconds;
}

/** A job as a caller submitted it. */
export interface Submission {
  readonly team: string;
  readonly idempotencyKey: string;
  /** Digest of the content: the same key with another digest is refused. */
  readonly digest: string;
  readonly kindOfWork: string;
  readonly idempotence: Idempotence;
  /** Time that the caller allows, counted from the arrival at the entry. */
  readonly deadlineMilliseconds: Milliseconds;
  readonly requirements: Requirements;
  readonly tasks: readonly TaskDescription[];
  /** The epoch token that the caller held when it first made the submission, if any. */
  readonly firstMadeAtEpoch?: Epoch;
}

/** Returns the identifier of a submission. */
export function identifySubmission(
  submission: Submission,
): SubmissionIdentifier {
  return submissionIdentifier(submission.team, submission.idempotencyKey);
}
