/**
 * `eelgrassfront status` and `eelgrassfront cancel`: show the status of a job, and cancel it.
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

/** Command `status`. */
export const statusCommand = defineCommand({
  meta: { name: "status", description: "Shows the status of a job" },
  args: jobArguments,
  run: async ({ args }) => {
    process.exitCode = await requestJob(
      { step: Step.QueryJob, method: "GET" },
      { ...args, token: tokenOf(args, TokenVariable.Team) },
    );
  },
});

/** Command `cancel`. */
export const cancelCommand = defineCommand({
  meta: {
    name: "cancel",
    description: "Cancels the tasks of a job that have not started",
  },
  args: jobArguments,
  run: async ({ args }) => {
    process.exitCode = await requestJob(
      { step: Step.CancelJob, method: "DELETE" },
      { ...args, token: tokenOf(args, TokenVariable.Team) },
    );
  },
});

interface JobRequest {
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

async function requestJob(
  request: JobRequest,
  { entry, team, key, token, json }: NamedJob,
): Promise<ExitCode> {
  const { body } = await call({
    ...request,
    peer: entry,
    path: jobPath(team, key),
    headers: tokenHeaders(token),
  });
  const hasStatus = body["state"] !== undefined;
  if (json) printJson(body);
  else if (hasStatus) printLine(describeStatus(body));
  else for (const line of describeOutcome(body)) printLine(line);
  if (hasStatus) return ExitCode.Success;
  return body["outcome"] === REJECTED ? ExitCode.Rejected : exitCodeOf(body);
}

function describeStatus(body: Readonly<Record<string, unknown>>): string {
  return formatTable([{
    state: body["state"],
    tasks: body["tasks"],
    started: body["tasksStarted"],
    ended: body["tasksEnded"],
    outcome: body["outcome"] ?? "-",
  }]);
}
