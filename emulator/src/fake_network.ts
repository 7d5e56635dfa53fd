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
  readonly duplicationProbability: number;
  /** Additional delay of a message, drawn from 0 to this. */
  readonly jitterMilliseconds: Milliseconds;
}

/** A network without faults. */
export const NO_NETWORK_FAULTS: NetworkFaults = {
  lossProbability: 0,
  duplicationProbability: 0,
  jitterMilliseconds: 0,
};

/** What a network needs. */
export interface FakeNetworkOptions {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly delayMilliseconds: Milliseconds;
}

/** Time after which a sender learns that a connection broke. */
export const LOSS_DETECTION_MILLISECONDS: Milliseconds = 20;
/** Time after which a connection across a cut breaks. */
const CUT_DETECTION_MILLISECONDS: Milliseconds = 1_500;

/** Delivers messages between processes. */
export class FakeNetwork {
  faults: NetworkFaults = NO_NETWORK_FAULTS;
  readonly #options: FakeNetworkOptions;
  readonly #cuts = new Set<string>();
  readonly #delayedUntil = new Map<ProcessIdentifier, Milliseconds>();
  #messageCount = 0;

  constructor(options: FakeNetworkOptions) {
    this.#options = options;
  }

  /** Messages handed to the network so far. */
  get messages(): number {
    return this.#messageCount;
  }

  /** Cuts one direction between two processes. */
  cut(from: ProcessIdentifier, to: ProcessIdentifier): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Holds back what a process sends until a moment, as a full buffer does. */
  delaySendsUntil(from: ProcessIdentifier, until: Milliseconds): void {
    this.#delayedUntil.set(from, until);
  }

  /** Heals every cut. */
  healAll(): void {
    this.#cuts.clear();
  }

  /** Sends a message; `onLost` is told when the connection breaks under it. */
  send(message: NetworkMessage): void {
    this.#messageCount += 1;
    const { time, random } = this.#options;
    const isCut = this.#cuts.has(`${message.from} ${message.to}`);
    if (isCut) {
      time.after(CUT_DETECTION_MILLISECONDS, message.onLost);
      return;
    }
    if (random.happens(this.faults.lossProbability)) {
      time.after(LOSS_DETECTION_MILLISECONDS, message.onLost);
      return;
    }
    time.after(this.#delay(message.from), message.deliver);
    if (random.happens(this.faults.duplicationProbability)) {
      time.after(this.#delay(message.from), message.deliver);
    }
  }

  #delay(from: ProcessIdentifier): Milliseconds {
    const { time, random, delayMilliseconds } = this.#options;
    const { jitterMilliseconds } = this.faults;
    const delayedUntil = this.#delayedUntil.get(from) ?? 0;
    const shortest = delayMilliseconds + Math.max(0, delayedUntil - time.now);
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
