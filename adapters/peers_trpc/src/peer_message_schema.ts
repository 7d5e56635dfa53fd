/**
 * Schemas of the messages between processes for work that runs at most once. A message that a faulty or newer
 * peer sends in another form is rejected before it reaches the state machine, where it would end the process.
 * Unknown fields are kept, since a newer version may have sent them.
 */
import {
  FailureReason,
  Idempotence,
  JobOutcomeKind,
  JobState,
  NoFreeSlotPolicy,
  NotRunReason,
  PeerReplyKind,
  PeerRequestKind,
  Step,
  TaskEndKind,
  TaskRefusalReason,
  UnknownReason,
} from "@eelgrassfront/model";
import * as zod from "zod";

/** Checks the form of messages. The schemas are built with the object, since not every process has use for them. */
export class PeerMessageSchema {
  readonly #requests = requestSchema();
  readonly #replies = replySchema();

  /** Whether a value is a request between processes. */
  isRequest(value: unknown): boolean {
    return this.#requests.safeParse(value).success;
  }

  /** Whether a value is a reply between processes. */
  isReply(value: unknown): boolean {
    return this.#replies.safeParse(value).success;
  }
}

function requestSchema() {
  const { count, amount, text, submissionIdentifier, shardEpochs } = scalars();
  const task = zod.looseObject({ payload: text, declaredMilliseconds: amount });
  const requirements = zod.looseObject({
    processorCores: amount,
    memoryMegabytes: amount,
    accelerators: amount,
  });
  const attempt = {
    shard: count,
    epoch: count,
    submission: submissionIdentifier,
    taskIndex: count,
    attempt: count,
  };
  return zod.discriminatedUnion("kind", [
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.SubmitJob),
      shard: count,
      callerRequest: zod.string().regex(/^[^~]*~.*:\d+$/),
      submission: zod.looseObject({
        team: text,
        idempotencyKey: text,
        digest: text,
        kindOfWork: text,
        idempotence: zod.enum(Idempotence),
        deadlineMilliseconds: amount,
        requirements,
        tasks: zod.array(task),
        firstMadeAtEpoch: count.optional(),
      }),
      remainingMilliseconds: amount,
    }),
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.QueryJob),
      shard: count,
      submission: submissionIdentifier,
    }),
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.CancelJob),
      shard: count,
      submission: submissionIdentifier,
    }),
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.StartTask),
      ...attempt,
      digest: text,
      team: text,
      kindOfWork: text,
      idempotence: zod.enum(Idempotence),
      task,
      requirements,
      remainingMilliseconds: amount,
      servedMilliseconds: amount,
      slotClaim: zod.enum(NoFreeSlotPolicy),
    }),
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.CancelTask),
      ...attempt,
    }),
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.CollectStartRecords),
      shards: shardEpochs,
    }),
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.HandOverShards),
      shards: shardEpochs,
      answers: zod.array(zod.looseObject({
        submission: submissionIdentifier,
        digest: text,
        outcome: outcomeSchema(),
      })),
    }),
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.HandOverRecords),
      records: zod.array(startRecordSchema()),
    }),
    zod.looseObject({
      kind: zod.literal(PeerRequestKind.Heartbeat),
      logOffset: count,
      configurationOffset: count,
    }),
  ]);
}

function replySchema() {
  const { count, amount, text, processIdentifier, shardEpochs } = scalars();
  const outcome = outcomeSchema();
  const load = zod.looseObject({
    slots: count,
    running: count,
    queued: count,
    expectedWaitMilliseconds: amount,
    isLeaving: zod.boolean(),
  });
  const named = zod.array(zod.looseObject({ name: text }));
  return zod.discriminatedUnion("kind", [
    zod.looseObject({
      kind: zod.literal(PeerReplyKind.JobAnswered),
      outcome,
      isKeyReused: zod.boolean(),
      epoch: count,
    }),
    zod.looseObject({
      kind: zod.literal(PeerReplyKind.JobStatus),
      state: zod.enum(JobState),
      tasks: count,
      tasksStarted: count,
      tasksEnded: count,
      outcome: outcome.optional(),
    }),
    zod.looseObject({
      kind: zod.literal(PeerReplyKind.NotOwner),
      knownEpoch: count,
    }),
    zod.looseObject({
      kind: zod.literal(PeerReplyKind.TaskEnded),
      end: taskEndSchema(),
      load,
    }),
    zod.looseObject({
      kind: zod.literal(PeerReplyKind.TaskRefused),
      reason: zod.enum(TaskRefusalReason),
      knownEpoch: count,
      load,
    }),
    zod.looseObject({ kind: zod.literal(PeerReplyKind.TaskStarted), load }),
    zod.looseObject({
      kind: zod.literal(PeerReplyKind.StartRecordsCollected),
      records: zod.array(startRecordSchema()),
      fenced: shardEpochs,
    }),
    zod.looseObject({ kind: zod.literal(PeerReplyKind.ShardsAccepted) }),
    zod.looseObject({ kind: zod.literal(PeerReplyKind.RecordsAccepted) }),
    zod.looseObject({ kind: zod.literal(PeerReplyKind.HandoverRefused) }),
    zod.looseObject({
      kind: zod.literal(PeerReplyKind.HeartbeatAnswered),
      logOffset: count,
      isLeaving: zod.boolean(),
      granted: shardEpochs,
      load: load.optional(),
      newerConfiguration: zod.looseObject({
        offset: count,
        publication: text,
        publishedBy: text,
        configuration: zod.looseObject({
          kindsOfWork: named,
          teams: named,
          limits: zod.looseObject({}),
        }),
      }).optional(),
    }),
    zod.looseObject({
      kind: zod.literal(PeerReplyKind.IncarnationMismatch),
      current: processIdentifier,
    }),
  ]);
}

function scalars() {
  const count = zod.number().int().nonnegative();
  return {
    count,
    amount: zod.number().finite(),
    text: zod.string(),
    processIdentifier: zod.string().regex(/^[^~]*~.*$/),
    submissionIdentifier: zod.string().includes("/"),
    shardEpochs: zod.array(zod.looseObject({ shard: count, epoch: count })),
  };
}

function outcomeSchema() {
  const { count, amount, text, processIdentifier } = scalars();
  return zod.discriminatedUnion("kind", [
    zod.looseObject({
      kind: zod.literal(JobOutcomeKind.Completed),
      results: zod.array(text),
    }),
    zod.looseObject({
      kind: zod.literal(JobOutcomeKind.Failed),
      reason: zod.enum(FailureReason),
      step: zod.enum(Step),
      detail: text,
      taskIndex: count.optional(),
      peer: processIdentifier.optional(),
    }),
    zod.looseObject({
      kind: zod.literal(JobOutcomeKind.NotRun),
      reason: zod.enum(NotRunReason),
      retryAfterMilliseconds: amount.optional(),
    }),
    zod.looseObject({
      kind: zod.literal(JobOutcomeKind.Unknown),
      reason: zod.enum(UnknownReason),
      step: zod.enum(Step),
      peer: processIdentifier.optional(),
    }),
  ]);
}

function taskEndSchema() {
  const { amount, text } = scalars();
  return zod.discriminatedUnion("kind", [
    zod.looseObject({
      kind: zod.literal(TaskEndKind.Succeeded),
      result: text,
      runMilliseconds: amount,
    }),
    zod.looseObject({
      kind: zod.literal(TaskEndKind.Failed),
      detail: text,
      runMilliseconds: amount,
    }),
    zod.looseObject({ kind: zod.literal(TaskEndKind.Lost), detail: text }),
  ]);
}

function startRecordSchema() {
  const { count, text, submissionIdentifier } = scalars();
  return zod.looseObject({
    shard: count,
    submission: submissionIdentifier,
    digest: text,
    taskIndex: count,
    epoch: count,
    attempt: count,
    end: taskEndSchema().optional(),
    isResultDropped: zod.boolean(),
  });
}
