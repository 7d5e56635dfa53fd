/**
 * Tests a small system of real processes end to end: a job that is submitted with the tool, resubmitted
 * through another entry, and the end of every process when the system is disposed of.
 */
import { spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { it } from "node:test";
import { fileURLToPath } from "node:url";
import type { BackendServerStatistics } from "@eelgrassfront/stand-in-backend-server";
import { expect } from "earl";
import { LocalSystem } from "./local_system.ts";

const TOOL = fileURLToPath(
  new URL("main.js", import.meta.resolve("@eelgrassfront/cli")),
);
const JOB = {
  team: "assessors",
  kindOfWork: "check",
  idempotent: false,
  deadlineMilliseconds: 20_000,
  tasks: [
    { payload: { ingredient: 1, runMilliseconds: 20 } },
    { payload: { ingredient: 2, runMilliseconds: 40 } },
  ],
};

interface ToolResult {
  readonly exitCode: number | null;
  readonly output: string;
}

function runTool(args: readonly string[]): Promise<ToolResult> {
  const child = spawn(process.execPath, [TOOL, ...args]);
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => {
    output += chunk.toString("utf8");
  });
  return new Promise((resolve) =>
    child.once("close", (exitCode) => resolve({ exitCode, output }))
  );
}

/** Returns the answer to the submission from the tool's JSON output. */
function parseAnswer({ output }: ToolResult): string {
  const { answer }: { readonly answer: unknown } = JSON.parse(output);
  return JSON.stringify(answer);
}

/** Counts the starts on all backend servers. */
async function countStarts(system: LocalSystem): Promise<number> {
  const counts = await Promise.all(
    system.backendServers.map(async ({ address }) => {
      const response = await fetch(`http://${address}/statistics`);
      const statistics = await response.json() as BackendServerStatistics;
      return statistics.starts;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

it("returns the same answer when a job is submitted again through another entry, and ends every process", async () => {
  const folder = await mkdtemp(join(tmpdir(), "eelgrassfront-"));
  const pids: number[] = [];
  try {
    const file = join(folder, "job.json");
    await writeFile(file, JSON.stringify(JOB));
    await using system = await LocalSystem.start({
      entries: 2,
      sidecars: 3,
      slots: 2,
    });
    pids.push(...system.allProcesses().map(({ child }) => child.pid));
    const answers: string[] = [];
    for (const { address } of system.entries) {
      const result = await runTool(
        ["submit", "--entry", address, "--file", file, "--key", "k", "--json"],
      );
      expect(result.exitCode).toEqual(0);
      answers.push(parseAnswer(result));
    }
    expect(answers[0] ?? "").toInclude('"outcome":"completed"');
    expect(answers[1]).toEqual(answers[0]);
    expect(await countStarts(system)).toEqual(JOB.tasks.length);
  } finally {
    await rm(folder, { recursive: true });
  }
  expect(pids.length).toEqual(9);
  expect(pids.filter(isRunning)).toEqual([]);
});
