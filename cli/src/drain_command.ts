/**
 * `eelgrassfront drain`: drains a process, and waits until it has stopped.
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
import { printDiagnostic, printJson, printLine } from "./console_output.ts";
import { ExitCode } from "./exit_code.ts";
import { call, tokenHeaders } from "./http_call.ts";
import { describeOutcome } from "./job_outcome.ts";
import { CallError } from "./tool_error.ts";

const POLL_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

/** Command `drain`. */
export const drainCommand = defineCommand({
  meta: {
    name: "drain",
    description: "Drains a process: it finishes its running work and stops",
  },
  args: {
    operators: {
      type: "string",
      required: true,
      description: "Operators' address of the process, as host:port",
    },
    wait: {
      type: "string",
      description: "Seconds to wait until the process has stopped",
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
    const hasStopped = await waitUntilStopped(args.operators, seconds);
    if (args.json) printJson({ draining: true, gone: hasStopped });
    else printLine(hasStopped ? "gone" : "draining");
    const isLate = seconds > 0 && !hasStopped;
    process.exitCode = isLate ? ExitCode.Unknown : ExitCode.Success;
  },
});

async function waitUntilStopped(
  peer: string,
  seconds: number,
): Promise<boolean> {
  const limit = performance.now() + seconds * MILLISECONDS_PER_SECOND;
  let hasPrinted = false;
  while (performance.now() < limit) {
    if (await hasStopped(peer)) return true;
    if (!hasPrinted) {
      printDiagnostic(`${peer}: draining, finishing running work`);
    }
    hasPrinted = true;
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
  return false;
}

async function hasStopped(peer: string): Promise<boolean> {
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
