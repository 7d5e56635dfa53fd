/**
 * Evacuations of an availability zone in virtual time, under load. Each test guards against a task that starts in
 * the evacuated zone, or against a restored zone that stays unused.
 */
import { describe, it } from "node:test";
import {
  ClientAnswerKind,
  EventNumber,
  type Milliseconds,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  EvacuationHarness,
  PASSING_ON_MILLISECONDS,
} from "./evacuation_harness.ts";

const SEEDS = [1, 2, 3];
/** Long enough for several rounds of the fleet state exchange and renewals. */
const EVACUATED_MILLISECONDS: Milliseconds = 4_000;

/** Lets an evacuation be known everywhere, then checks that nothing starts in the zone while other zones work. */
function expectEmptyZone(harness: EvacuationHarness): void {
  harness.advance(PASSING_ON_MILLISECONDS);
  const since = harness.system.time.now;
  harness.advance(EVACUATED_MILLISECONDS);
  expect(harness.startsSince(since, true)).toEqual(0);
  expect(harness.startsSince(since, false)).toBeGreaterThan(0);
}

function expectUsedZone(harness: EvacuationHarness): void {
  harness.advance(PASSING_ON_MILLISECONDS);
  const since = harness.system.time.now;
  harness.advance(EVACUATED_MILLISECONDS);
  expect(harness.startsSince(since, true)).toBeGreaterThan(0);
}

for (const seed of SEEDS) {
  describe(`an evacuation under load, seed ${seed}`, () => {
    it("ends the starts in the zone, interrupts no run, and uses the zone again after the restoration", () => {
      const harness = new EvacuationHarness(seed);
      harness.advance(1_000);
      expect(harness.startsSince(0, true)).toBeGreaterThan(0);
      harness.evacuate();
      expectEmptyZone(harness);
      harness.restore();
      expectUsedZone(harness);
      expect(harness.outcomes()).toEqual([ClientAnswerKind.Ended]);
    });

    it("reaches sidecars that cannot reach the store, while entries that know nothing send them tasks", () => {
      const harness = new EvacuationHarness(seed);
      const [informed, ...others] = harness.system.entries;
      harness.cutFromStore([...others, ...harness.zoneSidecars]);
      const since = harness.system.time.now;
      harness.evacuate();
      expectEmptyZone(harness);
      const evacuated = harness.processesWith(EventNumber.ZoneEvacuated, since);
      for (const vm of harness.zoneSidecars) {
        expect(evacuated.has(vm.process.identifier)).toEqual(true);
      }
      expect(informed && evacuated.has(informed.process.identifier))
        .toEqual(true);
    });

    it("reaches an entry that cannot reach the store within a second", () => {
      const harness = new EvacuationHarness(seed);
      const [cut] = harness.system.entries;
      if (cut === undefined) throw new TypeError("no entry");
      harness.cutFromStore([cut, ...harness.zoneSidecars]);
      const since = harness.system.time.now;
      harness.evacuate();
      harness.advance(PASSING_ON_MILLISECONDS);
      const evacuated = harness.processesWith(EventNumber.ZoneEvacuated, since);
      expect(evacuated.has(cut.process.identifier)).toEqual(true);
      expectEmptyZone(harness);
    });

    it("holds where only the sidecars of the zone can reach the store", () => {
      const harness = new EvacuationHarness(seed);
      harness.cutFromStore(harness.system.entries);
      harness.evacuate();
      expectEmptyZone(harness);
    });

    it("holds while every process restarts, with a store that it can reach", () => {
      const harness = new EvacuationHarness(seed);
      harness.evacuate();
      harness.advance(PASSING_ON_MILLISECONDS);
      const since = harness.system.time.now;
      for (const vm of harness.vms) {
        harness.restart(vm);
        harness.advance(300);
      }
      expectEmptyZone(harness);
      expect(harness.startsSince(since, true)).toEqual(0);
    });

    it("holds while every process restarts in turn and none can reach the store", () => {
      const harness = new EvacuationHarness(seed);
      harness.evacuate();
      harness.advance(PASSING_ON_MILLISECONDS);
      harness.cutFromStore(harness.vms);
      for (const vm of harness.vms) {
        harness.restart(vm);
        harness.advance(1_500);
      }
      expectEmptyZone(harness);
    });

    it("ends for all when one entry reads the restoration during an outage of the store", () => {
      const harness = new EvacuationHarness(seed);
      harness.evacuate();
      harness.advance(PASSING_ON_MILLISECONDS);
      harness.cutFromStore(
        harness.vms.filter((vm) => vm !== harness.system.entries[0]),
      );
      const since = harness.system.time.now;
      harness.restore();
      expectUsedZone(harness);
      const restored = harness.processesWith(EventNumber.ZoneRestored, since);
      for (const { process } of [...harness.zoneSidecars]) {
        expect(restored.has(process.identifier)).toEqual(true);
      }
    });

    it("ends when the zone was restored during an outage that all processes had", () => {
      const harness = new EvacuationHarness(seed);
      harness.evacuate();
      harness.advance(PASSING_ON_MILLISECONDS);
      harness.cutFromStore(harness.vms);
      harness.restore();
      expectEmptyZone(harness);
      harness.reconnectStore();
      expectUsedZone(harness);
    });

    it("is not taken back from a process that restarts after the restoration and knows of no evacuation", () => {
      const harness = new EvacuationHarness(seed);
      harness.evacuate();
      harness.advance(PASSING_ON_MILLISECONDS);
      const [restarted] = harness.system.entries;
      if (restarted === undefined) throw new TypeError("no entry");
      harness.cutFromStore(harness.vms.filter((vm) => vm !== restarted));
      harness.system.kill(restarted);
      harness.restore();
      harness.restart(restarted);
      expectUsedZone(harness);
    });
  });
}

it("an evacuation that never happens changes no message", () => {
  const harness = new EvacuationHarness(1);
  harness.advance(EVACUATED_MILLISECONDS);
  expect(harness.mentions).toEqual([]);
  harness.evacuate();
  harness.advance(PASSING_ON_MILLISECONDS);
  expect(harness.mentions.length).toBeGreaterThan(0);
});
