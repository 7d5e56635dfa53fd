/**
 * Rejections of requests that never become a submission.
 */
import type { RejectionReason } from "@eelgrassfront/model";

/** Thrown for a request that is rejected, with the reason and what is allowed. */
export class RequestError extends Error {
  readonly reason: RejectionReason;

  constructor(reason: RejectionReason, message: string) {
    super(message);
    this.name = "RequestError";
    this.reason = reason;
  }
}
