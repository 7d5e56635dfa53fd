/**
 * Selects the members that a process sends heartbeats to. A process watches only members whose
 * replies it acts on, so that the number of heartbeats does not grow with the square of the fleet:
 *
 * - an entry watches the owners, whose replies list the shards granted to them, and a few sidecars
 *   for a newer configuration;
 * - a sidecar watches the witnesses, the owners and the candidates that may become owners;
 * - an owner watches every sidecar, since it places tasks on all of them;
 * - the first few sidecars watch every member, since one of them appends the removals.
 */
import {
  assertNever,
  type ProcessIdentifier,
  Role,
} from "@eelgrassfront/model";
import { ownerCandidates } from "@eelgrassfront/ownership";
import type { FleetView, Member } from "./fleet_view.ts";

/** Identity of the watching process and its view of the fleet. */
export interface HeartbeatTargetsOptions {
  readonly self: ProcessIdentifier;
  readonly role: Role;
  readonly view: FleetView;
  /** Number of sidecars that own shards at a time. */
  readonly ownerCount: number;
  /** The sidecars whose replies count for a majority. */
  readonly witnesses: () => readonly Member[];
  readonly isReachable: (peer: ProcessIdentifier) => boolean;
}

/** Number of reachable sidecars that watch every member, ready to append removals. */
const REMOVERS = 3;
/** Number of sidecars whose replies give an entry a newer configuration. */
const CONFIGURATION_SOURCES = 3;
/** Candidates watched for each owner, so that a failed candidate is skipped at once. */
const CANDIDATES_PER_OWNER = 2;

/** Members to which one process sends heartbeats. */
export class HeartbeatTargets {
  readonly #options: HeartbeatTargetsOptions;
  #rankedSidecars: readonly Member[] | undefined;
  #candidates: readonly Member[] = [];

  constructor(options: HeartbeatTargetsOptions) {
    this.#options = options;
  }

  /** The members to send heartbeats to, without this process itself. */
  members(): readonly Member[] {
    const watched = new Set(this.#watched());
    return [...watched].filter(({ joined }) =>
      joined.process !== this.#options.self
    );
  }

  #watched(): readonly Member[] {
    const { role, view, witnesses } = this.#options;
    switch (role) {
      case Role.Entry:
        return [
          ...this.#owners(),
          ...view.sidecars().slice(0, CONFIGURATION_SOURCES),
        ];
      case Role.Sidecar:
        if (this.#isRemover()) return view.members();
        if (this.#isOwner()) return view.sidecars();
        return [
          ...witnesses(),
          ...this.#owners(),
          ...this.#rankCandidates(),
        ];
      default:
        return assertNever(role);
    }
  }

  #owners(): readonly Member[] {
    const { view } = this.#options;
    return [...this.#ownerNames()]
      .map((owner) => view.find(owner))
      .filter((member) => member !== undefined);
  }

  #ownerNames(): ReadonlySet<ProcessIdentifier> {
    const ownerships = [...this.#options.view.ownership.all()];
    return new Set(ownerships.map(({ owner }) => owner));
  }

  #isOwner(): boolean {
    return this.#ownerNames().has(this.#options.self);
  }

  #isRemover(): boolean {
    const { self, view, isReachable } = this.#options;
    const removers = view.sidecars()
      .filter(({ joined }) => isReachable(joined.process))
      .slice(0, REMOVERS);
    return removers.some(({ joined }) => joined.process === self);
  }

  /** Recomputes the ranking only after a sidecar joined or departed. */
  #rankCandidates(): readonly Member[] {
    const { view, ownerCount } = this.#options;
    const sidecars = view.sidecars();
    if (sidecars === this.#rankedSidecars) return this.#candidates;
    this.#rankedSidecars = sidecars;
    const names = sidecars.map(({ joined }) => joined.process);
    const count = ownerCount * CANDIDATES_PER_OWNER;
    this.#candidates = ownerCandidates(names, count)
      .map((process) => view.find(process))
      .filter((member) => member !== undefined);
    return this.#candidates;
  }
}
