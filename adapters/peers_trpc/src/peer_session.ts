/**
 * Connection that a peer has opened. Its calls go to the procedures of the router, and each result is
 * sent back as soon as the state machine has produced it, in any order.
 */
import { callTRPCProcedure, getTRPCErrorFromUnknown } from "@trpc/server";
import type { WebSocket } from "ws";
import { parseCall, type ReceivedCall } from "./frame_messages.ts";
import { FrameWriter, parseFrame } from "./frame_writer.ts";
import { type PeerContext, peerRouter } from "./peer_router.ts";

/** Serves the calls of one connection. */
export class PeerSession {
  readonly #writer: FrameWriter;
  readonly #context: PeerContext;
  readonly #ended = new AbortController();
  /** Sender and receiver in the latest call that contained them; later calls may leave them out. */
  #identifiers: object = {};

  constructor(socket: WebSocket, context: PeerContext) {
    this.#writer = new FrameWriter(socket);
    this.#context = context;
    socket.on("message", (data) => this.#receive(socket, String(data)));
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#ended.abort());
  }

  #receive(socket: WebSocket, frame: string): void {
    try {
      for (const message of parseFrame(frame)) {
        const call = parseCall(message);
        const { from, to } = call.input;
        if (from !== undefined && to !== undefined) {
          this.#identifiers = { from, to };
        }
        void this.#serve(call, { ...this.#identifiers, ...call.input });
      }
    } catch {
      // Disconnects a peer that violates the protocol. Its calls are lost; it may connect again.
      socket.terminate();
    }
  }

  async #serve({ id, path }: ReceivedCall, input: object): Promise<void> {
    try {
      const data: unknown = await callTRPCProcedure({
        router: peerRouter,
        path,
        getRawInput: () => Promise.resolve(input),
        ctx: this.#context,
        type: "mutation",
        signal: this.#ended.signal,
        batchIndex: 0,
      });
      this.#writer.write({ id, result: { type: "data", data } });
    } catch (error) {
      const { message } = getTRPCErrorFromUnknown(error);
      this.#writer.write({ id, error: { message } });
    }
  }
}
