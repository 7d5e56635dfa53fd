/**
 * Reads the body of a request within limits of size and time.
 */
import type { IncomingMessage } from "node:http";
import { type Milliseconds, RejectionReason } from "@eelgrassfront/model";
import type { BodyAccount, BodyBudget } from "./body_budget.ts";
import { RequestError } from "./request_error.ts";

/** Limits on a body. */
export interface BodyLimits {
  readonly maximumBodyBytes: number;
  readonly bodyMilliseconds: Milliseconds;
  /** Bytes that all bodies that are being read may take together. */
  readonly bodyBudget: BodyBudget;
}

/**
 * Reads a whole body as UTF-8 text. The rest of a body that is refused is read and dropped, so that the
 * caller gets to read the answer.
 *
 * @throws {RequestError} when the body is too large, too slow, cut short or no UTF-8, or when too many
 * bodies are being read
 */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<string> {
  const announced = Number(request.headers["content-length"] ?? 0);
  if (announced > limits.maximumBodyBytes) throw tooLarge(limits);
  using account = limits.bodyBudget.open();
  return decode(await readBytes(request, { ...limits, account }));
}

interface BodyReading extends BodyLimits {
  readonly account: BodyAccount;
}

function readBytes(
  request: IncomingMessage,
  reading: BodyReading,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const keep = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > reading.maximumBodyBytes) refuse(tooLarge(reading));
      else if (!reading.account.tryTake(chunk.length)) refuse(tooMany());
      else chunks.push(chunk);
    };
    const refuse = (error: RequestError) => {
      request.off("data", keep);
      request.resume();
      chunks.length = 0;
      reject(error);
    };
    const timer = setTimeout(
      () => refuse(tooSlow(reading)),
      reading.bodyMilliseconds,
    );
    request.on("data", keep);
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", () => refuse(cutShort()));
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

function cutShort(): RequestError {
  return new RequestError(
    RejectionReason.MalformedBody,
    "the body was cut short",
  );
}

function tooMany(): RequestError {
  return new RequestError(
    RejectionReason.EntryBusy,
    "too many large bodies arrive at once; try again later or at another entry",
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
