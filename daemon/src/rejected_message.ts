/**
 * The log events of messages and stored records that were rejected for their form, and of clients that were rejected
 * because of the limits of a listener.
 */
import type { ClientRejection } from "@eelgrassfront/bounded-http";
import {
  Counter,
  EventNumber,
  OutputKind,
  Severity,
} from "@eelgrassfront/model";
import type { InvalidRecord } from "@eelgrassfront/platform";
import type { JournalPort, MetricsPort } from "@eelgrassfront/ports";

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

/** Records that a record of the platform's store was ignored. */
export function recordInvalidRecord(
  journal: JournalPort,
  { topic, key, detail }: InvalidRecord,
): void {
  journal.record({
    number: EventNumber.LogRecordInvalid,
    severity: Severity.Warning,
    message: "ignored a stored record that is in an unknown form",
    context: { topic, key, detail },
  });
}

/** Counts and records that a listener refused or disconnected a client. */
export function recordRejection(
  { journal, metrics }: {
    readonly journal: JournalPort;
    readonly metrics: MetricsPort;
  },
  { listener, reason, address }: ClientRejection,
): void {
  metrics.measure({
    kind: OutputKind.IncrementCounter,
    counter: Counter.ClientsRejected,
    reason,
  });
  journal.record({
    number: EventNumber.ClientRejected,
    severity: Severity.Warning,
    message: "rejected a client",
    context: { listener, reason, address },
  });
}
