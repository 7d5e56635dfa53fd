/**
 * Writes messages to a WebSocket. The messages of one turn of the loop leave in one frame, as an array,
 * which tRPC's own WebSocket adapter takes as well: a frame costs a system call at either end.
 */
import { WebSocket } from "ws";

/** Gathers the messages of one turn. */
export class FrameWriter {
  readonly #socket: WebSocket;
  readonly #waiting: string[] = [];
  #isFlushDue = false;

  constructor(socket: WebSocket) {
    this.#socket = socket;
    socket.once("open", () => this.#flush());
  }

  /** Sends a message at the end of this turn, or when the connection is open. */
  write(message: object): void {
    this.#waiting.push(JSON.stringify(message));
    if (this.#isFlushDue) return;
    this.#isFlushDue = true;
    setImmediate(() => {
      this.#isFlushDue = false;
      this.#flush();
    });
  }

  #flush(): void {
    const isOpen = this.#socket.readyState === WebSocket.OPEN;
    if (!isOpen || this.#waiting.length === 0) return;
    this.#socket.send(frameOf(this.#waiting.splice(0)));
  }
}

/** The messages of a frame, which holds one or an array of them. */
export function messagesOf(frame: string): readonly unknown[] {
  const parsed: unknown = JSON.parse(frame);
  return Array.isArray(parsed) ? parsed : [parsed];
}

function frameOf(messages: readonly string[]): string {
  return messages.length === 1 ? `${messages[0]}` : `[${messages.join()}]`;
}
