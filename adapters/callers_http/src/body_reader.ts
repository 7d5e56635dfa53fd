/**
 * Reads the body of a request within limits of size and time.
 */
import type { IncomingMessage } from "node:http";
import { type Milliseconds, RejectionReason } from "@eelgrassfront/model";
import { RequestError } from "./request_error.ts";

/** Limits on a body. */
export interface BodyLimits {
  readonly maximumBodyBytes: number;
  readonly bodyMilliseconds: Milliseconds;
}

/**
 * Reads a whole body as UTF-8 text. The rest of a body that is too large is read and dropped, so that
 * the caller gets to read the answer.
 *
 * @throws {RequestError} when the body is too large, too slow, cut short or no UTF-8
 */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<string> {
  const announced = Number(request.headers["content-length"] ?? 0);
  if (announced > limits.maximumBodyBytes) throw tooLarge(limits);
  return decode(await readBytes(request, limits));
}

function readBytes(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(
      () => reject(tooSlow(limits)),
      limits.bodyMilliseconds,
    );
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limits.maximumBodyBytes) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      reject(tooLarge(limits));
    });
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", () => reject(cutShort()));
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
