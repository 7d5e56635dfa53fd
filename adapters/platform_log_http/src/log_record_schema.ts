/**
 * Schema of the records on the log. Other programs can append to the log too, and one unreadable record
 * must not stop the fleet: every process skips it by this same rule. Unknown fields are kept, since a
 * newer version may have written them.
 */
import {
  assertNever,
  type LogOffset,
  type LogRecord,
  LogRecordKind,
  Role,
} from "@eelgrassfront/model";
import * as zod from "zod";

const offset = zod.number().int().nonnegative();
const processIdentifier = zod.string().regex(/^[^~]+~[^~]+$/);
const names = zod.array(zod.looseObject({ name: zod.string().min(1) }));

const memberJoined = zod.looseObject({
  kind: zod.literal(LogRecordKind.MemberJoined),
  process: processIdentifier,
  role: zod.enum(Role),
  availabilityZone: zod.string(),
  address: zod.string().min(1),
  firstOffset: offset.optional(),
  backendServer: zod.looseObject({
    service: zod.string().min(1),
    slots: zod.number().int().positive(),
    processorCores: zod.number().nonnegative(),
    memoryMegabytes: zod.number().nonnegative(),
    accelerators: zod.number().nonnegative(),
  }).optional(),
});

const memberRemoved = zod.looseObject({
  kind: zod.literal(LogRecordKind.MemberRemoved),
  process: processIdentifier,
  reason: zod.string(),
  reportedBy: zod.string(),
});

const shardsClaimed = zod.looseObject({
  kind: zod.literal(LogRecordKind.ShardsClaimed),
  claimant: processIdentifier,
  reason: zod.string(),
  claims: zod.array(zod.looseObject({ shard: offset, replaces: offset })),
  readTo: offset.optional(),
  unseenSince: offset.optional(),
});

const configurationPublished = zod.looseObject({
  kind: zod.literal(LogRecordKind.ConfigurationPublished),
  publication: zod.string().min(1),
  replaces: offset,
  firstOffset: offset.optional(),
  readTo: offset.optional(),
  publishedBy: zod.string(),
  configuration: zod.looseObject({
    kindsOfWork: names,
    teams: names,
    limits: zod.looseObject({}),
  }),
});

const recordSchema = zod.discriminatedUnion("kind", [
  memberJoined,
  memberRemoved,
  shardsClaimed,
  configurationPublished,
]);

/** Whether a value is a record that this version can read, and refers only to what precedes its own offset. */
export function isLogRecord(
  value: unknown,
  ownOffset: LogOffset,
): value is LogRecord {
  const { success, data } = recordSchema.safeParse(value);
  return success && latestReference(data) <= ownOffset;
}

/** Returns the offset that a record must have at least, since it refers to earlier offsets. */
function latestReference(record: zod.infer<typeof recordSchema>): LogOffset {
  switch (record.kind) {
    case LogRecordKind.MemberJoined:
      return 1 + (record.firstOffset ?? 0);
    case LogRecordKind.MemberRemoved:
      return 0;
    case LogRecordKind.ShardsClaimed: {
      const { claims, readTo = 0, unseenSince = 0 } = record;
      return claims.reduce(
        (latest, { replaces }) => Math.max(latest, 1 + replaces),
        Math.max(readTo, unseenSince),
      );
    }
    case LogRecordKind.ConfigurationPublished: {
      const { replaces, firstOffset = 0, readTo = 0 } = record;
      return Math.max(1 + replaces, 1 + firstOffset, readTo);
    }
    default:
      return assertNever(record);
  }
}
