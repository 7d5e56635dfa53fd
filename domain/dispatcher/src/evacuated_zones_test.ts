/**
 * Tests of an entry while availability zones are evacuated.
 */
import { describe, it } from "node:test";
import {
  ClientAnswerKind,
  DispatchInputKind,
  DispatchRequestKind,
  EvacuationReadKind,
  JobRefusalReason,
  Role,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { DispatcherHarness } from "./dispatcher_harness.ts";

const ZONE = "zone-a";
const OTHER_ZONE = "zone-b";

function read(
  harness: DispatcherHarness,
  offset: number,
  zones: readonly string[],
): void {
  harness.step({
    kind: DispatchInputKind.EvacuationsRead,
    read: { kind: EvacuationReadKind.Complete, state: { offset, zones } },
  });
}

function refusalOf(
  harness: DispatcherHarness,
  request: number,
): JobRefusalReason | undefined {
  const answer = harness.answerTo(request);
  return answer?.kind === ClientAnswerKind.Refused ? answer.reason : undefined;
}

/** An entry with a sidecar in each zone: `near` in the evacuated one, and `far` in the other one. */
function twoZones(
  free: Readonly<Record<string, number>> = { near: 8_000, far: 8_000 },
): DispatcherHarness {
  const harness = DispatcherHarness.ready(["near"], free);
  harness.setFree("far", free["far"] ?? 0);
  harness.step({
    kind: DispatchInputKind.MembersRead,
    members: [{
      process: "far~a",
      role: Role.Sidecar,
      address: "far",
      availabilityZone: OTHER_ZONE,
    }],
    removedNames: [],
  });
  harness.runTo(200);
  return harness;
}

const JOB = { tasks: 1, millicores: 1_000 };

describe("an entry during an evacuation", () => {
  it("places nothing in the zone, and places there again after the restoration", () => {
    const harness = twoZones();
    read(harness, 1, [ZONE]);
    harness.submit(1, { ...JOB, id: "a" });
    read(harness, 2, []);
    harness.submit(2, { ...JOB, id: "b" });
    expect(harness.placementAddresses()).toEqual(["far", "near"]);
  });

  it("refuses at once a job whose only capable workers are there: a wait would end in a later refusal", () => {
    const harness = DispatcherHarness.ready(["one"], { one: 8_000 });
    read(harness, 1, [ZONE]);
    harness.submit(1, { ...JOB, id: "a" });
    expect(refusalOf(harness, 1)).toEqual(JobRefusalReason.ZonesEvacuated);
    expect(harness.placementAddresses()).toEqual([]);
  });

  it("keeps the promise of the refusal when the zone is restored at once: nothing of the job is placed", () => {
    const harness = DispatcherHarness.ready(["one"], { one: 8_000 });
    read(harness, 1, [ZONE]);
    harness.submit(1, { ...JOB, id: "a" });
    read(harness, 2, []);
    harness.runTo(400);
    expect(harness.placementAddresses()).toEqual([]);
  });

  it("refuses a waiting job once its only capable workers are evacuated, which would block the others", () => {
    const harness = DispatcherHarness.ready(["one"], { one: 2_000 });
    harness.submit(1, { ...JOB, id: "a", millicores: 3_000 });
    expect(harness.answerTo(1)).toEqual(undefined);
    read(harness, 1, [ZONE]);
    harness.runTo(250);
    expect(refusalOf(harness, 1)).toEqual(JobRefusalReason.ZonesEvacuated);
  });

  it("lets the active runs there end normally", () => {
    const harness = DispatcherHarness.ready(["one"], { one: 8_000 });
    harness.submit(1, { ...JOB, id: "a" });
    read(harness, 1, [ZONE]);
    harness.runTo(200);
    expect(harness.sent(DispatchRequestKind.CancelTaskAttempt)).toEqual([]);
    harness.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 50 });
    expect(harness.answerTo(1)?.kind).toEqual(ClientAnswerKind.Ended);
  });

  it("does not count the capacity there in admission: a job that could not start in time would be accepted", () => {
    const job = { id: "a", tasks: 1, millicores: 8_000 };
    const harness = twoZones({ near: 0, far: 0 });
    harness.submit(1, job);
    expect(harness.answerTo(1)).toEqual(undefined);
    const evacuated = twoZones({ near: 0, far: 0 });
    read(evacuated, 1, [ZONE]);
    evacuated.submit(1, job);
    expect(refusalOf(evacuated, 1)).toEqual(JobRefusalReason.Overloaded);
  });

  it("carries the state once in each session: a sidecar that cannot reach the store needs it", () => {
    const harness = twoZones();
    read(harness, 1, [ZONE]);
    harness.runTo(1_000);
    const carried = harness.carriedEvacuations();
    expect(carried.map(({ address }) => address).toSorted()).toEqual([
      "far",
      "near",
    ]);
  });

  it("carries the state again after a connection loss, which may have lost the renewal", () => {
    const harness = DispatcherHarness.ready(["one"], { one: 8_000 });
    harness.submit(1, { ...JOB, id: "a" });
    read(harness, 1, [ZONE]);
    harness.runTo(400);
    harness.loseConnection("one");
    harness.runTo(800);
    expect(harness.carriedEvacuations().length).toEqual(2);
  });

  it("prefers warm workers after the restoration, so that cold ones get work by degrees", () => {
    const harness = DispatcherHarness.ready(["cold", "warm"], {
      cold: 8_000,
      warm: 2_000,
    });
    harness.setCold("cold");
    harness.runTo(400);
    harness.submit(1, { ...JOB, id: "a", tasks: 3 });
    expect(harness.placementAddresses()).toEqual(["warm", "warm", "cold"]);
  });
});
