/**
 * Error for a request that is rejected before it becomes a submission.
 */
import type { RejectionReason } from "@eelgrassfront/model";

/** Thrown for a rejected request; the message says what is allowed. */
export class RequestError extends Error {
  readonly reason: RejectionReason;

  constructor(reason: RejectionReason, message: string) {
    super(message);
    this.name = "RequestError";
    this.reason = reason;
  }
}
