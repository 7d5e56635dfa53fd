/**
 * `eelgrassfront submit`: submits a job and waits for its complete answer.
 */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import process from "node:process";
import { Step } from "@eelgrassfront/model";
import { defineCommand } from "citty";
import {
  entryArgument,
  jsonArgument,
  teamTokenArgument,
  tokenOf,
  TokenVariable,
} from "./common_arguments.ts";
import { printDiagnostic, printJson, printLine } from "./console_output.ts";
import { ExitCode } from "./exit_code.ts";
import { call, type HttpAnswer, tokenHeaders } from "./http_call.ts";
import { describeOutcome, exitCodeOf } from "./job_outcome.ts";
import { JobProgress } from "./job_progress.ts";
import { CallError, ToolError, usageError } from "./tool_error.ts";

/** Command `submit`. */
export const submitCommand = defineCommand({
  meta: {
    name: "submit",
    description: "Submits a job and waits for its complete answer",
  },
  args: {
    entry: entryArgument,
    file: {
      type: "string",
      required: true,
      description: "JSON file with the job; see docs/API.md",
    },
    key: {
      type: "string",
      description: "Idempotency key; default: a new one",
    },
    epoch: {
      type: "string",
      description: "Epoch from an earlier answer",
    },
    token: teamTokenArgument,
    json: jsonArgument,
  },
  run: async ({ args }) => {
    const submission: SubmitOptions = {
      entry: args.entry,
      job: readJob(args.file),
      key: args.key ?? randomUUID(),
      epoch: args.epoch,
      token: tokenOf(args, TokenVariable.Team),
    };
    process.exitCode = await submit(submission, args.json);
  },
});

interface SubmitOptions {
  readonly entry: string;
  readonly job: string;
  readonly key: string;
  readonly epoch: string | undefined;
  readonly token: string | undefined;
}

async function submit(
  options: SubmitOptions,
  isJson: boolean,
): Promise<ExitCode> {
  const { key } = options;
  const startedAt = performance.now();
  const { body, epoch } = await send(options);
  const elapsedMilliseconds = Math.round(performance.now() - startedAt);
  if (isJson) printJson({ key, epoch, elapsedMilliseconds, answer: body });
  else {
    for (const line of describeOutcome(body)) printLine(line);
    printLine(`key ${key}: answered after ${elapsedMilliseconds} ms`);
    if (epoch !== undefined) printLine(`epoch ${epoch}`);
  }
  return exitCodeOf(body);
}

async function send(options: SubmitOptions): Promise<HttpAnswer> {
  const { entry, job, key, epoch, token } = options;
  using _progress = new JobProgress({ entry, team: teamOf(job), key, token });
  try {
    return await call({
      step: Step.SubmitJob,
      peer: entry,
      method: "POST",
      path: "/v1/jobs",
      headers: {
        "content-type": "application/json",
        "idempotency-key": key,
        ...(epoch === undefined ? {} : { "eelgrassfront-epoch": epoch }),
        ...tokenHeaders(token),
      },
      body: job,
    });
  } catch (error) {
    if (!(error instanceof CallError)) throw error;
    printDiagnostic(
      `the job may still run; submit it again with --key ${key}, through any entry`,
    );
    throw error;
  }
}

function readJob(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw usageError(`cannot read the job: ${file}: ${String(error)}`);
  }
}

function teamOf(job: string): string | undefined {
  try {
    const content: unknown = JSON.parse(job);
    const isNamed = typeof content === "object" && content !== null &&
      "team" in content;
    return isNamed ? String(content.team) : undefined;
  } catch {
    throw new ToolError(
      ExitCode.Usage,
      "cannot read the job: the file is not JSON",
    );
  }
}
