/**
 * A process's view of the evacuated zones, from the platform's store and from peers. The state with the higher
 * offset of the operators' topic holds, whichever way it came.
 */
import {
  assertNever,
  type EvacuationRead,
  EvacuationReadKind,
  type EvacuationState,
  type ZoneChange,
  ZoneChangeKind,
} from "@eelgrassfront/model";

/** State before the first read. */
const INITIAL_STATE: EvacuationState = { offset: 0, zones: [] };

/** Keeps the evacuated zones. */
export class ZoneEvacuations {
  #state = INITIAL_STATE;
  #isInUse = false;

  /** The evacuated zones and the offset up to which they are known. */
  get state(): EvacuationState {
    return this.#state;
  }

  /**
   * Whether a zone is or was evacuated, as far as this process knows. Until then no message mentions evacuations.
   */
  get isInUse(): boolean {
    return this.#isInUse;
  }

  /** Returns whether the operators have evacuated a zone. */
  isEvacuated(zone: string): boolean {
    return this.#state.zones.includes(zone);
  }

  /** Records that a peer knows of an evacuation, so that this process passes on its newer state. */
  markInUse(): void {
    this.#isInUse = true;
  }

  /** Applies a state that a peer sent. Returns the zones that changed. */
  merge(state: EvacuationState): readonly ZoneChange[] {
    this.#isInUse = true;
    return this.#replace(state);
  }

  /** Applies a read of the operators' topic. Returns the zones that changed. */
  apply(read: EvacuationRead): readonly ZoneChange[] {
    switch (read.kind) {
      case EvacuationReadKind.Complete:
        return this.#replace(read.state);
      case EvacuationReadKind.Changes:
        // A state from a peer may include some of the changes. They apply again without effect, since the last
        // change of each zone counts.
        return this.#replace({
          offset: read.offset,
          zones: changedZones(this.#state.zones, read.changes),
        });
      default:
        return assertNever(read);
    }
  }

  #replace(state: EvacuationState): readonly ZoneChange[] {
    const earlier = this.#state;
    if (state.offset <= earlier.offset) return [];
    this.#state = { offset: state.offset, zones: state.zones };
    this.#isInUse ||= state.zones.length > 0;
    return [
      ...difference(state.zones, earlier.zones, ZoneChangeKind.Evacuated),
      ...difference(earlier.zones, state.zones, ZoneChangeKind.Restored),
    ];
  }
}

function changedZones(
  zones: readonly string[],
  changes: readonly ZoneChange[],
): readonly string[] {
  const changed = new Set(zones);
  for (const { kind, zone } of changes) {
    switch (kind) {
      case ZoneChangeKind.Evacuated:
        changed.add(zone);
        break;
      case ZoneChangeKind.Restored:
        changed.delete(zone);
        break;
      default:
        assertNever(kind);
    }
  }
  return [...changed];
}

function difference(
  zones: readonly string[],
  others: readonly string[],
  kind: ZoneChangeKind,
): readonly ZoneChange[] {
  return zones.filter((zone) => !others.includes(zone))
    .map((zone) => ({ kind, zone }));
}
