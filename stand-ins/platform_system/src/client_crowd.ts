/**
 * A small crowd of clients that misbehave: each connection writes the same bytes, reads nothing and stays open.
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** What each client of a crowd does. */
export interface ClientCrowdOptions {
  readonly host: string;
  readonly port: number;
  readonly connections: number;
  readonly bytes: Buffer;
}

/** Time that the server gets to handle what the crowd has written; the checks do not depend on it. */
const SETTLE_MILLISECONDS = 4_000;

/** Connections of misbehaving clients. */
export class ClientCrowd implements AsyncDisposable {
  readonly #sockets: readonly Socket[];

  private constructor(sockets: readonly Socket[]) {
    this.#sockets = sockets;
  }

  /** Opens all connections, writes to them and waits until the server has had time to handle the bytes. */
  static async open(options: ClientCrowdOptions): Promise<ClientCrowd> {
    const { host, port, connections, bytes } = options;
    const sockets = Array.from({ length: connections }, () => {
      const socket = connect(port, host);
      // The server may refuse or close a connection at any time.
      socket.on("error", () => socket.destroy());
      socket.pause();
      socket.write(bytes);
      return socket;
    });
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MILLISECONDS));
    return new ClientCrowd(sockets);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.#sockets.map(async (socket) => {
      if (socket.closed) return;
      const closed = once(socket, "close");
      socket.destroy();
      await closed;
    }));
  }
}

/** Returns a submission whose chunked body stops before its last chunk. */
export function unfinishedBody(chunkBytes: number, bodyBytes: number): Buffer {
  const head = "POST /scan/crowd HTTP/1.1\r\nHost: checks.example\r\n" +
    "Transfer-Encoding: chunked\r\n\r\n";
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  return Buffer.from(head + chunk.repeat(Math.floor(bodyBytes / chunkBytes)));
}

/** Returns pipelined requests with the given header lines, which may be none. */
export function pipelinedRequests(
  path: string,
  headers: string,
  count: number,
): Buffer {
  return Buffer.from(`GET ${path} HTTP/1.1\r\n${headers}\r\n`.repeat(count));
}
