/**
 * The bounded server with single clients on loopback. Guards against requests that are lost or reordered while their
 * connection is paused, and against refusals that are not reported.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import {
  Audience,
  defaultFrontLimits,
  type FrontLimitSettings,
} from "@eelgrassfront/front-limits";
import { ClientRejectionReason } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  BoundedHttpServer,
  type ClientRejection,
} from "./bounded_http_server.ts";

const HOST = "127.0.0.1";
const SMALLEST_VM = { memoryBytes: 220_200_960, descriptors: 2_212 };
const REQUESTS = 500;
/** The requests before the pause, and those of the slice in which it was decided. */
const MOST_IN_PROGRESS = 150;

test("pipelined requests above the pause are all served, in order", async () => {
  await using server = await TestServer.listen({ requestsBeforePause: 4 });
  const client = await server.connect();
  const requests = Array.from(
    { length: REQUESTS },
    (_, index) => `GET /${index} HTTP/1.1\r\nHost: a\r\n\r\n`,
  );
  const expected = Array.from({ length: REQUESTS }, (_, index) => `/${index}`);
  client.write(requests.join(""));
  const text = await readUntil(client, `=/${REQUESTS - 1}=`);
  expect([...text.matchAll(/=(\/\d+)=/g)].map(([, path]) => path)).toEqual(
    expected,
  );
  expect(server.mostInProgress).toBeLessThan(MOST_IN_PROGRESS);
  expect(server.rejections).toEqual([]);
  client.destroy();
});

test("a connection above the limit gets 503 and is reported", async () => {
  await using server = await TestServer.listen({ connections: 1 });
  const first = await server.connect();
  const second = await server.connect();
  const text = await readUntil(second, "\r\n\r\n");
  expect(text.startsWith("HTTP/1.1 503 ")).toEqual(true);
  expect(server.rejections.map(({ reason }) => reason)).toEqual([
    ClientRejectionReason.TooManyConnections,
  ]);
  first.destroy();
});

test("a request without a host header gets 400, one with too large a header 431", async () => {
  await using server = await TestServer.listen({});
  const first = await server.connect();
  first.write("GET / HTTP/1.1\r\n\r\n");
  expect((await readUntil(first, "\r\n\r\n")).slice(9, 12)).toEqual("400");
  const second = await server.connect();
  second.write(`GET / HTTP/1.1\r\nHost: a\r\nX: ${"x".repeat(20_000)}\r\n\r\n`);
  expect((await readUntil(second, "\r\n\r\n")).slice(9, 12)).toEqual("431");
  second.destroy();
});

/** A server that answers each request with its path. */
class TestServer implements AsyncDisposable {
  readonly rejections: ClientRejection[] = [];
  mostInProgress = 0;
  readonly #port: number;
  #inProgress = 0;
  #server: BoundedHttpServer | undefined;

  private constructor(port: number) {
    this.#port = port;
  }

  static async listen(
    settings: Partial<FrontLimitSettings>,
  ): Promise<TestServer> {
    const port = await freePort();
    const test = new TestServer(port);
    const defaults = defaultFrontLimits(SMALLEST_VM, Audience.Clients);
    test.#server = await BoundedHttpServer.listen({ host: HOST, port }, {
      name: "test",
      limits: { ...defaults, ...settings },
      serve: ({ url = "" }, response) => test.#serve(url, response),
      onRejected: (rejection) => test.rejections.push(rejection),
    });
    return test;
  }

  async connect(): Promise<Socket> {
    const socket = connect(this.#port, HOST);
    await once(socket, "connect");
    return socket;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#server?.[Symbol.asyncDispose]();
  }

  #serve(path: string, response: ServerResponse): void {
    this.#inProgress += 1;
    this.mostInProgress = Math.max(this.mostInProgress, this.#inProgress);
    setImmediate(() => {
      this.#inProgress -= 1;
      response.end(`=${path}=`);
    });
  }
}

async function readUntil(socket: Socket, end: string): Promise<string> {
  let text = "";
  for await (const chunk of socket.iterator({ destroyOnReturn: false })) {
    text += String(chunk);
    if (text.includes(end)) break;
  }
  return text;
}

async function freePort(): Promise<number> {
  const probe = createServer().listen(0, HOST);
  await once(probe, "listening");
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return port;
}
