/**
 * Proxy between a client and an entry. When it breaks, its clients see their connections reset, and the entry is not
 * told: its side stays open, and nothing more is carried.
 */
import { connect, createServer } from "node:net";
import { listen } from "./http_messages.mjs";

/** Forwards connections to one address. */
export class SilentProxy {
  #target;
  #pairs = new Set();
  #server = createServer((client) => this.#forward(client));

  /** @param {string} target address of the entry */
  constructor(target) {
    this.#target = target;
  }

  /** Listens on a free port. Returns the address. */
  async listen(host) {
    return `${host}:${await listen(this.#server, host, 0)}`;
  }

  /** Resets all clients, and leaves the connections to the entry open and silent. */
  breakClients() {
    for (const { client, entry } of this.#pairs) {
      client.unpipe(entry);
      entry.unpipe(client);
      entry.pause();
      client.resetAndDestroy();
    }
  }

  close() {
    for (const { client, entry } of this.#pairs) {
      client.destroy();
      entry.destroy();
    }
    this.#server.close();
  }

  #forward(client) {
    const [host, port] = this.#target.split(":");
    const entry = connect({ host, port: Number(port) });
    const pair = { client, entry };
    this.#pairs.add(pair);
    for (const socket of [client, entry]) socket.on("error", () => {});
    client.pipe(entry, { end: false });
    entry.pipe(client);
  }
}
