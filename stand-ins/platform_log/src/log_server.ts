/**
 * HTTP server that stands in for the platform's log: `GET /records`, `POST /records`, `GET /statistics`, and
 * `POST /control` to inject faults.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  LoopbackServer,
  readJson,
  writeJson,
} from "@eelgrassfront/stand-in-loopback-server";
import * as zod from "zod";
import { LogStore, type LogStoreOptions } from "./log_store.ts";

const MAXIMUM_WAIT_MILLISECONDS = 30_000;

const controlSchema = zod.strictObject({
  appendMilliseconds: zod.number().nonnegative().optional(),
  retainedRecords: zod.number().int().positive().optional(),
  /** Close the connection of every request except `/control` without an answer. */
  isAway: zod.boolean().optional(),
  /** Number of next appends that take effect but whose answer is lost. */
  loseAnswers: zod.number().int().nonnegative().optional(),
});

/** Serves a `LogStore` by HTTP. */
export class LogServer extends LoopbackServer {
  readonly #store: LogStore;
  #isAway = false;
  #answersToLose = 0;

  private constructor(options: LogStoreOptions) {
    super();
    this.#store = new LogStore(options);
  }

  /** Listens on loopback. */
  static async listen(
    port: number,
    options: LogStoreOptions,
  ): Promise<LogServer> {
    const server = new LogServer(options);
    await server.open(port);
    return server;
  }

  /** Number of appends since the start. */
  get appends(): number {
    return this.#store.appends;
  }

  protected override async serve(
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
        writeJson(response, 200, { appends: this.#store.appends });
        return;
      default:
        writeJson(response, 404, { error: "no such path" });
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
    else writeJson(response, 200, result);
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
    writeJson(response, 200, { offset });
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = controlSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      writeJson(response, 400, { error: parsed.error.message });
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
    writeJson(response, 200, {});
  }
}
