#!/usr/bin/env node
/**
 * Main program of the command-line tool `eelgrassfront`.
 */
import process from "node:process";
import { runTool } from "./tool_runner.ts";
import { tool } from "./tool.ts";

const exitCode = await runTool(tool, process.argv.slice(2));
if (exitCode !== undefined) process.exitCode = exitCode;
