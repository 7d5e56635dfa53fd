/**
 * Reads the body of a request within limits of size and time.
 */
import type { IncomingMessage } from "node:http";
import { type Milliseconds, RejectionReason } from "@eelgrassfront/model";
import { RequestError } from "./job_request.ts";

/** Limits on a body. */
export interface BodyLimits {
  readonly maximumBodyBytes: number;
  readonly bodyMilliseconds: Milliseconds;
}

/**
 * Reads a whole body as text.
 *
 * @throws {RequestError} when the body is too large, too slow or cut short
 */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const fail = (reason: RejectionReason, message: string) => {
      clearTimeout(timer);
      request.pause();
      reject(new RequestError(reason, message));
    };
    const timer = setTimeout(
      () => fail(RejectionReason.BodyTooSlow, describeTime(limits)),
      limits.bodyMilliseconds,
    );
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limits.maximumBodyBytes) chunks.push(chunk);
      else fail(RejectionReason.BodyTooLarge, describeSize(limits));
    });
    request.on("end", () => {
      clearTimeout(timer);
      resolve(Buffer.concat(chunks).toString("utf8"));
    });
    request.on("error", () => {
      fail(RejectionReason.MalformedBody, "the body was cut short");
    });
  });
}

function describeTime({ bodyMilliseconds }: BodyLimits): string {
  return `the body must arrive within ${bodyMilliseconds} ms`;
}

function describeSize({ maximumBodyBytes }: BodyLimits): string {
  return `the body may have at most ${maximumBodyBytes} bytes`;
}
