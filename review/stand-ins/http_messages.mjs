/**
 * Bodies of HTTP messages.
 */

/** Reads the whole body of a message. */
export async function readBytes(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Answers with a JSON body. */
export function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
