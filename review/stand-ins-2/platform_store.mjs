/**
 * Stand-in for the platform's metadata store: the log with keyed topics, as far as the system under test uses it.
 */
import { createServer } from "node:http";
import { listen, readBody, writeJson } from "./http_messages.mjs";

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const MAXIMUM_ITEMS = 500;
const MAXIMUM_WAIT_MILLISECONDS = 30_000;
/** Time that the store takes for an answer. */
const ANSWER_MILLISECONDS = 4;
/** Topics that only the operator and the servers write to. */
const READ_ONLY_TOPICS = new Set(["keyed.op", "keyed.servers"]);

class Topic {
  /** Contents of the records; their offsets are their positions. */
  records = [];
  /** Newest record of each key, with its offset. */
  newest = new Map();
  waiters = [];

  append(content) {
    const offset = this.records.length;
    this.records.push(content);
    const keyLength = content[0] ?? 0;
    const key = content.subarray(1, 1 + keyLength).toString();
    const value = content.subarray(1 + keyLength);
    if (value.length === 0) this.newest.delete(key);
    else this.newest.set(key, { key, value, offset });
    for (const wake of this.waiters.splice(0)) wake();
    return offset;
  }
}

/** Serves the log by HTTP. */
export class PlatformStore {
  #topics = new Map();
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  /** Listens on a free port. Returns the address. */
  async listen(host) {
    const port = await listen(this.#server, host, 0);
    return `${host}:${port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a record as the operator does; the return is the acknowledgement. */
  writeAsOperator(key, value) {
    const keyBytes = Buffer.from(key);
    const text = value === undefined ? "" : JSON.stringify(value);
    this.#topic("keyed.op").append(
      Buffer.concat([
        Buffer.from([keyBytes.length]),
        keyBytes,
        Buffer.from(text),
      ]),
    );
  }

  #topic(name) {
    const topic = this.#topics.get(name) ?? new Topic();
    this.#topics.set(name, topic);
    return topic;
  }

  async #serve(request, response) {
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const name = searchParams.get("topic") ?? "";
    const topic = this.#topic(name);
    const body = await readBody(request);
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MILLISECONDS));
    switch (`${request.method} ${pathname}`) {
      case "GET /log-newest":
        this.#sendNewest(topic, searchParams, response);
        return;
      case "GET /log-read":
        await this.#read(topic, searchParams, response);
        return;
      case "POST /log-append":
        if (READ_ONLY_TOPICS.has(name)) writeJson(response, 403, {});
        else this.#append(topic, body, response);
        return;
      default:
        writeJson(response, 404, {});
    }
  }

  #sendNewest(topic, parameters, response) {
    const after = parameters.get("dependsOn");
    const items = [...topic.newest.values()]
      .filter(({ key }) => after === null || key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    writeJson(response, 200, {
      items: items.slice(0, MAXIMUM_ITEMS).map(({ key, value, offset }) => ({
        key,
        value: value.toString("base64"),
        offset,
      })),
      hasMore: items.length > MAXIMUM_ITEMS,
      endOffset: topic.records.length,
    });
  }

  async #read(topic, parameters, response) {
    const from = Number(parameters.get("from"));
    const wait = Math.min(
      MAXIMUM_WAIT_MILLISECONDS,
      Number(parameters.get("waitMs") ?? 0),
    );
    if (topic.records.length <= from && wait > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, wait);
        topic.waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const records = topic.records.slice(from).flatMap((content) => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(content.length, 0);
      return [length, content];
    });
    response.writeHead(200, { "content-type": "application/octet-stream" });
    response.end(Buffer.concat([head, ...records]));
  }

  #append(topic, body, response) {
    const offset = topic.records.length;
    let position = 0;
    while (position + LENGTH_BYTES <= body.length) {
      const end = position + LENGTH_BYTES + body.readUInt32BE(position);
      topic.append(Buffer.from(body.subarray(position + LENGTH_BYTES, end)));
      position = end;
    }
    writeJson(response, 200, { offset, endOffset: topic.records.length });
  }
}
