/**
 * Members and configuration as one process knows them, from the platform's store and from peers. A
 * version of the configuration never goes back; of two runs of a process the one heard last counts.
 */
import {
  type FleetMember,
  type FleetState,
  processName,
  type Role,
  type WorkConfiguration,
} from "@eelgrassfront/model";

/** What one process knows of the fleet. */
export class FleetDirectory {
  readonly #members = new Map<string, FleetMember>();
  #configuration: WorkConfiguration | undefined;
  #membersRevision = 0;

  /** Rises with each change of the members. */
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

  /** Takes a newer version. Returns whether it is in force now. */
  updateConfiguration(configuration: WorkConfiguration): boolean {
    if (configuration.version <= this.configurationVersion) return false;
    this.#configuration = configuration;
    return true;
  }

  /** Takes a member. Returns whether it is news. */
  updateMember(member: FleetMember): boolean {
    const name = processName(member.process);
    const known = this.#members.get(name);
    const isNews = known?.process !== member.process ||
      known.address !== member.address;
    if (isNews) this.#membersRevision += 1;
    this.#members.set(name, member);
    return isNews;
  }

  /** Takes a member that a peer told of; what is known of the same name goes first. */
  addMemberFromPeer(member: FleetMember): boolean {
    return !this.#members.has(processName(member.process)) &&
      this.updateMember(member);
  }

  /** Forgets a member. */
  removeMember(name: string): boolean {
    this.#membersRevision += 1;
    return this.#members.delete(name);
  }

  /** Members of one role. */
  membersOf(role: Role): readonly FleetMember[] {
    return [...this.#members.values()].filter((member) => member.role === role);
  }

  /** What a peer with this version of the configuration does not know. */
  stateFor(configurationVersion: number): FleetState {
    const members = [...this.#members.values()];
    const isNewer = this.configurationVersion > configurationVersion;
    return this.#configuration === undefined || !isNewer
      ? { members }
      : { configuration: this.#configuration, members };
  }
}
