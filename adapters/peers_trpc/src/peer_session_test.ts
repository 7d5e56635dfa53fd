/**
 * Calls of one connection: a malformed call, one to an unknown procedure and one that is not accepted are errors
 * at their sender, do not reach the decisions, and do not affect the other calls of the same frame.
 */
import { once } from "node:events";
import { test } from "node:test";
import { expect } from "earl";
import { WebSocket, WebSocketServer } from "ws";
import { parseFrame } from "./frame_writer.ts";
import type { PeerEnvelope } from "./peer_router.ts";
import { PeerSession } from "./peer_session.ts";

const VALID = {
  from: "caller~1",
  to: "callee~1",
  request: 7,
  message: { kind: "known" },
};
const INVALID_CALLS: readonly (readonly [string, string, object])[] = [
  ["without a receiver", "deliver", { ...VALID, to: undefined }],
  ["with an odd sender", "deliver", { ...VALID, from: "caller" }],
  ["with an odd number", "deliver", { ...VALID, request: 1.5 }],
  ["without a message", "deliver", { ...VALID, message: undefined }],
  ["with an odd kind", "deliver", { ...VALID, message: { kind: 1 } }],
  ["not accepted", "deliver", { ...VALID, message: { kind: "other" } }],
  ["to an unknown procedure", "other", VALID],
  ["to an inherited name", "constructor", VALID],
];

for (const [name, path, input] of INVALID_CALLS) {
  test(`a call ${name} is an error at its sender and the next call is served`, async () => {
    const accepted: PeerEnvelope[] = [];
    const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
    await once(server, "listening");
    server.on("connection", (socket) =>
      new PeerSession(socket, {
        isRequest: ({ kind }) => kind === "known",
        accept: (envelope, reply) => {
          accepted.push(envelope);
          reply({ kind: "done" });
        },
      }));
    const client = new WebSocket(`ws://${addressOf(server)}`);
    await once(client, "open");
    const [first, second] = await exchange(client, [
      callOf(1, path, input),
      callOf(2, "deliver", VALID),
    ]);
    client.terminate();
    server.close();
    expect(Object.keys(first ?? {})).toEqual(["id", "error"]);
    const result = { type: "data", data: { kind: "done" } };
    expect(second as unknown).toEqual({ id: 2, result });
    expect(accepted as readonly object[]).toEqual([VALID]);
  });
}

function callOf(id: number, path: string, input: object): object {
  return { id, method: "mutation", params: { path, input } };
}

/** Sends calls in one frame; returns as many responses, by call. */
async function exchange(
  client: WebSocket,
  calls: readonly object[],
): Promise<readonly object[]> {
  const responses: { readonly id: number }[] = [];
  client.send(JSON.stringify(calls));
  while (responses.length < calls.length) {
    const [frame]: unknown[] = await once(client, "message");
    responses.push(...parseFrame(String(frame)) as { readonly id: number }[]);
  }
  return responses.sort((left, right) => left.id - right.id);
}

function addressOf(server: WebSocketServer): string {
  const bound = server.address();
  const port = typeof bound === "object" && bound !== null ? bound.port : 0;
  return `127.0.0.1:${port}`;
}
