/**
 * Arguments that several commands share.
 */
import process from "node:process";

/** Environment variables that are read when no token is given as argument. */
export enum TokenVariable {
  Team = "EELGRASSFRONT_TEAM_TOKEN",
  Operators = "EELGRASSFRONT_OPERATORS_TOKEN",
}

/** The entry that is asked. */
export const entryArgument = {
  type: "string",
  required: true,
  description: "Address of an entry, as host:port",
} as const;

/** Output for pipelines. */
export const jsonArgument = {
  type: "boolean",
  default: false,
  description: "Write one JSON object in place of text",
} as const;

/** Token of a team. */
export const teamTokenArgument = {
  type: "string",
  description: `Token of the team; from ${TokenVariable.Team} when left out`,
} as const;

/** Token of operators. */
export const operatorsTokenArgument = {
  type: "string",
  description:
    `Token of operators; from ${TokenVariable.Operators} when left out`,
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

/** The token that is given, or that of the environment. */
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
