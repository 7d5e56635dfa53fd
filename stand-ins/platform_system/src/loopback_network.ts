/**
 * Range of loopback addresses for one deployment. Deployments of other processes on the same machine have other
 * ranges, since a range is reserved by a listener on one of its addresses.
 */
import { createServer, type Server } from "node:net";

/** Last value of the second octet of the addresses; 0 is the range of every other loopback server. */
const LAST_OCTET = 250;
/** Port and host of the listener by which a range is reserved; no VM has this host. */
const RESERVATION_PORT = 8_159;
const RESERVATION_HOST = 250;

/** A reserved range of addresses, until it is disposed of. */
export class LoopbackNetwork implements AsyncDisposable {
  readonly #octet: number;
  readonly #reservation: Server;

  private constructor(octet: number, reservation: Server) {
    this.#octet = octet;
    this.#reservation = reservation;
  }

  /**
   * Reserves the first free range.
   *
   * @throws when every range is in use
   */
  static async reserve(): Promise<LoopbackNetwork> {
    for (let octet = 1; octet <= LAST_OCTET; octet += 1) {
      const host = addressOf(octet, RESERVATION_HOST);
      const reservation = await tryListen(host);
      if (reservation !== undefined) {
        return new LoopbackNetwork(octet, reservation);
      }
    }
    throw new Error(`all ${LAST_OCTET} ranges of loopback addresses are used`);
  }

  /** Returns the address of a VM by its number, from 1 to 249. */
  address(host: number): string {
    return addressOf(this.#octet, host);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await new Promise((resolve) => this.#reservation.close(resolve));
  }
}

function addressOf(octet: number, host: number): string {
  return `127.${octet}.0.${host}`;
}

/** Returns a listener, or undefined when the address is in use. */
function tryListen(host: string): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") resolve(undefined);
      else reject(error);
    });
    server.listen(RESERVATION_PORT, host, () => resolve(server));
  });
}
