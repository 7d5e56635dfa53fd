/**
 * Calls between the system's own processes: tRPC procedures over WebSocket, with one persistent
 * connection to each peer that is called. Each call carries the identifiers of sender and receiver, so
 * that a message for an earlier incarnation of a process never reaches a later one.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import {
  assertNever,
  ErrorTag,
  type IncarnationMismatch,
  type IncomingReply,
  type IncomingRequest,
  InputKind,
  type Milliseconds,
  type OutgoingReply,
  type OutgoingRequest,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type PeerRequest,
  type PeerRequestLost,
  type ProcessIdentifier,
  Step,
} from "@eelgrassfront/model";
import type { Port } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import { WebSocketServer } from "ws";
import { PersistentConnection } from "./persistent_connection.ts";
import type { PeerContext, PeerEnvelope, PeerMessage } from "./peer_router.ts";
import { PeerSession } from "./peer_session.ts";

/** Identifier, address and key of a process, and limits on its connections. */
export interface TrpcPeersOptions {
  readonly self: ProcessIdentifier;
  readonly host: string;
  readonly port: number;
  /** Key that every process of the fleet holds. */
  readonly sharedKey: string;
  /** Whether this process accepts a request. A rejected request is an error at its sender. */
  readonly isRequest: (message: PeerMessage) => boolean;
  /** Whether a reply can be handled; the call counts as lost otherwise. All replies by default. */
  readonly isReply?: (message: PeerMessage) => boolean;
  /** Called with a description of each message that was rejected. */
  readonly onRejected?: (detail: string) => void;
  /** Time without any received data after which a connection is closed and its calls are lost. */
  readonly silenceMilliseconds: Milliseconds;
}

const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

type Inputs<Request, Reply> =
  | IncomingRequest<Request>
  | IncomingReply<Reply>
  | PeerRequestLost;
type Outputs<Request, Reply> = OutgoingRequest<Request> | OutgoingReply<Reply>;

/** Exchanges one set of requests and replies with peers over tRPC. */
export class TrpcPeers<
  Request extends PeerMessage = PeerRequest,
  Reply extends PeerMessage = PeerReply,
> implements Port<Inputs<Request, Reply>, Outputs<Request, Reply>> {
  readonly inputs: Stream<Inputs<Request, Reply>>;
  readonly #emit: (input: Inputs<Request, Reply>) => void;
  readonly #options: TrpcPeersOptions;
  readonly #server: WebSocketServer;
  readonly #connections = new Map<string, PersistentConnection>();
  readonly #pendingReplies = new Map<string, (reply: PeerMessage) => void>();
  readonly #checkMilliseconds: Milliseconds;
  readonly #checkTimer: NodeJS.Timeout;
  #checkedAt = performance.now();
  #isDisposed = false;

  private constructor(options: TrpcPeersOptions) {
    [this.#emit, this.inputs] = createAdapter<
      Inputs<Request, Reply>
    >();
    this.#options = options;
    this.#server = new WebSocketServer({
      host: options.host,
      port: options.port,
      perMessageDeflate: false,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      verifyClient: ({ req }: { readonly req: IncomingMessage }) =>
        this.#isAuthorized(req.headers.authorization),
    });
    const context: PeerContext = {
      isRequest: (message) => this.#isRequest(message),
      accept: (envelope, reply) => this.#accept(envelope, reply),
    };
    this.#server.on("connection", (socket) => new PeerSession(socket, context));
    this.#checkMilliseconds = options.silenceMilliseconds /
      CHECKS_PER_SILENCE;
    this.#checkTimer = setInterval(
      () => this.#checkConnections(),
      this.#checkMilliseconds,
    );
  }

  /**
   * Starts to serve peers.
   *
   * @throws when the server cannot listen on the address
   */
  static async listen<
    Request extends PeerMessage = PeerRequest,
    Reply extends PeerMessage = PeerReply,
  >(options: TrpcPeersOptions): Promise<TrpcPeers<Request, Reply>> {
    const peers = new TrpcPeers<Request, Reply>(options);
    await new Promise<void>((resolve, reject) => {
      peers.#server.once("listening", resolve);
      peers.#server.once("error", reject);
    });
    return peers;
  }

  perform(output: Outputs<Request, Reply>): void {
    switch (output.kind) {
      case OutputKind.SendRequest:
        this.#call(output);
        return;
      case OutputKind.SendReply:
        this.#reply(output);
        return;
      default:
        assertNever(output);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isDisposed = true;
    clearInterval(this.#checkTimer);
    for (const connection of this.#connections.values()) connection.close();
    for (const socket of this.#server.clients) socket.close();
    const closed = new Promise((resolve) => this.#server.close(resolve));
    const limit = setTimeout(
      () => this.#terminateSockets(),
      CLOSE_MILLISECONDS,
    );
    await closed;
    clearTimeout(limit);
  }

  #terminateSockets(): void {
    for (const socket of this.#server.clients) socket.terminate();
  }

  #accept(
    { from, request, message, to }: PeerEnvelope,
    reply: (message: PeerMessage) => void,
  ): void {
    if (to !== this.#options.self) {
      const mismatch: IncarnationMismatch = {
        kind: PeerReplyKind.IncarnationMismatch,
        current: this.#options.self,
      };
      reply(mismatch);
      return;
    }
    this.#pendingReplies.set(replyKey(from, request), reply);
    this.#emit({
      kind: InputKind.PeerRequestArrived,
      from,
      request,
      // The router has checked the message with `isRequest`.
      message: message as Request,
    });
  }

  #reply({ to, request, message }: OutgoingReply<Reply>): void {
    const key = replyKey(to, request);
    const reply = this.#pendingReplies.get(key);
    this.#pendingReplies.delete(key);
    reply?.(message);
  }

  #call(output: OutgoingRequest<Request>): void {
    const { request, peer, address, message } = output;
    const envelope = { from: this.#options.self, to: peer, request, message };
    try {
      this.#connectionTo(address).send(envelope, {
        succeed: (reply) => this.#handleReply(output, reply),
        fail: (detail) => this.#reportLost(output, detail),
      });
    } catch (error) {
      // The address is invalid. The loss is an input of its own, after the outputs of this step.
      setImmediate(() => this.#reportLost(output, String(error)));
    }
  }

  #handleReply(output: OutgoingRequest<Request>, reply: PeerMessage): void {
    const { peer, request } = output;
    const { isReply = () => true, onRejected } = this.#options;
    if (!isReply(reply)) {
      onRejected?.(`reply "${reply.kind}" from ${peer}`);
      this.#reportLost(output, "the reply has an unknown form");
      return;
    }
    this.#emit({
      kind: InputKind.PeerReplyArrived,
      from: peer,
      request,
      message: reply as Reply,
    });
  }

  #isRequest(message: PeerMessage): boolean {
    const { isRequest, onRejected } = this.#options;
    if (isRequest(message)) return true;
    onRejected?.(`request "${message.kind}"`);
    return false;
  }

  #reportLost(
    { peer, request, address }: OutgoingRequest<Request>,
    detail: string,
  ): void {
    if (this.#isDisposed) return;
    this.#emit({
      kind: InputKind.PeerRequestLost,
      peer,
      request,
      error: {
        tag: ErrorTag.ConnectionLost,
        step: Step.CallPeer,
        peer: `${peer} at ${address}`,
        detail,
      },
    });
  }

  #connectionTo(address: string): PersistentConnection {
    const known = this.#connections.get(address);
    if (known !== undefined) return known;
    const connection = new PersistentConnection({
      address,
      sharedKey: this.#options.sharedKey,
      onClosed: () => this.#connections.delete(address),
    });
    this.#connections.set(address, connection);
    return connection;
  }

  /** Skips the check after a pause of this process, which has not read what peers sent meanwhile. */
  #checkConnections(): void {
    const now = performance.now();
    const elapsed = now - this.#checkedAt;
    this.#checkedAt = now;
    if (elapsed > this.#checkMilliseconds * LATE_CHECK_FACTOR) return;
    for (const connection of this.#connections.values()) connection.check();
  }

  #isAuthorized(header: string | undefined): boolean {
    const expected = digest(`Bearer ${this.#options.sharedKey}`);
    return timingSafeEqual(digest(header ?? ""), expected);
  }
}

const CLOSE_MILLISECONDS = 500;
const CHECKS_PER_SILENCE = 4;
const LATE_CHECK_FACTOR = 1.5;

function replyKey(from: ProcessIdentifier, request: number): string {
  return `${from} ${request}`;
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
