/**
 * Tests of an entry while availability zones are evacuated.
 */
import { describe, it } from "node:test";
import {
  ClientAnswerKind,
  DispatchInputKind,
  DispatchReplyKind,
  DispatchRequestKind,
  EvacuationReadKind,
  type FleetMember,
  JobRefusalReason,
  processIdentifier,
  Role,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { jobOf } from "./claims_harness.ts";
import { DispatcherHarness } from "./dispatcher_harness.ts";
import { selectSidecars } from "./sidecar_selection.ts";
import { TrialWorkers } from "./trial_workers.ts";
import {
  newLink,
  newOpenLink,
  type WorkerLinkState,
} from "./worker_link_state.ts";

const ZONE = "zone-a";
const OTHER_ZONE = "zone-b";
const OTHER_ENTRIES = 19;

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

/** Returns a sidecar that the entry uses, or one that it does not use, among many entries. */
function sidecarOf(
  prefix: string,
  availabilityZone: string,
  isUsed: boolean,
): FleetMember {
  const memberOf = (name: string, role: Role, zone: string): FleetMember => ({
    process: processIdentifier(name, "a"),
    role,
    address: name,
    availabilityZone: zone,
  });
  const self = memberOf("entry-1", Role.Entry, ZONE);
  const entries = Array.from(
    { length: OTHER_ENTRIES },
    (_, index) => memberOf(`entry-${index + 2}`, Role.Entry, ZONE),
  );
  for (let index = 0; index < 1_000; index += 1) {
    const name = `${prefix}-${index}`;
    const sidecar = memberOf(name, Role.Sidecar, availabilityZone);
    const used = selectSidecars({ self, entries, sidecars: [sidecar] });
    if (used.has(name) === isUsed) return sidecar;
  }
  throw new Error(`no sidecar ${prefix} is found`);
}

function openLinkTo(address: string): WorkerLinkState {
  const link = newLink({
    process: processIdentifier(address, "a"),
    role: Role.Sidecar,
    address,
    availabilityZone: ZONE,
  });
  const capacity = {
    processorMillicores: 8_000,
    memoryMegabytes: 1,
    accelerators: 0,
  };
  const profile = { worker: address, service: "service", labels: [], capacity };
  const kind = DispatchReplyKind.SessionGranted;
  link.state = newOpenLink({ kind, session: 1, profile }, 0, 0);
  return link;
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

  it("asks sidecars that it does not use before it refuses a job: other zones may have capable workers", () => {
    const near = sidecarOf("near", ZONE, true);
    const far = sidecarOf("far", OTHER_ZONE, false);
    const free = { [near.address]: 8_000 };
    const harness = DispatcherHarness.ready([near.address], free);
    harness.setFree(far.address, 8_000);
    harness.learnEntries(OTHER_ENTRIES);
    harness.step({
      kind: DispatchInputKind.MembersRead,
      members: [far],
      removedNames: [],
    });
    harness.runTo(400);
    harness.takeRenewals();
    read(harness, 1, [ZONE]);
    const id = jobOf("entry-1", OTHER_ENTRIES);
    harness.submit(1, { ...JOB, id });
    harness.runTo(500);
    expect(harness.answerTo(1)).toEqual(undefined);
    expect(harness.placementAddresses()).toEqual([far.address]);
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

  it("chooses trial workers outside the zone: suspect jobs would wait there until they are refused", () => {
    const links = ["one", "two", "three"].map(openLinkTo);
    const workers = new TrialWorkers();
    workers.observe(0, links);
    const [trial] = workers.of("service");
    const evacuated = links.find(({ address }) => address === trial);
    if (evacuated === undefined) throw new TypeError("no trial worker");
    evacuated.isEvacuated = true;
    workers.observe(100, links);
    expect(workers.of("service").has(evacuated.address)).toEqual(false);
    expect(workers.of("service").size).toEqual(1);
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
