/**
 * Bearer tokens, compared in constant time.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Whether a request presents this token. The time does not tell how much of it is right. */
export function presentsToken(
  request: IncomingMessage,
  token: string,
): boolean {
  const presented = digest(request.headers.authorization ?? "");
  return timingSafeEqual(presented, digest(`Bearer ${token}`));
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
