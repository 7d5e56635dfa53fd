/**
 * Receives StatsD datagrams on loopback and sums the counters by name and reason.
 */
import { createSocket, type Socket } from "node:dgram";

const COUNTER_LINE = /^eelgrassfront\.([^:]+):(\d+)\|c(?:\|#(.*))?$/;

/** Receives metrics and sums the counters. */
export class MetricsReceiver implements AsyncDisposable {
  readonly #socket: Socket = createSocket("udp4");
  readonly #sums = new Map<string, number>();

  private constructor() {
    this.#socket.on("message", (datagram) => {
      for (const line of datagram.toString("utf8").split("\n")) {
        this.#addLine(line);
      }
    });
  }

  /** Listens on a free loopback port. */
  static async listen(): Promise<MetricsReceiver> {
    const receiver = new MetricsReceiver();
    await new Promise<void>((resolve, reject) => {
      receiver.#socket.once("error", reject);
      receiver.#socket.bind(0, "127.0.0.1", resolve);
    });
    return receiver;
  }

  /** Address to send metrics to, as `host:port`. */
  get address(): string {
    return `127.0.0.1:${this.#socket.address().port}`;
  }

  /** Returns the current sums of a counter by reason; values without a reason are under the empty string. */
  sumsByReason(counter: string): ReadonlyMap<string, number> {
    const prefix = `${counter} `;
    const entries = [...this.#sums].filter(([key]) => key.startsWith(prefix));
    return new Map(
      entries.map(([key, sum]) => [key.slice(prefix.length), sum]),
    );
  }

  [Symbol.asyncDispose](): Promise<void> {
    return new Promise((resolve) => this.#socket.close(() => resolve()));
  }

  #addLine(line: string): void {
    const [, counter, value, tags] = COUNTER_LINE.exec(line) ?? [];
    if (counter === undefined) return;
    const [, reason] = /(?:^|,)reason:([^,]+)/.exec(tags ?? "") ?? [];
    const key = `${counter} ${reason ?? ""}`;
    this.#sums.set(key, (this.#sums.get(key) ?? 0) + Number(value));
  }
}
