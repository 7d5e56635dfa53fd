/**
 * Writes messages to a WebSocket. The messages of one turn of the event loop are sent as an array in one
 * frame, because each frame costs a system call at either end. tRPC's own WebSocket adapter accepts such
 * frames too.
 */
import { WebSocket } from "ws";

/** Batches the messages of one turn of the event loop. */
export class FrameWriter {
  readonly #socket: WebSocket;
  readonly #pending: string[] = [];
  #isFlushDue = false;

  constructor(socket: WebSocket) {
    this.#socket = socket;
    socket.once("open", () => this.#flush());
  }

  /** Sends a message at the end of this turn, or once the connection is open. */
  write(message: object): void {
    this.#pending.push(JSON.stringify(message));
    if (this.#isFlushDue) return;
    this.#isFlushDue = true;
    setImmediate(() => {
      this.#isFlushDue = false;
      this.#flush();
    });
  }

  #flush(): void {
    const isOpen = this.#socket.readyState === WebSocket.OPEN;
    if (!isOpen || this.#pending.length === 0) return;
    this.#socket.send(encodeFrame(this.#pending.splice(0)));
  }
}

/** Parses a frame, which holds one message or an array of messages. */
export function parseFrame(frame: string): readonly unknown[] {
  const parsed: unknown = JSON.parse(frame);
  return Array.isArray(parsed) ? parsed : [parsed];
}

function encodeFrame(messages: readonly string[]): string {
  return messages.length === 1 ? `${messages[0]}` : `[${messages.join()}]`;
}
