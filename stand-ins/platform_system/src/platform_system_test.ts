/**
 * System test of the bundled daemon as processes on loopback, observed by clients and workers: submissions,
 * drains, stops, lost answers and an outage of the store.
 */
import { after, before, test } from "node:test";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { StoreMode } from "@eelgrassfront/stand-in-platform-store";
import { WorkerMode } from "@eelgrassfront/stand-in-platform-worker";
import { expect } from "earl";
import { PlatformSystem, type SystemVm } from "./platform_system.ts";

const BUILD = fileURLToPath(
  new URL("../../../scripts/build_platform.mjs", import.meta.url),
);
const SUCCESS = 200;
const POLL_MILLISECONDS = 20;
/** Timeout of a wait that would never end; far longer than every bound that the tests check. */
const TIMEOUT_MILLISECONDS = 20_000;

let system: PlatformSystem;
let lastJob = 0;

before(async () => {
  const built = spawnSync(process.execPath, [BUILD], { stdio: "inherit" });
  expect(built.status).toEqual(0);
  system = await PlatformSystem.start({ entries: 2, workers: 3 });
});

after(async () => {
  await system[Symbol.asyncDispose]();
});

test("a job of several tasks is run whole, each task once", async () => {
  const id = nextJob();
  const response = await system.submit(entryAt(0), id, jobOf(6, 30));
  expect(response).toEqual({ status: SUCCESS, body: { state: "completed" } });
  expect(system.recorder.completionsOf(id)).toEqual(6);
  expect(system.recorder.startsOf(id)).toEqual(6);
});

test("a job whose task fails at every attempt is reported as failed", async () => {
  const id = nextJob();
  const job = jobOf(1, 10, { isFailing: true });
  const response = await system.submit(entryAt(0), id, job);
  expect(response).toEqual({ status: SUCCESS, body: { state: "failed" } });
  expect(system.recorder.startsOf(id)).toEqual(3);
});

test("durable jobs, paths without a route and malformed jobs are refused and nothing runs", async () => {
  const id = nextJob();
  const { bestEffort: _, ...durable } = jobOf(1, 10);
  expect((await system.submit(entryAt(0), id, durable)).status).toEqual(503);
  const path = `/nowhere/${id}`;
  const body = JSON.stringify(jobOf(1, 10));
  const call = { method: "POST", path, body } as const;
  expect((await system.call(entryAt(0), call)).status).toEqual(404);
  const broken = { ...call, path: `/scan/${id}`, body: "{" };
  expect((await system.call(entryAt(0), broken)).status).toEqual(400);
  expect(system.recorder.startsOf(id)).toEqual(0);
});

test("a task runs once and its job completes when the answer to its start is lost", async () => {
  for (const worker of system.workers) {
    worker.mode = WorkerMode.LosingAnswers;
  }
  const id = nextJob();
  const response = await system.submit(entryAt(0), id, jobOf(3, 600));
  for (const worker of system.workers) {
    worker.mode = WorkerMode.Serving;
  }
  expect(response.status).toEqual(SUCCESS);
  expect(system.recorder.startsOf(id)).toEqual(3);
});

test("the tasks of a client that disconnects are stopped", async () => {
  const id = nextJob();
  const abort = new AbortController();
  const submitted = system.submit(
    entryAt(0),
    id,
    jobOf(3, 4_000),
    abort.signal,
  );
  await waitUntil(() => system.recorder.runningOf(id) === 3);
  abort.abort();
  await submitted.catch(() => undefined);
  await waitUntil(() => system.recorder.runningOf(id) === 0);
  expect(system.recorder.completionsOf(id)).toEqual(0);
});

test("every entry applies a published configuration", async () => {
  system.publish(["/later/"]);
  const call = { method: "GET", path: "/later/" } as const;
  for (const entry of system.entries) {
    await waitUntilAsync(async () =>
      (await system.call(entry, call)).status === SUCCESS
    );
  }
});

test("jobs complete during a store outage, and a process that starts during it finds its peers", async () => {
  system.store.mode = StoreMode.Busy;
  const [first] = system.sidecars;
  if (first === undefined) throw new Error("the system has no sidecar");
  first.child.signal("SIGKILL");
  await first.child.exited;
  system.restart(first);
  const id = nextJob();
  const response = await system.submit(entryAt(0), id, jobOf(6, 30));
  expect(response.status).toEqual(SUCCESS);
  const restarted = entryAt(1);
  restarted.child.signal("SIGKILL");
  await restarted.child.exited;
  system.restart(restarted);
  await system.waitUntilReady(restarted);
  const again = await system.submit(restarted, nextJob(), jobOf(6, 30));
  expect(again.status).toEqual(SUCCESS);
  system.store.mode = StoreMode.Serving;
});

test("a worker gets no new tasks after it has reported that it is draining", async () => {
  const [worker] = system.workers;
  expect(await worker?.drain()).toEqual(true);
  const before = worker?.runs.size ?? 0;
  const id = nextJob();
  const response = await system.submit(entryAt(0), id, jobOf(8, 50));
  expect(response.status).toEqual(SUCCESS);
  expect(worker?.runs.size).toEqual(before);
  await system.replaceWorker(0, 1);
});

test("an entry answers its open and further requests after SIGTERM, then exits", async () => {
  const entry = entryAt(1);
  const running = system.submit(entry, nextJob(), jobOf(2, 1_500));
  await new Promise((resolve) => setTimeout(resolve, 200));
  entry.child.signal("SIGTERM");
  await new Promise((resolve) => setTimeout(resolve, 200));
  const late = system.submit(entry, nextJob(), jobOf(2, 300));
  expect((await running).status).toEqual(SUCCESS);
  expect((await late).status).toEqual(SUCCESS);
  expect(await entry.child.exited).toEqual(0);
  system.restart(entry);
  await system.waitUntilReady(entry);
});

test("a sidecar that is asked to stop finishes what runs", async () => {
  const id = nextJob();
  const submitted = system.submit(entryAt(0), id, jobOf(6, 1_000));
  await waitUntil(() => system.recorder.runningOf(id) === 6);
  const [, second] = system.sidecars;
  second?.child.signal("SIGTERM");
  expect((await submitted).status).toEqual(SUCCESS);
  expect(system.recorder.startsOf(id)).toEqual(6);
  expect(await second?.child.exited).toEqual(0);
  if (second !== undefined) system.restart(second);
});

test("no task ever ran twice at the same time", () => {
  expect(system.recorder.overlappingStarts).toEqual([]);
});

function nextJob(): string {
  lastJob += 1;
  return lastJob.toString(16).padStart(16, "0");
}

function entryAt(index: number): SystemVm {
  const entry = system.entries[index];
  if (entry === undefined) throw new Error(`no entry with index ${index}`);
  return entry;
}

function jobOf(
  tasks: number,
  runMilliseconds: number,
  script: { readonly isFailing?: boolean } = {},
) {
  const cpu = 1_000;
  return {
    spec: JSON.stringify({ runMilliseconds, cpu, ...script }),
    phases: [{ count: tasks, cpu, memMb: 64, estimateMs: runMilliseconds }],
    bestEffort: true,
  };
}

function waitUntil(isTrue: () => boolean): Promise<void> {
  return waitUntilAsync(() => Promise.resolve(isTrue()));
}

async function waitUntilAsync(isTrue: () => Promise<boolean>): Promise<void> {
  const end = performance.now() + TIMEOUT_MILLISECONDS;
  while (!await isTrue()) {
    if (performance.now() > end) throw new Error("the wait timed out");
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
}
