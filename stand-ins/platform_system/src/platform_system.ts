/**
 * Small deployment of the users' platform on loopback: processes of the bundled daemon, each on its own
 * loopback address, and stand-ins for the store and the workers in the process of the test.
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type KeyedTopic,
  StoreServer,
} from "@eelgrassfront/stand-in-platform-store";
import {
  PlatformWorker,
  type RunObserver,
} from "@eelgrassfront/stand-in-platform-worker";
import { request } from "undici";
import { Child } from "@eelgrassfront/stand-in-child-process";
import { LoopbackNetwork } from "./loopback_network.ts";
import { RunRecorder } from "./run_recorder.ts";

/** Size and addresses of a deployment. */
export interface PlatformSystemOptions {
  readonly entries: number;
  readonly workers: number;
  readonly workerMillicores?: number;
  readonly nodeArguments?: readonly string[];
  /** Further fields of every VM's settings file. */
  readonly settings?: object;
  readonly onLine?: (name: string, line: string) => void;
}

const BUNDLE = fileURLToPath(
  new URL("../../../target/eelgrassfront.mjs", import.meta.url),
);
/** Port on which entries serve clients. */
export const CLIENT_PORT = 8_161;
/** Port on which entries answer the readiness probe. */
export const READY_PORT = 8_167;
const CONTROL_PORT = 8_166;
const FIRST_PEER_PORT = 7_720;
const LAST_PEER_PORT = 7_735;
const REPORT_MILLISECONDS = 300;
const MAXIMUM_HOLD_MILLISECONDS = 1_000;
const GRACE_SECONDS = 6;
const READY_POLL_MILLISECONDS = 20;
const SERVICE = "checks";
const HOST = "checks.example";
const PREFIX = "/scan/";

const DEADLINE_MILLISECONDS = "5000";

/** A client's request. */
export interface ClientCall {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** Status and decoded body of a client's response. */
export interface ClientResponse {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfter?: string;
}

/** A VM and the daemon process on it. */
export interface SystemVm {
  readonly name: string;
  readonly host: string;
  readonly role: "entry" | "sidecar";
  child: Child;
}

/** A running deployment. */
export class PlatformSystem implements AsyncDisposable {
  readonly recorder: RunRecorder;
  readonly store: StoreServer;
  readonly entries: SystemVm[] = [];
  readonly sidecars: SystemVm[] = [];
  readonly workers: PlatformWorker[] = [];
  readonly #options: PlatformSystemOptions;
  readonly #network: LoopbackNetwork;
  readonly #folder: string;
  #version = 0;

  private constructor(
    options: PlatformSystemOptions,
    network: LoopbackNetwork,
    store: StoreServer,
    folder: string,
  ) {
    this.#options = options;
    this.#network = network;
    this.store = store;
    this.#folder = folder;
    this.recorder = new RunRecorder();
  }

  /** Starts a deployment and waits until every entry is ready. */
  static async start(options: PlatformSystemOptions): Promise<PlatformSystem> {
    const network = await LoopbackNetwork.reserve();
    const store = await StoreServer.listen();
    const folder = await mkdtemp(join(tmpdir(), "eelgrassfront-"));
    const system = new PlatformSystem(options, network, store, folder);
    system.publish();
    for (let index = 0; index < options.workers; index += 1) {
      await system.addWorker();
    }
    for (let index = 0; index < options.entries; index += 1) {
      system.entries.push(await system.#startVm("entry", index));
    }
    await Promise.all(
      system.entries.map((entry) => system.waitUntilReady(entry)),
    );
    return system;
  }

  /** Publishes a new version of the configuration, with the default route and one for each further prefix. */
  publish(furtherPrefixes: readonly string[] = []): number {
    this.#version += 3;
    const routes = [PREFIX, ...furtherPrefixes].map((pathPrefix) => ({
      name: `route${pathPrefix}`,
      host: HOST,
      pathPrefix,
      kind: "non_idempotent",
      timeoutMs: 1_500,
      targetLatencyMs: 60,
      priority: 0,
      service: SERVICE,
      maxAttempts: 3,
      slackFactor: 1.6,
    }));
    const configuration = { version: this.#version, routes, services: [] };
    this.#operators().append(
      "config",
      Buffer.from(JSON.stringify(configuration)),
    );
    return this.#version;
  }

  /** Starts a sidecar and its worker. */
  async addWorker(): Promise<void> {
    const index = this.sidecars.length;
    const vm = await this.#startVm("sidecar", index);
    this.sidecars.push(vm);
    this.workers.push(await this.#startWorker(vm, index, 0));
  }

  /** Crashes the worker beside a sidecar and starts its next incarnation. */
  async replaceWorker(index: number, incarnation: number): Promise<void> {
    const vm = this.sidecars[index];
    if (vm === undefined) return;
    await this.workers[index]?.[Symbol.asyncDispose]();
    this.workers[index] = await this.#startWorker(vm, index, incarnation);
  }

  /** Starts a new process on a VM whose process has ended. */
  restart(vm: SystemVm): void {
    vm.child = this.#startChild(vm.role, vm.name);
  }

  /** Polls the readiness probe of an entry until it succeeds. */
  async waitUntilReady({ host }: SystemVm): Promise<void> {
    for (;;) {
      if (await isReady(host)) return;
      await new Promise((resolve) =>
        setTimeout(resolve, READY_POLL_MILLISECONDS)
      );
    }
  }

  /** Submits a job to an entry. */
  submit(
    entry: SystemVm,
    id: string,
    job: object,
    signal?: AbortSignal,
  ): Promise<ClientResponse> {
    return this.call(entry, {
      method: "POST",
      path: `${PREFIX}${id}`,
      body: JSON.stringify(job),
      ...(signal === undefined ? {} : { signal }),
    });
  }

  /**
   * Sends a client's request to an entry.
   *
   * @throws when the connection fails
   */
  async call(
    { host }: SystemVm,
    { method, path, body, signal }: ClientCall,
  ): Promise<ClientResponse> {
    const response = await request(`http://${host}:${CLIENT_PORT}${path}`, {
      method,
      headers: {
        host: HOST,
        "content-type": "application/json",
        "deadline-ms": DEADLINE_MILLISECONDS,
      },
      ...(body === undefined ? {} : { body }),
      ...(signal === undefined ? {} : { signal }),
    });
    const text = await response.body.text();
    const retryAfter = response.headers["retry-after"];
    return {
      status: response.statusCode,
      body: text === "" ? {} : JSON.parse(text),
      ...(typeof retryAfter === "string" ? { retryAfter } : {}),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const vms = [...this.entries, ...this.sidecars];
    await Promise.all(vms.map(({ child }) => child[Symbol.asyncDispose]()));
    for (const worker of this.workers) await worker[Symbol.asyncDispose]();
    await this.store[Symbol.asyncDispose]();
    await this.#network[Symbol.asyncDispose]();
    await rm(this.#folder, { recursive: true });
  }

  #operators(): KeyedTopic {
    return this.store.topic("keyed.op");
  }

  async #startVm(
    role: "entry" | "sidecar",
    index: number,
  ): Promise<SystemVm> {
    const name = `${role}-${index + 1}`;
    const offset = role === "entry" ? 1 : 100;
    const host = this.#network.address(offset + index);
    await writeFile(
      join(this.#folder, name),
      JSON.stringify(this.#settingsOf(role, name, host)),
    );
    return { name, host, role, child: this.#startChild(role, name) };
  }

  #startChild(role: "entry" | "sidecar", name: string): Child {
    const { nodeArguments, onLine } = this.#options;
    return new Child({
      name,
      script: BUNDLE,
      args: [role],
      environment: { EELGRASSFRONT_CONFIG: join(this.#folder, name) },
      ...(nodeArguments === undefined ? {} : { nodeArguments }),
      ...(onLine === undefined ? {} : { onLine }),
    });
  }

  #settingsOf(role: "entry" | "sidecar", name: string, host: string): object {
    const listen = role === "entry"
      ? {
        frontend: `${host}:${CLIENT_PORT}`,
        ready: `${host}:${READY_PORT}`,
        control: `${host}:${CONTROL_PORT}`,
      }
      : { control: `${host}:${CONTROL_PORT}` };
    return {
      nodeName: name,
      ip: host,
      zone: "zone-a",
      listen,
      portRange: [FIRST_PEER_PORT, LAST_PEER_PORT],
      serves: role === "entry" ? ["frontend", "control_plane"] : ["side"],
      seeds: [`${this.#network.address(1)}:${CONTROL_PORT}`],
      bounds: { maxHoldMs: MAXIMUM_HOLD_MILLISECONDS, graceS: GRACE_SECONDS },
      platform: { address: `127.0.0.1:${this.store.port}` },
      ...this.#options.settings,
    };
  }

  async #startWorker(
    vm: SystemVm,
    index: number,
    incarnation: number,
  ): Promise<PlatformWorker> {
    const worker = `i-${index + 1}-${incarnation}`;
    const capacity = this.#options.workerMillicores ?? 8_000;
    const observer: RunObserver = this.recorder.observerOf(worker);
    return await PlatformWorker.listen({
      id: worker,
      service: SERVICE,
      zone: "zone-a",
      reportAddress: `${vm.host}:${CONTROL_PORT}`,
      capacity: { cpu: capacity, memMb: 100_000 },
      reportMilliseconds: REPORT_MILLISECONDS,
      observer,
    });
  }
}

async function isReady(host: string): Promise<boolean> {
  try {
    const response = await fetch(`http://${host}:${READY_PORT}/readyz`);
    await response.arrayBuffer();
    return response.ok;
  } catch {
    // The process is not listening yet.
    return false;
  }
}
