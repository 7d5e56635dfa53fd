/**
 * Calls between two processes on loopback: each reply reaches its own request, a process with another
 * key is rejected, and a call to a peer that stops responding is lost instead of waiting forever.
 */
import { once } from "node:events";
import { test } from "node:test";
import {
  InputKind,
  OutputKind,
  type PeerInput,
  type PeerReply,
  PeerReplyKind,
  type PeerRequest,
  PeerRequestKind,
  type ProcessIdentifier,
} from "@eelgrassfront/model";
import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { expect } from "earl";
import { WebSocketServer } from "ws";
import { TrpcPeers, type TrpcPeersOptions } from "./trpc_peers.ts";

const SILENCE_MILLISECONDS = 100;
const STALL_MILLISECONDS = 30;
const STALLS = 20;
const LONG_MILLISECONDS = 60_000;
const HEARTBEAT: PeerRequest = {
  kind: PeerRequestKind.Heartbeat,
  logOffset: 1,
  configurationOffset: 0,
};
const REQUEST_KINDS = new Set<string>(Object.values(PeerRequestKind));
const CALLER: ProcessIdentifier = "caller~1";
const CALLEE: ProcessIdentifier = "callee~1";

test("each reply reaches its own request, in any order", async () => {
  await using callee = await TestPeer.listen(CALLEE);
  await using caller = await TestPeer.listen(CALLER);
  for (const request of [1, 2, 3]) caller.call(callee.address, request);
  const arrived = await callee.receive(3);
  for (const input of [...arrived].reverse()) callee.reply(input);
  const replies = await caller.receive(3);
  const offsets = replies.map((input) => {
    expect(input.kind).toEqual(InputKind.PeerReplyArrived);
    const isReply = input.kind === InputKind.PeerReplyArrived &&
      input.message.kind === PeerReplyKind.HeartbeatAnswered;
    return isReply ? [input.request, input.message.logOffset] : [];
  });
  expect(offsets).toEqual([[3, 3], [2, 2], [1, 1]]);
});

test("a request for an earlier incarnation of a process is rejected", async () => {
  await using callee = await TestPeer.listen("callee~2");
  await using caller = await TestPeer.listen(CALLER);
  caller.call(callee.address, 1);
  const [input] = await caller.receive(1);
  expect(input).toEqual({
    kind: InputKind.PeerReplyArrived,
    from: CALLEE,
    request: 1,
    message: { kind: PeerReplyKind.IncarnationMismatch, current: "callee~2" },
  });
});

test("calls to two incarnations at one address reach only the one that each names", async () => {
  await using callee = await TestPeer.listen(CALLEE);
  await using caller = await TestPeer.listen(CALLER);
  const earlier: ProcessIdentifier = "callee~0";
  caller.call(callee.address, 1);
  caller.call(callee.address, 2, earlier);
  caller.call(callee.address, 3, earlier);
  caller.call(callee.address, 4);
  const arrived = await callee.receive(2);
  expect(arrived.map(({ request }: { request?: number }) => request))
    .toEqual([1, 4]);
  const replies = await caller.receive(2);
  const kinds = replies.map((input) =>
    input.kind === InputKind.PeerReplyArrived &&
    [input.request, input.from, input.message.kind]
  );
  const mismatch = PeerReplyKind.IncarnationMismatch;
  expect(kinds).toEqual([[2, earlier, mismatch], [3, earlier, mismatch]]);
});

test("a request in an unknown form is lost at its sender, and the next one is served", async () => {
  const rejected: string[] = [];
  let isFirst = true;
  await using callee = await TestPeer.listen(CALLEE, {
    isRequest: () => {
      const isAccepted = !isFirst;
      isFirst = false;
      return isAccepted;
    },
    onRejected: (detail) => rejected.push(detail),
  });
  await using caller = await TestPeer.listen(CALLER);
  caller.call(callee.address, 1);
  const [lost] = await caller.receive(1);
  expect(lost?.kind).toEqual(InputKind.PeerRequestLost);
  expect(rejected).toEqual(['request "heartbeat"']);
  caller.call(callee.address, 2);
  const [arrived] = await callee.receive(1);
  expect(arrived?.kind).toEqual(InputKind.PeerRequestArrived);
});

test("a reply in an unknown form is lost at the caller", async () => {
  await using callee = await TestPeer.listen(CALLEE);
  await using caller = await TestPeer.listen(CALLER, { isReply: () => false });
  caller.call(callee.address, 1);
  const [request] = await callee.receive(1);
  if (request !== undefined) callee.reply(request);
  const [input] = await caller.receive(1);
  expect(input?.kind).toEqual(InputKind.PeerRequestLost);
});

test("a process with another key is rejected", async () => {
  await using callee = await TestPeer.listen(CALLEE);
  await using caller = await TestPeer.listen(CALLER, { sharedKey: "other" });
  caller.call(callee.address, 1);
  const [input] = await caller.receive(1);
  expect(input?.kind).toEqual(InputKind.PeerRequestLost);
});

test("a call to a peer that stops responding is lost", async () => {
  const silent = new WebSocketServer({
    host: "127.0.0.1",
    port: 0,
    autoPong: false,
  });
  await once(silent, "listening");
  await using caller = await TestPeer.listen(CALLER, {
    silenceMilliseconds: SILENCE_MILLISECONDS,
  });
  caller.call(addressOf(silent), 1);
  const [input] = await caller.receive(1);
  expect(input?.kind).toEqual(InputKind.PeerRequestLost);
  silent.close();
});

test("a call to a live peer that replies late is not lost", async () => {
  await using callee = await TestPeer.listen(CALLEE);
  await using caller = await TestPeer.listen(CALLER, {
    silenceMilliseconds: SILENCE_MILLISECONDS,
  });
  caller.call(callee.address, 1);
  const [request] = await callee.receive(1);
  await new Promise((resolve) => setTimeout(resolve, 4 * SILENCE_MILLISECONDS));
  if (request !== undefined) callee.reply(request);
  const [input] = await caller.receive(1);
  expect(input?.kind).toEqual(InputKind.PeerReplyArrived);
});

const ODD_ADDRESSES = [
  "127.0.0.1:65536",
  "127.0.0.1:-1",
  "127.0.0.1:port",
  "no such host:1",
  "[::1:1",
  "127.0.0.1:1#x",
  "",
];

for (const address of ODD_ADDRESSES) {
  test(`a call to the odd address "${address}" is lost instead of ending the process`, async () => {
    await using caller = await TestPeer.listen(CALLER);
    caller.call(address, 1);
    const [input] = await caller.receive(1);
    expect(input?.kind).toEqual(InputKind.PeerRequestLost);
  });
}

const ODD_FRAMES: readonly [string, string | Buffer, PeerInput["kind"]][] = [
  ["text", "not JSON", InputKind.PeerRequestLost],
  ["empty", "", InputKind.PeerRequestLost],
  ["binary", Buffer.from([0xff, 0xfe, 0x00]), InputKind.PeerRequestLost],
  ["deeply nested", nested(100_000), InputKind.PeerReplyArrived],
];

for (const [name, frame, expected] of ODD_FRAMES) {
  test(`an odd frame from a peer (${name}) does not end the process`, async () => {
    const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
    await once(server, "listening");
    server.on("connection", (socket) => {
      socket.on("message", (call) => {
        socket.send(frame);
        socket.send(replyTo(String(call)));
      });
    });
    await using caller = await TestPeer.listen(CALLER);
    caller.call(addressOf(server), 1);
    const [input] = await caller.receive(1);
    expect(input?.kind).toEqual(expected);
    server.close();
  });
}

function nested(depth: number): string {
  return "[".repeat(depth) + "]".repeat(depth);
}

test("a connection that is not used for several checks serves the next call", async () => {
  const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
  await once(server, "listening");
  let connections = 0;
  server.on("connection", (socket) => {
    connections += 1;
    socket.on("message", (frame) => socket.send(replyTo(String(frame))));
  });
  await using caller = await TestPeer.listen(CALLER, {
    silenceMilliseconds: SILENCE_MILLISECONDS,
  });
  for (const request of [1, 2]) {
    caller.call(addressOf(server), request);
    await caller.receive(1);
    await new Promise((resolve) =>
      setTimeout(resolve, 2 * SILENCE_MILLISECONDS)
    );
  }
  server.close();
  expect(connections).toEqual(1);
});

/** Returns the frame with the reply to the call in a frame. */
function replyTo(frame: string): string {
  const { id } = JSON.parse(frame);
  const data = { kind: PeerReplyKind.HeartbeatAnswered };
  return JSON.stringify({ id, result: { type: "data", data } });
}

test("a stall of this process does not make a live peer appear silent", async () => {
  await using callee = await TestPeer.listen(CALLEE);
  await using caller = await TestPeer.listen(CALLER, {
    silenceMilliseconds: SILENCE_MILLISECONDS,
  });
  caller.call(callee.address, 1);
  const [request] = await callee.receive(1);
  for (let stall = 0; stall < STALLS; stall += 1) await stallOneTurn();
  if (request !== undefined) callee.reply(request);
  const [input] = await caller.receive(1);
  expect(input?.kind).toEqual(InputKind.PeerReplyArrived);
});

/** Blocks the event loop for longer than the time between two checks, so that nothing is read. */
async function stallOneTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  const end = performance.now() + STALL_MILLISECONDS;
  while (performance.now() < end);
}

interface TestPeerOptions extends
  Partial<
    Pick<TrpcPeersOptions, "isRequest" | "isReply" | "onRejected">
  > {
  readonly sharedKey?: string;
  readonly silenceMilliseconds?: number;
}

class TestPeer implements AsyncDisposable {
  readonly address: string;
  readonly #peers: TrpcPeers;
  #inputs: PeerInput[] = [];
  #onInput: () => void = () => {};

  private constructor(peers: TrpcPeers, address: string) {
    this.#peers = peers;
    this.address = address;
    const inputs = tap((input) => this.#store(input), peers.inputs);
    void runEffects(inputs, newDefaultScheduler());
  }

  static async listen(
    self: ProcessIdentifier,
    options: TestPeerOptions = {},
  ): Promise<TestPeer> {
    const port = await freePort();
    const peers = await TrpcPeers.listen({
      self,
      host: "127.0.0.1",
      port,
      sharedKey: "key",
      isRequest: ({ kind }) => REQUEST_KINDS.has(kind),
      silenceMilliseconds: LONG_MILLISECONDS,
      ...options,
    });
    const peer = new TestPeer(peers, `127.0.0.1:${port}`);
    await new Promise((resolve) => setImmediate(resolve));
    return peer;
  }

  call(
    address: string,
    request: number,
    peer: ProcessIdentifier = CALLEE,
  ): void {
    this.#peers.perform({
      kind: OutputKind.SendRequest,
      request,
      peer,
      address,
      message: HEARTBEAT,
    });
  }

  reply(input: PeerInput): void {
    if (input.kind !== InputKind.PeerRequestArrived) return;
    const message: PeerReply = {
      kind: PeerReplyKind.HeartbeatAnswered,
      logOffset: input.request,
      isLeaving: false,
      granted: [],
    };
    this.#peers.perform({
      kind: OutputKind.SendReply,
      to: input.from,
      request: input.request,
      message,
    });
  }

  async receive(count: number): Promise<readonly PeerInput[]> {
    while (this.#inputs.length < count) {
      await new Promise<void>((resolve) => this.#onInput = resolve);
    }
    return this.#inputs.splice(0, count);
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#peers[Symbol.asyncDispose]();
  }

  #store(input: PeerInput): void {
    this.#inputs.push(input);
    this.#onInput();
  }
}

async function freePort(): Promise<number> {
  const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
  await once(server, "listening");
  const port = Number(addressOf(server).split(":")[1]);
  server.close();
  await once(server, "close");
  return port;
}

function addressOf(server: WebSocketServer): string {
  const bound = server.address();
  const port = typeof bound === "object" && bound !== null ? bound.port : 0;
  return `127.0.0.1:${port}`;
}
