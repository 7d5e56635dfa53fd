/**
 * What a record on the log must look like. Others than this system can append to the log, and one
 * record that cannot be read must not stop the fleet: every process passes over it by this same rule.
 * Fields that are not known here are kept, since a newer version may have written them.
 */
import { type LogRecord, LogRecordKind, Role } from "@eelgrassfront/model";
import { z } from "zod";

const offset = z.number().int().nonnegative();
const processIdentifier = z.string().regex(/^[^~]+~[^~]+$/);
const names = z.array(z.looseObject({ name: z.string().min(1) }));

const memberJoined = z.looseObject({
  kind: z.literal(LogRecordKind.MemberJoined),
  process: processIdentifier,
  role: z.enum(Role),
  availabilityZone: z.string(),
  address: z.string().min(1),
  backendServer: z.looseObject({
    service: z.string().min(1),
    slots: z.number().int().positive(),
    processorCores: z.number().nonnegative(),
    memoryMegabytes: z.number().nonnegative(),
    accelerators: z.number().nonnegative(),
  }).optional(),
});

const memberRemoved = z.looseObject({
  kind: z.literal(LogRecordKind.MemberRemoved),
  process: processIdentifier,
  reason: z.string(),
  reportedBy: z.string(),
});

const shardsClaimed = z.looseObject({
  kind: z.literal(LogRecordKind.ShardsClaimed),
  claimant: processIdentifier,
  reason: z.string(),
  claims: z.array(z.looseObject({ shard: offset, replaces: offset })),
});

const configurationPublished = z.looseObject({
  kind: z.literal(LogRecordKind.ConfigurationPublished),
  publication: z.string().min(1),
  replaces: offset,
  firstOffset: offset.optional(),
  publishedBy: z.string(),
  configuration: z.looseObject({
    kindsOfWork: names,
    teams: names,
    limits: z.looseObject({}),
  }),
});

const recordSchema = z.discriminatedUnion("kind", [
  memberJoined,
  memberRemoved,
  shardsClaimed,
  configurationPublished,
]);

/** Whether a value is a record that this version can read. */
export function isLogRecord(value: unknown): value is LogRecord {
  return recordSchema.safeParse(value).success;
}
