/**
 * System test of an evacuation with processes of the bundled daemon: guards against a record that does not reach the
 * processes, and against a zone that stays unused after its restoration.
 */
import { spawnSync } from "node:child_process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import { PlatformSystem } from "./platform_system.ts";

const BUILD = fileURLToPath(
  new URL("../../../scripts/build_platform.mjs", import.meta.url),
);
/** Availability zone of every VM of the system. */
const ZONE = "zone-a";
const SUCCESS = 200;
const UNAVAILABLE = 503;
const POLL_MILLISECONDS = 20;
/** Timeout of a wait that would never end; far longer than a record takes to reach all processes. */
const TIMEOUT_MILLISECONDS = 20_000;
const JOB = {
  spec: JSON.stringify({ runMilliseconds: 10, cpu: 1_000 }),
  phases: [{ count: 2, cpu: 1_000, memMb: 64, estimateMs: 10 }],
  bestEffort: true,
};

test("a job is refused and never runs while the only zone is evacuated, and runs after the restoration", async () => {
  const built = spawnSync(process.execPath, [BUILD], { stdio: "inherit" });
  expect(built.status).toEqual(0);
  await using system = await PlatformSystem.start({ entries: 1, workers: 2 });
  const operators = system.store.topic("keyed.op");
  operators.append(`evacuate/${ZONE}`, Buffer.from("{}"));
  const refused = await submitUntil(system, UNAVAILABLE);
  operators.append(`evacuate/${ZONE}`, Buffer.alloc(0));
  const completed = await submitUntil(system, SUCCESS);
  expect(system.recorder.startsOf(refused)).toEqual(0);
  expect(system.recorder.completionsOf(completed)).toEqual(2);
});

let lastJob = 0;

/** Submits jobs until one is answered with a status, and returns its identifier. */
async function submitUntil(
  system: PlatformSystem,
  status: number,
): Promise<string> {
  const [entry] = system.entries;
  if (entry === undefined) throw new Error("the system has no entry");
  const end = performance.now() + TIMEOUT_MILLISECONDS;
  while (performance.now() < end) {
    lastJob += 1;
    const id = lastJob.toString(16).padStart(16, "0");
    const response = await system.submit(entry, id, JOB);
    if (response.status === status) return id;
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
  throw new Error(`no job was answered with ${status}`);
}
