/**
 * Bodies of HTTP requests and responses of the stand-ins.
 */

/** Reads a whole body. */
export async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Reads a JSON body. */
export async function readJson(message) {
  const text = (await readBody(message)).toString();
  return text === "" ? {} : JSON.parse(text);
}

/** Sends a JSON body. */
export function writeJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Starts to listen; port 0 takes a free one. Returns the port. */
export function listen(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}
