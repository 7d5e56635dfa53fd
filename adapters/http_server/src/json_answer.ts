/**
 * Answers with a JSON body.
 */
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

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

/** Writes an answer to a connection that has no request, and ends it. */
export function writeRawAnswer(socket: Duplex, encoded: EncodedAnswer): void {
  const { status, headers, body } = encoded;
  const lines = Object.entries({
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    connection: "close",
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\n`;
  socket.end(`${statusLine}${lines.join("")}\r\n${body}`);
}
