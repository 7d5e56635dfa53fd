/**
 * Tests that a sidecar which is removed from the members and added again keeps its session numbers at the entries.
 */
import { test } from "node:test";
import {
  DispatchInputKind,
  type FleetMember,
  type Milliseconds,
  Role,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 10_000;
const CUT_MILLISECONDS: Milliseconds = 450;

test("a session that was given up does not prove the end of its runs after its sidecar was added again", () => {
  const harness = new OverlappingRunsHarness();
  const { entry } = harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(500);
  const vm = harness.busyVm();
  const { network } = harness.system;
  network.cutLink("entry-1~", `${vm.name}~`);
  network.cutLink(`${vm.name}~`, "entry-1~");
  harness.advance(CUT_MILLISECONDS);
  const member: FleetMember = {
    process: vm.process.identifier,
    role: Role.Sidecar,
    address: vm.name,
    availabilityZone: "zone-a",
  };
  entry.process.receive({
    kind: DispatchInputKind.MembersRead,
    members: [],
    removedNames: [vm.name],
  });
  harness.advance(1);
  network.restoreAllLinks();
  entry.process.receive({
    kind: DispatchInputKind.MembersRead,
    members: [member],
    removedNames: [],
  });
  harness.advance(RUN_MILLISECONDS);
  expect(harness.overlaps).toEqual([]);
});
