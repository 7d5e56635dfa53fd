/**
 * Client of the system: each request has a connection of its own, to the entry that it names.
 */
import { Agent, request } from "node:http";

/**
 * Sends a request and waits for the whole answer.
 *
 * @returns the answer's status and body, or the error by which it was lost; `close` ends the connection
 */
export function send({ address, host, method, path, deadlineMs, body }) {
  const [hostname, port] = address.split(":");
  const agent = new Agent({ keepAlive: false });
  const text = body === undefined ? undefined : JSON.stringify(body);
  let outgoing;
  const answer = new Promise((resolve) => {
    outgoing = request({
      agent,
      hostname,
      port,
      method,
      path,
      headers: {
        host,
        "deadline-ms": String(deadlineMs),
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () =>
        resolve({
          status: response.statusCode,
          body: Buffer.concat(chunks).toString(),
        }));
      response.on("error", (error) => resolve({ error: error.code }));
    });
    outgoing.on("error", (error) => resolve({ error: error.code }));
    outgoing.setTimeout(deadlineMs, () => outgoing.destroy());
    outgoing.end(text);
  });
  return { answer, close: () => outgoing.destroy() };
}

/** Returns 16 hexadecimal digits that are the same in each run. */
export function jobIdentifier(number) {
  return (0x5eed_0000_0000n + BigInt(number) * 0x9e37_79b9n).toString(16)
    .padStart(16, "0");
}
