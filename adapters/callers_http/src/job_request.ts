/**
 * Parses the body of a submission and checks every field.
 */
import { createHash } from "node:crypto";
import {
  type Epoch,
  Idempotence,
  type Milliseconds,
  RejectionReason,
  type Submission,
} from "@eelgrassfront/model";
import * as zod from "zod";
import { canonicalJson } from "./canonical_json.ts";
import {
  findJsonFault,
  type JsonFault,
  JsonFaultKind,
  MAXIMUM_DEPTH,
} from "./json_scanner.ts";
import { RequestError } from "./request_error.ts";

/** Limits on a submission. */
export interface JobRequestLimits {
  readonly maximumTasks: number;
  readonly maximumDeadlineMilliseconds: Milliseconds;
}

/** Body and headers of a submission. */
export interface JobRequest {
  readonly body: string;
  readonly idempotencyKey: string;
  readonly firstMadeAtEpoch: Epoch | undefined;
}

const IDENTIFIER_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;
const DEFAULT_DECLARED_MILLISECONDS = 300;

const bodySchema = zod.strictObject({
  team: zod.string().regex(IDENTIFIER_PATTERN),
  kindOfWork: zod.string().regex(IDENTIFIER_PATTERN),
  idempotent: zod.boolean(),
  deadlineMilliseconds: zod.number().int().positive(),
  requirements: zod.strictObject({
    processorCores: zod.number().nonnegative().default(0),
    memoryMegabytes: zod.number().nonnegative().default(0),
    accelerators: zod.number().int().nonnegative().default(0),
  }).default({ processorCores: 0, memoryMegabytes: 0, accelerators: 0 }),
  tasks: zod.array(zod.strictObject({
    payload: zod.unknown(),
    declaredMilliseconds: zod.number().positive().default(
      DEFAULT_DECLARED_MILLISECONDS,
    ),
  })).min(1),
});

/**
 * Parses a submission.
 *
 * @throws {RequestError} that names the fault and, for a field, its allowed values
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
  requireDeadline(content.deadlineMilliseconds, limits);
  if (tasks.length > limits.maximumTasks) {
    throw new RequestError(
      RejectionReason.TooManyTasks,
      `tasks: found ${tasks.length}, at most ${limits.maximumTasks} allowed`,
    );
  }
  const { idempotencyKey, firstMadeAtEpoch } = request;
  const submission = {
    ...content,
    idempotencyKey,
    digest: digestOf(parsed.data),
    idempotence: idempotent
      ? Idempotence.Idempotent
      : Idempotence.NonIdempotent,
    tasks: tasks.map(({ payload, declaredMilliseconds }) => ({
      payload: JSON.stringify(payload ?? null),
      declaredMilliseconds,
    })),
  };
  return firstMadeAtEpoch === undefined
    ? submission
    : { ...submission, firstMadeAtEpoch };
}

/** Whether a text is valid as a team or an idempotency key. */
export function isIdentifier(text: string): boolean {
  return IDENTIFIER_PATTERN.test(text);
}

function requireDeadline(
  deadline: Milliseconds,
  { maximumDeadlineMilliseconds: maximum }: JobRequestLimits,
): void {
  if (deadline <= maximum) return;
  throw new RequestError(
    RejectionReason.InvalidField,
    `deadlineMilliseconds: found ${deadline}, at most ${maximum} allowed`,
  );
}

function parseJson(body: string): unknown {
  const value = parseOrReject(body);
  const fault = findJsonFault(body);
  if (fault !== undefined) throw rejectionOf(fault);
  return value;
}

function parseOrReject(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch (error) {
    throw new RequestError(
      RejectionReason.MalformedBody,
      `the body is not JSON: ${String(error)}`,
    );
  }
}

function rejectionOf({ kind, found }: JsonFault): RequestError {
  switch (kind) {
    case JsonFaultKind.DuplicateKey:
      return new RequestError(
        RejectionReason.DuplicateField,
        `${JSON.stringify(found)} occurs twice in one object`,
      );
    case JsonFaultKind.InexactNumber:
      return new RequestError(
        RejectionReason.MalformedBody,
        `${found} would lose digits; write it as a string`,
      );
    case JsonFaultKind.NestedTooDeep:
      return new RequestError(
        RejectionReason.MalformedBody,
        `the body nests deeper than ${MAXIMUM_DEPTH} levels`,
      );
  }
}

function describeIssue(issue: {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}): string {
  return `${issue.path.map(String).join(".") || "body"}: ${issue.message}`;
}

/** Digest of the content including defaults, independent of the order of keys and of any header. */
function digestOf(content: object): string {
  return createHash("sha256").update(canonicalJson(content)).digest("hex");
}
