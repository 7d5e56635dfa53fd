/**
 * A process's view of the members, the configuration and the evacuated zones, from the platform's store and from
 * peers. The version of the configuration never decreases. Of two incarnations of a process, the one received last from
 * the store or from the process itself counts.
 */
import { ZoneEvacuations } from "@eelgrassfront/evacuation";
import {
  type ExchangeFleetState,
  type FleetMember,
  type FleetState,
  processName,
  type Role,
  type WorkConfiguration,
} from "@eelgrassfront/model";
import { stableHash } from "@eelgrassfront/ownership";

/** Members, configuration and evacuated zones known to one process. */
export class FleetDirectory {
  readonly evacuations = new ZoneEvacuations();
  readonly #members = new Map<string, FleetMember>();
  #configuration: WorkConfiguration | undefined;
  #membersRevision = 0;
  #membersDigest = 0;

  /** Digest of all members, equal in processes that know the same ones. */
  get membersDigest(): number {
    return this.#membersDigest;
  }

  /** Number that increases with each change of the members. */
  get membersRevision(): number {
    return this.#membersRevision;
  }

  /** The configuration in force. */
  get configuration(): WorkConfiguration | undefined {
    return this.#configuration;
  }

  /** Version of the configuration in force; 0 for none. */
  get configurationVersion(): number {
    return this.#configuration?.version ?? 0;
  }

  /** Replaces the configuration by a newer version. Returns whether the version was newer. */
  updateConfiguration(configuration: WorkConfiguration): boolean {
    if (configuration.version <= this.configurationVersion) return false;
    this.#configuration = configuration;
    return true;
  }

  /** Adds or replaces a member. Returns whether its incarnation or its address is new. */
  updateMember(member: FleetMember): boolean {
    const name = processName(member.process);
    const known = this.#members.get(name);
    const isNew = known?.process !== member.process ||
      known.address !== member.address;
    if (!isNew) return false;
    this.#membersRevision += 1;
    this.#toggleInDigest(known);
    this.#toggleInDigest(member);
    this.#members.set(name, member);
    return true;
  }

  /** Adds a member that a peer reported, unless its name is already known. Returns whether it was added. */
  addMemberFromPeer(member: FleetMember): boolean {
    return !this.#members.has(processName(member.process)) &&
      this.updateMember(member);
  }

  /** Removes a member by its name. Returns whether the member was known. */
  removeMember(name: string): boolean {
    this.#membersRevision += 1;
    this.#toggleInDigest(this.#members.get(name));
    return this.#members.delete(name);
  }

  /** Returns the members of one role. */
  membersOf(role: Role): readonly FleetMember[] {
    return [...this.#members.values()].filter((member) => member.role === role);
  }

  /**
   * Returns what a peer lacks: all members if its digest of them differs, and the configuration and the evacuated
   * zones if they are newer than the peer's.
   */
  stateFor(
    { configurationVersion, membersDigest, evacuationOffset }:
      ExchangeFleetState,
  ): FleetState {
    const { state, isInUse } = this.evacuations;
    const isEvacuationNewer = isInUse && state.offset > (evacuationOffset ?? 0);
    const evacuations = isEvacuationNewer ? { evacuations: state } : {};
    const members = membersDigest === this.#membersDigest
      ? []
      : [...this.#members.values()];
    const isNewer = this.configurationVersion > configurationVersion;
    return this.#configuration === undefined || !isNewer
      ? { members, ...evacuations }
      : { configuration: this.#configuration, members, ...evacuations };
  }

  /** Adds a member to the digest, or takes it out again. */
  #toggleInDigest(member: FleetMember | undefined): void {
    if (member === undefined) return;
    this.#membersDigest ^= stableHash(`${member.process} ${member.address}`);
  }
}
