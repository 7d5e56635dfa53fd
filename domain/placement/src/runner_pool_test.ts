/**
 * The pool places within quotas, borrows what is free, and gives a failing runner a trickle.
 */
import { describe, test } from "node:test";
import { NoFreeSlotPolicy, type ProcessIdentifier } from "@eelgrassfront/model";
import { expect } from "earl";
import { SLOT_QUOTA_PLACEMENT } from "./placement_policy.ts";
import {
  PlacementOutcome,
  type PlacementRequest,
  RunnerPool,
} from "./runner_pool.ts";

const SELF: ProcessIdentifier = "owner-1~1";
const OTHER: ProcessIdentifier = "owner-2~1";
const RUNNER: ProcessIdentifier = "runner-1~1";
const SECOND_RUNNER: ProcessIdentifier = "runner-2~1";
const SLOTS = 4;

class Fixture {
  now = 0;
  readonly pool = new RunnerPool({
    policy: SLOT_QUOTA_PLACEMENT,
    isAvailable: () => true,
    random: () => 0,
    now: () => this.now,
  });

  constructor(runners: readonly ProcessIdentifier[] = [RUNNER]) {
    for (const process of runners) {
      this.pool.add({
        process,
        address: process,
        backendServer: {
          service: "service",
          slots: SLOTS,
          processorCores: 32,
          memoryMegabytes: 1_000,
          accelerators: 0,
        },
      });
    }
    this.pool.divideSlots(SELF, [
      { owner: SELF, shards: 1 },
      { owner: OTHER, shards: 1 },
    ]);
  }

  choose(changes: Partial<PlacementRequest> = {}) {
    return this.pool.choose({
      service: "service",
      requirements: { processorCores: 1, memoryMegabytes: 1, accelerators: 0 },
      isSubmissionUnserved: false,
      submissionTasks: 1,
      ...changes,
    });
  }

  tell(running: number): void {
    this.pool.recordLoad(RUNNER, {
      slots: SLOTS,
      running,
      queued: 0,
      expectedWaitMilliseconds: 0,
      isLeaving: false,
    });
  }

  placeAll(count: number): readonly (NoFreeSlotPolicy | undefined)[] {
    return Array.from({ length: count }, () => {
      const choice = this.choose();
      if (choice !== undefined) {
        this.pool.recordPlacement(choice.runner.process);
      }
      return choice?.claim;
    });
  }
}

describe("RunnerPool", () => {
  test("fills its quota, borrows free slots but one, and then waits", () => {
    expect(new Fixture().placeAll(4)).toEqual([
      NoFreeSlotPolicy.Wait,
      NoFreeSlotPolicy.Wait,
      NoFreeSlotPolicy.Refuse,
      undefined,
    ]);
  });

  test("lets a first task take the last free slot", () => {
    const fixture = new Fixture();
    fixture.placeAll(3);
    expect(fixture.choose({ isSubmissionUnserved: true })?.claim)
      .toEqual(NoFreeSlotPolicy.Refuse);
  });

  test("borrows nothing on an old word", () => {
    const fixture = new Fixture();
    fixture.tell(0);
    fixture.placeAll(2);
    fixture.now = 200;
    expect(fixture.choose()).toEqual(undefined);
  });

  test("waits at a full runner for a slot of its quota", () => {
    const fixture = new Fixture();
    fixture.tell(SLOTS);
    expect(fixture.choose({ isSubmissionUnserved: true })?.claim).toEqual(
      NoFreeSlotPolicy.Wait,
    );
  });

  test("knows that no runner could ever run a task", () => {
    const { pool } = new Fixture();
    const need = {
      service: "service",
      requirements: { processorCores: 1, memoryMegabytes: 1, accelerators: 1 },
    };
    expect(pool.isAnyRunnerCapable(need)).toEqual(false);
  });

  test("gives a runner that fails everything a trickle until a task succeeds", () => {
    const fixture = new Fixture([RUNNER, SECOND_RUNNER]);
    const { pool } = fixture;
    for (let count = 0; count < 5; count += 1) {
      pool.recordPlacement(RUNNER);
      pool.release(RUNNER, PlacementOutcome.Failed);
    }
    expect(fixture.choose()?.runner.process).toEqual(SECOND_RUNNER);
    fixture.now = 60_000;
    for (let count = 0; count < SLOTS; count += 1) {
      pool.recordPlacement(SECOND_RUNNER);
    }
    expect(fixture.choose()?.runner.process).toEqual(RUNNER);
    pool.recordPlacement(RUNNER);
    expect(fixture.choose()).toEqual(undefined);
    pool.release(RUNNER, PlacementOutcome.Succeeded);
    expect(fixture.choose()?.runner.process).toEqual(RUNNER);
  });

  test("blames no runner for failures that all share", () => {
    const fixture = new Fixture([RUNNER, SECOND_RUNNER]);
    for (const runner of [RUNNER, SECOND_RUNNER]) {
      for (let count = 0; count < 5; count += 1) {
        fixture.pool.recordPlacement(runner);
        fixture.pool.release(runner, PlacementOutcome.Failed);
      }
    }
    const fresh = { isSubmissionUnserved: true };
    expect(fixture.choose(fresh)).not.toEqual(undefined);
  });
});
