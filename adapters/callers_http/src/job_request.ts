/**
 * The body of a submission as callers send it, checked field by field.
 */
import { createHash } from "node:crypto";
import {
  Idempotence,
  RejectionReason,
  type Submission,
} from "@eelgrassfront/model";
import { z } from "zod";

/** Limits on a submission. */
export interface JobRequestLimits {
  readonly maximumTasks: number;
}

/** What a caller's body and headers say. */
export interface JobRequest {
  readonly body: string;
  readonly idempotencyKey: string;
  readonly epochToken: string | undefined;
}

/** Thrown for a request that is no submission. */
export class RequestError extends Error {
  readonly reason: RejectionReason;

  constructor(reason: RejectionReason, message: string) {
    super(message);
    this.name = "RequestError";
    this.reason = reason;
  }
}

const MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000;
const IDENTIFIER_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;
const DEFAULT_DECLARED_MILLISECONDS = 300;

const bodySchema = z.strictObject({
  team: z.string().regex(IDENTIFIER_PATTERN),
  kindOfWork: z.string().regex(IDENTIFIER_PATTERN),
  idempotent: z.boolean(),
  deadlineMilliseconds: z.number().int().positive().max(
    MAXIMUM_DEADLINE_MILLISECONDS,
  ),
  requirements: z.strictObject({
    processorCores: z.number().nonnegative().default(0),
    memoryMegabytes: z.number().nonnegative().default(0),
    accelerators: z.number().int().nonnegative().default(0),
  }).default({ processorCores: 0, memoryMegabytes: 0, accelerators: 0 }),
  tasks: z.array(z.strictObject({
    payload: z.unknown(),
    declaredMilliseconds: z.number().positive().default(
      DEFAULT_DECLARED_MILLISECONDS,
    ),
  })).min(1),
});

/**
 * Reads a submission.
 *
 * @throws {RequestError} with the field and what is allowed there
 */
export function readSubmission(
  request: JobRequest,
  limits: JobRequestLimits,
): Submission {
  const parsed = bodySchema.safeParse(parseJson(request.body));
  if (!parsed.success) {
    throw new RequestError(
      RejectionReason.InvalidField,
      parsed.error.issues.map(describeIssue).join("; "),
    );
  }
  const { tasks, idempotent, ...content } = parsed.data;
  if (tasks.length > limits.maximumTasks) {
    throw new RequestError(
      RejectionReason.TooManyTasks,
      `tasks: ${tasks.length} given, at most ${limits.maximumTasks} allowed`,
    );
  }
  const submission = {
    ...content,
    idempotence: idempotent
      ? Idempotence.Idempotent
      : Idempotence.NonIdempotent,
    tasks: tasks.map(({ payload, declaredMilliseconds }) => ({
      payload: JSON.stringify(payload ?? null),
      declaredMilliseconds,
    })),
  };
  const digest = digestOf(submission);
  const { idempotencyKey } = request;
  const firstMadeAtEpoch = readEpochToken(request.epochToken);
  return firstMadeAtEpoch === undefined
    ? { ...submission, idempotencyKey, digest }
    : { ...submission, idempotencyKey, digest, firstMadeAtEpoch };
}

/** Whether a text may stand as a team or an idempotency key. */
export function isIdentifier(text: string): boolean {
  return IDENTIFIER_PATTERN.test(text);
}

function parseJson(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch (error) {
    throw new RequestError(
      RejectionReason.MalformedBody,
      `the body is not JSON: ${String(error)}`,
    );
  }
}

function describeIssue(issue: {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}): string {
  return `${issue.path.map(String).join(".") || "body"}: ${issue.message}`;
}

function digestOf(content: object): string {
  return createHash("sha256").update(JSON.stringify(content)).digest("hex");
}

function readEpochToken(token: string | undefined): number | undefined {
  if (token === undefined) return undefined;
  const epoch = Number(token);
  if (Number.isSafeInteger(epoch) && epoch >= 0) return epoch;
  throw new RequestError(
    RejectionReason.InvalidField,
    "Eelgrassfront-Epoch: send back the value of an earlier answer, or leave the header out",
  );
}
