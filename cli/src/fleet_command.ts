/**
 * `eelgrassfront fleet`: shows the report of each process as one row of a table.
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
  operatorsTokenArgument,
  splitAddresses,
  tokenOf,
  TokenVariable,
} from "./common_arguments.ts";
import { printDiagnostic, printJson, printLine } from "./console_output.ts";
import { ExitCode } from "./exit_code.ts";
import { call, tokenHeaders } from "./http_call.ts";
import { formatTable } from "./text_table.ts";
import { CallError, ToolError } from "./tool_error.ts";

/** Command `fleet`. */
export const fleetCommand = defineCommand({
  meta: { name: "fleet", description: "Shows the state of each process" },
  args: {
    operators: {
      type: "string",
      required: true,
      description: "Operators' addresses, as host:port, separated by commas",
    },
    token: operatorsTokenArgument,
    json: jsonArgument,
  },
  run: async ({ args }) => {
    const token = tokenOf(args, TokenVariable.Operators);
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
    for (const { message } of faults) printDiagnostic(message);
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

/** Formats reports as a table with one row per process. */
export function formatReports(reports: readonly ProcessReport[]): string {
  return formatTable(reports.map((report) => ({
    process: report.process,
    zone: report.availabilityZone,
    state: report.readiness,
    configuration: report.configuration?.version ?? "-",
    log: report.log.nextOffset,
    "lag ms": report.log.isAvailable
      ? report.log.lagMilliseconds ?? "-"
      : "away",
    reachable: `${report.fleet.reachable}/${
      report.fleet.entries + report.fleet.sidecars
    }`,
    ...roleCells(report),
  })));
}

interface RoleCells {
  readonly slots: number | string;
  readonly running: number | string;
  readonly queued: number | string;
  readonly waiting: number;
  readonly owned: number | string;
  readonly granted: number | string;
  readonly "newest epoch": number | string;
}

function roleCells(report: ProcessReport): RoleCells {
  switch (report.role) {
    case Role.Entry:
      return {
        slots: "-",
        running: "-",
        queued: "-",
        waiting: report.waitingRequests,
        owned: "-",
        granted: "-",
        "newest epoch": "-",
      };
    case Role.Sidecar: {
      const epochs = report.grantedShards.map(({ epoch }) => epoch);
      return {
        slots: report.backendServer === undefined ? "away" : report.load.slots,
        running: report.load.running,
        queued: report.load.queued,
        waiting: report.waitingTasks,
        owned: report.ownedShards.length,
        granted: report.grantedShards.length,
        "newest epoch": epochs.length === 0 ? "-" : Math.max(...epochs),
      };
    }
    default:
      return assertNever(report);
  }
}
