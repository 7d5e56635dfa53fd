/**
 * Stand-in for the platform's store: keyed topics with one partition.
 */
import { createServer } from "node:http";
import { readBytes, sendJson } from "./http_messages.mjs";

/** Milliseconds of an answer. */
const ANSWER_MILLISECONDS = 4;

class KeyedTopic {
  newest = new Map();
  records = [];
  waiters = [];

  append(key, value) {
    const offset = this.records.length;
    const record = { key, value, offset };
    this.records.push(record);
    if (value.length === 0) this.newest.delete(key);
    else this.newest.set(key, record);
    for (const wake of this.waiters.splice(0)) wake();
    return offset;
  }
}

/** Serves keyed topics by HTTP. */
export class Store {
  #topics = new Map();
  #server = createServer((request, response) =>
    this.#serve(request, response).catch((error) => response.destroy(error))
  );

  /** Opens the server at an address. */
  async listen(host, port) {
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
  }

  /** Closes the server and its connections. */
  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes the operators' configuration. */
  publish(configuration) {
    const value = Buffer.from(JSON.stringify(configuration));
    this.#topic("keyed.op").append("config", value);
  }

  #topic(name) {
    if (!this.#topics.has(name)) this.#topics.set(name, new KeyedTopic());
    return this.#topics.get(name);
  }

  async #serve(request, response) {
    const url = new URL(request.url, "http://store");
    const topic = this.#topic(url.searchParams.get("topic"));
    const body = await readBytes(request);
    await pause(ANSWER_MILLISECONDS);
    switch (`${request.method} ${url.pathname}`) {
      case "GET /log-newest":
        sendNewest(topic, response);
        return;
      case "GET /log-read":
        await sendRecords(topic, url.searchParams, response);
        return;
      case "POST /log-append":
        sendJson(response, 200, {
          offset: appendAll(topic, body),
          endOffset: topic.records.length,
        });
        return;
      default:
        sendJson(response, 404, {});
    }
  }
}

function sendNewest(topic, response) {
  const items = [...topic.newest.values()].map(({ key, value, offset }) => ({
    key,
    value: value.toString("base64"),
    offset,
  }));
  const endOffset = topic.records.length;
  sendJson(response, 200, { items, hasMore: false, endOffset });
}

async function sendRecords(topic, parameters, response) {
  const from = Number(parameters.get("from"));
  const wait = Number(parameters.get("waitMs") ?? 0);
  if (topic.records.length <= from && wait > 0) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, wait);
      topic.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(topic.records.length), 0);
  const records = topic.records.slice(from).map(({ key, value }) => {
    const prefix = Buffer.alloc(5);
    prefix.writeUInt32BE(1 + Buffer.byteLength(key) + value.length, 0);
    prefix.writeUInt8(Buffer.byteLength(key), 4);
    return Buffer.concat([prefix, Buffer.from(key), value]);
  });
  response.writeHead(200, { "content-type": "application/octet-stream" });
  response.end(Buffer.concat([head, ...records]));
}

function appendAll(topic, body) {
  const first = topic.records.length;
  let position = 0;
  while (position + 4 <= body.length) {
    const length = body.readUInt32BE(position);
    const content = body.subarray(position + 4, position + 4 + length);
    position += 4 + length;
    const key = content.subarray(1, 1 + content[0]).toString();
    topic.append(key, Buffer.from(content.subarray(1 + content[0])));
  }
  return first;
}

function pause(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
