/**
 * Property test that the checks of messages accept and reject the same values as their schemas. It guards against
 * a check that lets a value through which ends the process, and against one that rejects a valid message.
 */
import { test } from "node:test";
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
import { expect } from "earl";
import * as fastCheck from "fast-check";
import {
  isDispatchReply,
  isDispatchRequest,
} from "./dispatch_message_checks.ts";
import {
  matchesReplySchema,
  matchesRequestSchema,
} from "./dispatch_message_schema.ts";

const SEED = 20_261_206;
const RUNS = 20_000;
const MAXIMUM_CHANGES = 3;

const count = fastCheck.nat();
const amount = fastCheck.double({ noNaN: true, noDefaultInfinity: true });
const text = fastCheck.string({ maxLength: 4 });
const identifier = fastCheck.constantFrom("entry-1~a", "~", "a\n~b", "a~b~c");
const address = fastCheck.constant("127.0.0.1:7720");
const flag = fastCheck.boolean();

const resources = fastCheck.record({
  processorMillicores: amount,
  memoryMegabytes: amount,
  accelerators: amount,
});
const task = fastCheck.record({ job: text, step: count, index: count });
const member = fastCheck.record({
  process: identifier,
  role: fastCheck.constantFrom(...Object.values(Role)),
  address,
  availabilityZone: text,
});
const route = fastCheck.record({
  name: text,
  host: text,
  requestPrefix: text,
  service: text,
  healthPath: text,
  priority: amount,
  maximumAttempts: amount,
  slackFactor: amount,
  latencyAllowanceMilliseconds: amount,
}, { requiredKeys: ["name", "host", "requestPrefix", "service", "priority"] });
const configuration = fastCheck.record({
  version: count,
  routes: fastCheck.array(route, { maxLength: 2 }),
});
const load = fastCheck.record({
  revision: count,
  worker: text,
  free: resources,
  slowness: amount,
  isTakingWork: flag,
  requestsTaken: count,
});
const profile = fastCheck.record({
  revision: count,
  worker: text,
  service: text,
  labels: fastCheck.array(text, { maxLength: 2 }),
  capacity: resources,
});
const settlement = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constantFrom(
      SettlementKind.Completed,
      SettlementKind.Failed,
    ),
    runMilliseconds: amount,
  }),
  fastCheck.record({
    kind: fastCheck.constant(SettlementKind.NotStarted),
    reason: fastCheck.constantFrom(...Object.values(NotStartedReason)),
  }),
  fastCheck.record({
    kind: fastCheck.constant(SettlementKind.Interrupted),
    reason: fastCheck.constantFrom(...Object.values(InterruptionReason)),
    proof: fastCheck.constantFrom(...Object.values(CrashProof)),
  }),
);

/** All fields of each message, with optional ones; the changes of the test remove them. */
const requestFields: Readonly<
  Record<
    DispatchRequestKind,
    Readonly<Record<string, fastCheck.Arbitrary<unknown>>>
  >
> = {
  [DispatchRequestKind.OpenSession]: { givenUp: count },
  [DispatchRequestKind.RenewSession]: {
    session: count,
    knownWorker: text,
    knownProfile: count,
    knownRevision: count,
    knownClock: amount,
  },
  [DispatchRequestKind.RunTask]: {
    session: count,
    task,
    attempt: count,
    content: text,
    resources,
    requirements: fastCheck.record({ service: text, requiredLabel: text }),
    expectedMilliseconds: amount,
    suspectRoute: text,
    workKind: text,
  },
  [DispatchRequestKind.CancelTaskAttempt]: {
    session: count,
    task,
    attempt: count,
  },
  [DispatchRequestKind.WatchLoad]: {
    knownRevision: fastCheck.integer(),
    intervalMilliseconds: amount,
    demand: fastCheck.record({
      resources,
      priority: amount,
      hasStarted: flag,
      slackMilliseconds: amount,
    }),
  },
  [DispatchRequestKind.ExchangeFleetState]: {
    sender: member,
    configurationVersion: count,
    membersDigest: fastCheck.integer(),
    configuration,
  },
  [DispatchRequestKind.ReportCrash]: {
    suspects: fastCheck.array(
      fastCheck.record({
        task,
        proof: fastCheck.constantFrom(...Object.values(CrashProof)),
        route: text,
        workKind: text,
      }),
      {
        maxLength: 2,
      },
    ),
  },
  [DispatchRequestKind.ClaimJob]: {
    job: text,
    address,
    ageMilliseconds: amount,
    lifetimeMilliseconds: amount,
  },
  [DispatchRequestKind.YieldJob]: { job: text, ageMilliseconds: amount },
  [DispatchRequestKind.LocateJob]: { job: text },
  [DispatchRequestKind.CancelHeldJob]: { job: text },
};

const replyFields: Readonly<
  Record<
    DispatchReplyKind | PeerReplyKind.IncarnationMismatch,
    Readonly<Record<string, fastCheck.Arbitrary<unknown>>>
  >
> = {
  [DispatchReplyKind.SessionGranted]: {
    session: count,
    clock: amount,
    profile,
    load,
  },
  [DispatchReplyKind.SessionRenewed]: { session: count, clock: amount, load },
  [DispatchReplyKind.SessionPending]: {},
  [DispatchReplyKind.TaskSettled]: { settlement, load },
  [DispatchReplyKind.CancellationAcknowledged]: {},
  [DispatchReplyKind.LoadReported]: { load },
  [DispatchReplyKind.FleetStateExchanged]: {
    knowledge: fastCheck.record({
      configuration,
      members: fastCheck.array(member, { maxLength: 2 }),
    }),
  },
  [DispatchReplyKind.Misdirected]: {},
  [DispatchReplyKind.CrashNoted]: {},
  [DispatchReplyKind.JobClaimed]: {},
  [DispatchReplyKind.JobHeld]: {},
  [DispatchReplyKind.JobYielded]: {},
  [DispatchReplyKind.JobLocated]: {
    holder: fastCheck.record({ process: identifier, address }),
  },
  [DispatchReplyKind.JobCancelled]: {},
  [DispatchReplyKind.JobUnknown]: {},
  [PeerReplyKind.IncarnationMismatch]: { current: identifier },
};

/** Values of other types, at the bounds of the valid ones, and outside of them. */
const oddValue = fastCheck.constantFrom<unknown>(
  undefined,
  null,
  true,
  0,
  -0,
  -1,
  1.5,
  2 ** 53 - 1,
  2 ** 53,
  1e300,
  NaN,
  Infinity,
  "",
  "a",
  "~",
  "a~b",
  "a~b\n",
  "a~b\u2028c",
  "no-worker",
  "session-ended",
  "completed",
  "run-task",
  [],
  [undefined],
  [1],
  ["a"],
  new Array<unknown>(1),
  {},
  { kind: "completed" },
  Symbol("odd"),
  1n,
);

interface Change {
  /** Selects one of the fields at any depth. */
  readonly position: number;
  readonly replacement: { readonly value: unknown } | undefined;
}

const change: fastCheck.Arbitrary<Change> = fastCheck.record({
  position: fastCheck.nat(),
  replacement: fastCheck.option(fastCheck.record({ value: oddValue }), {
    nil: undefined,
  }),
});

const suites = [
  {
    name: "request",
    fields: requestFields,
    check: isDispatchRequest,
    schema: matchesRequestSchema,
  },
  {
    name: "reply",
    fields: replyFields,
    check: isDispatchReply,
    schema: matchesReplySchema,
  },
];

for (const { name, fields, check, schema } of suites) {
  const message = fastCheck.oneof(
    ...Object.entries(fields).map(([kind, content]) =>
      fastCheck.record({ kind: fastCheck.constant(kind), ...content })
    ),
  );
  test(`the checks of a ${name} accept what the schema accepts, and nothing else`, () => {
    let accepted = 0;
    let rejected = 0;
    const changes = fastCheck.array(change, { maxLength: MAXIMUM_CHANGES });
    fastCheck.assert(
      fastCheck.property(message, changes, (original, applied) => {
        const changed = structuredCopy(original);
        for (const step of applied) apply(changed, step);
        const isAccepted = check(changed);
        if (isAccepted) accepted += 1;
        else rejected += 1;
        expect(isAccepted).toEqual(schema(changed));
      }),
      { seed: SEED, numRuns: RUNS },
    );
    // Neither result may be so rare that the comparison shows nothing.
    expect(Math.min(accepted, rejected) > RUNS / 10).toEqual(true);
  });

  test(`the checks of a ${name} reject values that are no messages, as the schema does`, () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.oneof(oddValue, fastCheck.anything()),
        (value) => {
          expect(check(value)).toEqual(schema(value));
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
}

/** Copies nested objects and arrays, so that a change doesn't affect values that fast-check reuses. */
function structuredCopy(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(structuredCopy);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [name, structuredCopy(field)]),
  );
}

/** Replaces or removes one field of a message. */
function apply(message: unknown, { position, replacement }: Change): void {
  const places = placesOf(message);
  const place = places[position % Math.max(1, places.length)];
  if (place === undefined) return;
  const { owner, name } = place;
  if (replacement === undefined) Reflect.deleteProperty(owner, name);
  else Reflect.set(owner, name, structuredCopy(replacement.value));
}

interface Place {
  readonly owner: object;
  readonly name: string;
}

function placesOf(value: unknown): readonly Place[] {
  if (typeof value !== "object" || value === null) return [];
  return Object.entries(value).flatMap(([name, field]) => [
    { owner: value, name },
    ...placesOf(field),
  ]);
}
