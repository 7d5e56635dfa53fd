/**
 * The daemon on the users' platform: runs one process of the system in the role given as an argument.
 *
 * Exit codes: 0 after a drain, 1 when the process could not start, 2 for an invalid role or invalid
 * settings, 70 after a broken invariant or another error in the event loop.
 */
import { Role } from "@eelgrassfront/model";
import {
  type HostSettings,
  hostSettingsPath,
  readHostSettings,
} from "@eelgrassfront/platform";
import { defineCommand, runMain } from "citty";
import { runDispatchProcess } from "./dispatch_process.ts";

const INVALID_SETTINGS_EXIT_CODE = 2;
const FAILED_START_EXIT_CODE = 1;

const command = defineCommand({
  meta: {
    name: "eelgrassfront",
    description: "Runs one process of eelgrassfront on the users' platform",
  },
  args: {
    role: {
      type: "positional",
      required: true,
      description: `role of the process: ${Object.values(Role).join(" or ")}`,
    },
  },
  run: async ({ args }) => {
    process.exit(await runInRole(args.role));
  },
});

async function runInRole(text: string): Promise<number> {
  const role = Object.values(Role).find((value) => value === text);
  if (role === undefined) {
    printError(
      `unknown role "${text}"; allowed: ${Object.values(Role).join(", ")}`,
    );
    return INVALID_SETTINGS_EXIT_CODE;
  }
  const settings = readSettings();
  if (settings === undefined) return INVALID_SETTINGS_EXIT_CODE;
  try {
    return await runDispatchProcess(role, settings);
  } catch (error) {
    printError(`could not start: ${String(error)}`);
    return FAILED_START_EXIT_CODE;
  }
}

function readSettings(): HostSettings | undefined {
  const path = hostSettingsPath();
  try {
    return readHostSettings(path);
  } catch (error) {
    printError(`${path}: ${String(error)}`);
    return undefined;
  }
}

function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

await runMain(command);
