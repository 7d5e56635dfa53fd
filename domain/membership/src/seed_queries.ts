/**
 * Asks the processes at seed addresses for the configuration, on behalf of a process that starts while
 * the log is away. A seed is known by its address only: the first answer names the run of the process
 * that is there, and the next question goes to that run.
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

/** What an inquiry needs. */
export interface SeedInquiryOptions {
  readonly collector: OutputCollector;
  /** Addresses as `host:port`. */
  readonly seeds: readonly string[];
}

const INQUIRY_MILLISECONDS: Milliseconds = 500;
const UNKNOWN_RUN = processIdentifier("seed", "unknown");

/** Questions to seeds. */
export class SeedInquiry {
  readonly #options: SeedInquiryOptions;
  readonly #runs = new Map<string, ProcessIdentifier>();
  readonly #asked = new Map<RequestIdentifier, string>();
  #nextAt: Milliseconds = 0;

  constructor(options: SeedInquiryOptions) {
    this.#options = options;
  }

  /** Asks every seed when that is due. */
  tick(): void {
    const { collector, seeds } = this.#options;
    if (collector.now < this.#nextAt) return;
    this.#nextAt = collector.now + INQUIRY_MILLISECONDS;
    this.#asked.clear();
    for (const seed of seeds) this.#ask(seed);
  }

  /** Notes which run of a process is at a seed; false when no seed was asked by this request. */
  redirect(request: RequestIdentifier, run: ProcessIdentifier): boolean {
    const seed = this.#asked.get(request);
    if (seed === undefined) return false;
    this.#asked.delete(request);
    this.#runs.set(seed, run);
    this.#ask(seed);
    return true;
  }

  #ask(seed: string): void {
    const { collector } = this.#options;
    const request = collector.nextRequest();
    this.#asked.set(request, seed);
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: this.#runs.get(seed) ?? UNKNOWN_RUN,
      address: seed,
      message: {
        kind: PeerRequestKind.Heartbeat,
        logOffset: 0,
        configurationOffset: 0,
      },
    });
  }
}
