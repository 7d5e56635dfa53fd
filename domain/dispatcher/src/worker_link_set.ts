/**
 * The links of an entry to the sidecars that it knows, and the selection of those that it uses. A link that is
 * no longer selected, or whose sidecar was removed, is kept until no task of the entry is left there.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import {
  type DispatchOutput,
  EventNumber,
  type FleetMember,
  type Milliseconds,
  type OutputCollector,
  Role,
  type WorkerLoad,
} from "@eelgrassfront/model";
import { KindSpeeds } from "./kind_speeds.ts";
import { medianSlowness } from "./worker_choice.ts";
import { selectSidecars } from "./sidecar_selection.ts";
import {
  LinkPhase,
  newLink,
  newOpeningLink,
  type OpenLink,
  UNUSED_LINK,
  type WorkerLinkState,
} from "./worker_link_state.ts";

/** How long an entry uses every sidecar after a job that none of the selected ones can run. */
const WIDENED_MILLISECONDS: Milliseconds = 5_000;

/** The directory that lists the sidecars, and the attempts that keep a link in use. */
export interface WorkerLinkSetOptions {
  readonly self: FleetMember;
  readonly collector: OutputCollector<DispatchOutput>;
  readonly directory: FleetDirectory;
  /** Whether the sidecar at an address holds attempts of this entry. */
  readonly holdsAttempts: (address: string) => boolean;
}

/** Selects the links that an entry uses. */
export class WorkerLinkSet {
  readonly #options: WorkerLinkSetOptions;
  readonly #links = new Map<string, WorkerLinkState>();
  readonly #used = new Set<WorkerLinkState>();
  /** How fast the kinds of worker are. */
  readonly speeds = new KindSpeeds();
  /** The links in use as `all` returned them last; undefined since one was added or removed. */
  #snapshot: readonly WorkerLinkState[] | undefined;
  /** Undefined since a worker's slowness has changed, or a link was opened or closed. */
  #medianSlowness: number | undefined;
  #speedsRevision = 0;
  #revision = 0;
  #takersRevision = 0;
  #selected: ReadonlySet<string> = new Set();
  #membersRevision = -1;
  #isReleasePending = false;
  #widenedUntil: Milliseconds = 0;
  #isWidened = false;

  constructor(options: WorkerLinkSetOptions) {
    this.#options = options;
  }

  /** The links in use, with or without a session. The list does not change when links are added or removed. */
  all(): readonly WorkerLinkState[] {
    this.#snapshot ??= [...this.#used];
    return this.#snapshot;
  }

  /** Rises whenever other workers may take work than before. */
  get takersRevision(): number {
    return this.#takersRevision;
  }

  /** Median of the workers' run times as multiples of the expected ones. */
  get medianSlowness(): number {
    if (this.#speedsRevision !== this.speeds.revision) {
      this.#speedsRevision = this.speeds.revision;
      this.#medianSlowness = undefined;
    }
    this.#medianSlowness ??= medianSlowness(this.all(), this.speeds);
    return this.#medianSlowness;
  }

  /** Rises whenever a link was added or removed, or its session was opened or closed. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether known sidecars are not in use. */
  get isPartial(): boolean {
    return this.#used.size < this.#links.size;
  }

  /** Returns the link to an address. */
  find(address: string): WorkerLinkState | undefined {
    return this.#links.get(address);
  }

  /** Uses every sidecar for some time, because no selected one can run a job. */
  useAll(): void {
    this.#widenedUntil = this.#options.collector.now + WIDENED_MILLISECONDS;
  }

  /** Sets the load of an open link. */
  setLoad(state: OpenLink, load: WorkerLoad | undefined): void {
    if (load?.slowness !== state.load?.slowness) {
      this.#medianSlowness = undefined;
    }
    if (load?.isTakingWork !== state.load?.isTakingWork) {
      this.#takersRevision += 1;
    }
    state.load = load;
  }

  /** Begins the session of a link. */
  open(link: WorkerLinkState, state: OpenLink): void {
    this.#recordChange();
    link.state = state;
  }

  /** Ends the session of a link. A link that is still selected requests a new one. */
  close(link: WorkerLinkState): void {
    this.#recordChange();
    if (link.state.phase === LinkPhase.Open) link.givenUp = link.state.session;
    if (this.#selected.has(link.address)) {
      link.state = newOpeningLink();
      return;
    }
    link.state = UNUSED_LINK;
    this.#used.delete(link);
  }

  /** Brings the links up to date with the members of the fleet. */
  update(): void {
    this.#updateMembers();
    const { evacuations } = this.#options.directory;
    if (!evacuations.isInUse) return;
    for (const link of this.#links.values()) {
      const isEvacuated = evacuations.isEvacuated(link.availabilityZone);
      if (link.isEvacuated !== isEvacuated) this.#takersRevision += 1;
      link.isEvacuated = isEvacuated;
    }
  }

  #updateMembers(): void {
    const { directory, collector } = this.#options;
    const isWidened = collector.now < this.#widenedUntil;
    const hasChanged = this.#membersRevision !== directory.membersRevision ||
      this.#isWidened !== isWidened;
    if (!hasChanged && !this.#isReleasePending) return;
    this.#membersRevision = directory.membersRevision;
    this.#isWidened = isWidened;
    if (hasChanged) this.#select();
    this.#isReleasePending = false;
    for (const link of this.all()) this.#releaseUnselected(link);
  }

  #recordChange(): void {
    this.#snapshot = undefined;
    this.#medianSlowness = undefined;
    this.#revision += 1;
    this.#takersRevision += 1;
  }

  #select(): void {
    this.#recordChange();
    const { directory, self } = this.#options;
    const sidecars = directory.membersOf(Role.Sidecar);
    const addresses = new Set(sidecars.map(({ address }) => address));
    const entries = directory.membersOf(Role.Entry);
    this.#selected = this.#isWidened
      ? addresses
      : selectSidecars({ self, entries, sidecars });
    for (const member of sidecars) {
      const link = this.#links.get(member.address) ?? newLink(member);
      this.#links.set(member.address, link);
      const isSelected = this.#selected.has(member.address);
      if (!isSelected || link.state.phase !== LinkPhase.Unused) continue;
      link.state = newOpeningLink();
      this.#used.add(link);
    }
    for (const link of this.#links.values()) {
      if (!addresses.has(link.address)) this.#remove(link);
    }
  }

  /** Removes the link to a member that has left, unless it is still in use. */
  #remove(link: WorkerLinkState): void {
    if (link.state.phase === LinkPhase.Open) return;
    this.#links.delete(link.address);
    this.#used.delete(link);
    this.#options.collector.record(
      EventNumber.MemberRemoved,
      "a sidecar was removed",
      { context: { member: link.process, address: link.address } },
    );
  }

  #releaseUnselected(link: WorkerLinkState): void {
    const { address, state } = link;
    if (this.#selected.has(address)) return;
    const isInUse = state.phase === LinkPhase.Open &&
      this.#options.holdsAttempts(address);
    if (isInUse) this.#isReleasePending = true;
    else this.close(link);
  }
}
