/**
 * Persistent connection to a peer. Calls use the frames of tRPC's WebSocket protocol and are sent at the
 * end of the turn of the event loop. tRPC's own links wait for a timer before they send, which takes
 * longer than the round trip, and tRPC's own client costs ten times as much as the procedure it calls.
 */
import type { ProcessIdentifier } from "@eelgrassfront/model";
import { WebSocket } from "ws";
import { parseResponse } from "./frame_messages.ts";
import { FrameWriter, parseFrame } from "./frame_writer.ts";
import type { PeerEnvelope, PeerResult } from "./peer_router.ts";

/** Address of a peer, and the key that it requires. */
export interface PersistentConnectionOptions {
  /** Address of the peer, as `host:port`. */
  readonly address: string;
  readonly sharedKey: string;
  /** Called once, when the connection has ended. */
  readonly onClosed: () => void;
}

/** Handlers of the result of a call; exactly one of them is called. */
export interface CallHandlers {
  readonly succeed: (result: PeerResult) => void;
  readonly fail: (detail: string) => void;
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const CONNECTION_ENDED = "the connection ended";
const CONNECTION_IDLE = "the connection was not used";
const PEER_SILENT = "the peer did not respond";
const MAXIMUM_SILENT_CHECKS = 3;
/** Checks without a call after which a connection is closed; a new handshake costs as much as many calls. */
const MAXIMUM_IDLE_CHECKS = 32;
const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

/** A connection that carries any number of concurrent calls. */
export class PersistentConnection {
  readonly #socket: WebSocket;
  readonly #writer: FrameWriter;
  readonly #calls = new Map<number, CallHandlers>();
  readonly #onClosed: () => void;
  #lastCallId = 0;
  /** Receiver of the previous call; a call to the same process leaves both identifiers out. */
  #lastReceiver: ProcessIdentifier | undefined;
  /** Checks since the last message or pong was received while calls waited for it. */
  #silentChecks = 0;
  /** Checks since the last call. */
  #idleChecks = 0;
  #isClosed = false;

  constructor(options: PersistentConnectionOptions) {
    this.#onClosed = options.onClosed;
    this.#socket = new WebSocket(`ws://${options.address}`, {
      headers: { authorization: `Bearer ${options.sharedKey}` },
      handshakeTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      perMessageDeflate: false,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      generateMask: clearMask,
    });
    this.#writer = new FrameWriter(this.#socket);
    this.#socket.on("message", (data) => this.#receive(String(data)));
    this.#socket.on("pong", () => this.#silentChecks = 0);
    this.#socket.on("error", (error) => this.close(error.message));
    this.#socket.on("close", () => this.close());
  }

  /** Number of calls without a result. */
  get pendingCalls(): number {
    return this.#calls.size;
  }

  /** Sends a call. */
  send(input: PeerEnvelope, call: CallHandlers): void {
    if (this.#isClosed) {
      call.fail(CONNECTION_ENDED);
      return;
    }
    this.#lastCallId += 1;
    const id = this.#lastCallId;
    this.#calls.set(id, call);
    this.#idleChecks = 0;
    const { from: _, to, ...content } = input;
    const isSameReceiver = to === this.#lastReceiver;
    this.#lastReceiver = to;
    const parameters = {
      path: "deliver",
      input: isSameReceiver ? content : input,
    };
    this.#writer.write({ id, method: "mutation", params: parameters });
  }

  /**
   * Closes the connection when nothing was received for several checks although calls wait, or when no call
   * has used it for many; otherwise sends a ping if nothing was received since the last check. One check
   * without data is not enough: timers run before reads, so that after a stall of this process the pong may
   * have arrived and not been read.
   */
  check(): void {
    this.#idleChecks += 1;
    if (this.#idleChecks > MAXIMUM_IDLE_CHECKS && this.#calls.size === 0) {
      this.close(CONNECTION_IDLE);
      return;
    }
    if (this.#calls.size === 0) {
      this.#silentChecks = 0;
      return;
    }
    if (this.#silentChecks >= MAXIMUM_SILENT_CHECKS) {
      this.close(PEER_SILENT);
      return;
    }
    const isSilent = this.#silentChecks > 0;
    this.#silentChecks += 1;
    const isOpen = this.#socket.readyState === WebSocket.OPEN;
    if (isSilent && isOpen) this.#socket.ping();
  }

  /** Closes the connection; its calls fail. */
  close(detail = CONNECTION_ENDED): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#socket.terminate();
    this.#onClosed();
    const calls = [...this.#calls.values()];
    this.#calls.clear();
    for (const call of calls) call.fail(detail);
  }

  #receive(frame: string): void {
    this.#silentChecks = 0;
    const messages = this.#parse(frame);
    for (const message of messages) this.#completeCall(message);
  }

  /** Parses a frame; closes the connection to a peer that violates the protocol. */
  #parse(frame: string): readonly unknown[] {
    try {
      return parseFrame(frame);
    } catch (error) {
      this.close(`the peer sent an invalid frame: ${String(error)}`);
      return [];
    }
  }

  #completeCall(message: unknown): void {
    const response = parseResponse(message);
    if (response === undefined) return;
    const call = this.#calls.get(response.id);
    this.#calls.delete(response.id);
    if ("result" in response) call?.succeed(response.result);
    else call?.fail(response.error);
  }
}

/**
 * Sets a mask that changes no byte, so that neither end transforms the content of a frame. Masks protect caches
 * between browsers and servers, and nothing lies between these processes.
 */
function clearMask(mask: Buffer): void {
  mask.fill(0);
}
