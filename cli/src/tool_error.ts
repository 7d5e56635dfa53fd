/**
 * Errors of the tool: each says at which step and peer it arose, and how to go on.
 */
import { hintFor, type ProcessError } from "@eelgrassfront/model";
import { ExitCode } from "./exit_code.ts";

/** Thrown by a command that cannot go on. */
export class ToolError extends Error {
  readonly exitCode: ExitCode;

  constructor(exitCode: ExitCode, message: string) {
    super(message);
    this.name = "ToolError";
    this.exitCode = exitCode;
  }
}

/** Thrown when a process could not be asked. */
export class CallError extends ToolError {
  readonly error: ProcessError;

  constructor(error: ProcessError) {
    super(ExitCode.Unreachable, describeError(error));
    this.name = "CallError";
    this.error = error;
  }
}

/** Describes an error in one line, with what can be done about it. */
export function describeError(error: ProcessError): string {
  const { step, peer, tag, detail } = error;
  return `${step}: ${peer}: ${tag}: ${detail}; ${hintFor(error)}`;
}

/** An error for arguments or files that are wrong. */
export function usageError(message: string): ToolError {
  return new ToolError(ExitCode.Usage, message);
}
