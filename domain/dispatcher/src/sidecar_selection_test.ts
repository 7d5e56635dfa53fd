/**
 * Selection of sidecars by the entries of the users' large deployment.
 */
import { test } from "node:test";
import { type FleetMember, Role } from "@eelgrassfront/model";
import { expect } from "earl";
import { ENTRIES_PER_SIDECAR, selectSidecars } from "./sidecar_selection.ts";

const ZONES = ["a", "b", "c", "d", "e"];

function members(role: Role, count: number, zones = ZONES): FleetMember[] {
  return Array.from({ length: count }, (_, index) => ({
    process: `${role}-${index}~1`,
    role,
    address: `${role}-${index}`,
    availabilityZone: zones[index % zones.length] ?? "",
  }));
}

function selections(
  entries: readonly FleetMember[],
  sidecars: readonly FleetMember[],
) {
  return entries.map((self) => selectSidecars({ self, entries, sidecars }));
}

function entriesOf(selected: readonly ReadonlySet<string>[], address: string) {
  return selected.filter((addresses) => addresses.has(address)).length;
}

const entries = members(Role.Entry, 35);
const sidecars = members(Role.Sidecar, 160);

test("every sidecar of a large fleet serves the same number of entries", () => {
  const selected = selections(entries, sidecars);
  const counts = sidecars.map(({ address }) => entriesOf(selected, address));
  expect(new Set(counts)).toEqual(new Set([ENTRIES_PER_SIDECAR]));
});

test("an entry of a large fleet uses a fraction of the sidecars, in every zone", () => {
  for (const selected of selections(entries, sidecars)) {
    expect(selected.size).toBeLessThanOrEqual(40);
    const zones = sidecars
      .filter(({ address }) => selected.has(address))
      .map(({ availabilityZone }) => availabilityZone);
    expect(new Set(zones).size).toBeGreaterThanOrEqual(3);
  }
});

test("in a small fleet every entry uses every sidecar, however the zones are filled", () => {
  for (const zones of [ZONES, ["a"], ["a", "a", "a", "a", "b"]]) {
    const few = members(Role.Entry, ENTRIES_PER_SIDECAR, zones);
    for (const selected of selections(few, members(Role.Sidecar, 11))) {
      expect(selected.size).toEqual(11);
    }
  }
});

test("the departure of an entry moves only its own sidecars", () => {
  const remaining = entries.slice(1);
  const before = selections(entries, sidecars).slice(1);
  const after = selections(remaining, sidecars);
  const lost = before.flatMap((selected, index) =>
    [...selected].filter((address) => after[index]?.has(address) !== true)
  );
  expect(lost).toEqual([]);
});
