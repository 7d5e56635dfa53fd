/**
 * Calls between the system's own processes: tRPC procedures over WebSocket, and one lasting connection
 * to each peer that is called. Identities travel with each call, so that a message for an earlier run
 * of a process never reaches a later one.
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
import { LastingConnection } from "./lasting_connection.ts";
import type { PeerContext, PeerEnvelope, PeerMessage } from "./peer_router.ts";
import { PeerSession } from "./peer_session.ts";

/** Identity, address and key of a process. */
export interface TrpcPeersOptions {
  readonly self: ProcessIdentifier;
  readonly host: string;
  readonly port: number;
  /** Key that every process of the fleet holds. */
  readonly sharedKey: string;
  /** Kinds of the requests that this process takes. */
  readonly requestKinds: readonly string[];
  /** A connection on which nothing is heard for this long is ended, and its calls are lost. */
  readonly silenceMilliseconds: Milliseconds;
}

const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

type Inputs<Request, Reply> =
  | IncomingRequest<Request>
  | IncomingReply<Reply>
  | PeerRequestLost;
type Outputs<Request, Reply> = OutgoingRequest<Request> | OutgoingReply<Reply>;

/** Peers by tRPC, in one vocabulary of requests and replies. */
export class TrpcPeers<
  Request extends PeerMessage = PeerRequest,
  Reply extends PeerMessage = PeerReply,
> implements Port<Inputs<Request, Reply>, Outputs<Request, Reply>> {
  readonly inputs: Stream<Inputs<Request, Reply>>;
  readonly #induce: (input: Inputs<Request, Reply>) => void;
  readonly #options: TrpcPeersOptions;
  readonly #server: WebSocketServer;
  readonly #connections = new Map<string, LastingConnection>();
  readonly #replies = new Map<string, (reply: Reply) => void>();
  readonly #checkMilliseconds: Milliseconds;
  readonly #checks: NodeJS.Timeout;
  #checkedAt = performance.now();
  #isDisposed = false;

  private constructor(options: TrpcPeersOptions) {
    [this.#induce, this.inputs] = createAdapter<
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
    const requestKinds = new Set(options.requestKinds);
    const context: PeerContext = {
      isRequestKind: (kind) => requestKinds.has(kind),
      accept: (envelope) => this.#accept(envelope),
    };
    this.#server.on("connection", (socket) => new PeerSession(socket, context));
    this.#checkMilliseconds = options.silenceMilliseconds /
      CHECKS_PER_SILENCE;
    this.#checks = setInterval(
      () => this.#checkConnections(),
      this.#checkMilliseconds,
    );
  }

  /**
   * Listens for peers.
   *
   * @throws when the address cannot be listened on
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
        this.#resolve(output);
        return;
      default:
        assertNever(output);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isDisposed = true;
    clearInterval(this.#checks);
    for (const connection of this.#connections.values()) connection.close();
    for (const socket of this.#server.clients) socket.close();
    const closed = new Promise((resolve) => this.#server.close(resolve));
    const limit = setTimeout(() => this.#endSockets(), CLOSE_MILLISECONDS);
    await closed;
    clearTimeout(limit);
  }

  #endSockets(): void {
    for (const socket of this.#server.clients) socket.terminate();
  }

  #accept(envelope: PeerEnvelope): Promise<Reply | IncarnationMismatch> {
    const { from, request, message, to } = envelope;
    if (to !== this.#options.self) {
      return Promise.resolve({
        kind: PeerReplyKind.IncarnationMismatch,
        current: this.#options.self,
      });
    }
    return new Promise((resolve) => {
      this.#replies.set(replyKey(from, request), resolve);
      this.#induce({
        kind: InputKind.PeerRequestArrived,
        from,
        request,
        // The router lets only the kinds of this vocabulary pass; peers hold the shared key.
        message: message as PeerMessage as Request,
      });
    });
  }

  #resolve({ to, request, message }: OutgoingReply<Reply>): void {
    const key = replyKey(to, request);
    const resolve = this.#replies.get(key);
    this.#replies.delete(key);
    resolve?.(message);
  }

  #call(output: OutgoingRequest<Request>): void {
    const { request, peer, address, message } = output;
    const envelope = { from: this.#options.self, to: peer, request, message };
    this.#connectionTo(address).send(envelope, {
      succeed: (reply) =>
        this.#induce({
          kind: InputKind.PeerReplyArrived,
          from: peer,
          request,
          message: reply as PeerMessage as Reply,
        }),
      fail: (detail) => this.#lose(output, detail),
    });
  }

  #lose(
    { peer, request, address }: OutgoingRequest<Request>,
    detail: string,
  ): void {
    if (this.#isDisposed) return;
    this.#induce({
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

  #connectionTo(address: string): LastingConnection {
    const known = this.#connections.get(address);
    if (known !== undefined) return known;
    const connection = new LastingConnection({
      address,
      sharedKey: this.#options.sharedKey,
      onClosed: () => this.#connections.delete(address),
    });
    this.#connections.set(address, connection);
    return connection;
  }

  /** After a pause of this process nothing is known of the peers, so the check waits for the next time. */
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
