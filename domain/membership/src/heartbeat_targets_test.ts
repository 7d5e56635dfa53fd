/**
 * Each role watches the members whose replies it acts on, and no more as the fleet grows.
 */
import { test } from "node:test";
import { ConfigurationTracker } from "@eelgrassfront/configuration";
import { createLogRead, createMemberJoined } from "@eelgrassfront/fixtures";
import {
  ClaimReason,
  type LogRecord,
  LogRecordKind,
  type ProcessIdentifier,
  processIdentifier,
  Role,
} from "@eelgrassfront/model";
import { ownerCandidates, OwnershipTable } from "@eelgrassfront/ownership";
import { expect } from "earl";
import { FleetView } from "./fleet_view.ts";
import { HeartbeatTargets } from "./heartbeat_targets.ts";

const SIDECARS = 200;
const OWNERS = 3;
const WITNESSES = 14;
const names = Array.from({ length: SIDECARS }, (_, index) => sidecar(index));
const candidates = ownerCandidates(names, OWNERS * 2);
const owner = sidecar(150);

test("a sidecar watches witnesses, owners and candidates, however large the fleet", () => {
  const ordinary = names.find((name) =>
    names.indexOf(name) >= WITNESSES && name !== owner &&
    !candidates.includes(name)
  );
  const watched = watchedBy(ordinary ?? sidecar(0), Role.Sidecar);
  const expected = new Set([
    ...names.slice(0, WITNESSES),
    owner,
    ...candidates,
  ]);
  expect(new Set(watched)).toEqual(expected);
});

test("an owner watches every sidecar and no entry", () => {
  const watched = watchedBy(owner, Role.Sidecar);
  expect(new Set(watched)).toEqual(
    new Set(names.filter((name) => name !== owner)),
  );
});

test("the first reachable sidecars watch every member, entries too", () => {
  const all = [...names, entry()];
  expect(new Set(watchedBy(sidecar(2), Role.Sidecar))).toEqual(
    new Set(all.filter((name) => name !== sidecar(2))),
  );
  expect(watchedBy(sidecar(3), Role.Sidecar).includes(entry())).toEqual(false);
});

test("the next sidecars watch every member when the first are unreachable", () => {
  const unreachable = names.slice(0, 3);
  const watched = watchedBy(sidecar(3), Role.Sidecar, unreachable);
  expect(watched.includes(entry())).toEqual(true);
});

test("an entry watches the owners and a few sidecars", () => {
  const watched = watchedBy(entry(), Role.Entry);
  expect(new Set(watched)).toEqual(new Set([...names.slice(0, 3), owner]));
});

function watchedBy(
  self: ProcessIdentifier,
  role: Role,
  unreachable: readonly ProcessIdentifier[] = [],
): readonly ProcessIdentifier[] {
  const view = viewOfFleet();
  const targets = new HeartbeatTargets({
    self,
    role,
    view,
    ownerCount: OWNERS,
    witnesses: () => view.sidecars().slice(0, WITNESSES),
    isReachable: (peer) => !unreachable.includes(peer),
  });
  return targets.members().map(({ joined }) => joined.process);
}

function viewOfFleet(): FleetView {
  const view = new FleetView({
    ownership: new OwnershipTable(),
    configuration: new ConfigurationTracker(),
    horizonMilliseconds: 600_000,
  });
  const records: readonly LogRecord[] = [
    ...names.map((name) => createMemberJoined(name, Role.Sidecar)),
    createMemberJoined(entry(), Role.Entry),
    {
      kind: LogRecordKind.ShardsClaimed,
      claimant: owner,
      reason: ClaimReason.Unowned,
      claims: [{ shard: 0, replaces: 0 }],
    },
  ];
  view.applyRead(createLogRead(records));
  return view;
}

function sidecar(index: number): ProcessIdentifier {
  return processIdentifier(`sidecar-${index}`, "1");
}

function entry(): ProcessIdentifier {
  return processIdentifier("entry-0", "1");
}
