/**
 * Answers with a JSON body.
 */
import type { ServerResponse } from "node:http";

/** An answer ready to be written. */
export interface EncodedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Encodes a value as an answer without further headers. */
export function encodeJson(status: number, value: object): EncodedAnswer {
  return { status, headers: {}, body: JSON.stringify(value) };
}

/** Writes an answer, unless one was written already or the client is gone. */
export function writeAnswer(
  response: ServerResponse,
  encoded: EncodedAnswer,
): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(encoded.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(encoded.body),
    ...encoded.headers,
  });
  response.end(encoded.body);
}
