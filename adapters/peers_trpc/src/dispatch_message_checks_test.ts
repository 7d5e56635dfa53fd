/**
 * Messages in an unknown form between entries and sidecars: each is rejected before it reaches the state
 * machine, whichever field is missing or has another type.
 */
import { test } from "node:test";
import {
  type DispatchReply,
  DispatchReplyKind,
  type DispatchRequest,
  DispatchRequestKind,
  NotStartedReason,
  PeerReplyKind,
  Role,
  SettlementKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { damaged } from "./damaged_message.ts";
import {
  isDispatchReply,
  isDispatchRequest,
} from "./dispatch_message_checks.ts";

const RESOURCES = {
  processorMillicores: 1_000,
  memoryMegabytes: 64,
  accelerators: 0,
};
const TASK = { job: "a", step: 0, index: 0 };
const MEMBER = {
  process: "entry-1~a",
  role: Role.Entry,
  address: "127.0.0.1:7720",
  availabilityZone: "zone-a",
} as const;
const LOAD = {
  revision: 1,
  worker: "i-1",
  free: RESOURCES,
  slowness: 1,
  isTakingWork: true,
  requestsTaken: 0,
};

const EVACUATIONS = { offset: 4, zones: ["zone-a"] };

const REQUESTS: readonly DispatchRequest[] = [
  { kind: DispatchRequestKind.OpenSession, givenUp: 0 },
  { kind: DispatchRequestKind.RenewSession, session: 1 },
  {
    kind: DispatchRequestKind.RenewSession,
    session: 1,
    evacuations: EVACUATIONS,
  },
  {
    kind: DispatchRequestKind.RunTask,
    session: 1,
    task: TASK,
    attempt: 1,
    content: "",
    resources: RESOURCES,
    expectedMilliseconds: 100,
  },
  {
    kind: DispatchRequestKind.CancelTaskAttempt,
    session: 1,
    task: TASK,
    attempt: 1,
  },
  {
    kind: DispatchRequestKind.WatchLoad,
    knownRevision: -1,
    intervalMilliseconds: 20,
    demand: {
      resources: RESOURCES,
      priority: 0,
      hasStarted: false,
      slackMilliseconds: -5,
    },
  },
  {
    kind: DispatchRequestKind.ExchangeFleetState,
    sender: MEMBER,
    configurationVersion: 0,
    membersDigest: -7,
  },
  {
    kind: DispatchRequestKind.ExchangeFleetState,
    sender: MEMBER,
    configurationVersion: 0,
    membersDigest: -7,
    evacuationOffset: 4,
  },
  {
    kind: DispatchRequestKind.ReportCrash,
    suspects: [{ task: { job: "a", step: 0, index: 1 } }],
  },
  {
    kind: DispatchRequestKind.ClaimJob,
    job: "a",
    address: "127.0.0.1:7720",
    ageMilliseconds: 0.5,
    lifetimeMilliseconds: 5_000,
  },
  {
    kind: DispatchRequestKind.YieldJob,
    job: "a",
    ageMilliseconds: 0.5,
  },
  { kind: DispatchRequestKind.LocateJob, job: "a" },
  { kind: DispatchRequestKind.CancelHeldJob, job: "a" },
];

const REPLIES: readonly DispatchReply[] = [
  {
    kind: DispatchReplyKind.SessionGranted,
    session: 1,
    profile: {
      worker: "i-1",
      service: "service",
      labels: ["a"],
      capacity: RESOURCES,
    },
    load: LOAD,
  },
  { kind: DispatchReplyKind.SessionRenewed, session: 1, load: LOAD },
  {
    kind: DispatchReplyKind.TaskSettled,
    settlement: { kind: SettlementKind.Completed, runMilliseconds: 1.5 },
  },
  {
    kind: DispatchReplyKind.TaskSettled,
    settlement: {
      kind: SettlementKind.NotStarted,
      reason: NotStartedReason.NoWorker,
    },
  },
  {
    kind: DispatchReplyKind.FleetStateExchanged,
    knowledge: { members: [MEMBER] },
  },
  {
    kind: DispatchReplyKind.FleetStateExchanged,
    knowledge: { members: [MEMBER], evacuations: EVACUATIONS },
  },
  {
    kind: DispatchReplyKind.LoadReported,
    load: { ...LOAD, isCold: true },
  },
  { kind: DispatchReplyKind.CrashNoted },
  { kind: DispatchReplyKind.JobClaimed },
  { kind: DispatchReplyKind.JobHeld },
  { kind: DispatchReplyKind.JobYielded },
  {
    kind: DispatchReplyKind.JobLocated,
    holder: { process: "entry-1~a", address: "127.0.0.1:7720" },
  },
  { kind: DispatchReplyKind.JobCancelled },
  { kind: DispatchReplyKind.JobUnknown },
  { kind: PeerReplyKind.IncarnationMismatch, current: "entry-1~b" },
];

/** Fields that a sender may leave out. */
const OPTIONAL = new Set([
  "profile",
  "load",
  "evacuations",
  "evacuationOffset",
  "isCold",
]);

for (const request of REQUESTS) {
  test(`a request "${request.kind}" is accepted, and rejected with a damaged field`, () => {
    expect(isDispatchRequest(request)).toEqual(true);
    expect(damaged(request, OPTIONAL).filter(isDispatchRequest)).toEqual([]);
  });
}

for (const reply of REPLIES) {
  test(`a reply "${reply.kind}" is accepted, and rejected with a damaged field`, () => {
    expect(isDispatchReply(reply)).toEqual(true);
    expect(damaged(reply, OPTIONAL).filter(isDispatchReply)).toEqual([]);
  });
}

test("values that are no messages are rejected", () => {
  for (const value of [undefined, null, 1, "run-task", [], { kind: "other" }]) {
    expect(isDispatchRequest(value)).toEqual(false);
    expect(isDispatchReply(value)).toEqual(false);
  }
});
