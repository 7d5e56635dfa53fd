#!/usr/bin/env node
/**
 * The command-line tool `eelgrassfront`.
 */
import { defineCommand, runMain } from "citty";
import { configurationCommand } from "./configuration_command.ts";
import { submitCommand } from "./submit_command.ts";

const command = defineCommand({
  meta: {
    name: "eelgrassfront",
    description: "Submits jobs to eelgrassfront and operates it",
  },
  subCommands: {
    submit: submitCommand,
    configuration: configurationCommand,
  },
});

await runMain(command);
