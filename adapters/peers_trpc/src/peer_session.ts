/**
 * Connection that a peer has opened. Its calls go to the procedures of the router, and each result is
 * sent back as soon as the state machine has produced it, in any order. The procedure that carries requests is
 * called directly, without tRPC's chain of middlewares and promises, which costs as much as the rest of a call.
 */
import { callTRPCProcedure, getTRPCErrorFromUnknown } from "@trpc/server";
import type { WebSocket } from "ws";
import { parseCall, type ReceivedCall } from "./frame_messages.ts";
import { FrameWriter, parseFrame } from "./frame_writer.ts";
import {
  deliver,
  DELIVER_PATH,
  parseEnvelope,
  type PeerContext,
  peerRouter,
} from "./peer_router.ts";

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
        this.#serve(call, { ...this.#identifiers, ...call.input });
      }
    } catch {
      // Disconnects a peer that violates the protocol. Its calls are lost; it may connect again.
      socket.terminate();
    }
  }

  #serve(call: ReceivedCall, input: object): void {
    if (call.path === DELIVER_PATH) this.#deliver(call.id, input);
    else void this.#callProcedure(call, input);
  }

  #deliver(id: number, input: object): void {
    try {
      deliver(
        this.#context,
        parseEnvelope(input),
        (data) => this.#writeResult(id, data),
      );
    } catch (error) {
      this.#writeError(id, error);
    }
  }

  async #callProcedure(
    { id, path }: ReceivedCall,
    input: object,
  ): Promise<void> {
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
      this.#writeResult(id, data);
    } catch (error) {
      this.#writeError(id, error);
    }
  }

  #writeResult(id: number, data: unknown): void {
    this.#writer.write({ id, result: { type: "data", data } });
  }

  #writeError(id: number, error: unknown): void {
    const { message } = getTRPCErrorFromUnknown(error);
    this.#writer.write({ id, error: { message } });
  }
}
