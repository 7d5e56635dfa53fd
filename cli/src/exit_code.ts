/**
 * Exit codes of the tool.
 */

/** How a command ended. */
export enum ExitCode {
  Success = 0,
  /** The arguments or a file are wrong. */
  Usage = 2,
  /** The request was rejected. */
  Rejected = 3,
  /** The job failed. */
  Failed = 4,
  /** The job was not run. */
  NotRun = 5,
  /** The outcome is unknown; submit again with the same key. */
  Unknown = 6,
  /** The entry could not be reached. */
  Unreachable = 7,
}
