/**
 * The workers on which suspect jobs run: up to a third of the workers of a service, the same for all entries,
 * since they are ranked by a hash of their addresses. A worker that a suspect has crashed stays among them
 * until it is back or counts as gone, so that crashes do not spread to the other workers.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { stableHash } from "@eelgrassfront/ownership";
import { LinkPhase, type WorkerLinkState } from "./worker_link_state.ts";

/** Part of the workers that suspects may use: the others carry the ordinary load of a fleet. */
const TRIAL_PART = 1 / 3;
/** Time without a worker after which a sidecar is replaced among the trial workers: a crashed one is back. */
const ABSENCE_MILLISECONDS: Milliseconds = 5_000;

interface SeenWorker {
  readonly service: string;
  readonly seenAt: Milliseconds;
}

/** Chooses the workers for suspect jobs. */
export class TrialWorkers {
  /** The services of workers by address, also of those that have crashed since. */
  readonly #seen = new Map<string, SeenWorker>();

  /** Takes note of the present workers, so that they are still ranked after a crash. */
  observe(now: Milliseconds, links: readonly WorkerLinkState[]): void {
    const open = new Set<string>();
    for (const { address, state, isEvacuated } of links) {
      // In an evacuated zone a suspect would wait for the restoration while others could run it.
      if (state.phase !== LinkPhase.Open || isEvacuated) continue;
      open.add(address);
      const { profile } = state;
      if (profile === undefined) continue;
      this.#seen.set(address, { service: profile.service, seenAt: now });
    }
    for (const [address, { seenAt }] of this.#seen) {
      const isGone = !open.has(address) || now >= seenAt + ABSENCE_MILLISECONDS;
      if (isGone) this.#seen.delete(address);
    }
  }

  /** Returns the addresses of the trial workers of a service, of those that were observed. */
  of(service: string): ReadonlySet<string> {
    const addresses = [...this.#seen]
      .filter(([, seen]) => seen.service === service)
      .map(([address]) => address)
      .sort((left, right) => stableHash(left) - stableHash(right));
    const count = Math.max(1, Math.floor(TRIAL_PART * addresses.length));
    return new Set(addresses.slice(0, count));
  }
}
