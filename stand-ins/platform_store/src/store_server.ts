/**
 * The stand-in store by HTTP: keyed topics with one partition, and an outage on demand.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  LoopbackServer,
  readBytes,
  writeJson,
} from "@eelgrassfront/stand-in-loopback-server";
import { KeyedTopic } from "./keyed_topic.ts";

/** What the store does with calls. */
export enum StoreCondition {
  Serving = "serving",
  /** It answers that nothing was done. */
  Busy = "busy",
  /** It answers nothing. */
  Silent = "silent",
  /** It carries appends out and answers nothing. */
  LosingAnswers = "losing-answers",
}

/** A store that can be reached by HTTP. */
export class StoreServer extends LoopbackServer {
  /** What the store does with calls from now on. */
  condition: StoreCondition = StoreCondition.Serving;
  readonly #topics = new Map<string, KeyedTopic>();

  /** Listens on loopback. */
  static async listen(port = 0): Promise<StoreServer> {
    const server = new StoreServer();
    await server.open(port);
    return server;
  }

  /** A topic, which is created on first use. */
  topic(name: string): KeyedTopic {
    const topic = this.#topics.get(name) ?? new KeyedTopic();
    this.#topics.set(name, topic);
    return topic;
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.condition === StoreCondition.Silent) return;
    if (this.condition === StoreCondition.Busy) {
      writeJson(response, 503, {});
      return;
    }
    const url = new URL(request.url ?? "/", "http://store");
    const topic = this.topic(url.searchParams.get("topic") ?? "");
    switch (`${request.method} ${url.pathname}`) {
      case "GET /log-newest":
        this.#tellNewest(topic, response);
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

  #tellNewest(topic: KeyedTopic, response: ServerResponse): void {
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
    if (this.condition === StoreCondition.LosingAnswers) return;
    writeJson(response, 200, { offset, endOffset: topic.endOffset });
  }
}
