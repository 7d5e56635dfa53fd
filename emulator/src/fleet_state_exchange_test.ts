/**
 * Tests the fleet state exchange while the store is unavailable.
 */
import { test } from "node:test";
import { ClientAnswerKind, JobRequestKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { DispatchSystem } from "./dispatch_system.ts";

test("entries that all restart while the store is unavailable get the configuration from sidecars", () => {
  const system = new DispatchSystem({
    seed: 1,
    fleet: { entries: 2, workers: 2, zones: 1 },
    capacityMillicores: 8_000,
    observer: { onStart: () => {}, onEnd: () => {} },
    runMilliseconds: () => 50,
  });
  system.publish({
    version: 9,
    routes: [{
      name: "scan",
      host: "checks.example",
      requestPrefix: "/scan/",
      service: "service",
      priority: 0,
      maximumAttempts: 3,
      slackFactor: 1.6,
      latencyAllowanceMilliseconds: 60,
    }],
  });
  system.runUntil(3_000);
  system.isStoreUnavailable = true;
  for (const entry of system.entries) system.kill(entry);
  system.runUntil(4_000);
  for (const entry of system.entries) system.restart(entry);
  system.runUntil(6_000);
  const outcomes: string[] = [];
  for (const [index, entry] of system.entries.entries()) {
    const resources = {
      processorMillicores: 1_000,
      memoryMegabytes: 1,
      accelerators: 0,
    };
    const step = {
      taskCount: 2,
      resources,
      estimatedMilliseconds: 50,
      dependsOn: [],
    };
    system.submit(
      entry,
      { host: "checks.example", path: `/scan/job${index}` },
      { kind: JobRequestKind.Runnable, job: { content: "", steps: [step] } },
      5_000,
      ({ kind }) => outcomes.push(kind),
    );
  }
  system.runUntil(8_000);
  expect(outcomes).toEqual([ClientAnswerKind.Ended, ClientAnswerKind.Ended]);
});
