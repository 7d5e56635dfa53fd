/**
 * Identifiers that processes exchange. They are strings, so that any codec can carry them. Their
 * template literal types let the compiler reject one kind where another is expected.
 */

/** One incarnation of a process: its configured name and a text that is set when it starts. */
export type ProcessIdentifier = `${string}~${string}`;

/** A submission, named by team and idempotency key. */
export type SubmissionIdentifier = `${string}/${string}`;

/** One request of a caller at one entry process. */
export type CallerRequestIdentifier = `${ProcessIdentifier}:${number}`;

/** One task of a submission. */
export type TaskIdentifier = `${SubmissionIdentifier}#${number}`;

/** One task attempt: the task, the owner's epoch and the attempt number. */
export type AttemptIdentifier = `${TaskIdentifier}.${number}.${number}`;

/** A request between two processes, unique at the process that sent it. */
export type RequestIdentifier = number;

/** Offset of a record in the platform's log. */
export type LogOffset = number;

/** Index of a shard, from 0 to the number of shards less one. */
export type ShardNumber = number;

/**
 * Ownership epoch of a shard: the log offset of the claim that began the epoch; 0 before the first
 * claim.
 */
export type Epoch = number;

/** A time on the local monotonic clock, or a duration, in milliseconds. */
export type Milliseconds = number;

/** The epoch of a shard that was never claimed. */
export const UNCLAIMED_EPOCH: Epoch = 0;

/**
 * Builds the identifier of one incarnation of a process.
 *
 * @param name configured name of the process
 * @param incarnation text that no other incarnation of the same process uses
 */
export function processIdentifier(
  name: string,
  incarnation: string,
): ProcessIdentifier {
  return `${name}~${incarnation}`;
}

/** Returns the configured name of a process without its incarnation. */
export function processName(identifier: ProcessIdentifier): string {
  return identifier.slice(0, identifier.lastIndexOf("~"));
}

/** Builds the identifier of a submission from its team and idempotency key. */
export function submissionIdentifier(
  team: string,
  idempotencyKey: string,
): SubmissionIdentifier {
  return `${team}/${idempotencyKey}`;
}

/** Builds the identifier of a task. */
export function taskIdentifier(
  submission: SubmissionIdentifier,
  taskIndex: number,
): TaskIdentifier {
  return `${submission}#${taskIndex}`;
}

/** Parts of the identifier of a task attempt. */
export interface AttemptReference {
  readonly submission: SubmissionIdentifier;
  readonly taskIndex: number;
  readonly epoch: Epoch;
  readonly attempt: number;
}

/** Builds the identifier of a task attempt. */
export function attemptIdentifier(
  reference: AttemptReference,
): AttemptIdentifier {
  const task = taskIdentifier(reference.submission, reference.taskIndex);
  return `${task}.${reference.epoch}.${reference.attempt}`;
}
