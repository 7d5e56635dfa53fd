/**
 * Tests of the evacuated zones: each guards against a zone that takes work while it is evacuated, or that gets none
 * after it was restored.
 */
import { describe, it } from "node:test";
import { EvacuationReadKind, ZoneChangeKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { ZoneEvacuations } from "./zone_evacuations.ts";

const EVACUATED = { kind: ZoneChangeKind.Evacuated, zone: "a" };
const RESTORED = { kind: ZoneChangeKind.Restored, zone: "a" };

function evacuated(offset: number): ZoneEvacuations {
  const evacuations = new ZoneEvacuations();
  evacuations.merge({ offset, zones: ["a"] });
  return evacuations;
}

describe("the evacuated zones", () => {
  it("keep the newer state when a peer sends an older one, which would restore the zone", () => {
    const evacuations = evacuated(7);
    expect(evacuations.merge({ offset: 5, zones: [] })).toEqual([]);
    expect(evacuations.isEvacuated("a")).toEqual(true);
  });

  it("take the newer state of a peer, without which the zone stays evacuated during an outage", () => {
    const evacuations = evacuated(7);
    expect(evacuations.merge({ offset: 8, zones: [] })).toEqual([RESTORED]);
    expect(evacuations.isEvacuated("a")).toEqual(false);
  });

  it("restore a zone that a complete read lacks: its deletion may be gone from the topic", () => {
    const evacuations = evacuated(7);
    const changes = evacuations.apply({
      kind: EvacuationReadKind.Complete,
      state: { offset: 9, zones: [] },
    });
    expect(changes).toEqual([RESTORED]);
  });

  it("keep a zone that a read of changes does not mention", () => {
    const evacuations = evacuated(7);
    const other = { kind: ZoneChangeKind.Evacuated, zone: "b" };
    const changes = evacuations.apply({
      kind: EvacuationReadKind.Changes,
      offset: 8,
      changes: [other],
    });
    expect(changes).toEqual([other]);
    expect(evacuations.state).toEqual({ offset: 8, zones: ["a", "b"] });
  });

  it("apply changes that a peer's state includes in part, so that the last change of a zone holds", () => {
    const evacuations = evacuated(7);
    evacuations.merge({ offset: 8, zones: [] });
    const changes = evacuations.apply({
      kind: EvacuationReadKind.Changes,
      offset: 10,
      changes: [EVACUATED, RESTORED, EVACUATED],
    });
    expect(changes).toEqual([EVACUATED]);
  });

  it("ignore changes up to an offset that a peer's state includes, which would undo a later change", () => {
    const evacuations = new ZoneEvacuations();
    evacuations.merge({ offset: 9, zones: [] });
    const changes = evacuations.apply({
      kind: EvacuationReadKind.Changes,
      offset: 8,
      changes: [EVACUATED],
    });
    expect(changes).toEqual([]);
    expect(evacuations.isEvacuated("a")).toEqual(false);
  });

  it("are not in use before the first evacuation, so that no message mentions them", () => {
    const evacuations = new ZoneEvacuations();
    const state = { offset: 9, zones: [] };
    evacuations.apply({ kind: EvacuationReadKind.Complete, state });
    expect(evacuations.isInUse).toEqual(false);
    evacuations.apply({
      kind: EvacuationReadKind.Changes,
      offset: 10,
      changes: [EVACUATED],
    });
    evacuations.apply({
      kind: EvacuationReadKind.Changes,
      offset: 11,
      changes: [RESTORED],
    });
    expect(evacuations.isInUse).toEqual(true);
  });
});
