/**
 * Schemas of the messages of best-effort work between processes. They are the reference for the tests of the
 * checks in `dispatch_message_checks.ts`, and no process loads them. Unknown fields are kept, since a newer
 * version may have sent them.
 */
import {
  CrashProof,
  DispatchReplyKind,
  DispatchRequestKind,
  InterruptionReason,
  NotStartedReason,
  PeerReplyKind,
  Role,
  SettlementKind,
} from "@eelgrassfront/model";
import * as zod from "zod";

const count = zod.number().int().nonnegative();
const amount = zod.number().finite();
const processIdentifier = zod.string().regex(/^[^~]*~.*$/);

const resources = zod.looseObject({
  processorMillicores: amount,
  memoryMegabytes: amount,
  accelerators: amount,
});

const task = zod.looseObject({ job: zod.string(), step: count, index: count });

const member = zod.looseObject({
  process: processIdentifier,
  role: zod.enum(Role),
  address: zod.string().min(1),
  availabilityZone: zod.string(),
});

const route = zod.looseObject({
  name: zod.string(),
  host: zod.string(),
  requestPrefix: zod.string(),
  service: zod.string(),
  healthPath: zod.string().optional(),
  priority: amount,
  maximumAttempts: amount,
  slackFactor: amount,
  latencyAllowanceMilliseconds: amount,
});

const configuration = zod.looseObject({
  version: count,
  routes: zod.array(route),
});

const evacuations = zod.looseObject({
  offset: count,
  zones: zod.array(zod.string()),
});

const requestSchema = zod.discriminatedUnion("kind", [
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.OpenSession),
    givenUp: count,
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.RenewSession),
    session: count,
    knownWorker: zod.string().optional(),
    knownProfile: count.optional(),
    knownRevision: count.optional(),
    knownClock: amount.optional(),
    evacuations: evacuations.optional(),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.RunTask),
    session: count,
    task,
    attempt: count,
    content: zod.string(),
    resources,
    requirements: zod.looseObject({
      service: zod.string(),
      requiredLabel: zod.string().optional(),
    }).optional(),
    expectedMilliseconds: amount,
    suspectRoute: zod.string().optional(),
    workKind: zod.string().optional(),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.CancelTaskAttempt),
    session: count,
    task,
    attempt: count,
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.WatchLoad),
    knownRevision: zod.number().int(),
    intervalMilliseconds: amount,
    demand: zod.looseObject({
      resources,
      priority: amount,
      hasStarted: zod.boolean(),
      slackMilliseconds: amount,
      isLate: zod.boolean().optional(),
      workPerCaller: amount.optional(),
    }),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.ExchangeFleetState),
    sender: member,
    configurationVersion: count,
    membersDigest: zod.number().int(),
    evacuationOffset: count.optional(),
    configuration: configuration.optional(),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.ReportCrash),
    suspects: zod.array(
      zod.looseObject({
        task,
        proof: zod.enum(CrashProof).optional(),
        route: zod.string().optional(),
        workKind: zod.string().optional(),
      }),
    ),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.ClaimJob),
    job: zod.string(),
    address: zod.string().min(1),
    ageMilliseconds: amount,
    lifetimeMilliseconds: amount,
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.YieldJob),
    job: zod.string(),
    ageMilliseconds: amount,
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.LocateJob),
    job: zod.string(),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchRequestKind.CancelHeldJob),
    job: zod.string(),
  }),
]);

const load = zod.looseObject({
  revision: count,
  worker: zod.string(),
  free: resources,
  slowness: amount,
  isTakingWork: zod.boolean(),
  isCold: zod.literal(true).optional(),
  requestsTaken: count,
  waiting: zod.array(zod.looseObject({ priority: amount, millicores: amount }))
    .optional(),
});

const profile = zod.looseObject({
  revision: count.optional(),
  worker: zod.string(),
  service: zod.string(),
  labels: zod.array(zod.string()),
  capacity: resources,
});

const settlement = zod.discriminatedUnion("kind", [
  zod.looseObject({
    kind: zod.literal(SettlementKind.Completed),
    runMilliseconds: amount,
  }),
  zod.looseObject({
    kind: zod.literal(SettlementKind.Failed),
    runMilliseconds: amount,
  }),
  zod.looseObject({
    kind: zod.literal(SettlementKind.NotStarted),
    reason: zod.enum(NotStartedReason),
  }),
  zod.looseObject({
    kind: zod.literal(SettlementKind.Interrupted),
    reason: zod.enum(InterruptionReason),
    proof: zod.enum(CrashProof).optional(),
  }),
]);

const replySchema = zod.discriminatedUnion("kind", [
  zod.looseObject({
    kind: zod.literal(DispatchReplyKind.SessionGranted),
    session: count,
    clock: amount.optional(),
    profile: profile.optional(),
    load: load.optional(),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchReplyKind.SessionRenewed),
    session: count,
    clock: amount.optional(),
    load: load.optional(),
  }),
  zod.looseObject({ kind: zod.literal(DispatchReplyKind.SessionPending) }),
  zod.looseObject({
    kind: zod.literal(DispatchReplyKind.TaskSettled),
    settlement,
    load: load.optional(),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchReplyKind.CancellationAcknowledged),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchReplyKind.LoadReported),
    load: load.optional(),
  }),
  zod.looseObject({
    kind: zod.literal(DispatchReplyKind.FleetStateExchanged),
    knowledge: zod.looseObject({
      configuration: configuration.optional(),
      members: zod.array(member),
      evacuations: evacuations.optional(),
    }),
  }),
  zod.looseObject({ kind: zod.literal(DispatchReplyKind.Misdirected) }),
  zod.looseObject({ kind: zod.literal(DispatchReplyKind.CrashNoted) }),
  zod.looseObject({ kind: zod.literal(DispatchReplyKind.JobClaimed) }),
  zod.looseObject({ kind: zod.literal(DispatchReplyKind.JobHeld) }),
  zod.looseObject({ kind: zod.literal(DispatchReplyKind.JobYielded) }),
  zod.looseObject({
    kind: zod.literal(DispatchReplyKind.JobLocated),
    holder: zod.looseObject({
      process: processIdentifier,
      address: zod.string().min(1),
    }),
  }),
  zod.looseObject({ kind: zod.literal(DispatchReplyKind.JobCancelled) }),
  zod.looseObject({ kind: zod.literal(DispatchReplyKind.JobUnknown) }),
  zod.looseObject({
    kind: zod.literal(PeerReplyKind.IncarnationMismatch),
    current: processIdentifier,
  }),
]);

/** Whether the schema of the requests between entries and sidecars accepts a value. */
export function matchesRequestSchema(value: unknown): boolean {
  return requestSchema.safeParse(value).success;
}

/** Whether the schema of the replies between entries and sidecars accepts a value. */
export function matchesReplySchema(value: unknown): boolean {
  return replySchema.safeParse(value).success;
}
