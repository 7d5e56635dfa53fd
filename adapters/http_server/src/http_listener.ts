/**
 * HTTP server with limits on connections, headers and time. A connection that fails before a request
 * is complete gets a response too if none was begun, so that the client receives the reason.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Milliseconds } from "@eelgrassfront/model";
import { type EncodedResponse, writeRawResponse } from "./json_response.ts";

/** Faults of a connection before a request is complete. */
export enum ConnectionFault {
  TooManyConnections = "too-many-connections",
  HeadersTooLarge = "headers-too-large",
  TooSlow = "too-slow",
  Malformed = "malformed",
}

/** Address, limits and handlers of a server. */
export interface HttpListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly maximumConnections: number;
  /** Largest size of all headers of one request together. */
  readonly maximumHeaderBytes: number;
  /** Time within which the headers of a request must arrive. */
  readonly headersMilliseconds: Milliseconds;
  /** Time within which a complete request must arrive. */
  readonly requestMilliseconds: Milliseconds;
  readonly serve: (request: IncomingMessage, response: ServerResponse) => void;
  readonly encodeFault: (fault: ConnectionFault) => EncodedResponse;
}

/** Time that open connections have to finish when the server closes, or after a fault. */
const CLOSE_GRACE_MILLISECONDS: Milliseconds = 500;
/** Interval between two checks for requests that exceed their time limits. */
const TIMEOUT_CHECK_MILLISECONDS: Milliseconds = 500;
/** Connections above the limit that get a response with the reason; more are closed without one. */
const MAXIMUM_REFUSED_CONNECTIONS = 64;

/** A listening HTTP server; its owner disposes of it. */
export class HttpListener implements AsyncDisposable {
  readonly #server: Server;
  readonly #options: HttpListenerOptions;
  /** Refused connections. Requests that still arrive on them are not served. */
  readonly #refused = new WeakSet<Duplex>();
  #connections = 0;

  private constructor(options: HttpListenerOptions) {
    this.#options = options;
    this.#server = createServer({
      headersTimeout: options.headersMilliseconds,
      requestTimeout: options.requestMilliseconds,
      maxHeaderSize: options.maximumHeaderBytes,
      connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
    }, (request, response) => {
      if (!this.#refused.has(request.socket)) options.serve(request, response);
    });
    this.#server.maxHeadersCount = 0;
    this.#server.maxConnections = options.maximumConnections +
      MAXIMUM_REFUSED_CONNECTIONS;
    this.#server.prependListener("connection", (socket) => this.#admit(socket));
    this.#server.on("clientError", (error, socket) => {
      this.#refuse(socket, classifyFault(error));
    });
  }

  /**
   * Starts a server.
   *
   * @throws when the server cannot listen on the address
   */
  static async listen(options: HttpListenerOptions): Promise<HttpListener> {
    const listener = new HttpListener(options);
    await new Promise<void>((resolve, reject) => {
      listener.#server.once("error", reject);
      listener.#server.listen(options.port, options.host, resolve);
    });
    return listener;
  }

  /** Port that the server listens on. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeIdleConnections();
    const limit = setTimeout(
      () => this.#server.closeAllConnections(),
      CLOSE_GRACE_MILLISECONDS,
    );
    await closed;
    clearTimeout(limit);
  }

  #admit(socket: Socket): void {
    this.#connections += 1;
    socket.once("close", () => this.#connections -= 1);
    if (this.#connections <= this.#options.maximumConnections) return;
    this.#refuse(socket, ConnectionFault.TooManyConnections);
  }

  #refuse(socket: Duplex, fault: ConnectionFault | undefined): void {
    this.#refused.add(socket);
    const canRespond = fault !== undefined && socket.writable &&
      "bytesWritten" in socket && socket.bytesWritten === 0;
    if (!canRespond) {
      socket.destroy();
      return;
    }
    writeRawResponse(socket, this.#options.encodeFault(fault));
    const limit = setTimeout(() => socket.destroy(), CLOSE_GRACE_MILLISECONDS);
    socket.once("close", () => clearTimeout(limit));
  }
}

function classifyFault(error: Error): ConnectionFault | undefined {
  const code = "code" in error ? error.code : undefined;
  switch (code) {
    case "ECONNRESET":
    case "EPIPE":
      return undefined;
    case "HPE_HEADER_OVERFLOW":
      return ConnectionFault.HeadersTooLarge;
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return ConnectionFault.TooSlow;
    default:
      return ConnectionFault.Malformed;
  }
}
