/**
 * A listening HTTP server with limits, which its owner disposes of.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Milliseconds } from "@eelgrassfront/model";

/** Address and limits of a server. */
export interface HttpListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly maximumConnections: number;
  /** Time in which a request must have arrived whole. */
  readonly requestMilliseconds: Milliseconds;
  readonly serve: (request: IncomingMessage, response: ServerResponse) => void;
}

/** Time in which open connections may finish when the server closes. */
const CLOSE_MILLISECONDS: Milliseconds = 500;

/** A server that listens. */
export class HttpListener implements AsyncDisposable {
  readonly #server: Server;

  private constructor(options: HttpListenerOptions) {
    this.#server = createServer(
      { requestTimeout: options.requestMilliseconds },
      options.serve,
    );
    this.#server.maxConnections = options.maximumConnections;
  }

  /**
   * Listens.
   *
   * @throws when the address cannot be listened on
   */
  static async listen(options: HttpListenerOptions): Promise<HttpListener> {
    const listener = new HttpListener(options);
    await new Promise<void>((resolve, reject) => {
      listener.#server.once("error", reject);
      listener.#server.listen(options.port, options.host, resolve);
    });
    return listener;
  }

  /** Port on which the server listens. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeIdleConnections();
    const limit = setTimeout(
      () => this.#server.closeAllConnections(),
      CLOSE_MILLISECONDS,
    );
    await closed;
    clearTimeout(limit);
  }
}
