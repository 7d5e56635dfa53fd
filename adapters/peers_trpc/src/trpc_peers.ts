/**
 * Calls between the system's own processes: a tRPC server over WebSocket, and one lasting connection
 * to each peer that is called. Identities travel with each call, so that a message for an earlier run
 * of a process never reaches a later one.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import {
  assertNever,
  ErrorTag,
  InputKind,
  OutputKind,
  type PeerInput,
  type PeerReply,
  PeerReplyKind,
  type ProcessIdentifier,
  type SendReply,
  type SendRequest,
  Step,
} from "@eelgrassfront/model";
import type { PeersPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import { createTRPCClient, type TRPCClient } from "@trpc/client";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { WebSocketServer } from "ws";
import {
  LastingConnection,
  lastingConnectionLink,
} from "./lasting_connection.ts";
import {
  type PeerEnvelope,
  type PeerRouter,
  peerRouter,
} from "./peer_router.ts";

/** Identity, address and key of a process. */
export interface TrpcPeersOptions {
  readonly self: ProcessIdentifier;
  readonly host: string;
  readonly port: number;
  /** Key that every process of the fleet holds. */
  readonly sharedKey: string;
}

interface Peer {
  readonly connection: LastingConnection;
  readonly client: TRPCClient<PeerRouter>;
}

const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Peers by tRPC. */
export class TrpcPeers implements PeersPort {
  readonly inputs: Stream<PeerInput>;
  readonly #induce: (input: PeerInput) => void;
  readonly #options: TrpcPeersOptions;
  readonly #server: WebSocketServer;
  readonly #peers = new Map<string, Peer>();
  readonly #replies = new Map<string, (reply: PeerReply) => void>();
  #isDisposed = false;

  private constructor(options: TrpcPeersOptions) {
    [this.#induce, this.inputs] = createAdapter<PeerInput>();
    this.#options = options;
    this.#server = new WebSocketServer({
      host: options.host,
      port: options.port,
      perMessageDeflate: false,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      verifyClient: ({ req }: { readonly req: IncomingMessage }) =>
        this.#isAuthorized(req.headers.authorization),
    });
    applyWSSHandler({
      wss: this.#server,
      router: peerRouter,
      createContext: () => ({
        accept: (envelope: PeerEnvelope) => this.#accept(envelope),
      }),
    });
  }

  /**
   * Listens for peers.
   *
   * @throws when the address cannot be listened on
   */
  static async listen(options: TrpcPeersOptions): Promise<TrpcPeers> {
    const peers = new TrpcPeers(options);
    await new Promise<void>((resolve, reject) => {
      peers.#server.once("listening", resolve);
      peers.#server.once("error", reject);
    });
    return peers;
  }

  perform(output: SendRequest | SendReply): void {
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
    for (const { connection } of this.#peers.values()) connection.close();
    for (const socket of this.#server.clients) socket.close();
    const closed = new Promise((resolve) => this.#server.close(resolve));
    const limit = setTimeout(() => this.#endSockets(), CLOSE_MILLISECONDS);
    await closed;
    clearTimeout(limit);
  }

  #endSockets(): void {
    for (const socket of this.#server.clients) socket.terminate();
  }

  #accept(envelope: PeerEnvelope): Promise<PeerReply> {
    const { from, request, message, to } = envelope;
    if (to !== this.#options.self) {
      return Promise.resolve({
        kind: PeerReplyKind.OtherIncarnation,
        current: this.#options.self,
      });
    }
    return new Promise((resolve) => {
      this.#replies.set(replyKey(from, request), resolve);
      this.#induce({
        kind: InputKind.PeerRequestArrived,
        from,
        request,
        message,
      });
    });
  }

  #resolve({ to, request, message }: SendReply): void {
    const key = replyKey(to, request);
    const resolve = this.#replies.get(key);
    this.#replies.delete(key);
    resolve?.(message);
  }

  #call(output: SendRequest): void {
    const { request, peer, address, message } = output;
    const { client } = this.#connect(address);
    const envelope = { from: this.#options.self, to: peer, request, message };
    client.deliver.mutate(envelope).then(
      (reply) =>
        this.#induce({
          kind: InputKind.PeerReplyArrived,
          from: peer,
          request,
          message: reply,
        }),
      (error: unknown) => this.#lose(output, error),
    );
  }

  #lose({ peer, request, address }: SendRequest, error: unknown): void {
    if (this.#isDisposed) return;
    this.#induce({
      kind: InputKind.PeerRequestLost,
      peer,
      request,
      error: {
        tag: ErrorTag.ConnectionLost,
        step: Step.CallPeer,
        peer: `${peer} at ${address}`,
        detail: String(error),
      },
    });
  }

  #connect(address: string): Peer {
    const known = this.#peers.get(address);
    if (known !== undefined) return known;
    const connection = new LastingConnection({
      address,
      sharedKey: this.#options.sharedKey,
      onClosed: () => this.#peers.delete(address),
    });
    const client = createTRPCClient<PeerRouter>({
      links: [lastingConnectionLink(connection)],
    });
    const peer = { connection, client };
    this.#peers.set(address, peer);
    return peer;
  }

  #isAuthorized(header: string | undefined): boolean {
    const expected = digest(`Bearer ${this.#options.sharedKey}`);
    return timingSafeEqual(digest(header ?? ""), expected);
  }
}

const CLOSE_MILLISECONDS = 500;

function replyKey(from: ProcessIdentifier, request: number): string {
  return `${from} ${request}`;
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
