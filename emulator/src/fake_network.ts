/**
 * The network between processes: delays, losses, doubling, and cuts, all drawn from the seed.
 */
import type { Milliseconds, ProcessIdentifier } from "@eelgrassfront/model";
import type { SeededRandom } from "./seeded_random.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Faults of a network. */
export interface NetworkFaults {
  /** Share of messages that vanish with their connection. */
  readonly lossProbability: number;
  /** Share of messages that arrive twice. */
  readonly doublingProbability: number;
  /** Additional delay of a message, drawn from 0 to this. */
  readonly jitterMilliseconds: Milliseconds;
}

/** A network without faults. */
export const NO_NETWORK_FAULTS: NetworkFaults = {
  lossProbability: 0,
  doublingProbability: 0,
  jitterMilliseconds: 0,
};

/** What a network needs. */
export interface FakeNetworkOptions {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly delayMilliseconds: Milliseconds;
}

/** Time after which a sender learns that a connection broke. */
export const LOSS_NOTICE_MILLISECONDS: Milliseconds = 20;
/** Time after which a connection across a cut breaks. */
const CUT_NOTICE_MILLISECONDS: Milliseconds = 1_500;

/** Delivers messages between processes. */
export class FakeNetwork {
  faults: NetworkFaults = NO_NETWORK_FAULTS;
  readonly #options: FakeNetworkOptions;
  readonly #cuts = new Set<string>();
  readonly #stalledUntil = new Map<ProcessIdentifier, Milliseconds>();
  #messages = 0;

  constructor(options: FakeNetworkOptions) {
    this.#options = options;
  }

  /** Messages handed to the network so far. */
  get messages(): number {
    return this.#messages;
  }

  /** Cuts one direction between two processes. */
  cut(from: ProcessIdentifier, to: ProcessIdentifier): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Holds back what a process sends until a moment, as a full buffer does. */
  stall(from: ProcessIdentifier, until: Milliseconds): void {
    this.#stalledUntil.set(from, until);
  }

  /** Heals every cut. */
  healAll(): void {
    this.#cuts.clear();
  }

  /** Sends a message; `onLost` is told when the connection breaks under it. */
  send(message: NetworkMessage): void {
    this.#messages += 1;
    const { time, random } = this.#options;
    const isCut = this.#cuts.has(`${message.from} ${message.to}`);
    if (isCut) {
      time.after(CUT_NOTICE_MILLISECONDS, message.onLost);
      return;
    }
    if (random.happens(this.faults.lossProbability)) {
      time.after(LOSS_NOTICE_MILLISECONDS, message.onLost);
      return;
    }
    time.after(this.#delay(message.from), message.deliver);
    if (random.happens(this.faults.doublingProbability)) {
      time.after(this.#delay(message.from), message.deliver);
    }
  }

  #delay(from: ProcessIdentifier): Milliseconds {
    const { time, random, delayMilliseconds } = this.#options;
    const { jitterMilliseconds } = this.faults;
    const stalledUntil = this.#stalledUntil.get(from) ?? 0;
    const shortest = delayMilliseconds + Math.max(0, stalledUntil - time.now);
    if (jitterMilliseconds === 0) return shortest;
    return shortest + random.between(0, jitterMilliseconds);
  }
}

/** A message on its way. */
export interface NetworkMessage {
  readonly from: ProcessIdentifier;
  readonly to: ProcessIdentifier;
  readonly deliver: () => void;
  readonly onLost: () => void;
}
