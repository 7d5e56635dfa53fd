/**
 * The platform's address for clients: a new connection goes to the entry that a hash of the client selects, unless that
 * entry has missed two readiness probes.
 */
import { get } from "node:http";

const PROBE_MILLISECONDS = 1_000;
const MISSES = 2;

/** Probes the entries and selects one for each new connection. */
export class Balancer {
  #entries;
  #misses;
  #timer;

  /** `entries` are the machines; `port` is that of the readiness probe. */
  constructor(entries, port) {
    this.#entries = entries;
    this.#misses = entries.map(() => 0);
    this.#timer = setInterval(() => {
      for (const index of entries.keys()) void this.#probe(index, port);
    }, PROBE_MILLISECONDS);
  }

  /** Index of the entry for a new connection; a retry goes to the next entry. */
  select(client, retry) {
    const count = this.#entries.length;
    const first = (client + retry) % count;
    const order = this.#entries.map((_, offset) => (first + offset) % count);
    return order.find((index) => this.#misses[index] < MISSES) ?? first;
  }

  close() {
    clearInterval(this.#timer);
  }

  async #probe(index, port) {
    const { host } = this.#entries[index];
    const isReady = await new Promise((resolve) => {
      const request = get({
        host,
        port,
        path: "/readyz",
        agent: false,
        timeout: PROBE_MILLISECONDS,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(false));
    });
    this.#misses[index] = isReady ? 0 : this.#misses[index] + 1;
  }
}
