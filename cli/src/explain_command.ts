/**
 * `eelgrassfront explain`: explains a reason or an event number, and says what to do about it.
 */
import process from "node:process";
import { defineCommand } from "citty";
import { jsonArgument } from "./common_arguments.ts";
import { printJson, printLine } from "./console_output.ts";
import { ExitCode } from "./exit_code.ts";
import { allTerms, explain } from "./explanation_index.ts";
import { usageError } from "./tool_error.ts";

/** Command `explain`. */
export const explainCommand = defineCommand({
  meta: {
    name: "explain",
    description: "Explains a reason or an event number, and says what to do",
  },
  args: {
    term: {
      type: "positional",
      required: true,
      description: "A reason, such as queue-full, or an event number",
    },
    json: jsonArgument,
  },
  run: ({ args }) => {
    const found = explain(args.term);
    if (found.length === 0) {
      throw usageError(
        `${args.term}: no such reason or event; known: ${
          allTerms().join(", ")
        }`,
      );
    }
    if (args.json) printJson(found);
    else {
      for (const { kind, term, meaning, action } of found) {
        printLine(`${term} (${kind})`);
        printLine(`  meaning: ${meaning}`);
        printLine(`  what to do: ${action}`);
      }
    }
    process.exitCode = ExitCode.Success;
  },
});
