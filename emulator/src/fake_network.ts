/**
 * Fake of the network between processes. Delays, losses and duplicates are drawn from the seed; links are cut
 * and restored by the caller.
 */
import type { Milliseconds, ProcessIdentifier } from "@eelgrassfront/model";
import type { SeededRandom } from "./seeded_random.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Faults that apply to every message. */
export interface NetworkFaults {
  /** Probability that a message is lost because its connection breaks. */
  readonly lossProbability: number;
  /** Probability that a message is delivered twice. */
  readonly duplicationProbability: number;
  /** Upper bound of the random delay that is added to each message. */
  readonly jitterMilliseconds: Milliseconds;
}

/** A network without faults. */
export const NO_NETWORK_FAULTS: NetworkFaults = {
  lossProbability: 0,
  duplicationProbability: 0,
  jitterMilliseconds: 0,
};

/** Options of a `FakeNetwork`; the delay is one-way. */
export interface FakeNetworkOptions {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly delayMilliseconds: Milliseconds;
}

/** Time until a sender detects a broken connection. */
export const LOSS_DETECTION_MILLISECONDS: Milliseconds = 20;
/** Time until a sender detects a cut link. */
const CUT_DETECTION_MILLISECONDS: Milliseconds = 1_500;

/** Delivers messages between processes. */
export class FakeNetwork {
  /** Faults that apply to messages from now on. */
  faults: NetworkFaults = NO_NETWORK_FAULTS;
  readonly #options: FakeNetworkOptions;
  readonly #cuts = new Set<string>();
  readonly #delayedUntil = new Map<ProcessIdentifier, Milliseconds>();
  /** Messages of each link that is held, in the order in which they were sent. */
  readonly #held = new Map<string, NetworkMessage[]>();
  readonly #linkDelays = new Map<string, Milliseconds>();
  /** Time of the last delivery over each link that is or was held or delayed: no message overtakes it. */
  readonly #lastDeliveries = new Map<string, Milliseconds>();
  #messageCount = 0;

  constructor(options: FakeNetworkOptions) {
    this.#options = options;
  }

  /** Number of messages sent so far. */
  get messages(): number {
    return this.#messageCount;
  }

  /** Cuts the link from one process to another; the reverse direction keeps working. */
  cutLink(from: ProcessIdentifier, to: ProcessIdentifier): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Delays every message of a process until a given time, as a full send buffer does. */
  delaySendsUntil(from: ProcessIdentifier, until: Milliseconds): void {
    this.#delayedUntil.set(from, until);
  }

  /** Holds the messages from one process to another, as a partition does that heals before connections break. */
  holdLink(from: ProcessIdentifier, to: ProcessIdentifier): void {
    const link = `${from} ${to}`;
    if (!this.#held.has(link)) this.#held.set(link, []);
  }

  /** Delivers the held messages of a link in their order. */
  releaseLink(from: ProcessIdentifier, to: ProcessIdentifier): void {
    const link = `${from} ${to}`;
    const messages = this.#held.get(link) ?? [];
    this.#held.delete(link);
    for (const message of messages) this.#deliverInOrder(link, message);
  }

  /** Adds a delay to each message from one process to another; 0 restores the link. */
  delayLink(
    from: ProcessIdentifier,
    to: ProcessIdentifier,
    delay: Milliseconds,
  ): void {
    this.#linkDelays.set(`${from} ${to}`, delay);
  }

  #deliverInOrder(link: string, message: NetworkMessage): void {
    const { time, delayMilliseconds } = this.#options;
    const delay = delayMilliseconds + (this.#linkDelays.get(link) ?? 0);
    const at = Math.max(
      time.now + delay,
      this.#lastDeliveries.get(link) ?? 0,
    );
    this.#lastDeliveries.set(link, at);
    time.after(at - time.now, message.deliver);
  }

  /** Restores all links that were cut. */
  restoreAllLinks(): void {
    this.#cuts.clear();
  }

  /** Sends a message; calls `onLost` when its connection breaks. */
  send(message: NetworkMessage): void {
    this.#messageCount += 1;
    const { time, random } = this.#options;
    const link = `${message.from} ${message.to}`;
    const held = this.#held.get(link);
    if (held !== undefined) {
      held.push(message);
      return;
    }
    if (this.#linkDelays.has(link) || this.#lastDeliveries.has(link)) {
      this.#deliverInOrder(link, message);
      return;
    }
    const isCut = this.#cuts.has(link);
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

/** A message with the callbacks for its delivery and its loss. */
export interface NetworkMessage {
  readonly from: ProcessIdentifier;
  readonly to: ProcessIdentifier;
  readonly deliver: () => void;
  readonly onLost: () => void;
}
