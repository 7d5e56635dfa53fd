/**
 * Hands the start records of a leaving runner over to other runners, in batches, so that the records survive
 * the process. A batch that a runner does not accept, for example because it is leaving too, goes to another
 * one. The process that owns a shard, or owned it before the current owner, gets no record of that shard:
 * the next owner relies on the rule that the crash of an owner loses no start record of the tasks that it
 * placed.
 */
import type { FleetMembership, FleetView } from "@eelgrassfront/membership";
import {
  type MemberJoined,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type ShardNumber,
  type StartRecord,
} from "@eelgrassfront/model";

/** Collaborators of a `RecordHandover`. */
export interface RecordHandoverOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly membership: FleetMembership;
}

/** Phases of a handover. */
export enum RecordHandoverPhase {
  /** The handover has not begun. */
  Waiting = "waiting",
  Sending = "sending",
  /** Other runners accepted every record. */
  Accepted = "taken",
  /** Some record has no runner that may keep it, or was not accepted in time. */
  Abandoned = "given-up",
}

const RECORDS_PER_MESSAGE = 500;
/** Time after which a handover is abandoned. */
const TIMEOUT_MILLISECONDS: Milliseconds = 3_000;

/** Sends the start records of this process to other runners, one batch at a time. */
export class RecordHandover {
  readonly #options: RecordHandoverOptions;
  readonly #refusedBy = new Set<ProcessIdentifier>();
  #phase: RecordHandoverPhase = RecordHandoverPhase.Waiting;
  #records: readonly StartRecord[] = [];
  #startedAt: Milliseconds = 0;
  #outstanding: OutstandingBatch | undefined;

  constructor(options: RecordHandoverOptions) {
    this.#options = options;
  }

  /** Current phase. */
  get phase(): RecordHandoverPhase {
    return this.#phase;
  }

  /** Begins the handover; later calls have no effect. */
  begin(records: readonly StartRecord[]): void {
    if (this.#phase !== RecordHandoverPhase.Waiting) return;
    this.#phase = RecordHandoverPhase.Sending;
    this.#records = records;
    this.#startedAt = this.#options.collector.now;
  }

  /** Sends the next batch, or ends the handover. */
  tick(): void {
    if (this.#phase !== RecordHandoverPhase.Sending) return;
    if (this.#records.length === 0) {
      this.#phase = RecordHandoverPhase.Accepted;
      return;
    }
    const elapsed = this.#options.collector.now - this.#startedAt;
    const batch = this.#nextBatch();
    if (batch === undefined || elapsed >= TIMEOUT_MILLISECONDS) {
      this.#phase = RecordHandoverPhase.Abandoned;
      return;
    }
    if (this.#outstanding === undefined) this.#send(batch);
  }

  /** Handles a reply; returns false when it answers no message of this handover. */
  handleReply(request: RequestIdentifier, reply: PeerReply): boolean {
    if (request !== this.#outstanding?.request) return false;
    if (reply.kind === PeerReplyKind.RecordsAccepted) {
      const accepted = new Set(this.#outstanding.records);
      this.#records = this.#records.filter((record) => !accepted.has(record));
    } else this.#refusedBy.add(this.#outstanding.successor);
    this.#outstanding = undefined;
    return true;
  }

  /** Handles the loss of a message; returns false when it is none of this handover. */
  handleLostRequest(request: RequestIdentifier): boolean {
    if (request !== this.#outstanding?.request) return false;
    this.#refusedBy.add(this.#outstanding.successor);
    this.#outstanding = undefined;
    return true;
  }

  /** Selects the first runner that may keep some of the records, and the records for one message to it. */
  #nextBatch(): Batch | undefined {
    const { view } = this.#options.membership;
    for (const successor of this.#successors()) {
      const records = this.#records
        .filter(({ shard }) =>
          !isCurrentOrPreviousOwner(shard, successor.process, view)
        )
        .slice(0, RECORDS_PER_MESSAGE);
      if (records.length > 0) return { successor, records };
    }
    return undefined;
  }

  #successors(): readonly MemberJoined[] {
    const { membership, self } = this.#options;
    return membership.view.sidecars()
      .map(({ joined }) => joined)
      .filter(({ process }) =>
        process !== self && !this.#refusedBy.has(process) &&
        membership.heartbeats.isReachable(process) &&
        !membership.heartbeats.isLeaving(process)
      );
  }

  #send({ successor, records }: Batch): void {
    const { collector } = this.#options;
    const { process, address } = successor;
    const request = collector.nextRequest();
    this.#outstanding = { request, successor: process, records };
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: process,
      address,
      message: { kind: PeerRequestKind.HandOverRecords, records },
    });
  }
}

/**
 * Whether a process owns a shard, or owned it before the current owner. The runner in such a process must not
 * keep start records of the shard: when only this process does not reply, the next owner considers the
 * collected start records complete.
 */
export function isCurrentOrPreviousOwner(
  shard: ShardNumber,
  process: ProcessIdentifier,
  view: FleetView,
): boolean {
  const ownership = view.ownership.find(shard);
  return ownership?.owner === process || ownership?.previous?.owner === process;
}

interface Batch {
  readonly successor: MemberJoined;
  readonly records: readonly StartRecord[];
}

interface OutstandingBatch {
  readonly request: RequestIdentifier;
  readonly successor: ProcessIdentifier;
  readonly records: readonly StartRecord[];
}
