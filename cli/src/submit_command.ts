/**
 * `eelgrassfront submit`: sends a job and waits for its whole answer.
 */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { defineCommand } from "citty";
import { request } from "undici";
import { ExitCode } from "./exit_code.ts";

const EXIT_CODES: ReadonlyMap<string, ExitCode> = new Map([
  ["completed", ExitCode.Success],
  ["failed", ExitCode.Failed],
  ["not-run", ExitCode.NotRun],
  ["unknown", ExitCode.Unknown],
  ["rejected", ExitCode.Rejected],
]);

/** The command. */
export const submitCommand = defineCommand({
  meta: {
    name: "submit",
    description: "Submits a job and waits for its answer",
  },
  args: {
    entry: {
      type: "string",
      required: true,
      description: "Address of an entry, as host:port",
    },
    file: {
      type: "string",
      required: true,
      description: "JSON file with the job; see docs/API.md",
    },
    key: {
      type: "string",
      description: "Idempotency key; a new one when left out",
    },
  },
  run: async ({ args }) => {
    const key = args.key ?? randomUUID();
    process.exitCode = await submit({ ...args, key });
  },
});

interface SubmitOptions {
  readonly entry: string;
  readonly file: string;
  readonly key: string;
}

async function submit({ entry, file, key }: SubmitOptions): Promise<ExitCode> {
  const startedAt = performance.now();
  try {
    const response = await request(`http://${entry}/v1/jobs`, {
      method: "POST",
      headers: { "content-type": "application/json", "idempotency-key": key },
      body: readFileSync(file, "utf8"),
    });
    const text = await response.body.text();
    const elapsed = Math.round(performance.now() - startedAt);
    process.stdout.write(`${text}\n`);
    process.stdout.write(`key ${key}: answered after ${elapsed} ms\n`);
    return exitCodeOf(text);
  } catch (error) {
    process.stderr.write(
      `submit: ${entry}: ${String(error)}; is the entry running? ` +
        `Submit again with --key ${key}\n`,
    );
    return ExitCode.Unreachable;
  }
}

function exitCodeOf(text: string): ExitCode {
  const answer: unknown = JSON.parse(text);
  const outcome = typeof answer === "object" && answer !== null &&
      "outcome" in answer
    ? String(answer.outcome)
    : "";
  return EXIT_CODES.get(outcome) ?? ExitCode.Unknown;
}
