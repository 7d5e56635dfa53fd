/**
 * The log event of a message between processes that was rejected for its form.
 */
import { EventNumber, Severity } from "@eelgrassfront/model";
import type { JournalPort } from "@eelgrassfront/ports";

/** Records that a message of a peer was rejected. */
export function recordRejectedMessage(
  journal: JournalPort,
  detail: string,
): void {
  journal.record({
    number: EventNumber.PeerMessageInvalid,
    severity: Severity.Warning,
    message: "rejected a message in an unknown form",
    context: { detail },
  });
}
