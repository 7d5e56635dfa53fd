/**
 * Exit codes of the tool. Pipelines may rely on them; a number keeps its meaning.
 */

/** How a command ended. */
export enum ExitCode {
  /** Done; for `submit`, the job completed. */
  Success = 0,
  /** A fault of the tool itself. */
  Internal = 1,
  /** The arguments or a file are wrong; nothing was sent. */
  Usage = 2,
  /** The request was rejected; it says nothing about an earlier one with the same key. */
  Rejected = 3,
  /** The job failed after at least one task had started. */
  Failed = 4,
  /** The job was not run: no task started, and none will. */
  NotRun = 5,
  /** The outcome is unknown; submit again with the same key. */
  Unknown = 6,
  /** A process could not be reached, or its answer was lost. */
  Unreachable = 7,
}
