/**
 * Queries the processes at seed addresses for the configuration while the log is unavailable to a
 * starting process. Only the address of a seed is known: the first reply names the incarnation of the
 * process that listens there, and the next query goes to that incarnation.
 */
import {
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  PeerRequestKind,
  type ProcessIdentifier,
  processIdentifier,
  type RequestIdentifier,
} from "@eelgrassfront/model";

/** Seeds to query and the collector of the requests. */
export interface SeedQueriesOptions {
  readonly collector: OutputCollector;
  /** Addresses as `host:port`. */
  readonly seeds: readonly string[];
}

const QUERY_INTERVAL_MILLISECONDS: Milliseconds = 500;
const UNKNOWN_INCARNATION = processIdentifier("seed", "unknown");

/** Sends the queries to the seeds. */
export class SeedQueries {
  readonly #options: SeedQueriesOptions;
  readonly #incarnations = new Map<string, ProcessIdentifier>();
  readonly #pending = new Map<RequestIdentifier, string>();
  #nextRoundAt: Milliseconds = 0;

  constructor(options: SeedQueriesOptions) {
    this.#options = options;
  }

  /** Queries every seed when the next round is due. */
  tick(): void {
    const { collector, seeds } = this.#options;
    if (collector.now < this.#nextRoundAt) return;
    this.#nextRoundAt = collector.now + QUERY_INTERVAL_MILLISECONDS;
    this.#pending.clear();
    for (const seed of seeds) this.#query(seed);
  }

  /**
   * Records which incarnation of a process listens at a seed, and queries it.
   *
   * @returns false when the request was no query to a seed
   */
  redirect(
    request: RequestIdentifier,
    incarnation: ProcessIdentifier,
  ): boolean {
    const seed = this.#pending.get(request);
    if (seed === undefined) return false;
    this.#pending.delete(request);
    this.#incarnations.set(seed, incarnation);
    this.#query(seed);
    return true;
  }

  #query(seed: string): void {
    const { collector } = this.#options;
    const request = collector.nextRequest();
    this.#pending.set(request, seed);
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: this.#incarnations.get(seed) ?? UNKNOWN_INCARNATION,
      address: seed,
      message: {
        kind: PeerRequestKind.Heartbeat,
        logOffset: 0,
        configurationOffset: 0,
      },
    });
  }
}
