/**
 * Crowds of misbehaving clients at the processes of a system. Guards against a process that runs out of memory or
 * descriptors, or that no longer answers ordinary callers. The sizes of the crowds and the bounds were determined on
 * fd4453e, which kept whatever clients sent.
 */
import { before, test, type TestContext } from "node:test";
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import {
  ClientCrowd,
  type ClientCrowdOptions,
  pipelinedRequests,
  unfinishedBody,
} from "./client_crowd.ts";
import { CLIENT_PORT, PlatformSystem, READY_PORT } from "./platform_system.ts";

const BUILD = fileURLToPath(
  new URL("../../../scripts/build_platform.mjs", import.meta.url),
);
/** Limits of the VMs in this test, and of the clients of one entry: far below the defaults. */
const SETTINGS = {
  limits: { memoryMb: 210, maxFds: 2_212 },
  clientLimits: { connections: 100, bodyBytes: 4_194_304 },
};
/** Heaps as in deploy/system.toml for the smallest entry. */
const NODE_ARGUMENTS = ["--max-old-space-size=128", "--max-semi-space-size=4"];
/** Largest resident memory that a process of the test may reach. */
const MAXIMUM_RESIDENT_KILOBYTES = 145_000;
/** Most descriptors that a process of the test may hold: the limit of connections and 60 of its own. */
const MAXIMUM_DESCRIPTORS = 160;
const LARGEST_BODY_BYTES = 260_000;

const ORDINARY_JOB = "00000000000000c1";

before(() => {
  const built = spawnSync(process.execPath, [BUILD], { stdio: "inherit" });
  expect(built.status).toEqual(0);
});

test("unfinished bodies of one-byte chunks exhaust no memory", (context) =>
  withstand(context, {
    port: CLIENT_PORT,
    connections: 60,
    bytes: unfinishedBody(1, 100_000),
  }));

test("unfinished bodies of large chunks exhaust no memory or descriptors", (context) =>
  withstand(context, {
    port: CLIENT_PORT,
    connections: 600,
    bytes: unfinishedBody(LARGEST_BODY_BYTES / 4, LARGEST_BODY_BYTES),
  }));

test("pipelined requests whose responses are not read exhaust no memory", (context) =>
  withstand(context, {
    port: CLIENT_PORT,
    connections: 400,
    bytes: pipelinedRequests("/scan/", "", 20_000),
  }));

test("the same with a host header exhausts no memory", (context) =>
  withstand(context, {
    port: CLIENT_PORT,
    connections: 150,
    bytes: pipelinedRequests("/scan/", "Host: checks.example\r\n", 20_000),
  }));

test("the same at the readiness probe exhausts no memory", (context) =>
  withstand(context, {
    port: READY_PORT,
    connections: 150,
    bytes: pipelinedRequests("/readyz", "", 20_000),
  }));

/** Starts a system, sends a crowd to its entry, and checks the process and one ordinary request. */
async function withstand(
  context: TestContext,
  crowdOptions: Omit<ClientCrowdOptions, "host">,
): Promise<void> {
  await using system = await PlatformSystem.start({
    entries: 1,
    workers: 2,
    nodeArguments: NODE_ARGUMENTS,
    settings: SETTINGS,
  });
  const [entry] = system.entries;
  if (entry === undefined) throw new Error("the system has no entry");
  const { child: { pid } } = entry;
  const crowd = await ClientCrowd.open({ ...crowdOptions, host: entry.host });
  const observed = observe(pid);
  await crowd[Symbol.asyncDispose]();
  context.diagnostic(JSON.stringify(observed));
  expect(observed.isAlive).toEqual(true);
  expect(observed.residentKilobytes).toBeLessThan(MAXIMUM_RESIDENT_KILOBYTES);
  expect(observed.descriptors).toBeLessThan(MAXIMUM_DESCRIPTORS);
  const response = await system.submit(entry, ORDINARY_JOB, {
    spec: JSON.stringify({ runMilliseconds: 10, cpu: 1_000 }),
    phases: [{ count: 1, cpu: 1_000, memMb: 64, estimateMs: 10 }],
    bestEffort: true,
  });
  expect(response).toEqual({ status: 200, body: { state: "completed" } });
  expect(observe(pid).residentKilobytes).toBeLessThan(
    MAXIMUM_RESIDENT_KILOBYTES,
  );
}

interface Observed {
  readonly isAlive: boolean;
  /** Highest resident memory that the process has had. */
  readonly residentKilobytes: number;
  readonly descriptors: number;
}

function observe(pid: number): Observed {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const [, kilobytes] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
    const descriptors = readdirSync(`/proc/${pid}/fd`).length;
    const residentKilobytes = Number(kilobytes ?? Infinity);
    return { isAlive: true, residentKilobytes, descriptors };
  } catch {
    // A process that has ended has no memory and no descriptors.
    return { isAlive: false, residentKilobytes: 0, descriptors: 0 };
  }
}
