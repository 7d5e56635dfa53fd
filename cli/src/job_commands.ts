/**
 * `eelgrassfront status` and `eelgrassfront cancel`.
 */
import process from "node:process";
import { Step } from "@eelgrassfront/model";
import { defineCommand } from "citty";
import {
  entryArgument,
  jsonArgument,
  keyArgument,
  teamArgument,
  teamTokenArgument,
  tokenOf,
  TokenVariable,
} from "./common_arguments.ts";
import { printJson, printLine } from "./console_output.ts";
import { ExitCode } from "./exit_code.ts";
import { call, tokenHeaders } from "./http_call.ts";
import { describeOutcome, exitCodeOf, REJECTED } from "./job_outcome.ts";
import { jobPath } from "./job_path.ts";
import { formatTable } from "./text_table.ts";

const jobArguments = {
  entry: entryArgument,
  team: teamArgument,
  key: keyArgument,
  token: teamTokenArgument,
  json: jsonArgument,
};

/** Asks how a job stands. */
export const statusCommand = defineCommand({
  meta: { name: "status", description: "Tells how a job stands" },
  args: jobArguments,
  run: async ({ args }) => {
    process.exitCode = await askJob(
      { step: Step.QueryJob, method: "GET" },
      { ...args, token: tokenOf(args, TokenVariable.Team) },
    );
  },
});

/** Cancels a job. */
export const cancelCommand = defineCommand({
  meta: {
    name: "cancel",
    description: "Takes back what has not started of a job",
  },
  args: jobArguments,
  run: async ({ args }) => {
    process.exitCode = await askJob(
      { step: Step.CancelJob, method: "DELETE" },
      { ...args, token: tokenOf(args, TokenVariable.Team) },
    );
  },
});

interface JobQuestion {
  readonly step: Step;
  readonly method: "GET" | "DELETE";
}

interface NamedJob {
  readonly entry: string;
  readonly team: string;
  readonly key: string;
  readonly token: string | undefined;
  readonly json: boolean;
}

async function askJob(
  question: JobQuestion,
  { entry, team, key, token, json }: NamedJob,
): Promise<ExitCode> {
  const { body } = await call({
    ...question,
    peer: entry,
    path: jobPath(team, key),
    headers: tokenHeaders(token),
  });
  const isAnswered = body["state"] !== undefined;
  if (json) printJson(body);
  else if (isAnswered) printLine(describeStanding(body));
  else for (const line of describeOutcome(body)) printLine(line);
  if (isAnswered) return ExitCode.Success;
  return body["outcome"] === REJECTED ? ExitCode.Rejected : exitCodeOf(body);
}

function describeStanding(body: Readonly<Record<string, unknown>>): string {
  return formatTable([{
    state: body["state"],
    tasks: body["tasks"],
    started: body["tasksStarted"],
    ended: body["tasksEnded"],
    outcome: body["outcome"] ?? "-",
  }]);
}
