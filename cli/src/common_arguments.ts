/**
 * Arguments that several commands share.
 */
import process from "node:process";

/** Environment variable that is read when no token is given as argument. */
export const TOKEN_VARIABLE = "EELGRASSFRONT_TOKEN";

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

/** Token of a team or of operators. */
export const tokenArgument = {
  type: "string",
  description: `Bearer token; from ${TOKEN_VARIABLE} when left out`,
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
): string | undefined {
  return args.token ?? process.env[TOKEN_VARIABLE];
}

/** Splits addresses that are separated by commas. */
export function splitAddresses(text: string): readonly string[] {
  return text.split(",").map((address) => address.trim())
    .filter((address) => address !== "");
}
