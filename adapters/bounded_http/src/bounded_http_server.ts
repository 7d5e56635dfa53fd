/**
 * HTTP server that carries out the decisions of `FrontLimits`: it counts connections, requests and the bytes of
 * bodies, and pauses, refuses or closes connections. One timer per server applies the limits on time; Node's server
 * applies the one on headers.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import {
  type FrontConnection,
  type FrontDecision,
  FrontDecisionKind,
  FrontLimits,
  type FrontLimitSettings,
} from "@eelgrassfront/front-limits";
import {
  assertNever,
  ClientRejectionReason,
  type Milliseconds,
} from "@eelgrassfront/model";
import { SlicedReader } from "./sliced_reader.ts";

type ParseData = (data: Buffer) => void;

/** A client that was refused or disconnected. */
export interface ClientRejection {
  /** Name of the listener. */
  readonly listener: string;
  readonly reason: ClientRejectionReason;
  readonly address: string;
}

/** Name, limits and handlers of a server. */
export interface BoundedHttpOptions {
  readonly name: string;
  readonly limits: FrontLimitSettings;
  readonly serve: (request: IncomingMessage, response: ServerResponse) => void;
  readonly onRejected: (rejection: ClientRejection) => void;
  readonly maximumHeaderBytes?: number;
  /** Time after which an idle connection is closed. */
  readonly idleMilliseconds?: Milliseconds;
}

/** Interval between two checks of the limits on time. */
const SWEEP_MILLISECONDS: Milliseconds = 250;
/** Largest size of all headers of one request together. */
const MAXIMUM_HEADER_BYTES = 16_384;
/** Idle time after which Node's server closes a connection by default. */
const IDLE_MILLISECONDS: Milliseconds = 5_000;
/** Refused connections that get a response with the status; more are closed without one. */
const MAXIMUM_REFUSED_CONNECTIONS = 16;
const REFUSAL =
  "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** A listening server; its owner disposes of it. */
export class BoundedHttpServer implements AsyncDisposable {
  readonly #options: BoundedHttpOptions;
  readonly #server: Server;
  readonly #limits: FrontLimits;
  readonly #sockets = new Map<FrontConnection, Socket>();
  readonly #connections = new WeakMap<Duplex, FrontConnection>();
  /** Response to the latest request of a connection, which is the one whose body is received. */
  readonly #responses = new Map<FrontConnection, ServerResponse>();
  /** Connections that the limits have paused, with what was read and not yet parsed. */
  readonly #paused = new Map<Socket, SlicedReader | undefined>();
  readonly #readers = new WeakMap<Socket, SlicedReader>();
  #sweeping: NodeJS.Timeout | undefined;

  private constructor(options: BoundedHttpOptions) {
    const { limits } = options;
    this.#options = options;
    this.#limits = new FrontLimits(limits);
    this.#server = createServer({
      maxHeaderSize: options.maximumHeaderBytes ?? MAXIMUM_HEADER_BYTES,
      keepAliveTimeout: options.idleMilliseconds ?? IDLE_MILLISECONDS,
      headersTimeout: limits.headerMilliseconds,
      // For bodies that no handler reads; the limits apply the time for the others.
      requestTimeout: limits.headerMilliseconds + limits.bodyMilliseconds,
      // Node's server would answer requests without it before they are counted.
      requireHostHeader: false,
      connectionsCheckingInterval: SWEEP_MILLISECONDS,
    }, (request, response) => this.#begin(request, response));
    this.#server.maxConnections = limits.connections +
      MAXIMUM_REFUSED_CONNECTIONS;
    this.#server.prependListener("connection", (socket) => this.#open(socket));
    this.#server.on("connection", (socket) => this.#slice(socket));
    this.#server.on("checkExpectation", (request, response) => {
      if (this.#count(request, response)) response.writeHead(417).end();
    });
    this.#server.on("clientError", (error, socket) => {
      this.#handleError(error, socket);
    });
    this.#server.on("drop", (data) => {
      this.#reject(
        ClientRejectionReason.TooManyConnections,
        data?.remoteAddress ?? "",
      );
    });
  }

  /**
   * Starts a server.
   *
   * @throws when the address cannot be listened on
   */
  static async listen(
    { host, port }: { readonly host: string; readonly port: number },
    options: BoundedHttpOptions,
  ): Promise<BoundedHttpServer> {
    const server = new BoundedHttpServer(options);
    await new Promise<void>((resolve, reject) => {
      server.#server.once("error", reject);
      server.#server.listen(port, host, resolve);
    });
    server.#sweeping = setInterval(() => server.#sweep(), SWEEP_MILLISECONDS);
    server.#sweeping.unref();
    return server;
  }

  /** Reports that a body is going to be received. */
  beginBody({ socket }: IncomingMessage): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    this.#limits.beginBody(connection, performance.now());
  }

  /** Reports that a part of a body was received. Returns whether the request is still to be served. */
  receiveBody(message: IncomingMessage, bytes: number): boolean {
    const connection = this.#connections.get(message.socket);
    if (connection === undefined) return false;
    const decision = this.#limits.receiveBody(connection, bytes);
    return this.#perform(connection, decision, this.#responses.get(connection));
  }

  /** Reports that a body was received entirely. */
  endBody({ socket }: IncomingMessage): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) this.#limits.endBody(connection);
  }

  /** Reports that a body is no longer kept. */
  releaseBody({ socket }: IncomingMessage, bytes: number): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    this.#perform(connection, this.#limits.releaseBody(connection, bytes));
  }

  /** Stops listening, and closes the connections that are still open after a time. */
  async close(graceMilliseconds: Milliseconds): Promise<void> {
    clearInterval(this.#sweeping);
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeIdleConnections();
    const timer = setTimeout(
      () => this.#server.closeAllConnections(),
      graceMilliseconds,
    );
    await closed;
    clearTimeout(timer);
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.close(0);
  }

  #open(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    const { connection, decision, closed } = this.#limits.open(
      address,
      performance.now(),
    );
    if (closed !== undefined) {
      this.#perform(closed.connection, closed.decision);
    }
    this.#sockets.set(connection, socket);
    if (!this.#perform(connection, decision)) return;
    this.#connections.set(socket, connection);
    socket.on("close", () => this.#forget(connection, socket));
    // The end of a request resumes its connection, also one that the limits keep paused.
    socket.on("resume", () => {
      if (connection.isPaused) socket.pause();
    });
  }

  /** Puts a reader before the parser of Node's server, which listens for the data of the socket. */
  #slice(socket: Socket): void {
    const connection = this.#connections.get(socket);
    const [parse] = socket.listeners("data");
    if (connection === undefined || parse === undefined) return;
    const reader = new SlicedReader({
      parse: parse as ParseData,
      mayContinue: () => !connection.isPaused && !socket.destroyed,
    });
    this.#readers.set(socket, reader);
    socket.off("data", parse as ParseData);
    socket.on("data", (data) => {
      const before = reader.pendingBytes;
      reader.receive(data);
      const pending = reader.pendingBytes;
      if (pending !== before) this.#keep(connection, pending - before);
    });
  }

  /** Reads a connection again, what was kept of it first. */
  #continue(connection: FrontConnection, socket: Socket): void {
    const reader = this.#paused.get(socket);
    this.#paused.delete(socket);
    // The parser must not be called while it reports a request of the same connection.
    setImmediate(() => {
      const before = reader?.pendingBytes ?? 0;
      reader?.continue();
      const pending = reader?.pendingBytes ?? 0;
      this.#keep(connection, pending - before);
      if (!connection.isPaused) socket.resume();
    });
  }

  /** Counts a change of what was read and not yet parsed. */
  #keep(connection: FrontConnection, bytes: number): void {
    const decision = bytes > 0
      ? this.#limits.receiveBody(connection, bytes)
      : this.#limits.releaseBody(connection, -bytes);
    this.#perform(connection, decision);
  }

  #begin(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#count(request, response)) return;
    if (request.headers.host === undefined && request.httpVersion === "1.1") {
      response.writeHead(400, { connection: "close" }).end();
      return;
    }
    this.#options.serve(request, response);
  }

  /** Counts a request; returns whether it is to be served. */
  #count(request: IncomingMessage, response: ServerResponse): boolean {
    const connection = this.#connections.get(request.socket);
    // Requests that follow in the data of a connection that was refused or closed.
    if (connection === undefined) return false;
    this.#responses.set(connection, response);
    response.on("close", () => {
      this.#perform(
        connection,
        this.#limits.endRequest(connection, performance.now()),
      );
    });
    return this.#perform(
      connection,
      this.#limits.beginRequest(connection),
      response,
    );
  }

  /** Carries out a decision; returns whether the connection stays open. */
  #perform(
    connection: FrontConnection,
    decision: FrontDecision,
    response?: ServerResponse,
  ): boolean {
    const socket = this.#sockets.get(connection);
    if (socket === undefined) return false;
    switch (decision.kind) {
      case FrontDecisionKind.Continue:
        if (!connection.isPaused && this.#paused.has(socket)) {
          this.#continue(connection, socket);
        }
        return true;
      case FrontDecisionKind.Pause:
        this.#paused.set(socket, this.#readers.get(socket));
        socket.pause();
        return true;
      case FrontDecisionKind.Refuse:
        this.#forget(connection, socket);
        refuse(socket, response);
        this.#reject(decision.reason, connection.address);
        return false;
      case FrontDecisionKind.Close:
        this.#forget(connection, socket);
        socket.destroy();
        this.#reject(decision.reason, connection.address);
        return false;
      default:
        return assertNever(decision);
    }
  }

  #forget(connection: FrontConnection, socket: Socket): void {
    this.#limits.close(connection);
    this.#sockets.delete(connection);
    this.#responses.delete(connection);
    this.#paused.delete(socket);
    this.#connections.delete(socket);
  }

  #handleError(error: Error, socket: Duplex): void {
    const connection = this.#connections.get(socket);
    const code = "code" in error ? error.code : undefined;
    if (code === "ERR_HTTP_REQUEST_TIMEOUT" && connection !== undefined) {
      const reason = connection.requests === 0
        ? ClientRejectionReason.HeaderTooSlow
        : ClientRejectionReason.BodyTooSlow;
      this.#reject(reason, connection.address);
    }
    if (socket.writable && connection?.requests === 0) {
      socket.write(answerTo(code));
    }
    socket.destroy();
  }

  #sweep(): void {
    const decisions = this.#limits.sweep(
      performance.now(),
      (connection) => this.#sockets.get(connection)?.writableLength ?? 0,
    );
    for (const { connection, decision } of decisions) {
      this.#perform(connection, decision);
    }
  }

  #reject(reason: ClientRejectionReason, address: string): void {
    const { name, onRejected } = this.#options;
    onRejected({ listener: name, reason, address });
  }
}

/** Answers with 503 if no earlier response is due on the connection, and closes it. */
function refuse(socket: Socket, response: ServerResponse | undefined): void {
  const isFirst = response === undefined
    ? socket.bytesWritten === 0
    : response.socket === socket && !response.headersSent;
  // The system sends so short a response at once, so that nothing more of the connection need be read.
  if (isFirst) socket.write(REFUSAL);
  socket.destroy();
}

/** Returns the response to a connection whose header cannot be read, as Node's server sends it. */
function answerTo(code: unknown): string {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n";
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return "HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\n\r\n";
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n";
    default:
      return "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n";
  }
}
