/**
 * Small deployment of the users' platform on loopback: the project's bundle, started with the commands of the deploy
 * file, and the project's stand-ins for the store and the workers. Everything is recorded with its time.
 */
import { readFileSync } from "node:fs";
import { appendFile, mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Child } from "@eelgrassfront/stand-in-child-process";
import { StoreServer } from "@eelgrassfront/stand-in-platform-store";
import { PlatformWorker } from "@eelgrassfront/stand-in-platform-worker";

export const ROOT = join(import.meta.dirname, "..", "..");
export const HOST = "checks.example";
export const PREFIX = "/scan/";
const SERVICE = "checks";
const CLIENT_PORT = 8_161;
const READY_PORT = 8_167;
const CONTROL_PORT = 8_166;
const FIRST_PEER_PORT = 7_720;
const LAST_PEER_PORT = 7_735;
/** Port by which a range of loopback addresses is reserved. */
const RESERVATION_PORT = 8_158;
const START_MILLISECONDS = 30_000;
const ZONES = ["zone-a", "zone-b", "zone-c"];
/** Figures of the small site files. */
export const BOUNDS = {
  contactMs: 3_000,
  ackMs: 4_000,
  graceS: 6,
  maxHoldMs: 1_000,
  stopTimeoutMs: 50,
  cancel_ms: 3_000,
  retransmitMs: 1_300,
};

export async function pause(milliseconds) {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Returns the arguments of Node that the deploy file gives a role. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  const run = /run = "([^"]+)"/.exec(section)?.[1] ?? "";
  const [program, ...words] = run.split(" ");
  const bundle = words.findIndex((word) => word.endsWith(".mjs"));
  if (program !== "node" || bundle === -1) {
    throw new Error(`the command of the role ${role} is not known: ${run}`);
  }
  return {
    nodeArguments: words.slice(0, bundle),
    script: join(ROOT, words[bundle]),
    args: words.slice(bundle + 1),
  };
}

async function reserveNetwork() {
  for (let octet = 20; octet < 250; octet += 1) {
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(
        RESERVATION_PORT,
        `127.${octet}.0.250`,
        () => resolve(true),
      );
    });
    if (isFree) return { octet, server };
  }
  throw new Error("no range of loopback addresses is free");
}

/** What was sent, answered and run, with times since the start of the script. */
export class Record {
  #lines = [];
  starts = [];
  ends = [];

  add(text) {
    const time = (performance.now() / 1_000).toFixed(3);
    this.#lines.push(`${time} ${text}`);
  }

  /** Records the runs of one worker. */
  observerOf(worker) {
    return {
      onStart: (task) => {
        this.starts.push({ task, worker, at: performance.now() });
        this.add(`worker ${worker} starts ${task}`);
      },
      onEnd: (task, outcome) => {
        this.ends.push({ task, worker, outcome, at: performance.now() });
        this.add(`worker ${worker} ends ${task}: ${outcome}`);
      },
    };
  }

  async write(folder) {
    await writeFile(
      join(folder, "record.txt"),
      `${this.#lines.join("\n")}\n`,
    );
  }
}

/** A running deployment. */
export class Deployment {
  entries = [];
  sidecars = [];
  workers = [];

  static async start({ entries, workers, record, logFile }) {
    const deployment = new Deployment();
    deployment.record = record;
    deployment.logFile = logFile;
    deployment.network = await reserveNetwork();
    deployment.folder = await mkdtemp(join(tmpdir(), "eelgrassfront-review-"));
    deployment.store = await StoreServer.listen();
    deployment.#publish();
    for (let index = 0; index < entries; index += 1) {
      deployment.entries.push(await deployment.#startVm("entry", index));
    }
    for (let index = 0; index < workers; index += 1) {
      const worker = await deployment.#startWorker(index);
      deployment.workers.push(worker);
      deployment.sidecars.push(
        await deployment.#startVm("sidecar", index, {
          app: `127.0.0.1:${worker.port}`,
          service: SERVICE,
        }),
      );
    }
    for (const entry of deployment.entries) await waitUntilReady(entry);
    return deployment;
  }

  #publish() {
    const configuration = {
      version: 3,
      routes: [{
        name: "r-scan",
        host: HOST,
        pathPrefix: PREFIX,
        kind: "non_idempotent",
        timeoutMs: 1_500,
        targetLatencyMs: 60,
        priority: 0,
        service: SERVICE,
        maxAttempts: 4,
        slackFactor: 1.6,
      }],
      services: [],
    };
    this.store.topic("keyed.op").append(
      "config",
      Buffer.from(JSON.stringify(configuration)),
    );
  }

  #hostOf(role, index) {
    const offset = role === "entry" ? 1 : 100;
    return `127.${this.network.octet}.0.${offset + index}`;
  }

  async #startVm(role, index, furtherSettings = {}) {
    const name = `${role}-${index + 1}`;
    const host = this.#hostOf(role, index);
    const listen = role === "entry"
      ? {
        frontend: `${host}:${CLIENT_PORT}`,
        ready: `${host}:${READY_PORT}`,
        control: `${host}:${CONTROL_PORT}`,
      }
      : { control: `${host}:${CONTROL_PORT}` };
    const settings = {
      nodeName: name,
      ip: host,
      zone: ZONES[index % ZONES.length],
      listen,
      portRange: [FIRST_PEER_PORT, LAST_PEER_PORT],
      serves: role === "entry" ? ["frontend", "control_plane"] : ["side"],
      seeds: [`127.${this.network.octet}.0.1:${CONTROL_PORT}`],
      limits: role === "entry"
        ? { memoryMb: 350, maxFds: 4_100 }
        : { memoryMb: 218, maxFds: 4_096 },
      bounds: BOUNDS,
      platform: { address: `127.0.0.1:${this.store.port}` },
      ...furtherSettings,
    };
    await writeFile(join(this.folder, name), JSON.stringify(settings));
    const vm = { name, host, role };
    this.startProcess(vm);
    return vm;
  }

  startProcess(vm) {
    this.record.add(`process ${vm.name} is started`);
    vm.child = new Child({
      name: vm.name,
      ...commandOf(vm.role),
      environment: { EELGRASSFRONT_CONFIG: join(this.folder, vm.name) },
      ...(this.logFile === undefined ? {} : {
        onLine: (name, line) =>
          void appendFile(this.logFile, `${name} ${line}\n`),
      }),
    });
  }

  signal(vm, signal) {
    this.record.add(`process ${vm.name} gets ${signal}`);
    vm.child.signal(signal);
  }

  /** Starts a worker before the sidecar on its VM, whose settings name its address. */
  async #startWorker(index) {
    const id = `i-${index + 1}`;
    return await PlatformWorker.listen({
      id,
      service: SERVICE,
      zone: ZONES[index % ZONES.length],
      reportAddress: `${this.#hostOf("sidecar", index)}:${CONTROL_PORT}`,
      capacity: { cpu: 32_000, memMb: 131_072 },
      reportMilliseconds: 1_500,
      observer: this.record.observerOf(id),
    });
  }

  /** Sends a request of a client; `done` resolves with the status, or with undefined when the connection broke. */
  send(entry, { method, id, job, deadlineMs = 1_500, what = "" }) {
    const { record } = this;
    const label = `${method} ${id}${what === "" ? "" : ` (${what})`}`;
    const body = job === undefined ? undefined : JSON.stringify(job);
    record.add(`client sends ${label} to ${entry.name}`);
    const call = request({
      host: entry.host,
      port: CLIENT_PORT,
      method,
      path: `${PREFIX}${id}`,
      agent: false,
      headers: {
        host: HOST,
        "deadline-ms": String(deadlineMs),
        ...(body === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        }),
      },
    });
    const done = new Promise((resolve) => {
      call.on("response", (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () => {
          const text = Buffer.concat(chunks).toString();
          record.add(
            `client gets ${response.statusCode} ${text} for ${label} from ${entry.name}`,
          );
          resolve({
            status: response.statusCode,
            body: text,
            at: performance.now(),
          });
        });
      });
      call.on("error", (error) => {
        record.add(`client loses ${label} at ${entry.name}: ${error.message}`);
        resolve({ status: undefined, body: "", at: performance.now() });
      });
    });
    call.end(body);
    return { done, abort: () => call.destroy() };
  }

  async stop() {
    const vms = [...this.entries, ...this.sidecars];
    for (const { child } of vms) await child?.[Symbol.asyncDispose]();
    for (const worker of this.workers) await worker[Symbol.asyncDispose]();
    await this.store[Symbol.asyncDispose]();
    this.network.server.close();
    await rm(this.folder, { recursive: true, force: true });
  }
}

/** Waits until an entry answers the readiness probe of the platform. */
export async function waitUntilReady({ name, host }) {
  const until = performance.now() + START_MILLISECONDS;
  while (!(await isReady(host))) {
    if (performance.now() > until) throw new Error(`${name} is not ready`);
    await pause(50);
  }
}

async function isReady(host) {
  return await new Promise((resolve) => {
    const call = request({
      host,
      port: READY_PORT,
      path: "/readyz",
      agent: false,
    });
    call.on("response", (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    call.on("error", () => resolve(false));
    call.end();
  });
}

/** Returns a best-effort job of one step whose tasks run for the given time. */
export function bestEffortJob(count, runMilliseconds) {
  return {
    spec: JSON.stringify({ runMilliseconds, cpu: 3_100 }),
    bestEffort: true,
    phases: [{
      count,
      cpu: 3_100,
      memMb: 64,
      estimateMs: runMilliseconds,
    }],
  };
}

/** Runs a case; its function returns whether the rule held. Exits with 0, 1 or 2. */
export async function runCase(folder, { entries, workers, play }) {
  const record = new Record();
  let deployment;
  let code = 2;
  const limit = setTimeout(() => {
    record.add("the script took too long");
    void record.write(folder).then(() => process.exit(2));
  }, 110_000);
  try {
    deployment = await Deployment.start({
      entries,
      workers,
      record,
      logFile: process.env.LOG_FILE,
    });
    record.add("every entry is ready");
    await pause(2_000);
    const isTrouble = process.env.TROUBLE !== "0";
    const holds = await play(deployment, record, isTrouble);
    code = holds ? 0 : 1;
    record.add(holds ? "the rule held" : "THE RULE IS BROKEN");
  } catch (error) {
    record.add(`the case could not run: ${String(error?.stack ?? error)}`);
  } finally {
    clearTimeout(limit);
    await deployment?.stop();
    await record.write(folder);
  }
  process.exit(code);
}
