/**
 * `eelgrassfront fleet`: what each process knows, as a table.
 */
import process from "node:process";
import {
  assertNever,
  type ProcessReport,
  Role,
  Step,
} from "@eelgrassfront/model";
import { defineCommand } from "citty";
import {
  jsonArgument,
  splitAddresses,
  tokenArgument,
  tokenOf,
} from "./common_arguments.ts";
import { printJson, printLine, tell } from "./console_output.ts";
import { ExitCode } from "./exit_code.ts";
import { call, tokenHeaders } from "./http_call.ts";
import { formatTable } from "./text_table.ts";
import { CallError, ToolError } from "./tool_error.ts";

/** The command. */
export const fleetCommand = defineCommand({
  meta: { name: "fleet", description: "Shows what each process knows" },
  args: {
    operators: {
      type: "string",
      required: true,
      description: "Operators' addresses, as host:port, separated by commas",
    },
    token: tokenArgument,
    json: jsonArgument,
  },
  run: async ({ args }) => {
    const token = tokenOf(args);
    const addresses = splitAddresses(args.operators);
    const answers = await Promise.all(
      addresses.map((peer) => readReport(peer, token)),
    );
    const reports = answers.filter((answer): answer is ProcessReport =>
      !(answer instanceof ToolError)
    );
    const faults = answers.filter((answer) => answer instanceof ToolError);
    if (args.json) printJson(reports);
    else if (reports.length > 0) printLine(formatReports(reports));
    for (const { message } of faults) tell(message);
    process.exitCode = faults[0]?.exitCode ?? ExitCode.Success;
  },
});

async function readReport(
  peer: string,
  token: string | undefined,
): Promise<ProcessReport | ToolError> {
  try {
    const { status, body } = await call({
      step: Step.ReadReport,
      peer,
      method: "GET",
      path: "/report",
      headers: tokenHeaders(token),
    });
    if (status === 200) return body as unknown as ProcessReport;
    return new ToolError(
      ExitCode.Rejected,
      `${Step.ReadReport}: ${peer}: ${body["reason"]}: ${body["detail"]}`,
    );
  } catch (error) {
    if (error instanceof CallError) return error;
    throw error;
  }
}

const HEAD = [
  "process",
  "zone",
  "state",
  "configuration",
  "log",
  "lag ms",
  "reachable",
  "slots",
  "running",
  "queued",
  "waiting",
  "owned",
  "granted",
  "newest epoch",
] as const;

/** Lays reports out as a table, one line a process. */
export function formatReports(reports: readonly ProcessReport[]): string {
  const lines = reports.map((report) => [
    report.process,
    report.availabilityZone,
    report.readiness,
    String(report.configuration?.version ?? "-"),
    String(report.log.nextOffset),
    report.log.isAvailable ? String(report.log.lagMilliseconds ?? "-") : "away",
    `${report.fleet.reachable}/${report.fleet.entries + report.fleet.sidecars}`,
    ...roleCells(report),
  ]);
  return formatTable([HEAD, ...lines]);
}

function roleCells(report: ProcessReport): readonly string[] {
  switch (report.role) {
    case Role.Entry:
      return ["-", "-", "-", String(report.waitingRequests), "-", "-", "-"];
    case Role.Sidecar: {
      const epochs = report.grantedShards.map(({ epoch }) => epoch);
      return [
        report.backendServer === undefined ? "away" : String(report.load.slots),
        String(report.load.running),
        String(report.load.queued),
        String(report.waitingTasks),
        String(report.ownedShards.length),
        String(report.grantedShards.length),
        epochs.length === 0 ? "-" : String(Math.max(...epochs)),
      ];
    }
    default:
      return assertNever(report);
  }
}
