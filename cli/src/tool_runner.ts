/**
 * Runs a command of the tool: shows help with examples, rejects unknown options, and maps errors to exit
 * codes.
 */
import { stripVTControlCharacters } from "node:util";
import { type CommandDef, renderUsage, runCommand } from "citty";
import { examplesOf } from "./command_examples.ts";
import { printDiagnostic, printLine } from "./console_output.ts";
import { ExitCode } from "./exit_code.ts";
import { ToolError, usageError } from "./tool_error.ts";

/** A command with any arguments, as citty stores subcommands. */
type AnyCommand = Extract<
  NonNullable<CommandDef["subCommands"]>,
  Readonly<Record<string, unknown>>
>[string];

interface FoundCommand {
  readonly command: CommandDef;
  /** Names of the commands on the way to this one, without the name of the tool. */
  readonly path: readonly string[];
}

const HELP_OPTIONS = ["--help", "-h"];

/**
 * Runs the tool. Commands set the exit code of the process themselves.
 *
 * @returns the exit code of the help or of an error; undefined when a command has run
 */
export async function runTool(
  tool: CommandDef,
  rawArguments: readonly string[],
): Promise<ExitCode | undefined> {
  const found = await findCommand(tool, rawArguments);
  const isHelp = rawArguments.some((argument) =>
    HELP_OPTIONS.includes(argument)
  );
  if (isHelp) {
    printLine(await describeHelp(tool, rawArguments));
    return ExitCode.Success;
  }
  try {
    await requireKnownOptions(found.command, rawArguments);
    await runCommand(tool, { rawArgs: [...rawArguments] });
    return undefined;
  } catch (error) {
    return reportError(error, describeName(found.path));
  }
}

async function findCommand(
  tool: CommandDef,
  rawArguments: readonly string[],
): Promise<FoundCommand> {
  const path: string[] = [];
  let command = tool;
  for (
    const name of rawArguments.filter((argument) => !argument.startsWith("-"))
  ) {
    const inner = await childOf(command, name);
    if (inner === undefined) break;
    path.push(name);
    command = inner;
  }
  return { command, path };
}

async function childOf(
  command: CommandDef,
  name: string,
): Promise<CommandDef | undefined> {
  const children = await resolve(command.subCommands);
  const child: AnyCommand | undefined = children?.[name];
  return await resolve(child);
}

/** Returns the help of the command that the arguments name, with examples. */
export async function describeHelp(
  tool: CommandDef,
  rawArguments: readonly string[],
): Promise<string> {
  const { command, path } = await findCommand(tool, rawArguments);
  const parent = command === tool ? undefined : tool;
  const usage = stripVTControlCharacters(await renderUsage(command, parent));
  const examples = examplesOf(path.join(" "));
  return [usage, "EXAMPLES", "", ...examples.map((line) => `  ${line}`)]
    .join("\n");
}

async function requireKnownOptions(
  command: CommandDef,
  rawArguments: readonly string[],
): Promise<void> {
  const known = Object.keys(await resolve(command.args) ?? {});
  for (const argument of rawArguments) {
    const name = /^--(?:no-)?([^=]+)/.exec(argument)?.[1];
    if (name === undefined || known.includes(name)) continue;
    throw usageError(
      `--${name}: no such option; known: ${
        known.map((option) => `--${option}`).join(", ")
      }`,
    );
  }
}

function reportError(error: unknown, name: string): ExitCode {
  if (error instanceof ToolError) {
    printDiagnostic(error.message);
    return error.exitCode;
  }
  if (error instanceof Error && error.name === "CLIError") {
    printDiagnostic(`${error.message}; see ${name} --help`);
    return ExitCode.Usage;
  }
  printDiagnostic(`${name}: ${String(error)}`);
  return ExitCode.Internal;
}

function describeName(path: readonly string[]): string {
  return ["eelgrassfront", ...path].join(" ");
}

async function resolve<Value>(
  value: Value | Promise<Value> | (() => Value) | (() => Promise<Value>),
): Promise<Value> {
  return await (value instanceof Function ? value() : value);
}
