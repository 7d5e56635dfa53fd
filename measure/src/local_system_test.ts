/**
 * A small system of real processes: a job through the tool, again through another entry, and no
 * process left.
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

interface Ended {
  readonly exitCode: number | null;
  readonly output: string;
}

function runTool(args: readonly string[]): Promise<Ended> {
  const child = spawn(process.execPath, [TOOL, ...args]);
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => {
    output += chunk.toString("utf8");
  });
  return new Promise((resolve) =>
    child.once("close", (exitCode) => resolve({ exitCode, output }))
  );
}

/** The answer of the submission as the tool printed it. */
function answerOf({ output }: Ended): string {
  const { answer }: { readonly answer: unknown } = JSON.parse(output);
  return JSON.stringify(answer);
}

/** Starts that all backend servers together have seen. */
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

it("answers a job and its repetition alike, and leaves no process behind", async () => {
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
    pids.push(...system.all().map(({ child }) => child.pid));
    const answers: string[] = [];
    for (const { address } of system.entries) {
      const ended = await runTool(
        ["submit", "--entry", address, "--file", file, "--key", "k", "--json"],
      );
      expect(ended.exitCode).toEqual(0);
      answers.push(answerOf(ended));
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
