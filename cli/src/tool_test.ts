/**
 * The tool: arguments, exit codes, explanations and help.
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

interface Ended {
  readonly exitCode: number | null;
  readonly output: string;
  readonly errors: string;
}

function run(...args: readonly string[]): Ended {
  const ended = spawnSync(process.execPath, [TOOL, ...args]);
  return {
    exitCode: ended.status,
    output: ended.stdout.toString("utf8"),
    errors: ended.stderr.toString("utf8"),
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

  it("ends with success after help", () => {
    const { exitCode, output } = run("submit", "--help");
    expect(exitCode).toEqual(ExitCode.Success);
    expect(output).toInclude(examplesOf("submit")[0] ?? "no example");
  });

  it("ends with a usage error for what it does not know", () => {
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

  it("says step, peer and how to go on when a process cannot be reached", () => {
    const { exitCode, errors } = run("fleet", "--operators", "127.0.0.1:1");
    expect(exitCode).toEqual(ExitCode.Unreachable);
    expect(errors).toMatchRegex(
      /^read-report: 127\.0\.0\.1:1: unreachable: .*; check that 127\.0\.0\.1:1 runs/,
    );
  });

  it("explains every reason of one term", () => {
    const { exitCode, output } = run("explain", "cancelled");
    expect(exitCode).toEqual(ExitCode.Success);
    for (const kind of ["failed", "not-run", "task-refusal"]) {
      expect(output).toInclude(`cancelled (${kind})`);
    }
    expect(JSON.parse(run("explain", "2104", "--json").output)).toHaveLength(1);
    expect(allTerms()).toInclude("queue-full");
  });
});
