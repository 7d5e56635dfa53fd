/**
 * A listening HTTP server with limits, which its owner disposes of. What goes wrong on a connection
 * before there is a request is answered too, so that a client always learns the reason.
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
import { type EncodedAnswer, writeRawAnswer } from "./json_answer.ts";

/** What goes wrong on a connection before there is a request. */
export enum ConnectionFault {
  TooManyConnections = "too-many-connections",
  HeadersTooLarge = "headers-too-large",
  TooSlow = "too-slow",
  Malformed = "malformed",
}

/** Address and limits of a server. */
export interface HttpListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly maximumConnections: number;
  /** Size of all headers of one request. */
  readonly maximumHeaderBytes: number;
  /** Time in which the headers of a request must have arrived. */
  readonly headersMilliseconds: Milliseconds;
  /** Time in which a request must have arrived whole. */
  readonly requestMilliseconds: Milliseconds;
  readonly serve: (request: IncomingMessage, response: ServerResponse) => void;
  readonly answerFault: (fault: ConnectionFault) => EncodedAnswer;
}

/** Time in which open connections may finish when the server closes. */
const CLOSE_MILLISECONDS: Milliseconds = 500;
/** Time between two looks for requests that are too slow. */
const CHECK_MILLISECONDS: Milliseconds = 500;
/** Connections beyond the limit that are told so; more are closed without a word. */
const REFUSED_CONNECTIONS = 64;

/** A server that listens. */
export class HttpListener implements AsyncDisposable {
  readonly #server: Server;
  readonly #options: HttpListenerOptions;
  /** Connections that were refused; requests that still come on them are not served. */
  readonly #refused = new WeakSet<Duplex>();
  #connections = 0;

  private constructor(options: HttpListenerOptions) {
    this.#options = options;
    this.#server = createServer({
      headersTimeout: options.headersMilliseconds,
      requestTimeout: options.requestMilliseconds,
      maxHeaderSize: options.maximumHeaderBytes,
      connectionsCheckingInterval: CHECK_MILLISECONDS,
    }, (request, response) => {
      if (!this.#refused.has(request.socket)) options.serve(request, response);
    });
    this.#server.maxHeadersCount = 0;
    this.#server.maxConnections = options.maximumConnections +
      REFUSED_CONNECTIONS;
    this.#server.prependListener("connection", (socket) => this.#open(socket));
    this.#server.on("clientError", (error, socket) => {
      this.#refuse(socket, faultOf(error));
    });
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

  #open(socket: Socket): void {
    this.#connections += 1;
    socket.once("close", () => this.#connections -= 1);
    if (this.#connections <= this.#options.maximumConnections) return;
    this.#refuse(socket, ConnectionFault.TooManyConnections);
  }

  #refuse(socket: Duplex, fault: ConnectionFault | undefined): void {
    this.#refused.add(socket);
    const isAnswerable = fault !== undefined && socket.writable &&
      "bytesWritten" in socket && socket.bytesWritten === 0;
    if (!isAnswerable) {
      socket.destroy();
      return;
    }
    writeRawAnswer(socket, this.#options.answerFault(fault));
    const limit = setTimeout(() => socket.destroy(), CLOSE_MILLISECONDS);
    socket.once("close", () => clearTimeout(limit));
  }
}

function faultOf(error: Error): ConnectionFault | undefined {
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
