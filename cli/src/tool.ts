/**
 * The commands of the tool.
 */
import { defineCommand } from "citty";
import { configurationCommand } from "./configuration_command.ts";
import { drainCommand } from "./drain_command.ts";
import { explainCommand } from "./explain_command.ts";
import { fleetCommand } from "./fleet_command.ts";
import { cancelCommand, statusCommand } from "./job_commands.ts";
import { submitCommand } from "./submit_command.ts";

/** Commands by name. */
export const commands = {
  submit: submitCommand,
  status: statusCommand,
  cancel: cancelCommand,
  drain: drainCommand,
  fleet: fleetCommand,
  configuration: configurationCommand,
  explain: explainCommand,
};

/** The tool with all its commands. */
export const tool = defineCommand({
  meta: {
    name: "eelgrassfront",
    description: "Submits jobs to eelgrassfront and operates it",
  },
  subCommands: commands,
});
