/**
 * Checks arguments, exit codes, explanations and help of the tool.
 */
import { spawnSync } from "node:child_process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import { examplesOf } from "./command_examples.ts";
import { ExitCode } from "./exit_code.ts";
import { allTerms } from "./explanation_index.ts";
import { commands, tool } from "./tool.ts";
import { describeHelp } from "./tool_runner.ts";

const TOOL = fileURLToPath(
  new URL("../bin/eelgrassfront.mjs", import.meta.url),
);

interface ToolRun {
  readonly exitCode: number | null;
  readonly output: string;
  readonly errors: string;
}

function run(...args: readonly string[]): ToolRun {
  const result = spawnSync(process.execPath, [TOOL, ...args]);
  return {
    exitCode: result.status,
    output: result.stdout.toString("utf8"),
    errors: result.stderr.toString("utf8"),
  };
}

describe("the tool", () => {
  const inner = ["check", "publish", "show", "history"];
  const paths = [
    ...Object.keys(commands),
    ...inner.map((name) => `configuration ${name}`),
  ];
  for (const name of paths) {
    it(`shows help with examples for ${name}`, async () => {
      const output = await describeHelp(tool, name.split(" "));
      expect(output).toInclude("USAGE");
      expect(examplesOf(name).length).toBeGreaterThan(0);
      for (const example of examplesOf(name)) {
        expect(output).toInclude(example);
      }
    });
  }

  it("exits with success after help", () => {
    const { exitCode, output } = run("submit", "--help");
    expect(exitCode).toEqual(ExitCode.Success);
    expect(output).toInclude(examplesOf("submit")[0] ?? "no example");
  });

  it("exits with a usage error for an invalid command, option or argument", () => {
    const file = fileURLToPath(new URL("../package.json", import.meta.url));
    const faulty: readonly (readonly [readonly string[], string])[] = [
      [[], "No command specified"],
      [["sumbit"], "Unknown command"],
      [["submit", "--file", file], "--entry"],
      [["submit", "--entyr", "127.0.0.1:1"], "--entyr: no such option"],
      [["submit", "--entry", "127.0.0.1:1", "--file", "nowhere.json"], "read"],
      [["explain", "nothing"], "nothing: no such reason or event"],
    ];
    for (const [args, message] of faulty) {
      const { exitCode, errors } = run(...args);
      expect(exitCode).toEqual(ExitCode.Usage);
      expect(errors).toInclude(message);
    }
  });

  it("reports step, peer and a hint when a process cannot be reached", () => {
    const { exitCode, errors } = run("fleet", "--operators", "127.0.0.1:1");
    expect(exitCode).toEqual(ExitCode.Unreachable);
    expect(errors).toMatchRegex(
      /^read-report: 127\.0\.0\.1:1: unreachable: .*; check that 127\.0\.0\.1:1 runs/,
    );
  });

  it("explains a term for every outcome that it is a reason of", () => {
    const { exitCode, output } = run("explain", "cancelled");
    expect(exitCode).toEqual(ExitCode.Success);
    for (const kind of ["failed", "not-run", "task-refusal"]) {
      expect(output).toInclude(`cancelled (${kind})`);
    }
    expect(JSON.parse(run("explain", "2104", "--json").output)).toHaveLength(1);
    expect(allTerms()).toInclude("queue-full");
  });
});
