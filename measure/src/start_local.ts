/**
 * `npm start`: starts a whole system on loopback, submits a sample job with the command-line tool, and
 * prints the command for further jobs. With `--once` it exits after the sample job.
 */
import { spawn } from "node:child_process";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { tmpdir } from "node:os";
import { fileURLToPath } from "node:url";
import { LocalSystem } from "./local_system.ts";

const ENTRIES = 3;
const SIDECARS = 11;
const SLOTS = 8;
const SAMPLE_TASKS = 40;

const exitsAfterSample = process.argv.includes("--once");
const stopped = new Promise<void>((resolve) => {
  process.once("SIGINT", () => resolve());
  process.once("SIGTERM", () => resolve());
});

process.exitCode = await run();

async function run(): Promise<number> {
  print(
    `starting ${ENTRIES} entries, ${SIDECARS} sidecars and backend servers`,
  );
  await using system = await LocalSystem.start({
    entries: ENTRIES,
    sidecars: SIDECARS,
    slots: SLOTS,
  });
  const entry = system.entries[0]?.address ?? "";
  const file = await writeSampleJob();
  const exitCode = await submitJob(entry, file);
  if (exitsAfterSample || exitCode !== 0) return exitCode;
  print("");
  print(`entries: ${system.entries.map(({ address }) => address).join(" ")}`);
  print("submit another job with:");
  print(`  npx eelgrassfront submit --entry ${entry} --file ${file}`);
  print("Press Ctrl-C to stop the system.");
  await stopped;
  return 0;
}

async function writeSampleJob(): Promise<string> {
  const file = join(tmpdir(), "eelgrassfront-sample-check.json");
  const tasks = Array.from({ length: SAMPLE_TASKS }, (_, index) => ({
    payload: { ingredient: index + 1, runMilliseconds: 50 },
    declaredMilliseconds: 50,
  }));
  await writeFile(
    file,
    JSON.stringify({
      team: "assessors",
      kindOfWork: "check",
      idempotent: true,
      deadlineMilliseconds: 20_000,
      tasks,
    }),
  );
  return file;
}

function submitJob(entry: string, file: string): Promise<number> {
  const tool = fileURLToPath(
    new URL("main.js", import.meta.resolve("@eelgrassfront/cli")),
  );
  const child = spawn(
    process.execPath,
    [tool, "submit", "--entry", entry, "--file", file],
    { stdio: ["ignore", "inherit", "inherit"] },
  );
  return new Promise((resolve) =>
    child.once("exit", (code) => resolve(code ?? 1))
  );
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
