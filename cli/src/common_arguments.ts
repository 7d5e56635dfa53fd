/**
 * Arguments shared by several commands.
 */
import process from "node:process";

/** Environment variables that supply a token when the argument is left out. */
export enum TokenVariable {
  Team = "EELGRASSFRONT_TEAM_TOKEN",
  Operators = "EELGRASSFRONT_OPERATORS_TOKEN",
}

/** Entry that receives the request. */
export const entryArgument = {
  type: "string",
  required: true,
  description: "Address of an entry, as host:port",
} as const;

/** JSON output for scripts. */
export const jsonArgument = {
  type: "boolean",
  default: false,
  description: "Write the result as JSON instead of text",
} as const;

/** Token of a team. */
export const teamTokenArgument = {
  type: "string",
  description: `Token of the team; default: ${TokenVariable.Team}`,
} as const;

/** Token of operators. */
export const operatorsTokenArgument = {
  type: "string",
  description: `Token of operators; default: ${TokenVariable.Operators}`,
} as const;

/** Team of a job. */
export const teamArgument = {
  type: "string",
  required: true,
  description: "Team of the job",
} as const;

/** Idempotency key of a job. */
export const keyArgument = {
  type: "string",
  required: true,
  description: "Idempotency key of the job",
} as const;

/** Returns the token argument, or else the value of the environment variable. */
export function tokenOf(
  args: { readonly token?: string | undefined },
  variable: TokenVariable,
): string | undefined {
  return args.token ?? process.env[variable];
}

/** Splits addresses that are separated by commas. */
export function splitAddresses(text: string): readonly string[] {
  return text.split(",").map((address) => address.trim())
    .filter((address) => address !== "");
}
