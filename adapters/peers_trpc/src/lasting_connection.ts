/**
 * One lasting connection to a peer and the tRPC link that ends in it. The link writes each call at
 * once: the stock links wait for a timer before they send, which costs more than the round trip.
 */
import type { TRPCLink } from "@trpc/client";
import { TRPCClientError } from "@trpc/client";
import { observable } from "@trpc/server/observable";
import { WebSocket } from "ws";
import { z } from "zod";
import type { PeerRouter } from "./peer_router.ts";

/** Where a peer is and how to be let in. */
export interface LastingConnectionOptions {
  /** Address of the peer, as `host:port`. */
  readonly address: string;
  readonly sharedKey: string;
  /** Told once when the connection has ended. */
  readonly onClosed: () => void;
}

interface Call {
  readonly succeed: (data: unknown) => void;
  readonly fail: (error: Error) => void;
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

const responseSchema = z.object({
  id: z.number(),
  result: z.object({ data: z.unknown() }).optional(),
  error: z.object({ message: z.string() }).optional(),
});

/** A connection that carries many calls at a time. */
export class LastingConnection {
  readonly #socket: WebSocket;
  readonly #calls = new Map<number, Call>();
  readonly #waiting: string[] = [];
  readonly #onClosed: () => void;
  #lastCall = 0;

  constructor(options: LastingConnectionOptions) {
    this.#onClosed = options.onClosed;
    this.#socket = new WebSocket(`ws://${options.address}`, {
      headers: { authorization: `Bearer ${options.sharedKey}` },
      handshakeTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      perMessageDeflate: false,
    });
    this.#socket.on("open", () => this.#flush());
    this.#socket.on("message", (data) => this.#receive(String(data)));
    this.#socket.on("error", () => this.#socket.terminate());
    this.#socket.on("close", () => this.#close());
  }

  /** Sends a call; exactly one of the two callbacks follows. */
  send(path: string, input: unknown, call: Call): void {
    this.#lastCall += 1;
    const id = this.#lastCall;
    this.#calls.set(id, call);
    const text = JSON.stringify({
      id,
      method: "mutation",
      params: { path, input },
    });
    if (this.#socket.readyState === WebSocket.OPEN) this.#socket.send(text);
    else this.#waiting.push(text);
  }

  /** Ends the connection; its calls fail. */
  close(): void {
    this.#socket.terminate();
  }

  #flush(): void {
    for (const text of this.#waiting.splice(0)) this.#socket.send(text);
  }

  #receive(text: string): void {
    const response = responseSchema.safeParse(JSON.parse(text));
    if (!response.success) return;
    const { id, result, error } = response.data;
    const call = this.#calls.get(id);
    this.#calls.delete(id);
    if (error !== undefined) call?.fail(new Error(error.message));
    else call?.succeed(result?.data);
  }

  #close(): void {
    const calls = [...this.#calls.values()];
    this.#calls.clear();
    this.#onClosed();
    for (const call of calls) call.fail(new Error("the connection ended"));
  }
}

/** Returns the tRPC link that ends in the connection. */
export function lastingConnectionLink(
  connection: LastingConnection,
): TRPCLink<PeerRouter> {
  return () => ({ op: operation }) =>
    observable((observer) => {
      connection.send(operation.path, operation.input, {
        succeed: (data) => {
          observer.next({ result: { type: "data", data } });
          observer.complete();
        },
        fail: (error) => observer.error(TRPCClientError.from(error)),
      });
    });
}
