/**
 * HTTP responses with a JSON body.
 */
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

/** A response that is ready to be written. */
export interface EncodedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Encodes a value as a response without additional headers. */
export function encodeJson(status: number, value: object): EncodedResponse {
  return { status, headers: {}, body: JSON.stringify(value) };
}

/** Writes a response, unless one was already written or the client has disconnected. */
export function writeResponse(
  response: ServerResponse,
  encoded: EncodedResponse,
): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(encoded.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(encoded.body),
    ...encoded.headers,
  });
  response.end(encoded.body);
}

/** Writes a response to a connection that has no request, and closes the connection. */
export function writeRawResponse(
  socket: Duplex,
  encoded: EncodedResponse,
): void {
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
