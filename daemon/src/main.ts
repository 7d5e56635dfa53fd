#!/usr/bin/env node
/**
 * The daemon `eelgrassfrontd`: runs one process of the system in the role given in its settings.
 *
 * Exit codes: 0 after a drain, 1 when the process could not start, 2 for invalid settings, 70 after a
 * broken invariant or another error in the event loop.
 */
import { readFileSync } from "node:fs";
import { describeFault, SettingsResultKind } from "@eelgrassfront/settings-ini";
import { defineCommand, runMain } from "citty";
import { readDaemonSettings } from "./daemon_settings.ts";
import { runProcess } from "./process_factory.ts";

const INVALID_SETTINGS_EXIT_CODE = 2;
const FAILED_START_EXIT_CODE = 1;

const command = defineCommand({
  meta: {
    name: "eelgrassfrontd",
    description: "Runs one process of eelgrassfront",
  },
  args: {
    settings: {
      type: "string",
      required: true,
      description: "INI file with the settings of the process",
    },
  },
  run: async ({ args }) => {
    process.exit(await runFromFile(args.settings));
  },
});

async function runFromFile(file: string): Promise<number> {
  const text = readText(file);
  if (text === undefined) return INVALID_SETTINGS_EXIT_CODE;
  const result = readDaemonSettings(file, text);
  switch (result.kind) {
    case SettingsResultKind.Invalid:
      for (const fault of result.faults) printError(describeFault(fault));
      return INVALID_SETTINGS_EXIT_CODE;
    case SettingsResultKind.Read:
      return await runOrReportError(result.settings);
  }
}

async function runOrReportError(
  settings: Parameters<typeof runProcess>[0],
): Promise<number> {
  try {
    return await runProcess(settings);
  } catch (error) {
    printError(`eelgrassfrontd could not start: ${String(error)}`);
    return FAILED_START_EXIT_CODE;
  }
}

function readText(file: string): string | undefined {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    printError(`${file}: cannot be read: ${String(error)}`);
    return undefined;
  }
}

function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

await runMain(command);
