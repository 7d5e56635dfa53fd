/**
 * Small deployment on loopback: the programs of the deploy file as separate processes, each machine on an address of
 * its own, and stand-ins for the store and the workers in this process.
 */
import { spawn } from "node:child_process";
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Balancer } from "./balancer.mjs";
import { Client } from "./client.mjs";
import { Recorder } from "./recorder.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const BUNDLE = join(ROOT, "target", "eelgrassfront.mjs");
const PORTS = { frontend: 8_161, ready: 8_167, control: 8_166, app: 8_165 };
const STORE_PORT = 8_169;
const PEER_PORTS = [7_720, 7_735];
const RESERVATION_PORT = 8_159;
const LAST_NETWORK = 250;
const READY_MILLISECONDS = 20_000;

/** Each entry is in the next zone; the sidecars are in the first one. */
const ZONES = ["zone-a", "zone-b", "zone-c"];

export const SERVICE = "checks7a";
export const HOST = "dossier.example";
export const PREFIX = "/scan41/";

/** Bounds of the small site that the cases use. */
const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 6,
  configApplyMs: 2_000,
  maxHoldMs: 1_000,
  stopTimeoutMs: 50,
  cancel_ms: 3_000,
  leaseMs: 3_000,
  retransmitMs: 1_300,
};

/** A running deployment. */
export class Deployment {
  recorder = new Recorder();
  entries = [];
  sidecars = [];
  workers = [];
  store = new Store();
  #options;
  #network;
  #reservation;
  #folder;
  #commands = readCommands();
  #logs = [];
  #balancer;

  /** Options: `entries`, `sidecars`, and `worker`, a function from an index to options of its worker. */
  constructor(options) {
    this.#options = options;
  }

  /** Starts everything and waits until every entry is ready. */
  async start() {
    if (!existsSync(BUNDLE)) throw new Error("the deploy file was not built");
    [this.#network, this.#reservation] = await reserveNetwork();
    this.#folder = mkdtempSync(join(tmpdir(), "review-"));
    await this.store.listen(this.address(250), STORE_PORT);
    this.store.publish(configuration());
    for (let index = 0; index < this.#options.entries; index += 1) {
      this.entries.push(this.#startMachine("entry", index));
    }
    for (let index = 0; index < this.#options.sidecars; index += 1) {
      this.sidecars.push(this.#startMachine("sidecar", index));
    }
    await Promise.all(this.sidecars.map((machine) => this.#reachable(machine)));
    for (const index of this.sidecars.keys()) {
      this.workers.push(await this.startWorker(index, `i-${index + 1}`));
    }
    await Promise.all(this.entries.map((machine) => this.untilReady(machine)));
    this.#balancer = new Balancer(this.entries, PORTS.ready);
    // The entries open sessions with all sidecars meanwhile.
    await pause(2_500);
  }

  /** Address of a host of the deployment's network, by its number. */
  address(host) {
    return `127.${this.#network}.0.${host}`;
  }

  /** Where a sidecar receives reports. */
  reportTarget(index) {
    const { host } = this.sidecars[index];
    return { reportHost: host, reportPort: PORTS.control };
  }

  /** Starts a worker beside a sidecar. */
  async startWorker(index, id, options = this.#options.worker?.(index)) {
    const worker = new Worker({
      id,
      service: SERVICE,
      zone: ZONES[0],
      host: this.sidecars[index].host,
      port: PORTS.app,
      capacity: { cpu: 32_000, memMb: 131_072, gpu: 0 },
      labels: ["a", `r1-${1 + Math.floor(index / 3)}`],
      recorder: this.recorder,
      ...this.reportTarget(index),
      ...options,
    });
    await worker.start();
    return worker;
  }

  /** Returns a client of all entries. */
  client() {
    return new Client({
      entries: this.entries.map(({ host }) => ({ host, port: PORTS.frontend })),
      balancer: this.#balancer,
      host: HOST,
      prefix: PREFIX,
      recorder: this.recorder,
    });
  }

  /** Starts the process of a machine again. */
  restart(machine) {
    machine.child = this.#spawn(machine);
  }

  /** Resolves when the entry reports that it is ready. */
  async untilReady({ host }) {
    await until(() => isOk(`http://${host}:${PORTS.ready}/readyz`));
  }

  /** Ends every process and server. */
  async stop() {
    await Promise.all(
      [...this.entries, ...this.sidecars].map(({ child }) => end(child)),
    );
    this.#balancer?.close();
    for (const worker of this.workers) worker.crash();
    this.store.close();
    this.#reservation?.close();
    if (this.#folder) rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Lines that the processes wrote, with the name of the machine. */
  get logs() {
    return this.#logs;
  }

  #startMachine(role, index) {
    const name = `${role}-${index + 1}`;
    const host = this.address((role === "entry" ? 10 : 100) + index);
    const path = join(this.#folder, `${name}.json`);
    writeFileSync(path, JSON.stringify(this.#settings(role, index, host)));
    const machine = { role, name, host, path };
    machine.child = this.#spawn(machine);
    return machine;
  }

  #settings(role, index, ip) {
    const isEntry = role === "entry";
    return {
      nodeName: `${role}-${index + 1}`,
      role,
      machineClass: isEntry ? "frontend" : "side",
      serves: isEntry ? ["frontend", "control_plane"] : ["side"],
      ip,
      zone: isEntry ? ZONES[index % ZONES.length] : ZONES[0],
      region: "region-a",
      zones: Object.fromEntries(ZONES.map((zone) => [zone, "region-a"])),
      listen: {
        ...(isEntry
          ? {
            frontend: `${ip}:${PORTS.frontend}`,
            ready: `${ip}:${PORTS.ready}`,
          }
          : {}),
        control: `${ip}:${PORTS.control}`,
      },
      portRange: PEER_PORTS,
      seeds: [`${this.address(10)}:${PORTS.control}`],
      bootstrap: true,
      heartbeatMs: 1_500,
      bounds: BOUNDS,
      commands: "request",
      ...(isEntry ? {} : { app: `${ip}:${PORTS.app}`, service: SERVICE }),
      platform: { address: `${this.address(250)}:${STORE_PORT}`, form: "log" },
    };
  }

  #spawn({ role, name, path }) {
    const [program, ...args] = this.#commands[role];
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, EELGRASSFRONT_CONFIG: path },
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk) => this.#logs.push(`${name} ${chunk}`.trim()));
    }
    child.on(
      "exit",
      (code, signal) =>
        this.recorder.line(`${name} has ended: ${signal ?? `exit ${code}`}`),
    );
    return child;
  }

  async #reachable({ host }) {
    await until(() => isAnswered(`http://${host}:${PORTS.control}/`));
  }
}

/** The commands of the deploy file by role. */
function readCommands() {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const commands = {};
  for (const role of ["entry", "sidecar"]) {
    const section = text.split(`[roles.${role}]`)[1];
    commands[role] = /^run = "([^"]+)"$/m.exec(section)[1].split(" ");
  }
  return commands;
}

function configuration() {
  return {
    version: 7,
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
    services: [{
      name: SERVICE,
      healthPath: "/healthz",
      maxConns: 64,
      protocol: "h1",
      tls: false,
      preconditions: false,
      standby: false,
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Reserves the first range of loopback addresses that no other deployment uses. */
async function reserveNetwork() {
  for (let network = 20; network <= LAST_NETWORK; network += 1) {
    const server = createServer();
    const isReserved = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(
        RESERVATION_PORT,
        `127.${network}.0.251`,
        () => resolve(true),
      );
    });
    if (isReserved) return [network, server];
  }
  throw new Error("every range of loopback addresses is in use");
}

async function end(child) {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = new Promise((resolve) => child.once("exit", resolve));
  child.kill("SIGCONT");
  child.kill("SIGKILL");
  await exited;
}

async function until(isTrue) {
  const limit = performance.now() + READY_MILLISECONDS;
  while (!(await isTrue())) {
    if (performance.now() > limit) throw new Error("a process is not ready");
    await pause(30);
  }
}

function isOk(url) {
  return statusOf(url).then((status) => status === 200);
}

function isAnswered(url) {
  return statusOf(url).then((status) => status !== undefined);
}

function statusOf(url) {
  return new Promise((resolve) => {
    const request = get(url, { agent: false, timeout: 1_000 }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(undefined));
  });
}

/** Waits. */
export function pause(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
