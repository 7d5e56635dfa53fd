/**
 * A whole system on loopback as separate processes: the log stand-in, entries and sidecars in several
 * availability zones, and a backend server stand-in for each sidecar. Disposal ends every process.
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { type Configuration, LogRecordKind } from "@eelgrassfront/model";
import { request } from "undici";
import { Child } from "@eelgrassfront/stand-in-child-process";
import { LOCAL_CONFIGURATION } from "./local_configuration.ts";
import { entrySettings, sidecarSettings } from "./local_settings.ts";

/** Size and settings of a local system. */
export interface LocalSystemOptions {
  readonly entries: number;
  readonly sidecars: number;
  readonly slots: number;
  readonly configuration?: Configuration;
  /** Time that the log takes for a synced append, in milliseconds; 4 by default. */
  readonly appendMilliseconds?: number;
  /** Address that the processes send metrics to, as `host:port`. */
  readonly metricsReceiver?: string;
  /** Called with the name of a process and each line that it writes. */
  readonly onLine?: (name: string, line: string) => void;
}

/** One process of the system, with the address at which others reach it. */
export interface LocalProcess {
  readonly child: Child;
  readonly address: string;
}

/** A daemon of the system. The address of an entry is for callers, that of a sidecar for peers. */
export interface LocalDaemon extends LocalProcess {
  /** Address of the operators' interface. */
  readonly operatorsAddress: string;
}

const READY_MILLISECONDS = 30_000;
const READY_POLL_MILLISECONDS = 50;
const SHUTDOWN_MILLISECONDS = 5_000;
const AVAILABILITY_ZONES = 3;
const SEEDS = 2;

/** A system of separate processes on loopback. */
export class LocalSystem implements AsyncDisposable {
  readonly entries: LocalDaemon[] = [];
  readonly sidecars: LocalDaemon[] = [];
  readonly backendServers: LocalProcess[] = [];
  readonly #options: LocalSystemOptions;
  readonly #folder: string;
  #log: LocalProcess | undefined;

  private constructor(options: LocalSystemOptions, folder: string) {
    this.#options = options;
    this.#folder = folder;
  }

  /**
   * Starts a system and waits until every daemon is ready.
   *
   * @throws when a process does not become ready within 30 s
   */
  static async start(options: LocalSystemOptions): Promise<LocalSystem> {
    const folder = await mkdtemp(join(tmpdir(), "eelgrassfront-"));
    const system = new LocalSystem(options, folder);
    try {
      await system.#startAll();
      return system;
    } catch (error) {
      await system[Symbol.asyncDispose]();
      throw error;
    }
  }

  /**
   * The log stand-in.
   *
   * @throws when it has not been started
   */
  get log(): LocalProcess {
    if (this.#log === undefined) throw new Error("the log has not started");
    return this.#log;
  }

  /** Returns every process: entries, sidecars, backend servers, log. */
  allProcesses(): readonly LocalProcess[] {
    const log = this.#log === undefined ? [] : [this.#log];
    return [...this.entries, ...this.sidecars, ...this.backendServers, ...log];
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await stopAll(this.entries);
    await stopAll(this.sidecars);
    await stopAll(this.backendServers);
    if (this.#log !== undefined) await stopAll([this.#log]);
    await rm(this.#folder, { recursive: true, force: true });
  }

  /** Starts a sidecar and its backend server. */
  async startSidecar(index: number, ports: SidecarPorts): Promise<void> {
    const { slots } = this.#options;
    const name = `sidecar-${index}`;
    const origin = `http://127.0.0.1:${ports.backendServer}`;
    this.backendServers[index] = this.#startScript(
      `backend-server-${index}`,
      resolveScript("@eelgrassfront/stand-in-backend-server"),
      ["--port", String(ports.backendServer), "--slots", String(slots)],
      ports.backendServer,
    );
    const settings = sidecarSettings({
      name,
      availabilityZone: zoneOf(index),
      peers: ports.peers,
      operators: ports.operators,
      backendServerOrigin: origin,
      logOrigin: `http://${this.log.address}`,
      seeds: this.#seeds(),
      metricsReceiver: this.#options.metricsReceiver,
    });
    this.sidecars[index] = await this.#startDaemon(name, settings, {
      address: ports.peers,
      operators: ports.operators,
    });
  }

  async #startAll(): Promise<void> {
    const { entries, sidecars } = this.#options;
    const ports = await findFreePorts(1 + entries * 3 + sidecars * 3);
    const nextPort = () => ports.pop() ?? 0;
    await this.#startLog(nextPort());
    for (let index = 0; index < sidecars; index += 1) {
      await this.startSidecar(index, {
        peers: nextPort(),
        operators: nextPort(),
        backendServer: nextPort(),
      });
    }
    for (let index = 0; index < entries; index += 1) {
      await this.startEntry(index, {
        peers: nextPort(),
        operators: nextPort(),
        callers: nextPort(),
      });
    }
    await this.#waitUntilReady();
  }

  async #startLog(port: number): Promise<void> {
    const append = String(this.#options.appendMilliseconds ?? 4);
    this.#log = this.#startScript(
      "platform-log",
      resolveScript("@eelgrassfront/stand-in-platform-log"),
      ["--port", String(port), "--append", append],
      port,
    );
    await waitFor(() => respondsWithOk(`http://127.0.0.1:${port}/statistics`));
    await this.#publishFirstConfiguration();
  }

  async #publishFirstConfiguration(): Promise<void> {
    const record = {
      kind: LogRecordKind.ConfigurationPublished,
      publication: "local-1",
      replaces: 0,
      publishedBy: "local system",
      configuration: this.#options.configuration ?? LOCAL_CONFIGURATION,
    };
    const response = await request(`http://${this.log.address}/records`, {
      method: "POST",
      body: JSON.stringify(record),
    });
    await response.body.dump();
  }

  /** Starts an entry. */
  async startEntry(index: number, ports: EntryPorts): Promise<void> {
    const name = `entry-${index}`;
    const settings = entrySettings({
      name,
      availabilityZone: zoneOf(index),
      ...ports,
      logOrigin: `http://${this.log.address}`,
      seeds: this.#seeds(),
      metricsReceiver: this.#options.metricsReceiver,
    });
    this.entries[index] = await this.#startDaemon(name, settings, {
      address: ports.callers,
      operators: ports.operators,
    });
  }

  #seeds(): readonly string[] {
    return this.sidecars.slice(0, SEEDS).map(({ address }) => address);
  }

  async #startDaemon(
    name: string,
    settings: string,
    ports: { readonly address: number; readonly operators: number },
  ): Promise<LocalDaemon> {
    const file = join(this.#folder, `${name}.ini`);
    await writeFile(file, settings);
    const script = resolveScript(`@eelgrassfront/daemon`);
    const args = ["--settings", file];
    const started = this.#startScript(name, script, args, ports.address);
    return { ...started, operatorsAddress: `127.0.0.1:${ports.operators}` };
  }

  #startScript(
    name: string,
    script: string,
    args: readonly string[],
    port: number,
  ): LocalProcess {
    const { onLine } = this.#options;
    const child = new Child(
      onLine === undefined
        ? { name, script, args }
        : { name, script, args, onLine },
    );
    return { child, address: `127.0.0.1:${port}` };
  }

  async #waitUntilReady(): Promise<void> {
    for (const { operatorsAddress } of [...this.sidecars, ...this.entries]) {
      await waitFor(() => respondsWithOk(`http://${operatorsAddress}/ready`));
    }
  }
}

/** Ports of an entry. */
export interface EntryPorts {
  readonly peers: number;
  readonly operators: number;
  readonly callers: number;
}

/** Ports of a sidecar and its backend server. */
export interface SidecarPorts {
  readonly peers: number;
  readonly operators: number;
  readonly backendServer: number;
}

/** Finds free loopback ports. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => listenOnFreePort()),
  );
  const ports = servers.map((server) => {
    const bound = server.address();
    return typeof bound === "object" && bound !== null ? bound.port : 0;
  });
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/**
 * Polls a condition until it holds.
 *
 * @throws when it does not hold within the limit
 */
export async function waitFor(
  condition: () => Promise<boolean>,
  limitMilliseconds = READY_MILLISECONDS,
): Promise<void> {
  const limit = performance.now() + limitMilliseconds;
  while (!(await condition())) {
    if (performance.now() > limit) {
      throw new Error(
        `the condition did not hold within ${limitMilliseconds} ms`,
      );
    }
    await pause(READY_POLL_MILLISECONDS);
  }
}

/** Resolves after a time. */
export function pause(milliseconds: number): Promise<void> {
  return setTimeout(milliseconds);
}

async function respondsWithOk(url: string): Promise<boolean> {
  try {
    const response = await request(url);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}

function listenOnFreePort(): Promise<ReturnType<typeof createServer>> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

function resolveScript(packageName: string): string {
  return fileURLToPath(new URL("main.js", import.meta.resolve(packageName)));
}

function zoneOf(index: number): string {
  return `zone-${index % AVAILABILITY_ZONES + 1}`;
}

/** Sends `SIGTERM` to processes and kills those that have not exited after 5 s. */
async function stopAll(processes: readonly LocalProcess[]): Promise<void> {
  const children = processes.map(({ child }) => child);
  for (const child of children) child.signal("SIGTERM");
  const limit = new AbortController();
  await Promise.race([
    Promise.all(children.map((child) => child.exited)),
    setTimeout(SHUTDOWN_MILLISECONDS, undefined, { signal: limit.signal })
      .catch(() => undefined),
  ]);
  limit.abort();
  await Promise.all(children.map((child) => child[Symbol.asyncDispose]()));
}
