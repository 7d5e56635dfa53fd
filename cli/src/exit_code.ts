/**
 * Exit codes of the tool. Scripts may rely on them: the meaning of a number never changes.
 */

/** How a command ended. */
export enum ExitCode {
  /** The command succeeded; for `submit`, the job completed. */
  Success = 0,
  /** An internal error of the tool. */
  Internal = 1,
  /** An argument or a file is invalid; nothing was sent. */
  Usage = 2,
  /** The request was rejected; it says nothing about an earlier one with the same key. */
  Rejected = 3,
  /** The job failed after at least one task had started. */
  Failed = 4,
  /** The job was not run: no task started, and none will. */
  NotRun = 5,
  /** The outcome is unknown; submit again with the same key. */
  Unknown = 6,
  /** A process could not be reached, or its response was lost. */
  Unreachable = 7,
}
