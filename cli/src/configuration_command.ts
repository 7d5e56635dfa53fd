/**
 * `eelgrassfront configuration`: checks, publishes and shows the operators' configuration.
 */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import type { Configuration } from "@eelgrassfront/model";
import { defineCommand } from "citty";
import { changesBetween, describeChange } from "./configuration_changes.ts";
import { ConfigurationLog } from "./configuration_log.ts";
import { ManifestResultKind, readManifest } from "./configuration_manifest.ts";
import { describeFault } from "@eelgrassfront/settings-ini";
import {
  PublicationKind,
  type PublicationRequest,
  type PublicationResult,
  publish,
} from "./configuration_publication.ts";
import { waitUntilInForce } from "./configuration_rollout.ts";
import { TokenVariable } from "./common_arguments.ts";
import { formatTable } from "./text_table.ts";
import { ExitCode } from "./exit_code.ts";

const MILLISECONDS_PER_SECOND = 1_000;

const logArgument = {
  type: "string",
  required: true,
  description: "Origin of the platform's log, as http://host:port",
} as const;
const fileArgument = {
  type: "string",
  required: true,
  description: "INI file with the manifest",
} as const;
const jsonArgument = {
  type: "boolean",
  default: false,
  description: "Print one JSON object",
} as const;

const checkCommand = defineCommand({
  meta: {
    name: "check",
    description:
      "Checks a manifest and lists the changes that it would make. " +
      "Example: eelgrassfront configuration check --file terms.ini " +
      "--log http://10.0.0.5:7100",
  },
  args: {
    file: fileArgument,
    log: { ...logArgument, required: false },
    json: jsonArgument,
  },
  run: async ({ args }) => {
    process.exitCode = await check(args);
  },
});

const publishCommand = defineCommand({
  meta: {
    name: "publish",
    description: "Publishes a manifest and reports whether it was accepted. " +
      "Example: eelgrassfront configuration publish --file terms.ini " +
      "--log http://10.0.0.5:7100 --wait 10.0.0.7:7300,10.0.0.8:7300",
  },
  args: {
    file: fileArgument,
    log: logArgument,
    json: jsonArgument,
    by: {
      type: "string",
      description: "Name of the publisher; default: name of the user",
    },
    publication: {
      type: "string",
      description: "Publication identifier; a retry with the same one has no " +
        "further effect. Default: a new identifier",
    },
    replaces: {
      type: "string",
      description: "Version that was reviewed; default: the version in force",
    },
    wait: {
      type: "string",
      description: "Operators' addresses of the processes in which the " +
        `version must come into force; token: ${TokenVariable.Operators}`,
    },
    limit: {
      type: "string",
      default: "17",
      description: "Longest wait in seconds",
    },
  },
  run: async ({ args }) => {
    process.exitCode = await publishFile(args);
  },
});

const showCommand = defineCommand({
  meta: {
    name: "show",
    description: "Shows the configuration in force. " +
      "Example: eelgrassfront configuration show --log http://10.0.0.5:7100",
  },
  args: { log: logArgument, json: jsonArgument },
  run: async ({ args }) => {
    process.exitCode = await show(args);
  },
});

const historyCommand = defineCommand({
  meta: {
    name: "history",
    description: "Lists the publications that the log retains. " +
      "Example: eelgrassfront configuration history --log http://10.0.0.5:7100",
  },
  args: { log: logArgument, json: jsonArgument },
  run: async ({ args }) => {
    process.exitCode = await listHistory(args);
  },
});

/** Command `configuration`. */
export const configurationCommand = defineCommand({
  meta: {
    name: "configuration",
    description: "Checks, publishes and shows the operators' configuration",
  },
  subCommands: {
    check: checkCommand,
    publish: publishCommand,
    show: showCommand,
    history: historyCommand,
  },
});

interface LogArguments {
  readonly log: string;
  readonly json: boolean;
}

interface CheckArguments {
  readonly file: string;
  readonly log?: string | undefined;
  readonly json: boolean;
}

interface PublishArguments extends LogArguments {
  readonly file: string;
  readonly by?: string | undefined;
  readonly publication?: string | undefined;
  readonly replaces?: string | undefined;
  readonly wait?: string | undefined;
  readonly limit: string;
}

async function check(args: CheckArguments): Promise<ExitCode> {
  const configuration = readFile(args);
  if (configuration === undefined) return ExitCode.Usage;
  if (args.log === undefined) {
    printLine(
      args.json ? JSON.stringify({ faults: [] }) : `${args.file}: no faults`,
    );
    return ExitCode.Success;
  }
  return await withLog(args.log, async (log) => {
    const { current } = await log.read();
    const changes = changesBetween(current?.configuration, configuration);
    if (args.json) {
      printLine(
        JSON.stringify({ faults: [], inForce: current?.offset, changes }),
      );
    } else {
      printLine(`${args.file}: no faults`);
      printLine(
        `${changes.length} changes against version ${current?.offset ?? 0}`,
      );
      for (const change of changes) printLine(`  ${describeChange(change)}`);
    }
    return ExitCode.Success;
  });
}

async function publishFile(args: PublishArguments): Promise<ExitCode> {
  const configuration = readFile(args);
  if (configuration === undefined) return ExitCode.Usage;
  const request: PublicationRequest = {
    publication: args.publication ?? randomUUID(),
    publishedBy: args.by ?? userInfo().username,
    configuration,
    ...(args.replaces === undefined ? {} : { replaces: Number(args.replaces) }),
  };
  if (Number.isNaN(request.replaces)) {
    printDiagnostic(
      `--replaces: found ${args.replaces}; allowed: a version number`,
    );
    return ExitCode.Usage;
  }
  const result = await publish(new ConfigurationLog(args.log), request);
  printResult(args, request, result);
  switch (result.kind) {
    case PublicationKind.Accepted:
      return await waitIfRequested(args, result.version);
    case PublicationKind.Rejected:
    case PublicationKind.IdentifierReused:
      return ExitCode.Rejected;
    case PublicationKind.Unknown:
      return ExitCode.Unknown;
  }
}

function printResult(
  { json }: PublishArguments,
  { publication }: PublicationRequest,
  result: PublicationResult,
): void {
  printLine(
    json
      ? JSON.stringify({ publication, ...result })
      : `publication ${publication}: ${describeResult(result)}`,
  );
}

function describeResult(result: PublicationResult): string {
  switch (result.kind) {
    case PublicationKind.Accepted:
      return result.version === result.inForce
        ? `accepted as version ${result.version}`
        : `accepted as version ${result.version}, now replaced by version ${result.inForce}`;
    case PublicationKind.Rejected:
      return `rejected: version ${result.rejectedBy} of ${result.publishedBy} ` +
        "is in force; check the manifest against it and publish with a new identifier";
    case PublicationKind.IdentifierReused:
      return `rejected: the identifier was used at offset ${result.offset} for ` +
        "different content; publish with a new identifier";
    case PublicationKind.Unknown:
      return `unknown: ${result.detail}; publish again with the same identifier`;
  }
}

async function waitIfRequested(
  args: PublishArguments,
  version: number,
): Promise<ExitCode> {
  if (args.wait === undefined) return ExitCode.Success;
  const rollout = await waitUntilInForce({
    addresses: args.wait.split(","),
    token: process.env[TokenVariable.Operators] ?? "",
    version,
    limitMilliseconds: Number(args.limit) * MILLISECONDS_PER_SECOND,
  });
  if (args.json) printLine(JSON.stringify(rollout));
  else {
    printLine(
      `in force in ${rollout.inForce.length} processes ` +
        `after ${rollout.elapsedMilliseconds} ms`,
    );
    for (const peer of rollout.missing) printLine(`not in force at ${peer}`);
  }
  return rollout.missing.length === 0 ? ExitCode.Success : ExitCode.Unknown;
}

function show({ log: origin, json }: LogArguments): Promise<ExitCode> {
  return withLog(origin, async (log) => {
    const { current } = await log.read();
    if (current === undefined) {
      printDiagnostic(`${origin}: the log contains no configuration in force`);
      return ExitCode.Unknown;
    }
    if (json) {
      printLine(JSON.stringify(current));
      return ExitCode.Success;
    }
    printLine(
      `version ${current.offset}, publication ${current.publication}, ` +
        `published by ${current.publishedBy}`,
    );
    printConfiguration(current.configuration);
    return ExitCode.Success;
  });
}

function printConfiguration(configuration: Configuration): void {
  const tables = [
    ...(configuration.kindsOfWork.length > 0
      ? [configuration.kindsOfWork]
      : []),
    ...(configuration.teams.length > 0 ? [configuration.teams] : []),
    [configuration.limits],
  ];
  for (const rows of tables) {
    printLine("");
    printLine(formatTable(rows));
  }
}

function listHistory({ log: origin, json }: LogArguments): Promise<ExitCode> {
  return withLog(origin, async (log) => {
    const { publications } = await log.read();
    const rows = publications.map((publication) => ({
      offset: publication.offset,
      verdict: publication.verdict,
      replaces: publication.record.replaces,
      rejectedBy: publication.rejectedBy ?? "",
      publication: publication.record.publication,
      publishedBy: publication.record.publishedBy,
    }));
    printLine(json ? JSON.stringify(rows) : formatTable(rows));
    return ExitCode.Success;
  });
}

async function withLog(
  origin: string,
  use: (log: ConfigurationLog) => Promise<ExitCode>,
): Promise<ExitCode> {
  try {
    return await use(new ConfigurationLog(origin));
  } catch (error) {
    printDiagnostic(
      `cannot read the log at ${origin}: ${
        String(error)
      }; check that the log runs, and try again`,
    );
    return ExitCode.Unreachable;
  }
}

function readFile(
  { file, json }: { readonly file: string; readonly json: boolean },
): Configuration | undefined {
  const content = contentOf(file);
  if (content === undefined) return undefined;
  const result = readManifest(file, content);
  switch (result.kind) {
    case ManifestResultKind.Read:
      return result.configuration;
    case ManifestResultKind.Invalid:
      if (json) printLine(JSON.stringify({ faults: result.faults }));
      for (const fault of result.faults) printDiagnostic(describeFault(fault));
      return undefined;
  }
}

function contentOf(file: string): string | undefined {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    printDiagnostic(`${file}: cannot be read: ${String(error)}`);
    return undefined;
  }
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printDiagnostic(line: string): void {
  process.stderr.write(`${line}\n`);
}
