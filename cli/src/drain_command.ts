/**
 * `eelgrassfront drain`: asks a process to leave, and waits until it is gone.
 */
import process from "node:process";
import { Step } from "@eelgrassfront/model";
import { defineCommand } from "citty";
import {
  jsonArgument,
  operatorsTokenArgument,
  tokenOf,
  TokenVariable,
} from "./common_arguments.ts";
import { printJson, printLine, tell } from "./console_output.ts";
import { ExitCode } from "./exit_code.ts";
import { call, tokenHeaders } from "./http_call.ts";
import { describeOutcome } from "./job_outcome.ts";
import { CallError } from "./tool_error.ts";

const POLL_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

/** The command. */
export const drainCommand = defineCommand({
  meta: {
    name: "drain",
    description: "Asks a process to finish what runs and to leave",
  },
  args: {
    operators: {
      type: "string",
      required: true,
      description: "Operators' address of the process, as host:port",
    },
    wait: {
      type: "string",
      description: "Seconds to wait until the process is gone",
    },
    token: operatorsTokenArgument,
    json: jsonArgument,
  },
  run: async ({ args }) => {
    const token = tokenOf(args, TokenVariable.Operators);
    const { status, body } = await call({
      step: Step.RequestDrain,
      peer: args.operators,
      method: "POST",
      path: "/drain",
      headers: tokenHeaders(token),
    });
    if (status !== 202) {
      if (args.json) printJson(body);
      else for (const line of describeOutcome(body)) printLine(line);
      process.exitCode = ExitCode.Rejected;
      return;
    }
    const seconds = Number(args.wait ?? 0);
    const isGone = await waitUntilGone(args.operators, seconds);
    if (args.json) printJson({ draining: true, gone: isGone });
    else printLine(isGone ? "gone" : "draining");
    const isLate = seconds > 0 && !isGone;
    process.exitCode = isLate ? ExitCode.Unknown : ExitCode.Success;
  },
});

async function waitUntilGone(peer: string, seconds: number): Promise<boolean> {
  const limit = performance.now() + seconds * MILLISECONDS_PER_SECOND;
  let hasTold = false;
  while (performance.now() < limit) {
    if (await isGone(peer)) return true;
    if (!hasTold) tell(`${peer}: draining, finishing what runs`);
    hasTold = true;
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
  return false;
}

async function isGone(peer: string): Promise<boolean> {
  try {
    await call({
      step: Step.RequestDrain,
      peer,
      method: "GET",
      path: "/alive",
    });
    return false;
  } catch (error) {
    if (error instanceof CallError) return true;
    throw error;
  }
}
