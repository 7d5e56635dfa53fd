/**
 * Reads the body of a request within limits on size and time.
 */
import type { IncomingMessage } from "node:http";
import { type Milliseconds, RejectionReason } from "@eelgrassfront/model";
import type { BodyBudget, BodyReservation } from "./body_budget.ts";
import { RequestError } from "./request_error.ts";

/** Limits on a body. */
export interface BodyLimits {
  readonly maximumBodyBytes: number;
  readonly bodyMilliseconds: Milliseconds;
  /** Shared limit on the bytes of all bodies that are being read. */
  readonly bodyBudget: BodyBudget;
}

/**
 * Reads a complete body as UTF-8 text. The rest of a rejected body is read and discarded, so that the
 * caller can read the response.
 *
 * @throws {RequestError} when the body is too large, too slow, truncated or not UTF-8, or when the
 * bodies that are being read exceed the budget
 */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<string> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > limits.maximumBodyBytes) throw tooLarge(limits);
  using reservation = limits.bodyBudget.openReservation();
  return decode(await readBytes(request, { ...limits, reservation }));
}

interface BodyReading extends BodyLimits {
  readonly reservation: BodyReservation;
}

function readBytes(
  request: IncomingMessage,
  reading: BodyReading,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const append = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > reading.maximumBodyBytes) refuse(tooLarge(reading));
      else if (!reading.reservation.reserve(chunk.length)) refuse(overBudget());
      else chunks.push(chunk);
    };
    const refuse = (error: RequestError) => {
      request.off("data", append);
      request.resume();
      chunks.length = 0;
      reject(error);
    };
    const timer = setTimeout(
      () => refuse(tooSlow(reading)),
      reading.bodyMilliseconds,
    );
    request.on("data", append);
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", () => refuse(truncated()));
    request.on("close", () => clearTimeout(timer));
  });
}

function decode(bytes: Buffer): string {
  try {
    return new TextDecoder("utf-8", { fatal: true }).decode(bytes);
  } catch {
    throw new RequestError(
      RejectionReason.MalformedBody,
      "the body is not UTF-8",
    );
  }
}

function truncated(): RequestError {
  return new RequestError(
    RejectionReason.MalformedBody,
    "the body is truncated",
  );
}

function overBudget(): RequestError {
  return new RequestError(
    RejectionReason.EntryBusy,
    "too many large bodies arrive at the same time; try again later or at another entry",
  );
}

function tooSlow({ bodyMilliseconds }: BodyLimits): RequestError {
  return new RequestError(
    RejectionReason.BodyTooSlow,
    `the body must arrive within ${bodyMilliseconds} ms`,
  );
}

function tooLarge({ maximumBodyBytes }: BodyLimits): RequestError {
  return new RequestError(
    RejectionReason.BodyTooLarge,
    `the body may have at most ${maximumBodyBytes} bytes`,
  );
}
