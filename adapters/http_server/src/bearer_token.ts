/**
 * Checks bearer tokens in constant time.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

/**
 * Whether a request carries this bearer token. The digests are compared in constant time, so that the
 * duration does not reveal how much of a wrong token is correct.
 */
export function hasBearerToken(
  request: IncomingMessage,
  token: string,
): boolean {
  const presented = digest(request.headers.authorization ?? "");
  return timingSafeEqual(presented, digest(`Bearer ${token}`));
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
