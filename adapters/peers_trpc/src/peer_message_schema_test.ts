/**
 * Messages in an unknown form between processes of at-most-once work: each is rejected before it reaches the state
 * machine, whichever field is missing or has another type.
 */
import { test } from "node:test";
import {
  FailureReason,
  Idempotence,
  JobOutcomeKind,
  JobState,
  NoFreeSlotPolicy,
  NotRunReason,
  type PeerReply,
  PeerReplyKind,
  type PeerRequest,
  PeerRequestKind,
  Step,
  TaskEndKind,
  TaskRefusalReason,
  UnknownReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { damaged } from "./damaged_message.ts";
import { PeerMessageSchema } from "./peer_message_schema.ts";

const SUBMISSION = "assessors/dossier-4711";
const REQUIREMENTS = {
  processorCores: 1,
  memoryMegabytes: 64,
  accelerators: 0,
};
const TASK = { payload: "{}", declaredMilliseconds: 100 };
const ATTEMPT = {
  shard: 1,
  epoch: 2,
  submission: SUBMISSION,
  taskIndex: 0,
  attempt: 1,
} as const;
const SHARDS = [{ shard: 1, epoch: 2 }];
const LOAD = {
  slots: 8,
  running: 1,
  queued: 0,
  expectedWaitMilliseconds: 0,
  isLeaving: false,
};
const RECORD = {
  ...ATTEMPT,
  digest: "d",
  end: { kind: TaskEndKind.Lost, detail: "the connection ended" },
  isResultDropped: false,
} as const;
const FAILED = {
  kind: JobOutcomeKind.Failed,
  reason: FailureReason.TaskFailed,
  step: Step.ExecuteTask,
  detail: "",
} as const;

const REQUESTS: readonly PeerRequest[] = [
  {
    kind: PeerRequestKind.SubmitJob,
    shard: 1,
    callerRequest: "entry-1~a:7",
    submission: {
      team: "assessors",
      idempotencyKey: "dossier-4711",
      digest: "d",
      kindOfWork: "check",
      idempotence: Idempotence.Idempotent,
      deadlineMilliseconds: 5_000,
      requirements: REQUIREMENTS,
      tasks: [TASK],
    },
    remainingMilliseconds: 4_990,
  },
  { kind: PeerRequestKind.QueryJob, shard: 1, submission: SUBMISSION },
  { kind: PeerRequestKind.CancelJob, shard: 1, submission: SUBMISSION },
  {
    kind: PeerRequestKind.StartTask,
    ...ATTEMPT,
    digest: "d",
    team: "assessors",
    kindOfWork: "check",
    idempotence: Idempotence.NonIdempotent,
    task: TASK,
    requirements: REQUIREMENTS,
    remainingMilliseconds: -3,
    servedMilliseconds: 0,
    slotClaim: NoFreeSlotPolicy.Refuse,
  },
  { kind: PeerRequestKind.CancelTask, ...ATTEMPT },
  { kind: PeerRequestKind.CollectStartRecords, shards: SHARDS },
  {
    kind: PeerRequestKind.HandOverShards,
    shards: SHARDS,
    answers: [{ submission: SUBMISSION, digest: "d", outcome: FAILED }],
  },
  { kind: PeerRequestKind.HandOverRecords, records: [RECORD] },
  { kind: PeerRequestKind.Heartbeat, logOffset: 0, configurationOffset: 0 },
];

const REPLIES: readonly PeerReply[] = [
  {
    kind: PeerReplyKind.JobAnswered,
    outcome: { kind: JobOutcomeKind.Completed, results: ["{}"] },
    isKeyReused: false,
    epoch: 2,
  },
  {
    kind: PeerReplyKind.JobAnswered,
    outcome: { kind: JobOutcomeKind.NotRun, reason: NotRunReason.QueueFull },
    isKeyReused: false,
    epoch: 2,
  },
  {
    kind: PeerReplyKind.JobStatus,
    state: JobState.Ended,
    tasks: 1,
    tasksStarted: 1,
    tasksEnded: 1,
    outcome: {
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.StartRecordsMissing,
      step: Step.ExecuteTask,
    },
  },
  { kind: PeerReplyKind.NotOwner, knownEpoch: 2 },
  {
    kind: PeerReplyKind.TaskEnded,
    end: { kind: TaskEndKind.Succeeded, result: "{}", runMilliseconds: 1.5 },
    load: LOAD,
  },
  {
    kind: PeerReplyKind.TaskRefused,
    reason: TaskRefusalReason.Fenced,
    knownEpoch: 2,
    load: LOAD,
  },
  { kind: PeerReplyKind.TaskStarted, load: LOAD },
  {
    kind: PeerReplyKind.StartRecordsCollected,
    records: [RECORD],
    fenced: SHARDS,
  },
  { kind: PeerReplyKind.ShardsAccepted },
  { kind: PeerReplyKind.RecordsAccepted },
  { kind: PeerReplyKind.HandoverRefused },
  {
    kind: PeerReplyKind.HeartbeatAnswered,
    logOffset: 3,
    isLeaving: false,
    granted: SHARDS,
  },
  { kind: PeerReplyKind.IncarnationMismatch, current: "entry-1~b" },
];

/** Fields that a sender may leave out. */
const OPTIONAL = new Set(["outcome"]);
const schema = new PeerMessageSchema();

for (const request of REQUESTS) {
  test(`a request "${request.kind}" is accepted, and rejected with a damaged field`, () => {
    expect(schema.isRequest(request)).toEqual(true);
    const accepted = damaged(request, OPTIONAL)
      .filter((message) => schema.isRequest(message));
    expect(accepted).toEqual([]);
  });
}

for (const reply of REPLIES) {
  test(`a reply "${reply.kind}" is accepted, and rejected with a damaged field`, () => {
    expect(schema.isReply(reply)).toEqual(true);
    const accepted = damaged(reply, OPTIONAL)
      .filter((message) => schema.isReply(message));
    expect(accepted).toEqual([]);
  });
}

test("an answer to a submission without an outcome is rejected", () => {
  const kind = PeerReplyKind.JobAnswered;
  expect(schema.isReply({ kind, isKeyReused: false, epoch: 2 }))
    .toEqual(false);
});

test("a damaged element of a list is rejected", () => {
  const shards = [{ shard: 1 }];
  const kind = PeerRequestKind.CollectStartRecords;
  expect(schema.isRequest({ kind, shards })).toEqual(false);
  const records = [{ ...RECORD, attempt: "1" }];
  const handover = { kind: PeerRequestKind.HandOverRecords, records };
  expect(schema.isRequest(handover)).toEqual(false);
});
