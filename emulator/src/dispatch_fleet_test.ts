/**
 * Messages between the processes of the users' large deployment, and what its callers get.
 */
import { test } from "node:test";
import { expect } from "earl";
import { DispatchSystem } from "./dispatch_system.ts";
import type { FleetSize } from "./dispatch_vm.ts";
import { playLoad, shareInObjective } from "./load_player.ts";
import { kindsAtUtilisation } from "./user_loads.ts";

const LARGE_FLEET: FleetSize = { entries: 35, workers: 160, zones: 5 };
/** The smallest fleet in which entries use different sidecars. */
const MEDIUM_FLEET: FleetSize = { entries: 9, workers: 33, zones: 3 };
const SECOND = 1_000;
/** Messages that fit into the 9 KB a second that control may cost a node, at some 200 bytes a message. */
const MESSAGES_PER_NODE = 45;
/** The users' target for days with trouble on their large deployment. */
const LARGE_SHARE = 0.9;

test("without work, the messages of a process of a large fleet stay within its share of the network", () => {
  const system = new DispatchSystem({
    seed: 1,
    fleet: LARGE_FLEET,
    capacityMillicores: 32_000,
    observer: { onStart: () => {}, onEnd: () => {} },
    runMilliseconds: () => 50,
  });
  system.runUntil(15 * SECOND);
  const before = system.network.messages;
  system.runUntil(16 * SECOND);
  const nodes = LARGE_FLEET.entries + LARGE_FLEET.workers;
  expect((system.network.messages - before) / nodes).toBeLessThanOrEqual(
    MESSAGES_PER_NODE,
  );
});

test("callers of a fleet whose entries use different sidecars are served as in a small fleet", () => {
  const outcomes = playLoad({
    seed: 1,
    durationMilliseconds: 5 * SECOND,
    // The rates of the small fleet, for three times as many workers.
    kinds: kindsAtUtilisation(3 * 0.8),
    fleet: MEDIUM_FLEET,
  });
  for (const outcome of outcomes) {
    expect(shareInObjective([outcome])).toBeGreaterThanOrEqual(LARGE_SHARE);
  }
});
