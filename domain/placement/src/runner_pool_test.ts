/**
 * The pool places tasks within quotas, borrows free slots, and gives a failing runner only probe tasks.
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
const RUNNER_1: ProcessIdentifier = "runner-1~1";
const RUNNER_2: ProcessIdentifier = "runner-2~1";
const SLOTS = 4;

class RunnerPoolHarness {
  now = 0;
  readonly pool = new RunnerPool({
    policy: SLOT_QUOTA_PLACEMENT,
    isAvailable: () => true,
    random: () => 0,
    now: () => this.now,
  });

  constructor(runners: readonly ProcessIdentifier[] = [RUNNER_1]) {
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

  reportRunning(running: number): void {
    this.pool.recordLoad(RUNNER_1, {
      slots: SLOTS,
      running,
      queued: 0,
      expectedWaitMilliseconds: 0,
      isLeaving: false,
    });
  }

  placeAll(count: number): readonly (NoFreeSlotPolicy | undefined)[] {
    return Array.from({ length: count }, () => {
      const found = this.choose();
      if (found !== undefined) this.pool.recordPlacement(found.runner.process);
      return found?.noFreeSlotPolicy;
    });
  }
}

describe("RunnerPool", () => {
  test("fills its quota, then borrows all free slots but one, then places nothing", () => {
    expect(new RunnerPoolHarness().placeAll(4)).toEqual([
      NoFreeSlotPolicy.Wait,
      NoFreeSlotPolicy.Wait,
      NoFreeSlotPolicy.Refuse,
      undefined,
    ]);
  });

  test("lets the first task of a submission take the last free slot", () => {
    const harness = new RunnerPoolHarness();
    harness.placeAll(3);
    expect(harness.choose({ isSubmissionUnserved: true })?.noFreeSlotPolicy)
      .toEqual(NoFreeSlotPolicy.Refuse);
  });

  test("borrows no slots when the reported load is old", () => {
    const harness = new RunnerPoolHarness();
    harness.reportRunning(0);
    harness.placeAll(2);
    harness.now = 200;
    expect(harness.choose()).toEqual(undefined);
  });

  test("lets a task wait at a full runner for a slot of its quota", () => {
    const harness = new RunnerPoolHarness();
    harness.reportRunning(SLOTS);
    expect(harness.choose({ isSubmissionUnserved: true })?.noFreeSlotPolicy)
      .toEqual(
        NoFreeSlotPolicy.Wait,
      );
  });

  test("reports that no runner could ever run a task", () => {
    const { pool } = new RunnerPoolHarness();
    const required = {
      service: "service",
      requirements: { processorCores: 1, memoryMegabytes: 1, accelerators: 1 },
    };
    expect(pool.isAnyRunnerCapable(required)).toEqual(false);
  });

  test("gives a runner that fails every task only probe tasks until one succeeds", () => {
    const harness = new RunnerPoolHarness([RUNNER_1, RUNNER_2]);
    const { pool } = harness;
    for (let count = 0; count < 5; count += 1) {
      pool.recordPlacement(RUNNER_1);
      pool.release(RUNNER_1, PlacementOutcome.Failed);
    }
    expect(harness.choose()?.runner.process).toEqual(RUNNER_2);
    harness.now = 60_000;
    for (let task = 0; task < SLOTS; task += 1) pool.recordPlacement(RUNNER_2);
    expect(harness.choose()?.runner.process).toEqual(RUNNER_1);
    pool.recordPlacement(RUNNER_1);
    expect(harness.choose()).toEqual(undefined);
    pool.release(RUNNER_1, PlacementOutcome.Succeeded);
    expect(harness.choose()?.runner.process).toEqual(RUNNER_1);
  });

  test("treats no runner as an outlier when all runners fail", () => {
    const harness = new RunnerPoolHarness([RUNNER_1, RUNNER_2]);
    for (const runner of [RUNNER_1, RUNNER_2]) {
      for (let count = 0; count < 5; count += 1) {
        harness.pool.recordPlacement(runner);
        harness.pool.release(runner, PlacementOutcome.Failed);
      }
    }
    const fresh = { isSubmissionUnserved: true };
    expect(harness.choose(fresh)).not.toEqual(undefined);
  });
});
