/**
 * Reads and checks the headers of a caller's request. Each header may occur at most once.
 */
import type { IncomingMessage } from "node:http";
import { RejectionReason } from "@eelgrassfront/model";
import { isIdentifier } from "./job_request.ts";
import { RequestError } from "./request_error.ts";

const JSON_TYPE_PATTERN =
  /^application\/json\s*(?:;\s*charset="?utf-8"?\s*)?$/i;

/**
 * Reads the header that names a submission.
 *
 * @throws {RequestError} when it is missing, occurs twice or is not an identifier
 */
export function readIdempotencyKey(request: IncomingMessage): string {
  const key = readHeader(
    request,
    "idempotency-key",
    RejectionReason.InvalidIdempotencyKey,
  );
  if (key === undefined) {
    throw new RequestError(
      RejectionReason.MissingIdempotencyKey,
      "Idempotency-Key: send a key that names this submission",
    );
  }
  if (isIdentifier(key)) return key;
  throw new RequestError(
    RejectionReason.InvalidIdempotencyKey,
    "Idempotency-Key: 1 to 128 letters, digits, dots, underscores or dashes",
  );
}

/**
 * Reads the epoch token that a caller sends back.
 *
 * @throws {RequestError} when it occurs twice or is not an epoch
 */
export function readEpochToken(request: IncomingMessage): number | undefined {
  const token = readHeader(
    request,
    "eelgrassfront-epoch",
    RejectionReason.InvalidField,
  );
  if (token === undefined) return undefined;
  const epoch = Number(token);
  if (/^\d+$/.test(token) && Number.isSafeInteger(epoch)) return epoch;
  throw new RequestError(
    RejectionReason.InvalidField,
    "Eelgrassfront-Epoch: send back the value of an earlier answer, or leave the header out",
  );
}

/**
 * Checks that the body is declared as JSON. A request without a content type is treated as JSON.
 *
 * @throws {RequestError} when it has another type or is compressed
 */
export function requireJson(request: IncomingMessage): void {
  const type = request.headers["content-type"];
  const encoding = request.headers["content-encoding"] ?? "identity";
  const isJson = type === undefined || JSON_TYPE_PATTERN.test(type);
  if (isJson && encoding === "identity") return;
  throw new RequestError(
    RejectionReason.UnsupportedContentType,
    "allowed: Content-Type application/json in UTF-8, without Content-Encoding",
  );
}

/**
 * Checks the number of headers.
 *
 * @throws {RequestError} when there are too many
 */
export function requireHeaderCount(
  request: IncomingMessage,
  maximumHeaders: number,
): void {
  if (request.rawHeaders.length / 2 <= maximumHeaders) return;
  throw new RequestError(
    RejectionReason.HeadersTooLarge,
    `a request may have at most ${maximumHeaders} headers`,
  );
}

function readHeader(
  request: IncomingMessage,
  name: string,
  reason: RejectionReason,
): string | undefined {
  const values = request.headersDistinct[name] ?? [];
  if (values.length <= 1) return values[0];
  throw new RequestError(reason, `${name}: the header may occur only once`);
}
