/**
 * Errors of the tool. Each names the step and the peer, and says what to do next.
 */
import { hintFor, type ProcessError } from "@eelgrassfront/model";
import { ExitCode } from "./exit_code.ts";

/** Thrown by a command that cannot continue. */
export class ToolError extends Error {
  readonly exitCode: ExitCode;

  constructor(exitCode: ExitCode, message: string) {
    super(message);
    this.name = "ToolError";
    this.exitCode = exitCode;
  }
}

/** Thrown when a call to a process failed. */
export class CallError extends ToolError {
  readonly error: ProcessError;

  constructor(error: ProcessError) {
    super(ExitCode.Unreachable, describeError(error));
    this.name = "CallError";
    this.error = error;
  }
}

/** Formats an error as one line, with a hint on what to do about it. */
export function describeError(error: ProcessError): string {
  const { step, peer, tag, detail } = error;
  return `${step}: ${peer}: ${tag}: ${detail}; ${hintFor(error)}`;
}

/** Creates an error for an invalid argument or file. */
export function usageError(message: string): ToolError {
  return new ToolError(ExitCode.Usage, message);
}
