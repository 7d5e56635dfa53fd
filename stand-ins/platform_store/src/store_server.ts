/**
 * HTTP server that stands in for the platform's store: keyed topics with one partition, and faults that a test
 * can inject.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  LoopbackServer,
  readBytes,
  writeJson,
} from "@eelgrassfront/stand-in-loopback-server";
import { KeyedTopic } from "./keyed_topic.ts";

/** How the store handles calls. */
export enum StoreMode {
  Serving = "serving",
  /** Refuses every call with status 503. */
  Busy = "busy",
  /** Leaves every call unanswered and does nothing. */
  Silent = "silent",
  /** Performs appends but leaves them unanswered. */
  LosingAnswers = "losing-answers",
}

/** Serves keyed topics by HTTP. */
export class StoreServer extends LoopbackServer {
  /** How the store handles calls from now on. */
  mode: StoreMode = StoreMode.Serving;
  readonly #topics = new Map<string, KeyedTopic>();

  /** Listens on loopback. */
  static async listen(port = 0): Promise<StoreServer> {
    const server = new StoreServer();
    await server.open(port);
    return server;
  }

  /** Returns a topic and creates it on first use. */
  topic(name: string): KeyedTopic {
    const topic = this.#topics.get(name) ?? new KeyedTopic();
    this.#topics.set(name, topic);
    return topic;
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.mode === StoreMode.Silent) return;
    if (this.mode === StoreMode.Busy) {
      writeJson(response, 503, {});
      return;
    }
    const url = new URL(request.url ?? "/", "http://store");
    const topic = this.topic(url.searchParams.get("topic") ?? "");
    switch (`${request.method} ${url.pathname}`) {
      case "GET /log-newest":
        this.#sendNewest(topic, response);
        return;
      case "GET /log-read":
        await this.#read(topic, url.searchParams, response);
        return;
      case "POST /log-append":
        await this.#append(topic, request, response);
        return;
      default:
        writeJson(response, 404, {});
    }
  }

  #sendNewest(topic: KeyedTopic, response: ServerResponse): void {
    writeJson(response, 200, {
      items: topic.newest.map(({ key, value, offset }) => ({
        key,
        value: value.toString("base64"),
        offset,
      })),
      hasMore: false,
      endOffset: topic.endOffset,
    });
  }

  async #read(
    topic: KeyedTopic,
    parameters: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const from = Number(parameters.get("from") ?? 0);
    await topic.waitFor(from, Number(parameters.get("waitMs") ?? 0));
    if (from < topic.firstOffset) {
      writeJson(response, 410, { firstOffset: topic.firstOffset });
      return;
    }
    response.writeHead(200, { "content-type": "application/octet-stream" });
    response.end(topic.encodeFrom(from));
  }

  async #append(
    topic: KeyedTopic,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const offset = topic.appendEncoded(await readBytes(request));
    if (this.mode === StoreMode.LosingAnswers) return;
    writeJson(response, 200, { offset, endOffset: topic.endOffset });
  }
}
