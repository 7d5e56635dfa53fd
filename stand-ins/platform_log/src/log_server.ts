/**
 * HTTP of the stand-in log: `GET /records`, `POST /records`, and `POST /control` for its faults.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { z } from "zod";
import { LogStore, type LogStoreOptions } from "./log_store.ts";

const MAXIMUM_WAIT_MILLISECONDS = 30_000;

const controlSchema = z.strictObject({
  appendMilliseconds: z.number().nonnegative().optional(),
  retainedRecords: z.number().int().positive().optional(),
  /** Refuse everything until told otherwise. */
  isAway: z.boolean().optional(),
  /** Answers to appends that are lost after the append took effect. */
  loseAnswers: z.number().int().nonnegative().optional(),
});

/** A log that can be reached by HTTP. */
export class LogServer implements AsyncDisposable {
  readonly #server: Server;
  readonly #store: LogStore;
  #isAway = false;
  #answersToLose = 0;

  private constructor(options: LogStoreOptions) {
    this.#store = new LogStore(options);
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
  }

  /** Listens on loopback. */
  static async listen(
    port: number,
    options: LogStoreOptions,
  ): Promise<LogServer> {
    const server = new LogServer(options);
    await new Promise<void>((resolve, reject) => {
      server.#server.once("error", reject);
      server.#server.listen(port, "127.0.0.1", resolve);
    });
    return server;
  }

  /** Port that the log listens on. */
  get port(): number {
    const bound = this.#server.address();
    return typeof bound === "object" && bound !== null ? bound.port : 0;
  }

  /** Number of appends so far. */
  get appends(): number {
    return this.#store.appends;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { pathname, searchParams } = new URL(
      request.url ?? "/",
      "http://log",
    );
    if (this.#isAway && pathname !== "/control") {
      response.destroy();
      return;
    }
    switch (`${request.method} ${pathname}`) {
      case "GET /records":
        await this.#read(searchParams, response);
        return;
      case "POST /records":
        await this.#append(request, response);
        return;
      case "POST /control":
        await this.#control(request, response);
        return;
      case "GET /statistics":
        write(response, 200, { appends: this.#store.appends });
        return;
      default:
        write(response, 404, { error: "no such path" });
    }
  }

  async #read(
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const wait = Math.min(
      Number(query.get("waitMilliseconds") ?? 0),
      MAXIMUM_WAIT_MILLISECONDS,
    );
    const result = await this.#store.read(Number(query.get("from") ?? 1), wait);
    if (this.#isAway) response.destroy();
    else write(response, 200, result);
  }

  async #append(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const offset = await this.#store.append(await readJson(request));
    if (this.#answersToLose > 0) {
      this.#answersToLose -= 1;
      response.destroy();
      return;
    }
    write(response, 200, { offset });
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = controlSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      write(response, 400, { error: parsed.error.message });
      return;
    }
    const { isAway, loseAnswers, appendMilliseconds, retainedRecords } =
      parsed.data;
    this.#isAway = isAway ?? this.#isAway;
    this.#answersToLose = loseAnswers ?? this.#answersToLose;
    this.#store.change({
      ...(appendMilliseconds === undefined ? {} : { appendMilliseconds }),
      ...(retainedRecords === undefined ? {} : { retainedRecords }),
    });
    write(response, 200, {});
  }
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function write(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
