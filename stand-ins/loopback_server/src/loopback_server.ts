/**
 * Base of the stand-ins: an HTTP server on loopback with JSON bodies, and the handling of signals of its
 * process.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";

/** HTTP server on loopback; a subclass answers the requests. */
export abstract class LoopbackServer implements AsyncDisposable {
  readonly #server: Server = createServer((request, response) =>
    void this.serve(request, response)
  );

  /** Port that the server listens on; 0 when it is not listening. */
  get port(): number {
    const bound = this.#server.address();
    return typeof bound === "object" && bound !== null ? bound.port : 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  /**
   * Listens on a loopback port; port 0 selects a free one.
   *
   * @throws when the port cannot be listened on
   */
  protected async open(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", resolve);
    });
  }

  /** Answers one request. */
  protected abstract serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void>;
}

/** Reads the body of a request. */
export async function readBytes(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Reads the body of a request as JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  return JSON.parse((await readBytes(request)).toString("utf8"));
}

/** Answers with JSON. */
export function writeJson(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Prints the port of a stand-in; SIGTERM or SIGINT closes the stand-in and ends the process. */
export function closeOnSignal(server: LoopbackServer): void {
  const stop = () =>
    void server[Symbol.asyncDispose]().then(() => process.exit(0));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
  process.stdout.write(`listening on ${server.port}\n`);
}
